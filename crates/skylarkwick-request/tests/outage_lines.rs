//! Lines about long-running tasks without a run: each outage is told once, and few at a time.

mod harness;

use harness::{Harness, job_key, ms, server, step};
use skylarkwick_request::{
    job::Step,
    shard::{
        effect::Start,
        outage::{Cause, tracker::Tracker},
    },
};

fn long_running(count: u32, cores: u64) -> Step {
    Step { is_long_running: true, max_unavailable: 1, ..step(count, cores) }
}

/// A long-running task that runs on the server a.
fn with_running_task() -> (Harness, Start) {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![long_running(1, 4)]);
    let effects = harness.decide();
    let (_, start) = harness.confirm_starts(&effects).remove(0);
    harness.report("a", &[(start.task.clone(), start.run, 100)], &[]);
    assert_eq!(harness.shard.outages(harness.now).running, 1);
    (harness, start)
}

/// The outage of a task is told many times, or never, or without its end.
#[test]
fn told_once() {
    let (mut harness, start) = with_running_task();
    let last_report = harness.now;
    harness.set_servers(&["a", "b"]);
    harness.decide();
    let mut tracker = Tracker::default();
    let (mut begun, mut started) = (Vec::new(), None);
    while started.is_none() {
        harness.advance(200);
        harness.fail_poll("a");
        harness.report("b", &[], &[]);
        let effects = harness.decide();
        begun.extend(tracker.update(harness.now, &harness.shard).begun);
        started = harness.confirm_starts(&effects).pop();
        assert!(harness.now.since(last_report) < ms(12_000), "the run is never given up");
    }
    assert_eq!(begun.len(), 1);
    assert_eq!(begun[0].reason.cause, Cause::SilentServer);
    assert!(harness.now.since(last_report) > ms(3000));
    let back = harness.now;
    harness.advance(700);
    let ended = tracker.update(harness.now, &harness.shard).ended;
    assert_eq!(ended.len(), 1);
    assert_eq!((&ended[0].task, &ended[0].server), (&start.task, &Some(server("b"))));
    assert_eq!(ended[0].time, back.since(last_report));
    assert_eq!((ended[0].cause, ended[0].last), (Cause::SilentServer, Cause::UnansweredStart));
    assert!(tracker.update(harness.now, &harness.shard).ended.is_empty());
}

/// A task that was stopped by its caller stays among those that are followed.
#[test]
fn removed_job_forgotten() {
    let mut harness = Harness::with_servers(&[]);
    harness.submit("job", vec![long_running(1, 4)]);
    harness.decide();
    harness.advance(4000);
    let mut tracker = Tracker::default();
    assert_eq!(tracker.update(harness.now, &harness.shard).begun.len(), 1);
    harness.shard.remove_job(harness.now, &job_key("job"));
    let ended = tracker.update(harness.now, &harness.shard).ended;
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].server, None);
}

/// A fleet that is lost at once floods the log.
#[test]
fn output_bounded() {
    let mut harness = Harness::with_servers(&["a"]);
    for number in 0..200 {
        harness.submit(&format!("job-{number}"), vec![long_running(3, 65)]);
    }
    harness.decide();
    harness.advance(4000);
    let mut tracker = Tracker::default();
    let mut told = 0;
    for _ in 0..10 {
        harness.advance(1000);
        let report = tracker.update(harness.now, &harness.shard);
        assert!(report.begun.len() <= 16, "{}", report.begun.len());
        told += report.begun.len();
        assert_eq!(report.omitted, 200 - told);
        assert_eq!(report.outages.count(), 600);
    }
    assert_eq!(told, 64);
    for number in 0..200 {
        harness.shard.remove_job(harness.now, &job_key(&format!("job-{number}")));
    }
    let report = tracker.update(harness.now, &harness.shard);
    assert_eq!((report.ended.len(), report.omitted), (16, 48));
}
