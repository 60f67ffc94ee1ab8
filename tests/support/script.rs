//! A server on raw sockets that handles each request as a test case's script says.

use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time;

use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// How the server handles a connection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ServerAction {
    /// Nothing listens on the port.
    Refuse,
    /// The server closes the connection before it reads.
    CloseBefore,
    /// The server reads the request and closes the connection.
    CloseAfter,
    /// The server reads the request and never answers.
    Hang,
    /// The server answers each request.
    Answer,
}

/// What the server does on one connection, and its answer.
#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    /// How the server handles the connection.
    pub server: ServerAction,
    /// The HTTP status of the answer.
    #[serde(default = "ok")]
    pub status: u16,
    /// The body of the answer.
    #[serde(default)]
    pub body: String,
    /// Number of times that the body is repeated.
    #[serde(default = "once")]
    pub repeat: usize,
    /// The content length that the answer declares, in bytes, where it isn't the body's. After a body that is shorter
    /// the server closes the connection.
    pub length: Option<usize>,
    /// Whether the answer is sent twice on the connection.
    #[serde(default)]
    pub twice: bool,
}

fn ok() -> u16 {
    200
}

fn once() -> usize {
    1
}

/// Connections that wait to be accepted, more than any test opens at a time.
const BACKLOG: u32 = 128;

/// A running server; counts the requests that it read.
pub struct ScriptedServer {
    addr: net::SocketAddr,
    requests: Arc<AtomicU64>,
    serving: Option<JoinHandle<()>>,
    /// The port of a server that refuses connections: bound, so that nobody else gets it, and not listening.
    _refusing: Option<TcpSocket>,
}

impl ScriptedServer {
    /// Binds a server on a free port that follows one script on every connection.
    pub async fn bind(script: Script) -> ScriptedServer {
        ScriptedServer::bind_sequence(vec![script]).await
    }

    /// Binds a server that follows the next script on each new connection, and the last script on all further
    /// connections.
    pub async fn bind_sequence(scripts: Vec<Script>) -> ScriptedServer {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let addr = socket.local_addr().unwrap();
        let requests: Arc<AtomicU64> = Arc::default();
        if scripts[0].server == ServerAction::Refuse {
            return ScriptedServer {
                addr,
                requests,
                serving: None,
                _refusing: Some(socket),
            };
        }
        let listener = socket.listen(BACKLOG).unwrap();
        let counting = requests.clone();
        let serving = tokio::spawn(async move {
            let mut connection = 0;
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let script = scripts[connection.min(scripts.len() - 1)].clone();
                connection += 1;
                tokio::spawn(serve(stream, script, counting.clone()));
            }
        });
        ScriptedServer {
            addr,
            requests,
            serving: Some(serving),
            _refusing: None,
        }
    }

    /// Returns the server's host and port.
    pub fn addr(&self) -> String {
        self.addr.to_string()
    }

    /// Returns the number of requests that were read.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::SeqCst)
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        if let Some(serving) = &self.serving {
            serving.abort();
        }
    }
}

async fn serve(mut stream: TcpStream, script: Script, requests: Arc<AtomicU64>) {
    if script.server == ServerAction::CloseBefore {
        return;
    }
    while read_request(&mut stream).await {
        requests.fetch_add(1, Ordering::SeqCst);
        match script.server {
            ServerAction::Refuse | ServerAction::CloseBefore | ServerAction::CloseAfter => return,
            ServerAction::Hang => tokio::time::sleep(time::Duration::from_secs(3_600)).await,
            ServerAction::Answer => {
                let body = script.body.repeat(script.repeat);
                let length = script.length.unwrap_or(body.len());
                let status = script.status;
                let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
                for _ in 0..=usize::from(script.twice) {
                    let _ = stream.write_all(head.as_bytes()).await;
                    let _ = stream.write_all(body.as_bytes()).await;
                }
                if length > body.len() {
                    return;
                }
            }
        }
    }
}

/// Reads one request, with the body length that its head declares; returns whether there was one.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut read = Vec::new();
    let mut buf = [0; 4096];
    loop {
        if let Some(end) = find(&read, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
            let declared = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = declared.map_or(0, |n| n.trim().parse().unwrap());
            if read.len() >= end + 4 + length {
                return true;
            }
        }
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return false,
            Ok(n) => read.extend_from_slice(&buf[..n]),
        }
    }
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}
