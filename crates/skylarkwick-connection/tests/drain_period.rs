//! Drain of a listener: the decisions in virtual time, and what callers on open connections see.

use std::{
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use skylarkwick_connection::listen::{
    Drain, Limits, Request, Response,
    drain::{Step, is_closed_in},
    gate::Phase,
    listen_within,
};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    log,
};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Far longer than anything here takes; a connection that neither answers nor ends fails the test
/// after this time.
const TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: test\r\n\r\n";
const ANSWER_END: &[u8] = b"answer";
/// Ends only with its last connection.
const ENDLESS: Drain = Drain {
    accept_period: Duration::ZERO,
    idle_timeout: Duration::from_secs(3600),
    transfer_timeout: TIMEOUT,
};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// A stop has to end at its time whoever is connected, and no sooner than callers are routed away.
#[test]
fn steps_by_time() {
    let drain = Drain { accept_period: seconds(2), idle_timeout: seconds(4), ..Drain::IMMEDIATE };
    for (elapsed, connections, expected) in [
        (0, 0, Step::Serve(seconds(2))),
        (1, 9, Step::Serve(seconds(1))),
        (2, 0, Step::Close),
        (2, 1, Step::Serve(seconds(2))),
        (3, 9, Step::Serve(seconds(1))),
        (4, 9, Step::Close),
        (9, 9, Step::Close),
    ] {
        assert_eq!(drain.step(seconds(elapsed), connections), expected, "at {elapsed} s");
    }
    assert_eq!(Drain::IMMEDIATE.step(seconds(0), 9), Step::Close);
}

// Only a connection without a request may be closed without a response.
#[test]
fn requests_kept() {
    use Phase::{Body, Handling, Head, Idle};
    let phases = [Idle, Head, Body, Handling, Phase::Response];
    assert_eq!(phases.map(is_closed_in), [true, false, false, false, false]);
}

fn listener(drain: Drain, stop: &StopSignal) -> (SocketAddr, Duty) {
    let limits = Limits { drain, ..Limits::default() };
    let handler = |_: &Request| Response::text("answer");
    listen_within(limits, "test", ANY_PORT, handler, &log::discard(), stop.clone()).unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let connection = TcpStream::connect(address).unwrap();
    connection.set_read_timeout(Some(TIMEOUT)).unwrap();
    connection
}

fn exchange(connection: &mut TcpStream) -> String {
    connection.write_all(REQUEST).unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(ANSWER_END) {
        let mut byte = [0];
        connection.read_exact(&mut byte).expect("an answer");
        answer.push(byte[0]);
    }
    String::from_utf8(answer).unwrap().to_ascii_lowercase()
}

/// Exchanges requests on a connection, as a caller does who is told nothing, until an answer says
/// that the connection ends.
fn exchange_until_told(connection: &mut TcpStream) {
    while !exchange(connection).contains("connection: close") {}
    assert_eq!(connection.read(&mut [0]).unwrap(), 0, "the connection stays open");
}

/// Returns whether the duty ends within [`TIMEOUT`].
fn ends(duty: Duty) -> bool {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(duty.join()));
    receiver.recv_timeout(TIMEOUT).unwrap_or(false)
}

// Callers on idle connections lost the next request at each stop.
#[test]
fn idle_connections_served() {
    let stop = StopSignal::default();
    let (address, duty) = listener(ENDLESS, &stop);
    let mut connections: Vec<_> = (0..4).map(|_| connect(address)).collect();
    connections.iter_mut().for_each(|connection| drop(exchange(connection)));
    stop.request();
    for connection in &mut connections {
        exchange_until_told(connection);
    }
    assert!(ends(duty), "the listener goes on without connections");
}

// Callers that the platform still sent to a draining listener were refused.
#[test]
fn new_connections_taken() {
    let stop = StopSignal::default();
    let (address, duty) = listener(ENDLESS, &stop);
    let mut open = connect(address);
    exchange(&mut open);
    stop.request();
    // The second caller connects after the first was told.
    let mut other = connect(address);
    exchange_until_told(&mut other);
    exchange_until_told(&mut open);
    assert!(ends(duty));
}

// A caller that says nothing must not keep a stopping process alive.
#[test]
fn silent_callers_closed() {
    let stop = StopSignal::default();
    let drain = Drain { idle_timeout: Duration::from_millis(1), ..ENDLESS };
    let (address, duty) = listener(drain, &stop);
    let (mut idle, mut new) = (connect(address), connect(address));
    exchange(&mut idle);
    stop.request();
    assert!(ends(duty));
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    // It was closed, or reset if it had not been accepted.
    assert!(!matches!(new.read(&mut [0]), Ok(1..)));
}
