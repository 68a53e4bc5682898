//! Requests are sent in one write, whatever their head and body are made of.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use skylarkwick_connection::agent::Agents;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const CALLS: usize = 100;
/// Size of a body that needs many writes, in bytes.
const LARGE_BODY_BYTES: usize = 8 << 20;
/// Response without a body, after which the connection stays open.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Accepts a connection of calls that `server` answers, and makes `calls` with this body.
fn call<T: Send + 'static>(
    server: fn(TcpStream) -> T,
    calls: usize,
    body: &str,
) -> thread::Result<T> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || server(listener.accept().unwrap().0));
    let (_, agent) = Agents::new(4).get(address);
    for _ in 0..calls {
        let request = agent.post(format!("http://{address}/order")).config();
        request.timeout_global(Some(CALL_TIMEOUT)).build().send(body).unwrap();
    }
    drop(agent);
    server.join()
}

/// Guards against a write of its own for the head and the body, which costs a system call
/// here and a wake-up at the other end.
#[test]
fn request_sent_at_once() {
    let serve = |mut connection: TcpStream| {
        let mut request = [0; 4096];
        let mut complete = 0;
        while let Ok(bytes @ 1..) = connection.read(&mut request) {
            complete += usize::from(request[..bytes].ends_with(b"\r\n\r\n{\"task\":1}"));
            if request[..bytes].ends_with(b"{\"task\":1}") {
                connection.write_all(RESPONSE).unwrap();
            }
        }
        complete
    };
    let complete = call(serve, CALLS, "{\"task\":1}").unwrap();
    assert_eq!(complete, CALLS, "requests whose first read returned all of them");
}

/// Guards against a loss of what the system can't take at once.
#[test]
fn large_body_complete() {
    let serve = |mut connection: TcpStream| {
        let mut request = vec![0; 1 << 16];
        let (mut received, mut is_answered) = (0, false);
        while let Ok(bytes @ 1..) = connection.read(&mut request) {
            received += request[..bytes].iter().filter(|&&byte| byte == b'#').count();
            if received >= LARGE_BODY_BYTES && !is_answered {
                is_answered = true;
                connection.write_all(RESPONSE).unwrap();
            }
        }
        received
    };
    let received = call(serve, 1, &"#".repeat(LARGE_BODY_BYTES)).unwrap();
    assert_eq!(received, LARGE_BODY_BYTES);
}
