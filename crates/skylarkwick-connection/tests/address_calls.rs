//! Calls to IP addresses, for which nothing is looked up.

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use skylarkwick_connection::agent::{Agents, was_not_sent};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against the resolver of the system, which needs a thread for each call with a
/// timeout; a call panics if that thread can't be started.
#[test]
fn names_not_looked_up() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let (_, agent) = Agents::new(4).get(address);
    let request = agent.get(format!("http://localhost:{}/", address.port())).config();
    let error = request.timeout_global(Some(CALL_TIMEOUT)).build().call().unwrap_err();
    assert!(matches!(error, ureq::Error::HostNotFound), "{error}");
    assert!(was_not_sent(&error));
}
