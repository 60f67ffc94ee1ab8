//! The product's HTTP server: what a connection sees once the server has stopped.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use lovagemill::wire::http::{self, Call};
use lovagemill::wire::server::{self, Incoming, Reply};

const PATIENCE: Duration = Duration::from_secs(10);

/// Operators read an old configuration from an entry that has stopped, and believe that a change has
/// not come into force. The server took no new connections after its stop but went on answering on
/// those that were open, as a process that has ended never does.
#[test]
fn a_stopped_server_answers_nothing_on_open_connections() {
    support::block_on(async {
        let handler = |_: Incoming| async { Reply::json(StatusCode::OK, &"served") };
        let any = "127.0.0.1:0".parse().expect("an address");
        let server = server::bind(any, handler).await.expect("it binds");
        let client = http::open(1024);
        let call = || {
            let uri = format!("http://{}/", server.addr());
            client.call(Call::new(Method::GET, uri, Bytes::new()), PATIENCE)
        };
        assert!(call().await.is_ok());
        server.stop();
        assert!(call().await.is_err());
    });
}

/// A caller waits for its whole patience: the server stopped while the answer was being made.
#[test]
fn a_stopping_server_breaks_open_exchanges_off() {
    support::block_on(async {
        let handler = |_: Incoming| async { std::future::pending::<Reply>().await };
        let any = "127.0.0.1:0".parse().expect("an address");
        let server = server::bind(any, handler).await.expect("it binds");
        let client = http::open(1024);
        let uri = format!("http://{}/", server.addr());
        let calling = tokio::spawn(async move {
            client
                .call(Call::new(Method::GET, uri, Bytes::new()), PATIENCE)
                .await
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
        server.stop();
        let answer = calling.await.expect("no panic");
        assert!(!matches!(answer, Ok(_) | Err(http::Error::TimedOut)));
    });
}
