//! Unreachable servers: their runs are given up only once they have certainly ended.

mod harness;

use harness::{Harness, ms, server, starts, step, stops, task};
use skylarkwick_request::{
    job::task::RunId,
    shard::{
        effect::{Change, Effect},
        input::{ClockReading, OrderResult, RejectReason, RunStatus, StatusReport},
    },
};

/// Starts a task on one of two servers; returns the shard and the server's name.
fn with_started_task() -> (Harness, String) {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    let name = started[0].0.0.to_string();
    (harness, name)
}

fn other_server(name: &str) -> &'static str {
    if name == "a" { "b" } else { "a" }
}

#[test]
fn expired_lease_released() {
    let (mut harness, name) = with_started_task();
    for _ in 0..24 {
        harness.advance(250);
        harness.fail_poll(&name);
        harness.report(other_server(&name), &[], &[]);
        let effects = harness.decide();
        if let [(server_id, start)] = &starts(&effects)[..] {
            assert_eq!(&*server_id.0, other_server(&name));
            assert_eq!(start.task, task("job", 0, 0));
            return;
        }
    }
    panic!("unanswered polls renewed the lease");
}

#[test]
fn valid_lease_kept() {
    let (mut harness, name) = with_started_task();
    harness.advance(4000);
    harness.fail_poll(&name);
    harness.report(other_server(&name), &[], &[]);
    assert!(starts(&harness.decide()).is_empty());
}

#[test]
fn unconfirmed_releases_nothing() {
    let (mut harness, name) = with_started_task();
    harness.advance(8000);
    harness.fail_poll(&name);
    harness.report(other_server(&name), &[], &[]);
    assert!(starts(&harness.decide_unconfirmed()).is_empty(), "another holder may renew the lease");
    assert_eq!(starts(&harness.decide()).len(), 1);
}

#[test]
fn unreachable_not_renewed() {
    let (mut harness, name) = with_started_task();
    harness.advance(1000);
    harness.fail_poll(&name);
    harness.now = harness.now + ms(300);
    let renewed = harness.decide().into_iter().any(|effect| match effect {
        Effect::Poll { target, lease_until_ms, .. } => {
            *target.server.0 == *name && lease_until_ms.is_some()
        }
        _ => false,
    });
    assert!(!renewed);
}

#[test]
fn unanswered_start_stopped() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4)]);
    let (server_id, start) = starts(&harness.decide()).remove(0);
    harness.shard.handle_start_result(
        harness.now,
        &server_id,
        &start.task,
        start.run,
        OrderResult::Unknown,
    );
    let effects = harness.decide();
    assert_eq!(stops(&effects), [(server_id.clone(), start.task.clone(), start.run)]);
    assert!(starts(&effects).is_empty());
    // The stop is acknowledged, and a later report shows that nothing runs there.
    harness.shard.handle_stop_result(
        harness.now,
        &server_id,
        &start.task,
        start.run,
        OrderResult::Done(harness.reading()),
    );
    assert!(starts(&harness.decide()).is_empty(), "the run may have succeeded before the stop");
    harness.advance(50);
    harness.report(&server_id.0, &[], &[]);
    let again = starts(&harness.decide());
    assert_eq!(again.len(), 1);
    assert!(again[0].1.run > start.run);
}

#[test]
fn rejected_start_moved() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4)]);
    let (server_id, start) = starts(&harness.decide()).remove(0);
    let result = OrderResult::Refused(RejectReason::Unavailable, None);
    harness.shard.handle_start_result(harness.now, &server_id, &start.task, start.run, result);
    let again = starts(&harness.decide());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, server_id);
}

/// Guards against a job that the next holder holds back for a server that is gone, because
/// its tasks went on elsewhere without another write.
#[test]
fn lost_server_unrecorded() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(2, 40)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    let (_, kept) = started.iter().find(|(id, _)| *id == server("b")).expect("a start on b");
    let run = (kept.task.clone(), kept.run, 10);
    harness.set_servers(&["b"]);
    for _ in 0..40 {
        harness.advance(250);
        harness.fail_poll("a");
        harness.report("b", std::slice::from_ref(&run), &[]);
        let effects = harness.decide();
        let servers = harness::batches(&effects).into_iter().find_map(|batch| {
            match &batch.updates[0].change {
                Change::Progress(progress) => Some(progress.servers.clone()),
                Change::Finished(_) => None,
            }
        });
        if let Some(servers) = servers {
            assert_eq!(servers, ["b".into()].into());
            return;
        }
    }
    panic!("the lost server stays recorded with the job");
}

/// A server whose entry in the platform's list has expired, but that answers its polls, keeps
/// its work.
#[test]
fn unlisted_server_keeps_runs() {
    let (mut harness, name) = with_started_task();
    let other = other_server(&name);
    let listed = harness.servers.iter().filter(|info| &*info.id.0 == other).cloned().collect();
    harness.shard.set_servers(harness.now, listed);
    let run = RunId::first_of_term(1);
    for _ in 0..40 {
        harness.advance(250);
        harness.report(&name, &[(task("job", 0, 0), run, 50)], &[]);
        harness.report(other, &[], &[]);
        let effects = harness.decide();
        assert!(starts(&effects).is_empty() && stops(&effects).is_empty(), "{effects:?}");
    }
}

/// A server that answers again before its lease has expired keeps its work.
#[test]
fn silent_server_keeps_runs() {
    let (mut harness, name) = with_started_task();
    let other = other_server(&name);
    let run = RunId::first_of_term(1);
    for round in 0..40 {
        harness.advance(250);
        // A round takes 0.3 s: 3.6 s of silence, shorter than the lease of 4.6 s.
        match round % 20 < 12 {
            true => harness.fail_poll(&name),
            false => harness.report(&name, &[(task("job", 0, 0), run, 50)], &[]),
        }
        harness.report(other, &[], &[]);
        let effects = harness.decide();
        assert!(starts(&effects).is_empty() && stops(&effects).is_empty(), "{effects:?}");
    }
}

/// A server whose clock reading has passed its lease, but that reports the run as running:
/// whatever its clock says, the task must not run twice.
#[test]
fn reported_run_kept() {
    let (mut harness, name) = with_started_task();
    let run = RunId::first_of_term(1);
    for clock_ms in [u64::MAX, 0] {
        let clock = ClockReading { clock_ms, ..harness.reading() };
        let running = RunStatus {
            task: task("job", 0, 0),
            run,
            checkpoint: "".into(),
            percent: 50,
            tail_ms: None,
        };
        harness.shard.handle_status_report(
            harness.now,
            StatusReport {
                server: server(&name),
                incarnation_ms: Some(1),
                clock,
                running: vec![running],
                finished: Vec::new(),
                is_partial: false,
            },
        );
        harness.report(other_server(&name), &[], &[]);
        let effects = harness.decide();
        assert!(starts(&effects).is_empty(), "{effects:?}");
    }
}
