//! A lasting two-way connection between two of the system's processes, over jsonrpsee.
//!
//! The client subscribes with a hello; the server's messages come as items of that subscription
//! and the client's go as JSON-RPC notifications, so neither side answers a message only to say
//! that it came. Whatever waits when the writer is free leaves as one message: starts and answers
//! of the same moment are grouped without any added delay. A link promises nothing about loss;
//! both users of it ask again by key after a reconnect.

use std::collections::VecDeque;
use std::future::Future;
use std::net;
use std::sync::Arc;
use std::time;

use jsonrpsee::core;
use jsonrpsee::core::client::{ClientT, Subscription, SubscriptionClientT};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::server::middleware::rpc::{self, RpcServiceT};
use jsonrpsee::server::{
    PendingSubscriptionSink, PingConfig, RpcModule, ServerConfig, ServerHandle,
};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use jsonrpsee::SubscriptionMessage;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value;
use tokio::sync::mpsc;

/// Most items that one message may carry.
const MAX_GROUP: usize = 256;

/// Bytes of items after which a message carries no more of them.
const MAX_GROUP_BYTES: usize = 8 * 1024 * 1024;

/// Largest message, in bytes.
const MAX_MESSAGE: u32 = 32 * 1024 * 1024;

/// Messages that a client holds for a reader that is behind; a link with more is closed, and its
/// successor asks by key for what was outstanding.
pub const MAX_UNREAD: usize = 65_536;

/// Messages that a server holds for a client that doesn't read; its writer waits beyond that.
const MAX_UNSENT: u32 = 1_024;

/// Most links of a server.
const MAX_CONNECTIONS: u32 = 4_096;

/// Pause between the pings by which a server finds connections that nobody is behind any more.
const PING: time::Duration = time::Duration::from_secs(30);

/// Bytes that JSON-RPC and the WebSocket frame add to a message, about.
const ENVELOPE: usize = 90;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The sending half of a link; the link closes once all clones are dropped.
pub type Sender<T> = mpsc::UnboundedSender<T>;

/// The receiving half, from which a link takes what it sends.
pub type Receiver<T> = mpsc::UnboundedReceiver<T>;

/// The accepting side of links.
pub struct Server {
    addr: net::SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Where the server listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Closes every link and the listener.
    pub fn stop(&self) {
        let _ = self.handle.stop();
    }
}

/// Counts a message that leaves, with its bytes.
pub type OnSent<Out> = Arc<dyn Fn(&Out, usize) + Send + Sync>;

/// Tells about how many bytes an item takes on the wire.
pub type EstimateBytes<Item> = fn(&Item) -> usize;

/// Groups the items of one link into one message.
pub type Group<Item, Out> = Arc<dyn Fn(Vec<Item>) -> Out + Send + Sync>;

/// Takes the hello of a new link and the way back, and tells how the link groups its items.
/// Dropping the sender closes the link.
pub type OnOpen<Hello, Item, Out> =
    Arc<dyn Fn(Hello, Sender<Item>) -> Group<Item, Out> + Send + Sync>;

/// What a server does with its links.
pub struct ServerHandlers<Hello, Item, In, Out> {
    /// Takes a new link.
    pub on_open: OnOpen<Hello, Item, Out>,
    /// Takes one message of a client.
    pub on_message: Arc<dyn Fn(In) + Send + Sync>,
    /// Counts a message of the server that leaves, with its bytes.
    pub on_sent: OnSent<Out>,
    /// Weighs an item of the server.
    pub estimate_bytes: EstimateBytes<Item>,
}

/// Binds a server of links.
pub async fn bind<Hello, Item, In, Out>(
    addr: net::SocketAddr,
    service: ServerHandlers<Hello, Item, In, Out>,
) -> anyhow::Result<Server>
where
    Hello: DeserializeOwned + Send + 'static,
    Item: Send + 'static,
    In: DeserializeOwned + 'static,
    Out: Serialize + Send + 'static,
{
    let cfg = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
        .max_connections(MAX_CONNECTIONS)
        .set_message_buffer_capacity(MAX_UNSENT)
        .enable_ws_ping(pings())
        .ws_only()
        .build();
    let inbox = inbox(service.on_message.clone());
    let layers = rpc::RpcServiceBuilder::new().layer_fn(move |inner| Inbox {
        inner,
        deliver: inbox.clone(),
    });
    let server = jsonrpsee::server::Server::builder()
        .set_config(cfg)
        .set_rpc_middleware(layers)
        .build(addr)
        .await?;
    let addr = server.local_addr()?;
    let module = module(service)?;
    let handle = server.start(module);
    Ok(Server { addr, handle })
}

/// Turns what waits into one message on the wire.
struct Outbox<Item, Out> {
    group: Group<Item, Out>,
    on_sent: OnSent<Out>,
    estimate_bytes: EstimateBytes<Item>,
    rx: Receiver<Item>,
    waiting: VecDeque<Item>,
}

impl<Item, Out: Serialize> Outbox<Item, Out> {
    /// Waits for items and takes those that leave as one message; none once the link is let go.
    ///
    /// Guards against a group of items, each of a fair size, that makes a message over the limit:
    /// the link would close, and its users would send the same items again in one group on the
    /// next.
    async fn next(&mut self) -> Vec<Item> {
        if self.waiting.is_empty() {
            let mut items = Vec::new();
            self.rx.recv_many(&mut items, MAX_GROUP).await;
            self.waiting.extend(items);
        }
        let mut bytes = 0;
        let mut count = 0;
        for item in &self.waiting {
            bytes += (self.estimate_bytes)(item);
            if count > 0 && bytes > MAX_GROUP_BYTES {
                break;
            }
            count += 1;
        }
        self.waiting.drain(..count).collect()
    }

    /// Groups and encodes items, and counts the message.
    fn encode(&self, items: Vec<Item>) -> serde_json::Result<Box<value::RawValue>> {
        let message = (self.group)(items);
        let raw = value::to_raw_value(&message)?;
        (self.on_sent)(&message, raw.get().len() + ENVELOPE);
        Ok(raw)
    }
}

fn module<Hello, Item, In, Out>(
    service: ServerHandlers<Hello, Item, In, Out>,
) -> anyhow::Result<RpcModule<()>>
where
    Hello: DeserializeOwned + Send + 'static,
    Item: Send + 'static,
    Out: Serialize + Send + 'static,
{
    let ServerHandlers {
        on_open,
        on_sent,
        estimate_bytes,
        ..
    } = service;
    let mut module = RpcModule::new(());
    module.register_subscription("open", "up", "close", move |params, pending, _, _| {
        let on_open = on_open.clone();
        let on_sent = on_sent.clone();
        let hello = params.one::<Hello>();
        async move {
            let Ok(hello) = hello else {
                return Err(core::SubscriptionError::from("the hello can't be read"));
            };
            let (tx, rx) = mpsc::unbounded_channel();
            let group = on_open(hello, tx);
            let outbox = Outbox {
                group,
                on_sent,
                estimate_bytes,
                rx,
                waiting: VecDeque::new(),
            };
            write_up(pending, outbox).await;
            // Without this the client would go on with a link that nobody serves any more.
            Err(core::SubscriptionError::from("the link is closed"))
        }
    })?;
    Ok(module)
}

async fn write_up<Item, Out: Serialize>(
    pending: PendingSubscriptionSink,
    mut outbox: Outbox<Item, Out>,
) {
    let Ok(sink) = pending.accept().await else {
        return;
    };
    loop {
        let items = tokio::select! {
            items = outbox.next() => items,
            () = sink.closed() => return,
        };
        if items.is_empty() {
            return;
        }
        let Ok(raw) = outbox.encode(items) else {
            return;
        };
        if sink.send(SubscriptionMessage::from(raw)).await.is_err() {
            return;
        }
    }
}

/// Guards against connections whose other end vanished without a word: the writer of such a link
/// would wait, and its socket stay open, for ever. The links' own silence limits don't close the
/// server's end, since only the client's process learns of them.
fn pings() -> PingConfig {
    PingConfig::new()
        .ping_interval(PING)
        .inactive_limit(2 * PING)
        .max_failures(1)
}

type Deliver = Arc<dyn Fn(&str) + Send + Sync>;

fn inbox<In: DeserializeOwned + 'static>(take: Arc<dyn Fn(In) + Send + Sync>) -> Deliver {
    Arc::new(move |params| match serde_json::from_str::<(In,)>(params) {
        Ok((message,)) => take(message),
        Err(e) => log::warn!("a message on a link was dropped, it can't be read: {e}"),
    })
}

/// Takes notifications, which jsonrpsee's own service would pass over.
#[derive(Clone)]
struct Inbox<S> {
    inner: S,
    deliver: Deliver,
}

impl<S: RpcServiceT> RpcServiceT for Inbox<S> {
    type BatchResponse = S::BatchResponse;
    type MethodResponse = S::MethodResponse;
    type NotificationResponse = S::NotificationResponse;

    fn call<'a>(
        &self,
        req: rpc::Request<'a>,
    ) -> impl Future<Output = Self::MethodResponse> + Send + 'a {
        self.inner.call(req)
    }

    fn batch<'a>(
        &self,
        req: rpc::Batch<'a>,
    ) -> impl Future<Output = Self::BatchResponse> + Send + 'a {
        self.inner.batch(req)
    }

    fn notification<'a>(
        &self,
        n: rpc::Notification<'a>,
    ) -> impl Future<Output = Self::NotificationResponse> + Send + 'a {
        if let Some(params) = &n.params {
            (self.deliver)(params.get());
        }
        self.inner.notification(n)
    }
}

/// What a client of a link does.
pub struct ClientHandlers<Item, In, Out> {
    /// Takes one message of the server.
    pub on_message: Arc<dyn Fn(In) + Send + Sync>,
    /// Groups items into one message of the client.
    pub group: Group<Item, Out>,
    /// Counts a message of the client that leaves, with its bytes.
    pub on_sent: OnSent<Out>,
    /// Weighs an item of the client.
    pub estimate_bytes: EstimateBytes<Item>,
    /// Runs once when the link is gone.
    pub on_closed: Box<dyn FnOnce() + Send>,
}

/// Connects a link that sends what comes from `rx`, and closes once that channel does.
///
/// # Errors
///
/// Returns an error where no connection came about in time.
pub async fn connect<Hello, Item, In, Out>(
    addr: &str,
    hello: Hello,
    rx: Receiver<Item>,
    peer: ClientHandlers<Item, In, Out>,
) -> anyhow::Result<()>
where
    Hello: Serialize + Send + 'static,
    Item: Send + 'static,
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
{
    let client = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(time::Duration::from_secs(2))
        .max_request_size(MAX_MESSAGE)
        .max_response_size(MAX_MESSAGE)
        .max_buffer_capacity_per_subscription(MAX_UNREAD)
        .build(format!("ws://{addr}"))
        .await?;
    let mut params = ArrayParams::new();
    params.insert(hello)?;
    let outbox = Outbox {
        group: peer.group,
        on_sent: peer.on_sent,
        estimate_bytes: peer.estimate_bytes,
        rx,
        waiting: VecDeque::new(),
    };
    let subscription: Subscription<In> = client.subscribe("open", params, "close").await?;
    tokio::spawn(async move {
        tokio::select! {
            () = read(subscription, peer.on_message) => {}
            () = write_down(client, outbox) => {}
        }
        (peer.on_closed)();
    });
    Ok(())
}

async fn read<In: DeserializeOwned>(
    mut subscription: Subscription<In>,
    take: Arc<dyn Fn(In) + Send + Sync>,
) {
    while let Some(next) = subscription.next().await {
        match next {
            Ok(message) => take(message),
            Err(e) => log::warn!("a message on a link was dropped, it can't be read: {e}"),
        }
    }
}

async fn write_down<Item, Out: Serialize>(client: WsClient, mut outbox: Outbox<Item, Out>) {
    loop {
        let items = outbox.next().await;
        if items.is_empty() {
            return;
        }
        let mut params = ArrayParams::new();
        let inserted = outbox.encode(items).and_then(|raw| params.insert(raw));
        if inserted.is_err() || client.notification("down", params).await.is_err() {
            return;
        }
    }
}
