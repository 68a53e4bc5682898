//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request that was read.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A response: its status and body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    /// Creates a response without a body.
    pub fn empty(status: u16) -> Response {
        Response { status, body: String::new() }
    }
}

/// Serves requests at an address of the loopback interface until the process ends; returns
/// the address. `None` from the handler closes the connection without an answer.
pub fn serve<F>(handler: F) -> io::Result<SocketAddr>
where
    F: Fn(&Request) -> Option<Response> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Option<Response>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let Some(response) = handler(&request) else {
            return;
        };
        let Response { status, body } = response;
        let text = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match input.read_line(&mut line) {
        Ok(read) if read > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(input: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(input: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(input)?;
    let mut words = line.split(' ');
    let target = words.nth(1)?.to_owned();
    let headers = read_headers(input)?;
    let body = read_body(input, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let query = pairs
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (decode(name), decode(value))
        })
        .collect();
    Some(Request { path: path.to_owned(), query, headers, body })
}

/// Decodes percent signs and pluses of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits =
            text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], digits) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request on a new connection and waits for the response; `None` without one.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let line = read_line(&mut input)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut input)?;
    let body = read_body(&mut input, &headers)?;
    Some(Response { status, body: String::from_utf8_lossy(&body).into_owned() })
}
