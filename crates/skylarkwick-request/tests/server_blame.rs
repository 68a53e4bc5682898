//! Blame for failures: a server is kept out of use only for what is its own fault.

mod harness;

use harness::{Harness, finished_run, job_key, server, starts, step, stops, task};
use skylarkwick_request::{
    job::task::RunOutcome,
    shard::{
        effect::Effect,
        input::{OrderResult, RejectReason},
    },
};

const SERVERS: [&str; 2] = ["a", "b"];

/// Ends of runs that each server has reported.
#[derive(Default)]
struct Ends {
    counts: [u64; SERVERS.len()],
}

impl Ends {
    /// Confirms the starts among the effects, and lets each of these runs end at once with
    /// the outcome that `outcome` gives for its job and server.
    fn run(
        &mut self,
        harness: &mut Harness,
        effects: &[Effect],
        outcome: impl Fn(&str, &str) -> RunOutcome,
    ) {
        for (server, start) in harness.confirm_starts(effects) {
            let number = SERVERS.iter().position(|name| **name == *server.0).expect("a server");
            self.counts[number] += 1;
            let outcome = outcome(start.task.job.as_str(), &server.0);
            let end = finished_run(self.counts[number], start.task, start.run, outcome);
            harness.report(&server.0, &[], &[end]);
        }
    }
}

/// Returns the names of the servers on which the effects start tasks.
fn started_on(effects: &[Effect]) -> Vec<String> {
    let mut names: Vec<String> =
        starts(effects).iter().map(|(server, _)| server.0.to_string()).collect();
    names.sort();
    names
}

/// Guards against LOST and SHORT: jobs that can never be done closed the servers of a pool.
#[test]
fn hopeless_jobs_excused() {
    let mut harness = Harness::with_servers(&SERVERS);
    let mut ends = Ends::default();
    for number in 0..4 {
        harness.submit(&format!("hopeless-{number}"), vec![step(1, 4)]);
        // The first run and the second, which is on the other server.
        for _ in 0..2 {
            let effects = harness.decide();
            assert_eq!(starts(&effects).len(), 1, "job {number} gets both of its attempts");
            ends.run(&mut harness, &effects, |_, _| RunOutcome::Failed);
        }
    }
    harness.submit("sound", vec![step(2, 40)]);
    assert_eq!(started_on(&harness.decide()), SERVERS);
}

/// Guards against a failing server that keeps its work: its failures are its own when the
/// same tasks succeed elsewhere.
#[test]
fn failing_server_avoided() {
    let mut harness = Harness::with_servers(&SERVERS);
    let mut ends = Ends::default();
    let outcome = |_: &str, server: &str| match server {
        "a" => RunOutcome::Failed,
        _ => RunOutcome::Done,
    };
    // Two tasks of 40 cores need both servers.
    for number in 0..2 {
        harness.submit(&format!("job-{number}"), vec![step(2, 40)]);
        for _ in 0..2 {
            let effects = harness.decide();
            ends.run(&mut harness, &effects, outcome);
        }
    }
    harness.submit("next", vec![step(2, 40)]);
    assert_eq!(started_on(&harness.decide()), ["b"]);
}

/// Guards against SHORT: failures that lie far apart, with successes in between, closed a
/// server.
#[test]
fn success_clears_failures() {
    let mut harness = Harness::with_servers(&["a"]);
    let mut ends = Ends::default();
    for (job, outcome) in
        [("bad-0", RunOutcome::Failed), ("good", RunOutcome::Done), ("bad-1", RunOutcome::Failed)]
    {
        harness.submit(job, vec![step(1, 4)]);
        let effects = harness.decide();
        let result = |name: &str, _: &str| match name == job {
            true => outcome,
            false => RunOutcome::Done,
        };
        ends.run(&mut harness, &effects, result);
    }
    harness.submit("next", vec![step(1, 4)]);
    assert!(!starts(&harness.decide()).is_empty(), "one task has failed since the success");
}

/// Guards against SHORT: one moment of overload, with several orders in flight, closed a
/// server for the longest backoff.
#[test]
fn rejections_counted_once() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(6, 4)]);
    let effects = harness.decide();
    let started = starts(&effects);
    assert_eq!(started.len(), 6);
    for (server, start) in started {
        let result = OrderResult::Refused(RejectReason::Unavailable, None);
        harness.shard.handle_start_result(harness.now, &server, &start.task, start.run, result);
    }
    harness.report("a", &[], &[]);
    assert!(starts(&harness.decide()).is_empty(), "the server backs off");
    harness.advance(2000);
    harness.report("a", &[], &[]);
    assert_eq!(starts(&harness.decide()).len(), 6, "after the first backoff");
}

/// Guards against SHORT: a holder with too many orders to send took servers out of use.
#[test]
fn unsent_orders_excused() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let (id, start) = starts(&effects).remove(0);
    assert_eq!(id, server("a"));
    assert_eq!(start.task, task("job", 0, 0));
    let result = OrderResult::Refused(RejectReason::NotSent, None);
    harness.shard.handle_start_result(harness.now, &id, &start.task, start.run, result);
    assert_eq!(starts(&harness.decide()).len(), 1, "the server has rejected nothing");
}

/// Guards against a run that goes on because the holder had too many orders to send its
/// stop: the stop is sent again soon, not as if the server had acknowledged it.
#[test]
fn unsent_stop_repeated() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    harness.confirm_starts(&effects);
    harness.shard.remove_job(harness.now, &job_key("job"));
    let (id, task, run) = stops(&harness.decide()).remove(0);
    let result = OrderResult::Refused(RejectReason::NotSent, None);
    harness.shard.handle_stop_result(harness.now, &id, &task, run, result);
    harness.advance(400);
    assert_eq!(stops(&harness.decide()).len(), 1);
}
