//! HTTP/1.1 with one thread a connection: the server of the stand-ins, and the calls of clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request that has been read whole.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

/// An answer; its body is JSON or empty.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

impl Request {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query; empty where there is none.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(known, _)| *known == name);
        found
            .map(|(_, value)| value.replace("%20", " "))
            .unwrap_or_default()
    }
}

/// Builds an answer.
pub fn reply(status: u16, body: impl Into<String>) -> Reply {
    Reply {
        status,
        body: body.into(),
    }
}

/// Answers one request; none closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Reply> + Send + Sync>;

/// Serves an address until the process ends.
pub fn serve(addr: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        let Some(reply) = handler(request) else {
            return Ok(());
        };
        let text = format!(
            "HTTP/1.1 {} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
            reply.status,
            reply.body.len(),
            reply.body
        );
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// A call of a client, on a connection of its own.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

/// Sends a call and waits at most `limit` for its answer. The connection is closed afterwards.
pub fn call(addr: SocketAddr, call: &Call, limit: Duration) -> io::Result<Reply> {
    let stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut text = format!(
        "{} {} HTTP/1.1\r\ncontent-length: {}\r\n",
        call.method,
        call.path,
        call.body.len()
    );
    if !call.headers.iter().any(|(name, _)| *name == "host") {
        text.push_str(&format!("host: {addr}\r\n"));
    }
    for (name, value) in call.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("content-type: application/json\r\n\r\n");
    text.push_str(call.body);
    let mut writer = stream.try_clone()?;
    writer.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok(Reply {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        body: read_body(&mut reader, &headers)?,
    })
}
