//! Requests that are answered by their heads alone: whether their connections go on.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use skylarkwick_connection::listen::{
    Admission, Handler, Head, Limits, Request, Response, listen_within,
};
use skylarkwick_process::{duty::StopSignal, log};

/// Longest wait for a response, after which the test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers each POST by its head, and other requests once they are read.
struct HeadOnly;

impl Handler for HeadOnly {
    type Ticket = ();

    fn admit(&self, head: &Head) -> Admission<()> {
        match head.method() {
            "POST" => Admission::Answer(Response::empty(404)),
            _ => Admission::Read { ticket: (), max_body_bytes: 10, busy_status: 503 },
        }
    }

    fn handle(&self, _request: &Request, (): ()) -> Response {
        Response::empty(200)
    }
}

fn connect(stop: &StopSignal) -> BufReader<TcpStream> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (address, _) =
        listen_within(Limits::default(), "test", any_port, HeadOnly, &log::discard(), stop.clone())
            .expect("a free port");
    let stream = TcpStream::connect(address).expect("a listener");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a valid timeout");
    BufReader::new(stream)
}

/// Sends a request, or a part of one, and returns the head of its response.
fn call(stream: &mut BufReader<TcpStream>, request: &str) -> String {
    stream.get_mut().write_all(request.as_bytes()).expect("an open connection");
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let read = stream.read_line(&mut head).expect("a response");
        assert!(read > 0, "the connection ends after {head:?}");
    }
    head
}

fn closes(head: &str) -> bool {
    head.to_ascii_lowercase().contains("connection: close")
}

/// Guards against callers that have to connect anew after each refusal.
#[test]
fn arrived_body_discarded() {
    let stop = StopSignal::default();
    let mut stream = connect(&stop);
    for _ in 0..3 {
        let head = call(&mut stream, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
        assert!(head.starts_with("HTTP/1.1 404 ") && !closes(&head), "{head}");
    }
    let head = call(&mut stream, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    stop.request();
}

/// Guards against a next request without an answer: the connection ended after a response that
/// had not said so.
#[test]
fn end_announced() {
    let stop = StopSignal::default();
    let missing = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n";
    let chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n";
    let awaited =
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n";
    let too_large = "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n";
    for request in [missing, chunked, awaited, too_large] {
        let head = call(&mut connect(&stop), request);
        assert!(head.starts_with("HTTP/1.1 4") && closes(&head), "{request}: {head}");
    }
    stop.request();
}
