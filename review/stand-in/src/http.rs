//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::json::Json;

/// A request that was read in full.
pub struct Request {
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// When its connection was accepted.
    pub accepted: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == name).map(|(_, v)| v.as_str())
    }

    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

/// What a handler does with a request: answer it, or close the connection without an answer.
pub enum Answer {
    Reply(u16, Json),
    Close,
}

/// Connections of a server, to break them as the end of its process does.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    pub fn break_all(&self) {
        for stream in self.0.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Starts a server on a free port of the loopback address; returns the address.
pub fn serve<F>(handler: F) -> io::Result<SocketAddr>
where
    F: Fn(&Request) -> Answer + Send + Sync + 'static,
{
    serve_with(Connections::default(), handler)
}

/// Starts a server whose connections are kept in `connections`.
pub fn serve_with<F>(connections: Connections, handler: F) -> io::Result<SocketAddr>
where
    F: Fn(&Request) -> Answer + Send + Sync + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            if let Ok(kept) = stream.try_clone() {
                connections.0.lock().expect("connections").push(kept);
            }
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &impl Fn(&Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    let accepted = Instant::now();
    while let Some(request) = read_request(&mut input, accepted)? {
        let Answer::Reply(status, body) = handler(&request) else {
            return Ok(());
        };
        let body = if body == Json::Null { String::new() } else { body.to_string() };
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        output.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_request(input: &mut impl BufRead, accepted: Instant) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().skip(1);
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(input)?;
    let length = headers.iter().find(|(k, _)| k.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0_usize);
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (decode(k), decode(v))).collect();
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(Request { path: decode(path), query, headers, body, accepted }))
}

fn read_headers(input: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Decodes percent escapes and `+` of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escape = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escape.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request on a new connection and returns the status and the body; `None` if there
/// is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let deadline_ms = timeout.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut input).ok()?;
    let length = headers.iter().find(|(k, _)| k.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0_usize);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
