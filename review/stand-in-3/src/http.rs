//! A small HTTP/1.1 server with a thread for each connection, and a client for single calls.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::json::Json;

/// A request: its method, path, query, headers (names in lower case) and body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the body as JSON; `Null` if it is none.
    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }

    /// Returns a parameter of the query; empty if there is none.
    pub fn parameter(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    /// Returns a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Status and body of a response.
pub type Response = (u16, String);

/// Serves requests on a free loopback port and returns its address. The connection is closed
/// without an answer if the handler returns `None`.
pub fn serve<F>(handler: F) -> SocketAddr
where
    F: Fn(Request) -> Option<Response> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("the port is bound");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection<F>(stream: TcpStream, handler: &F)
where
    F: Fn(Request) -> Option<Response>,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            return;
        };
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head<R: BufRead>(reader: &mut R) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body<R: BufRead>(reader: &mut R, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request<R: BufRead>(reader: &mut R) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        Some((decode(name), decode(value)))
    });
    Some(Request { method, path: path.to_owned(), query: query.collect(), headers, body })
}

/// Decodes the percent encoding of a query.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..(at + 3).min(text.len())).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes a call on a new connection; returns `None` if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        request += "Content-Type: application/json\r\n";
    }
    request += "Connection: close\r\n\r\n";
    stream.write_all((request + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
