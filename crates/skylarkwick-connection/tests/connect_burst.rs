//! Listener: of many connections opened at once, each gets a response.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use skylarkwick_connection::listen::{Response, listen};
use skylarkwick_process::{duty::StopSignal, log};

const CONNECTIONS: usize = 60;
const ROUNDS: usize = 2;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: test\r\n\r\n";

#[test]
fn all_connections_answered() {
    let mut unanswered = 0;
    for _ in 0..ROUNDS {
        let stop = StopSignal::default();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = |_: &_| Response::text("here");
        let (address, _) =
            listen("test", address, 256, handler, &log::discard(), stop.clone()).unwrap();
        let mut connections: Vec<TcpStream> =
            (0..CONNECTIONS).map(|_| TcpStream::connect(address).unwrap()).collect();
        for connection in &mut connections {
            connection.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
            connection.write_all(REQUEST).unwrap();
        }
        // No connection is closed before all have been answered.
        unanswered += connections
            .iter_mut()
            .filter_map(|connection| connection.read(&mut [0; 64]).err())
            .count();
        stop.request();
    }
    assert_eq!(unanswered, 0, "unanswered connections of {}", CONNECTIONS * ROUNDS);
}
