//! Takes down what leaves a process, as it stands on the wire.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time;

/// How long a request may take to come; only a part that hangs makes it matter.
const LIMIT: time::Duration = time::Duration::from_secs(10);

/// Takes one connection for each answer, and returns what came: the request, the headers that are
/// named here, and the body.
pub fn requests(answers: Vec<&'static str>) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let recorder = thread::spawn(move || {
        let mut out = String::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            stream.set_read_timeout(Some(LIMIT)).unwrap();
            out += &request(&mut stream);
            let n = answer.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {n}\r\nconnection: close\r\n");
            let _ = stream.write_all(format!("{head}\r\n{answer}").as_bytes());
        }
        out
    });
    (addr, recorder)
}

fn request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let own = |line: &&str| {
                let names = ["lovagemill-", "traceparent:", "idempotency-key:"];
                names.iter().any(|name| line.starts_with(name))
            };
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |n| n.parse().unwrap()) {
                let lines = head.lines().take(1).chain(head.lines().filter(own));
                let lines: Vec<_> = lines.chain([body]).collect();
                return lines.join("\n").trim_end().to_owned() + "\n\n";
            }
        }
        let n = stream.read(&mut buf).unwrap();
        assert!(n > 0, "a request broke off: {text}");
        text += std::str::from_utf8(&buf[..n]).unwrap();
    }
}

type Bytes = Arc<Mutex<Vec<u8>>>;

/// Stands between the two ends of a link and takes down both ways.
pub struct Spy {
    /// Where the client connects.
    pub addr: SocketAddr,
    ways: [Bytes; 2],
}

impl Spy {
    /// Passes one connection on to the server.
    pub fn open(server: SocketAddr) -> Spy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let ways = [Bytes::default(), Bytes::default()];
        let [down, up] = ways.clone();
        thread::spawn(move || {
            let (client, _) = listener.accept().unwrap();
            let server = TcpStream::connect(server).unwrap();
            let ends = (client.try_clone().unwrap(), server.try_clone().unwrap());
            thread::spawn(move || pass(client, server, &down));
            pass(ends.1, ends.0, &up);
        });
        Spy { addr, ways }
    }

    /// The messages so far, the client's first.
    pub fn lines(&self) -> Vec<String> {
        let way = |bytes: &Bytes| messages(&bytes.lock().unwrap());
        self.ways.iter().flat_map(way).collect()
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, seen: &Bytes) {
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        seen.lock().unwrap().extend(&buf[..n]);
        if to.write_all(&buf[..n]).is_err() {
            return;
        }
    }
}

/// The texts of a WebSocket's frames, which are short here, behind its HTTP head.
fn messages(bytes: &[u8]) -> Vec<String> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n").unwrap();
    let mut rest = &bytes[head + 4..];
    let mut all = Vec::new();
    while let [kind, length, tail @ ..] = rest {
        let masked = length & 0x80 != 0;
        let (n, tail) = match length & 0x7f {
            126 => (usize::from(tail[0]) << 8 | usize::from(tail[1]), &tail[2..]),
            n => (usize::from(n), tail),
        };
        let (mask, tail) = tail.split_at(if masked { 4 } else { 0 });
        let (data, tail) = tail.split_at(n);
        let unmask = |(i, byte): (usize, &u8)| byte ^ mask.get(i % 4).unwrap_or(&0);
        let text: Vec<_> = data.iter().enumerate().map(unmask).collect();
        if kind & 0x0f == 1 {
            all.push(String::from_utf8(text).unwrap());
        }
        rest = tail;
    }
    all
}
