//! A server that reads one request and then does what a case's script says, on raw sockets.

use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time;

use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What the server does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ServerAction {
    /// Nothing listens.
    Refuse,
    /// It closes the connection before it reads.
    CloseBefore,
    /// It reads the request and closes.
    CloseAfter,
    /// It reads the request and never answers.
    Hang,
    /// It answers.
    Answer,
}

/// A script.
#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    /// What the server does.
    pub server: ServerAction,
    /// The status of its answer.
    #[serde(default = "ok")]
    pub status: u16,
    /// The body of its answer.
    #[serde(default)]
    pub body: String,
    /// How often the body is repeated.
    #[serde(default = "once")]
    pub repeat: usize,
    /// The length that the answer declares, where it isn't the body's.
    pub length: Option<usize>,
    /// Sends the answer twice on the connection.
    #[serde(default)]
    pub twice: bool,
}

fn ok() -> u16 {
    200
}

fn once() -> usize {
    1
}

/// A running server; counts the requests that it read.
pub struct ScriptedServer {
    addr: net::SocketAddr,
    requests: Arc<AtomicU64>,
    serving: Option<JoinHandle<()>>,
}

impl ScriptedServer {
    /// Binds a server on any port.
    pub async fn bind(script: Script) -> ScriptedServer {
        ScriptedServer::bind_sequence(vec![script]).await
    }

    /// Binds a server that does for each connection what the next script says, and from the last one on
    /// what that says.
    pub async fn bind_sequence(scripts: Vec<Script>) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let requests: Arc<AtomicU64> = Arc::default();
        let counting = requests.clone();
        // Dropping the listener frees the port, where a connection is refused.
        let serving = (scripts[0].server != ServerAction::Refuse).then(|| {
            tokio::spawn(async move {
                let mut turn = 0;
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let script = scripts[turn.min(scripts.len() - 1)].clone();
                    turn += 1;
                    tokio::spawn(serve(stream, script, counting.clone()));
                }
            })
        });
        ScriptedServer {
            addr,
            requests,
            serving,
        }
    }

    /// Host and port.
    pub fn addr(&self) -> String {
        self.addr.to_string()
    }

    /// Requests that were read.
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

/// Reads one request with a declared length; tells whether there was one.
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
