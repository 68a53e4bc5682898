//! HTTP/1.1 over plain sockets: a server with a thread a connection, and a client with a
//! connection a request.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const STACK_BYTES: usize = 128 << 10;
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// When its connection was accepted.
    pub connected: Instant,
}

/// What a server does with a request: respond, or close the connection without a response.
pub enum Reply {
    Respond(u16, String),
    /// Keep silent for this long, then close the connection.
    Silence(Duration),
}

/// Listens on a free loopback port and handles each request on the thread of its connection.
pub fn serve(handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    serve_until(Arc::default(), handler)
}

/// Ends a server: its port is closed and its connections are cut.
#[derive(Default)]
pub struct End {
    is_over: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl End {
    pub fn request(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }
}

/// Serves until `end` is requested.
pub fn serve_until(
    end: Arc<End>,
    handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a socket");
    let handler = Arc::new(handler);
    spawn(move || {
        while !end.is_over() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    end.streams.lock().unwrap().extend(stream.try_clone());
                    let handler = Arc::clone(&handler);
                    spawn(move || serve_connection(stream, &*handler));
                }
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        }
    });
    address
}

pub fn spawn(job: impl FnOnce() + Send + 'static) {
    let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(job);
}

fn serve_connection(stream: TcpStream, handler: &(impl Fn(&Request) -> Reply + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let connected = Instant::now();
    while let Some(request) = read_request(&mut reader, connected) {
        match handler(&request) {
            Reply::Respond(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence(time) => {
                thread::sleep(time);
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, connected: Instant) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |text: &str| {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        (decode(name), decode(value))
    };
    let query = query.split('&').filter(|text| !text.is_empty()).map(pair).collect();
    Some(Request { method, path: decode(path), query, headers, body, connected })
}

/// Reads the headers and the body of a message.
fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(BTreeMap<String, String>, String)> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8(body).ok()?))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[at], code.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a new connection; `None` without a complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text +=
        &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, body))
}
