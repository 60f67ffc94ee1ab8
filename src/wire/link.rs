//! A link: a long-lived connection on which two processes send each other messages, over jsonrpsee.
//!
//! The client subscribes with a hello. The server sends its messages as items of that subscription
//! and the client sends its own as JSON-RPC notifications, so neither side has to acknowledge each
//! message. All items that are queued when the writer is free are sent as one message: starts and
//! answers of the same moment are grouped without any added delay. A link doesn't guarantee
//! delivery; both its users ask again by key, after a reconnect, for what is outstanding.

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

/// Maximum number of items in one message.
const MAX_GROUP: usize = 256;

/// Maximum estimated size of the items in one message, in bytes; a single larger item is sent
/// alone.
const MAX_GROUP_BYTES: usize = 8 * 1024 * 1024;

/// Largest message that a link accepts, in bytes.
const MAX_MESSAGE: u32 = 32 * 1024 * 1024;

/// Number of received messages that a client queues until they are handled. A link with more is
/// closed; after the reconnect, its user asks by key for what is outstanding.
pub const MAX_UNREAD: usize = 65_536;

/// Number of messages that a server queues for a client that doesn't read; beyond that the writer
/// waits.
const MAX_UNSENT: u32 = 1_024;

/// Maximum number of links of a server.
const MAX_CONNECTIONS: u32 = 4_096;

/// Interval between the pings by which a server detects connections whose client is gone.
const PING: time::Duration = time::Duration::from_secs(30);

/// Approximate bytes that JSON-RPC and the WebSocket frame add to a message.
const ENVELOPE: usize = 90;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The queue of the items to be sent on a link; the link closes once all clones are dropped.
pub type Sender<T> = mpsc::UnboundedSender<T>;

/// The queue from which a link takes the items that it sends.
pub type Receiver<T> = mpsc::UnboundedReceiver<T>;

/// The listener for links and the links that it has accepted.
pub struct Server {
    addr: net::SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Returns the address at which the server listens, with its actual port.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Closes every link and the listener.
    pub fn stop(&self) {
        let _ = self.handle.stop();
    }
}

/// Counts a message that is sent, with its size in bytes.
pub type OnSent<Out> = Arc<dyn Fn(&Out, usize) + Send + Sync>;

/// Returns the approximate size of an item on the wire, in bytes.
pub type EstimateBytes<Item> = fn(&Item) -> usize;

/// Groups the items of one link into one message.
pub type Group<Item, Out> = Arc<dyn Fn(Vec<Item>) -> Out + Send + Sync>;

/// Receives the hello of a new link and the sender for the link's items, and returns how the link
/// groups its items into messages. Dropping the sender closes the link.
pub type OnOpen<Hello, Item, Out> =
    Arc<dyn Fn(Hello, Sender<Item>) -> Group<Item, Out> + Send + Sync>;

/// The functions that a server calls on the events of its links.
pub struct ServerHandlers<Hello, Item, In, Out> {
    /// Called for each new link.
    pub on_open: OnOpen<Hello, Item, Out>,
    /// Called with each message that a client sends.
    pub on_message: Arc<dyn Fn(In) + Send + Sync>,
    /// Called with each message that the server sends and its size in bytes.
    pub on_sent: OnSent<Out>,
    /// Estimates the size of an item that the server sends, to limit the size of its messages.
    pub estimate_bytes: EstimateBytes<Item>,
}

/// Starts a server that accepts links at `addr`.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub async fn bind<Hello, Item, In, Out>(
    addr: net::SocketAddr,
    handlers: ServerHandlers<Hello, Item, In, Out>,
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
    let inbox = inbox(handlers.on_message.clone());
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
    let module = module(handlers)?;
    let handle = server.start(module);
    Ok(Server { addr, handle })
}

/// Groups the queued items of a link into messages.
struct Outbox<Item, Out> {
    group: Group<Item, Out>,
    on_sent: OnSent<Out>,
    estimate_bytes: EstimateBytes<Item>,
    rx: Receiver<Item>,
    waiting: VecDeque<Item>,
}

impl<Item, Out: Serialize> Outbox<Item, Out> {
    /// Waits for items and returns those to be sent as one message; none once all senders of the
    /// link are dropped.
    ///
    /// Limits a message by bytes too: many items of moderate size could together exceed the largest
    /// message. The link would then close, and its user would send the same items in one group on
    /// the next link.
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
    handlers: ServerHandlers<Hello, Item, In, Out>,
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
    } = handlers;
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
            // Without this error the client would keep using a link that the server has closed.
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

/// Configures the pings that detect connections whose client is gone without having closed them:
/// the writer of such a link would wait, and its socket stay open, for ever. The silence limits of
/// the links' users don't close the server's end, since only the client's process applies them.
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

/// Delivers notifications, which jsonrpsee's own service would ignore.
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

/// The functions that a client calls on the events of its link.
pub struct ClientHandlers<Item, In, Out> {
    /// Called with each message that the server sends.
    pub on_message: Arc<dyn Fn(In) + Send + Sync>,
    /// Groups items into one message of the client.
    pub group: Group<Item, Out>,
    /// Called with each message that the client sends and its size in bytes.
    pub on_sent: OnSent<Out>,
    /// Estimates the size of an item that the client sends, to limit the size of its messages.
    pub estimate_bytes: EstimateBytes<Item>,
    /// Called once, when the link has closed.
    pub on_closed: Box<dyn FnOnce() + Send>,
}

/// Opens a link to `addr` that sends the items of `rx`, and closes once that channel is closed.
///
/// # Errors
///
/// Returns an error if the link couldn't be opened in time.
pub async fn connect<Hello, Item, In, Out>(
    addr: &str,
    hello: Hello,
    rx: Receiver<Item>,
    handlers: ClientHandlers<Item, In, Out>,
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
        group: handlers.group,
        on_sent: handlers.on_sent,
        estimate_bytes: handlers.estimate_bytes,
        rx,
        waiting: VecDeque::new(),
    };
    let subscription: Subscription<In> = client.subscribe("open", params, "close").await?;
    tokio::spawn(async move {
        tokio::select! {
            () = read(subscription, handlers.on_message) => {}
            () = write_down(client, outbox) => {}
        }
        (handlers.on_closed)();
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
