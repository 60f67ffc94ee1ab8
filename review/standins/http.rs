//! A small HTTP/1.1 server and client on threads, with lengths of bodies given by `Content-Length`.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request as a server reads it.
pub struct Request {
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// The status and the body of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    pub fn empty(status: u16) -> Answer {
        Answer {
            status,
            body: String::new(),
        }
    }

    pub fn json(body: impl ToString) -> Answer {
        Answer {
            status: 200,
            body: body.to_string(),
        }
    }
}

type Headers = Vec<(String, String)>;

/// Reads the first line, the headers and the body of a message; none at the end of the connection.
fn read_message(reader: &mut impl BufRead) -> io::Result<Option<(String, Headers, String)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let (name, value) = (name.to_lowercase(), value.trim().to_owned());
        if name == "content-length" {
            length = value.parse().unwrap_or(0);
        }
        headers.push((name, value));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Serves one connection until its peer closes it.
fn serve_connection(stream: TcpStream, answer: impl Fn(Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let answer = answer(Request {
            path,
            headers,
            body,
        });
        let text = format!(
            "HTTP/1.1 {} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
            answer.status,
            answer.body.len(),
            answer.body
        );
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}

/// Serves connections at a listener on threads of their own until the process ends.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(Request) -> Answer + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            // A connection that breaks concerns nobody but its peer.
            thread::spawn(move || serve_connection(stream, answer));
        }
    });
}

/// Writes a request on an open connection.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Reads an answer from an open connection within the connection's read timeout.
pub fn receive(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut reader = BufReader::new(stream);
    let (first, _, body) = read_message(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(Answer {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        body,
    })
}

/// Opens a connection whose reads end after `limit`.
pub fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(stream)
}

/// Sends one request on a connection of its own and returns the answer.
pub fn call(
    addr: SocketAddr,
    limit: Duration,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Answer> {
    let mut stream = connect(addr, limit)?;
    send(&mut stream, method, path, headers, body)?;
    receive(&mut stream)
}
