//! Stop of a listener without a drain: requests that have begun to arrive are answered, no other
//! is read, and the duty ends.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use skylarkwick_connection::listen::{Response, listen};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    log,
};

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const MAX_THREADS: usize = 8;
const CLIENTS: usize = 24;
/// Far longer than anything here takes; a listener that never closes a connection or never
/// ends fails the test after this time.
const TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: test\r\n\r\n";
const ANSWER_END: &[u8] = b"answer";

/// A listener whose handler answers at once.
fn listener(stop: &StopSignal) -> (SocketAddr, Duty) {
    let handler = |_: &_| Response::text("answer");
    listen("test", ANY_PORT, MAX_THREADS, handler, &log::discard(), stop.clone()).unwrap()
}

/// A listener whose handler announces each request and answers it once released.
struct Blocked {
    address: SocketAddr,
    duty: Duty,
    entered: mpsc::Receiver<()>,
    release: mpsc::Sender<()>,
}

impl Blocked {
    fn start(stop: &StopSignal) -> Blocked {
        let (entered_sender, entered) = mpsc::channel();
        let (release, released) = mpsc::channel::<()>();
        let entered_sender = Mutex::new(entered_sender);
        let released = Mutex::new(released);
        let handler = move |_: &_| {
            entered_sender.lock().unwrap().send(()).unwrap();
            released.lock().unwrap().recv().unwrap();
            Response::text("answer")
        };
        let (address, duty) =
            listen("test", ANY_PORT, MAX_THREADS, handler, &log::discard(), stop.clone()).unwrap();
        Blocked { address, duty, entered, release }
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let connection = TcpStream::connect(address).unwrap();
    connection.set_read_timeout(Some(TIMEOUT)).unwrap();
    connection
}

/// Reads one answer; returns an error of kind `UnexpectedEof` if the connection ends first.
fn read_answer(connection: &mut TcpStream) -> io::Result<String> {
    let mut answer = Vec::new();
    while !answer.ends_with(ANSWER_END) {
        let mut byte = [0];
        connection.read_exact(&mut byte)?;
        answer.push(byte[0]);
    }
    Ok(String::from_utf8(answer).unwrap())
}

fn exchange(connection: &mut TcpStream) -> io::Result<String> {
    connection.write_all(REQUEST)?;
    read_answer(connection)
}

/// Returns whether the connection ended, as opposed to staying open without an answer.
fn is_closed(error: &io::Error) -> bool {
    !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Returns whether the duty ends within [`TIMEOUT`].
fn ends(duty: Duty) -> bool {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(duty.join()));
    receiver.recv_timeout(TIMEOUT).unwrap_or(false)
}

// A listener went on for as long as requests kept coming, until its process was killed
// with requests in progress.
#[test]
fn steady_requests_end() {
    let stop = StopSignal::default();
    let handled_count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&handled_count);
    let handler = move |_: &_| {
        counter.fetch_add(1, Ordering::SeqCst);
        Response::text("answer")
    };
    let (address, duty) =
        listen("test", ANY_PORT, MAX_THREADS, handler, &log::discard(), stop.clone()).unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let (first_sender, first_answers) = mpsc::channel();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (is_over, first_sender) = (Arc::clone(&is_over), first_sender.clone());
            thread::spawn(move || exchange_until_closed(address, &first_sender, &is_over))
        })
        .collect();
    for _ in 0..CLIENTS {
        first_answers.recv_timeout(TIMEOUT).unwrap();
    }
    stop.request();
    let has_ended = ends(duty);
    // A client of a listener that ends runs until its connection does.
    is_over.store(!has_ended, Ordering::SeqCst);
    let answered_counts: Vec<_> =
        clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(has_ended, "the listener goes on while requests keep coming");
    let answered_counts: Option<Vec<usize>> = answered_counts.into_iter().collect();
    let answered_counts = answered_counts.expect("every connection is closed");
    assert_eq!(answered_counts.iter().sum::<usize>(), handled_count.load(Ordering::SeqCst));
}

/// Sends requests one after another on a connection until it is closed, and returns the
/// number of answers; `None` if it stays open without an answer or `is_over` is set.
fn exchange_until_closed(
    address: SocketAddr,
    first_sender: &mpsc::Sender<()>,
    is_over: &AtomicBool,
) -> Option<usize> {
    let mut connection = connect(address);
    let mut answered_count = 0;
    while !is_over.load(Ordering::SeqCst) {
        match exchange(&mut connection) {
            Ok(_) => answered_count += 1,
            Err(error) => return is_closed(&error).then_some(answered_count),
        }
        if answered_count == 1 {
            first_sender.send(()).unwrap();
        }
    }
    None
}

// Requests that arrived on an open connection after the listener had ended were read and
// never answered.
#[test]
fn late_request_unread() {
    let stop = StopSignal::default();
    let (address, duty) = listener(&stop);
    let mut connection = connect(address);
    exchange(&mut connection).unwrap();
    stop.request();
    assert!(ends(duty));
    let result = exchange(&mut connection);
    assert!(
        result.is_err_and(|error| is_closed(&error)),
        "a request after the end is neither answered nor is its connection closed"
    );
}

// A request that was being handled at the stop has to be answered, and the client has to
// learn that the connection ends.
#[test]
fn handled_request_answered() {
    let stop = StopSignal::default();
    let listener = Blocked::start(&stop);
    let mut connection = connect(listener.address);
    connection.write_all(REQUEST).unwrap();
    listener.entered.recv_timeout(TIMEOUT).unwrap();
    stop.request();
    // The listener has seen the stop once it takes no new connections.
    wait_until_refused(listener.address);
    listener.release.send(()).unwrap();
    let answer = read_answer(&mut connection).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
    assert_eq!(connection.read(&mut [0]).unwrap(), 0, "the connection stays open");
    assert!(ends(listener.duty));
}

// A request whose body was still arriving at the stop has to be answered.
#[test]
fn half_read_request_answered() {
    let stop = StopSignal::default();
    let (address, duty) = listener(&stop);
    let mut connection = connect(address);
    let head =
        b"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n";
    connection.write_all(head).unwrap();
    let mut interim = Vec::new();
    while !interim.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        connection.read_exact(&mut byte).unwrap();
        interim.push(byte[0]);
    }
    stop.request();
    wait_until_refused(address);
    connection.write_all(b"body").unwrap();
    let answer = read_answer(&mut connection).unwrap();
    assert!(answer.contains("HTTP/1.1 200"), "{answer}");
    assert!(ends(duty));
}

// A caller that had sent a part of its next request's head lost it, as its connection was taken
// for an idle one.
#[test]
fn half_head_answered() {
    let stop = StopSignal::default();
    let (address, duty) = listener(&stop);
    let mut connection = connect(address);
    exchange(&mut connection).unwrap();
    let (first, rest) = REQUEST.split_at(REQUEST.len() / 2);
    connection.write_all(first).unwrap();
    stop.request();
    wait_until_refused(address);
    connection.write_all(rest).unwrap();
    let answer = read_answer(&mut connection).expect("an answer to a request half sent");
    assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
    assert!(ends(duty));
}

// A chunked body that was still arriving at the stop has to be read on.
#[test]
fn half_chunks_answered() {
    let stop = StopSignal::default();
    let (address, duty) = listener(&stop);
    let mut connection = connect(address);
    exchange(&mut connection).unwrap();
    let head = b"POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo";
    connection.write_all(head).unwrap();
    stop.request();
    wait_until_refused(address);
    connection.write_all(b"dy\r\n0\r\n\r\n").unwrap();
    let answer = read_answer(&mut connection).expect("an answer to a request half sent");
    assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
    assert!(ends(duty));
}

// A request sent ahead made the close a reset, which may take the answer before it away.
#[test]
fn request_ahead_unread() {
    let stop = StopSignal::default();
    let listener = Blocked::start(&stop);
    let mut connection = connect(listener.address);
    connection.write_all(REQUEST).unwrap();
    listener.entered.recv_timeout(TIMEOUT).unwrap();
    connection.write_all(REQUEST).unwrap();
    stop.request();
    wait_until_refused(listener.address);
    listener.release.send(()).unwrap();
    let answer = read_answer(&mut connection).unwrap();
    assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
    let end = connection.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "the connection does not end in order: {end:?}");
    drop(connection);
    assert!(ends(listener.duty));
    assert!(listener.entered.try_recv().is_err(), "a request sent ahead was handled");
}

// A client that never completes its request must not keep a stopping process alive.
#[test]
fn incomplete_request_given_up() {
    let stop = StopSignal::default();
    let (address, duty) = listener(&stop);
    let mut connection = connect(address);
    exchange(&mut connection).unwrap();
    connection
        .write_all(b"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 9000\r\n\r\nstart")
        .unwrap();
    stop.request();
    assert!(ends(duty), "the listener waits for an incomplete request");
}

fn wait_until_refused(address: SocketAddr) {
    let attempts = TIMEOUT.as_millis() / 10;
    for _ in 0..attempts {
        if TcpStream::connect(address).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("the listener still takes connections");
}
