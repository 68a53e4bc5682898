//! A call that is given up leaves nothing behind that may arrive later.

use std::{
    io::{ErrorKind, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use skylarkwick_connection::agent::{Agents, is_timeout};

const TIMEOUT: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_secs(15);

/// Reads what a caller sent, without an answer, until the connection ends.
fn end_of(mut connection: TcpStream) -> std::io::Result<usize> {
    connection.set_read_timeout(Some(PATIENCE))?;
    let mut sent = [0; 4096];
    loop {
        match connection.read(&mut sent) {
            Ok(0) => return Ok(0),
            Ok(_) => {}
            Err(error) => return Err(error),
        }
    }
}

#[test]
fn the_connection_is_reset() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let place = listener.local_addr().unwrap();
    let server = thread::spawn(move || end_of(listener.accept().unwrap().0));
    let (_, agent) = Agents::new(4).get(place);
    let call = agent.post(format!("http://{place}/order")).config();
    let outcome = call.timeout_global(Some(TIMEOUT)).build().send("order");
    assert!(is_timeout(&outcome.unwrap_err()));
    drop(agent);
    let end = server.join().unwrap().unwrap_err();
    assert_eq!(end.kind(), ErrorKind::ConnectionReset, "what is under way has to be discarded");
}
