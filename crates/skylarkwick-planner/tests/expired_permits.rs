//! A holder that was paused between a decision and its call makes the call only if its
//! permission to act for the shard is still valid.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use skylarkwick_connection::control::{Orders, PollError};
use skylarkwick_planner::jobs::permit::{Client, Permit};
use skylarkwick_process::clock::{Clock, Manual};
use skylarkwick_request::{
    job::{self, task},
    shard::{
        effect::{Start, Target},
        input::{OrderResult, RejectReason, ServerId, StatusReport},
    },
};
use skylarkwick_version::{moment::Moment, shard_lease::MAX_RENEWAL_GAP};

const STEP: Duration = Duration::from_millis(1);

/// A backend server that records the names of the calls that reach it.
#[derive(Clone, Debug, Default)]
struct Recorder {
    calls: Arc<Mutex<Vec<&'static str>>>,
}

impl Recorder {
    fn record(&self, call: &'static str) {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    }

    fn calls(&self) -> Vec<&'static str> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Orders for Recorder {
    fn start(&self, _: &Target, _: &Start) -> OrderResult {
        self.record("start");
        OrderResult::Unknown
    }

    fn stop(&self, _: &Target, _: &task::Id, _: task::RunId) -> OrderResult {
        self.record("stop");
        OrderResult::Unknown
    }

    fn pace(&self, _: &Target, _: &task::Id, _: task::RunId, _: u32) -> OrderResult {
        self.record("pace");
        OrderResult::Unknown
    }

    fn poll(
        &self,
        _: &Target,
        _: Option<u64>,
        _: u64,
        _: Duration,
    ) -> Result<StatusReport, PollError> {
        self.record("poll");
        Err(PollError::NoResponse("recorded".to_owned()))
    }
}

/// Makes each of the four calls.
fn call_all(client: &Client<Recorder, Manual>) -> [OrderResult; 3] {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let target =
        Target { server: ServerId(Arc::from("a")), incarnation_ms: 7, address, fencing_token: 1 };
    let job = job::Id::new("00000000000000aa");
    let task = task::Id { job, occurrence: 0, step: 0, index: 0 };
    let run = task::RunId::first_of_term(1);
    let (spec, checkpoint) = (Arc::from("work"), Arc::from(""));
    let start = Start { task: task.clone(), run, spec, until_ms: u64::MAX, checkpoint };
    let poll = client.poll(&target, Some(1), 0, Duration::ZERO);
    assert!(poll.is_err());
    [
        client.start(&target, &start),
        client.stop(&target, &task, run),
        client.pace(&target, &task, run, 50),
    ]
}

#[test]
fn valid_permit_calls() {
    let (clock, recorder) = (Manual::default(), Recorder::default());
    let client = Client::new(recorder.clone(), Permit::new(clock.clone(), clock.now()));
    clock.advance(MAX_RENEWAL_GAP - STEP);
    call_all(&client);
    assert_eq!(recorder.calls(), ["poll", "start", "stop", "pace"]);
}

#[test]
fn paused_holder_silent() {
    let (clock, recorder) = (Manual::default(), Recorder::default());
    let client = Client::new(recorder.clone(), Permit::new(clock.clone(), clock.now()));
    clock.advance(MAX_RENEWAL_GAP);
    let results = call_all(&client);
    assert!(recorder.calls().is_empty(), "its lease ran out while it was paused");
    let not_sent = OrderResult::Refused(RejectReason::NotSent, None);
    assert_eq!(results, [not_sent, not_sent, not_sent]);
}

#[test]
fn confirmed_renewal_extends() {
    let (clock, recorder) = (Manual::default(), Recorder::default());
    let permit = Permit::new(clock.clone(), Moment::ZERO);
    let client = Client::new(recorder.clone(), permit.clone());
    clock.advance(MAX_RENEWAL_GAP);
    permit.extend(clock.now() - STEP);
    call_all(&client);
    assert_eq!(recorder.calls().len(), 4);
}

#[test]
fn lost_lease_stays_lost() {
    let (clock, recorder) = (Manual::default(), Recorder::default());
    let permit = Permit::new(clock.clone(), clock.now());
    let client = Client::new(recorder.clone(), permit.clone());
    permit.revoke();
    permit.extend(clock.now());
    call_all(&client);
    assert!(recorder.calls().is_empty(), "a late confirmation does not bring the lease back");
}
