//! Calls that time out: the connection is reset, so that nothing in transit arrives
//! later.

use std::{
    io::{ErrorKind, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use skylarkwick_connection::agent::{Agents, is_timeout};

const CALL_TIMEOUT: Duration = Duration::from_millis(50);
const RESET_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads from the connection until it ends, without answering.
fn read_to_end(mut connection: TcpStream) -> std::io::Result<usize> {
    connection.set_read_timeout(Some(RESET_TIMEOUT))?;
    let mut buffer = [0; 4096];
    loop {
        match connection.read(&mut buffer) {
            Ok(0) => return Ok(0),
            Ok(_) => {}
            Err(error) => return Err(error),
        }
    }
}

#[test]
fn timeout_resets_connection() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || read_to_end(listener.accept().unwrap().0));
    let (_, agent) = Agents::new(4).get(address);
    let request = agent.post(format!("http://{address}/order")).config();
    let outcome = request.timeout_global(Some(CALL_TIMEOUT)).build().send("order");
    assert!(is_timeout(&outcome.unwrap_err()));
    drop(agent);
    let error = server.join().unwrap().unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset, "data in transit has to be discarded");
}
