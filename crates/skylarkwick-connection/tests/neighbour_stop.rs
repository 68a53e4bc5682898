//! Hand-overs to an entry host that stops: each is answered, or certainly not stored.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use skylarkwick_connection::{
    listen::{Drain, Limits, Request, Response, listen_within},
    neighbour::{Answer, Client, Neighbour, Submission},
    store::row::JobBody,
};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    log,
};
use skylarkwick_request::job::{Id, Job};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Far longer than anything here takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an entry host that stores whatever it is handed.
fn start(drain: Drain, stop: &StopSignal) -> (Neighbour, Duty) {
    let handler = |_: &Request| Response::empty(Answer::Stored.status());
    let limits = Limits { drain, ..Limits::default() };
    let (address, duty) =
        listen_within(limits, "neighbours", ANY_PORT, handler, &log::discard(), stop.clone())
            .unwrap();
    let [entry, data_centre, token] = ["front-1", "here", "token"].map(Arc::from);
    (Neighbour { entry, data_centre, address, token }, duty)
}

fn hand_over(client: &Client, neighbour: &Neighbour) -> Answer {
    let job = Job { spec: "text".into(), steps: Vec::new(), schedule: None };
    let submission = Submission {
        queue: "r-1".into(),
        id: Id::new("5c0e7a21d94b36f8"),
        workspace: None,
        body: JobBody::from(&job),
        settings: None,
        time_left: TIMEOUT,
    };
    client.hand_over(neighbour, &submission)
}

/// Returns whether the duty ends within [`TIMEOUT`].
fn ends(duty: Duty) -> bool {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(duty.join()));
    receiver.recv_timeout(TIMEOUT).unwrap_or(false)
}

// A hand-over on the idle connection to an entry host that had stopped left its job in doubt.
#[test]
fn closed_connection_noticed() {
    let stop = StopSignal::default();
    let (neighbour, duty) = start(Drain::IMMEDIATE, &stop);
    let client = Client::default();
    assert_eq!(hand_over(&client, &neighbour), Answer::Stored);
    stop.request();
    assert!(ends(duty));
    assert_eq!(hand_over(&client, &neighbour), Answer::NotStored);
}

// An entry host that drains has to take what is still handed over to it.
#[test]
fn draining_neighbour_answers() {
    let stop = StopSignal::default();
    let drain = Drain { idle_timeout: Duration::from_secs(3600), ..Drain::IMMEDIATE };
    let (neighbour, duty) = start(drain, &stop);
    let client = Client::default();
    assert_eq!(hand_over(&client, &neighbour), Answer::Stored);
    stop.request();
    assert_eq!(hand_over(&client, &neighbour), Answer::Stored);
    drop(client);
    assert!(ends(duty));
}
