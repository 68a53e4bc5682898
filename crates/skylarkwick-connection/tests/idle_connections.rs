//! Idle connections: reused while they are open, and replaced once they are not.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

use skylarkwick_connection::agent::Agents;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Response without a body, after which the connection stays open.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// What the server does with a connection after its first response.
#[derive(Clone, Copy)]
enum AfterResponse {
    KeepOpen,
    Close,
    SendMore,
}

/// Starts a server; the receiver gets the number of the connection of each request, and
/// nothing more is sent on that connection after that.
fn start_server(after_response: AfterResponse) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, received) = channel();
    thread::spawn(move || {
        for (number, connection) in listener.incoming().enumerate() {
            let requests = requests.clone();
            let respond = move || requests.send(number).unwrap();
            thread::spawn(move || serve(&connection.unwrap(), after_response, respond));
        }
    });
    (address, received)
}

/// Responds to the requests on a connection, and calls `report` after each.
fn serve(mut connection: &TcpStream, after_response: AfterResponse, report: impl Fn()) {
    let mut request = [0; 4096];
    while connection.read(&mut request).is_ok_and(|bytes| bytes > 0) {
        connection.write_all(RESPONSE).unwrap();
        match after_response {
            AfterResponse::KeepOpen => {}
            AfterResponse::Close => connection.shutdown(std::net::Shutdown::Both).unwrap(),
            AfterResponse::SendMore => connection.write_all(RESPONSE).unwrap(),
        }
        report();
    }
}

/// Makes two calls, one after another, and returns the numbers of their connections.
fn call_twice(after_response: AfterResponse) -> [usize; 2] {
    let (address, requests) = start_server(after_response);
    let (_, agent) = Agents::new(4).get(address);
    [(); 2].map(|()| {
        let request = agent.get(format!("http://{address}/")).config();
        request.timeout_global(Some(CALL_TIMEOUT)).build().call().unwrap();
        requests.recv_timeout(CALL_TIMEOUT).unwrap()
    })
}

/// Guards against a new connection for each call.
#[test]
fn open_connection_reused() {
    assert_eq!(call_twice(AfterResponse::KeepOpen), [0, 0]);
}

/// Guards against a request on a connection that the other end has closed, which is lost.
#[test]
fn closed_connection_replaced() {
    assert_eq!(call_twice(AfterResponse::Close), [0, 1]);
}

/// Guards against a response that belongs to an earlier request.
#[test]
fn unread_response_discarded() {
    assert_eq!(call_twice(AfterResponse::SendMore), [0, 1]);
}
