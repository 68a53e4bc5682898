//! Servers that start again under their name: a run is given up only once it is certainly not
//! in progress on the later incarnation.

mod harness;

use harness::{Harness, ms, server, starts, step, stops, task, timings};
use skylarkwick_request::{
    job::{
        Step,
        task::{RunId, RunOutcome},
    },
    shard::{
        effect::{Effect, Start},
        input::{ClockReading, OrderResult, RejectReason, StatusReport},
    },
};

/// The later incarnation of server a; the first one is 1.
const LATER: u64 = 2;

/// Sends the start of a task to server a, the only one with enough room; returns it.
fn with_sent_start(step: Step) -> (Harness, Start) {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step]);
    let (_, start) = starts(&harness.decide()).remove(0);
    harness.set_servers(&["a", "b"]);
    harness.report("b", &[], &[]);
    (harness, start)
}

fn answer(harness: &mut Harness, start: &Start, result: OrderResult) {
    let (now, a) = (harness.now, server("a"));
    harness.shard.handle_start_result(now, &a, &start.task, start.run, result);
}

/// Answers the start, then lists the later incarnation.
fn with_answered_start() -> (Harness, Start) {
    let (mut harness, start) = with_sent_start(step(1, 4));
    let done = OrderResult::Done(harness.reading());
    answer(&mut harness, &start, done);
    harness.advance(10);
    harness.list_incarnation("a", LATER);
    (harness, start)
}

fn running(start: &Start) -> Vec<(skylarkwick_request::job::task::Id, RunId, u32)> {
    vec![(start.task.clone(), start.run, 50)]
}

fn assert_kept(harness: &mut Harness) {
    let effects = harness.decide();
    assert!(starts(&effects).is_empty() && stops(&effects).is_empty(), "{effects:?}");
}

/// Guards against a second run beside one that the later incarnation has accepted before its
/// restart was known.
#[test]
fn answered_start_kept() {
    let (mut harness, start) = with_answered_start();
    assert_kept(&mut harness);
    for _ in 0..40 {
        harness.advance(250);
        harness.report_incarnation("a", LATER, &running(&start), &[]);
        harness.report("b", &[], &[]);
        assert_kept(&mut harness);
    }
}

/// Guards against the same when the answer of the later incarnation comes after its restart
/// is known.
#[test]
fn late_answer_kept() {
    let (mut harness, start) = with_sent_start(step(1, 4));
    harness.list_incarnation("a", LATER);
    assert_kept(&mut harness);
    harness.report_incarnation("a", LATER, &[], &[]);
    assert_kept(&mut harness);
    let done = OrderResult::Done(harness.reading());
    answer(&mut harness, &start, done);
    assert_kept(&mut harness);
    harness.report_incarnation("a", LATER, &running(&start), &[]);
    assert_kept(&mut harness);
}

/// Guards against the same when a report, not the list, tells of the restart.
#[test]
fn reported_restart_kept() {
    let (mut harness, start) = with_sent_start(step(1, 4));
    let done = OrderResult::Done(harness.reading());
    answer(&mut harness, &start, done);
    harness.advance(10);
    for _ in 0..2 {
        harness.report_incarnation("a", LATER, &running(&start), &[]);
        assert_kept(&mut harness);
    }
}

/// A task whose run the later incarnation does not have starts again.
#[test]
fn missing_run_repeated() {
    let (mut harness, start) = with_answered_start();
    harness.report_incarnation("a", LATER, &[], &[]);
    let again = starts(&harness.decide());
    assert_eq!(again.len(), 1);
    assert!(again[0].1.run > start.run);
}

/// A run that the earlier incarnation has reported is over with it.
#[test]
fn reported_run_repeated() {
    let (mut harness, start) = with_sent_start(step(1, 4));
    let done = OrderResult::Done(harness.reading());
    answer(&mut harness, &start, done);
    harness.report("a", &running(&start), &[]);
    harness.list_incarnation("a", LATER);
    let again = starts(&harness.decide());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].0, server("b"));
}

/// Guards against a start without an answer that the later incarnation carries out after its
/// task has started elsewhere: the deadline of the start is not one on its clock.
#[test]
fn unanswered_start_stopped() {
    let long_running = Step { is_long_running: true, ..step(1, 4) };
    for step in [step(1, 4), long_running] {
        let (mut harness, start) = with_sent_start(step);
        harness.list_incarnation("a", LATER);
        harness.report_incarnation("a", LATER, &[], &[]);
        answer(&mut harness, &start, OrderResult::Unknown);
        let effects = harness.decide();
        assert_eq!(stops(&effects), [(server("a"), start.task.clone(), start.run)]);
        assert!(starts(&effects).is_empty());
        harness.advance(1500);
        harness.report_incarnation("a", LATER, &[], &[]);
        harness.report("b", &[], &[]);
        assert!(starts(&harness.decide()).is_empty(), "the stop is not acknowledged");
        let done = OrderResult::Done(harness.reading());
        harness.shard.handle_stop_result(harness.now, &server("a"), &start.task, start.run, done);
        harness.advance(10);
        harness.report_incarnation("a", LATER, &[], &[]);
        assert_eq!(starts(&harness.decide()).len(), 1);
    }
}

/// Guards against runs that are given up because the clock of the earlier incarnation, in a
/// late answer, has passed the leases of the later one.
#[test]
fn late_clock_ignored() {
    let (mut harness, start) = with_answered_start();
    harness.report_incarnation("a", LATER, &running(&start), &[]);
    let late =
        ClockReading { clock_ms: u64::MAX, sent: harness.now - ms(500), received: harness.now };
    harness.shard.update_clock(&server("a"), late);
    harness.report("b", &[], &[]);
    assert_kept(&mut harness);
}

/// Guards against a second run beside one whose lease an order by the clock of the earlier
/// incarnation has extended as far as the platform allows.
#[test]
fn longest_lease_awaited() {
    let (mut harness, start) = with_answered_start();
    harness.report_incarnation("a", LATER, &running(&start), &[]);
    let lease_end = harness.now + timings().max_lease;
    let again = await_start(&mut harness);
    assert!(harness.now > lease_end, "the run may be in progress");
    assert_eq!(again, task("job", 0, 0));
}

/// The same for a later incarnation that is listed and never answers.
#[test]
fn silent_restart_awaited() {
    let (mut harness, _) = with_answered_start();
    let lease_end = harness.now + timings().max_lease;
    let again = await_start(&mut harness);
    assert!(harness.now > lease_end, "the run may be in progress");
    assert_eq!(again, task("job", 0, 0));
}

/// Guards against the runs of the later incarnation being given up because another server
/// is at the address of the earlier one and answers late.
#[test]
fn late_replacement_ignored() {
    let (mut harness, start) = with_answered_start();
    harness.report_incarnation("a", LATER, &running(&start), &[]);
    harness.shard.handle_server_replaced(&Harness::target("a", 1));
    assert_kept(&mut harness);
    harness.shard.handle_server_replaced(&Harness::target("a", LATER));
    assert_eq!(starts(&harness.decide()).len(), 1);
}

/// The same by the late answer to the start: only this start is rejected.
#[test]
fn late_rejection_ignored() {
    let (mut harness, start) = with_sent_start(step(2, 4));
    harness.list_incarnation("a", LATER);
    let kept = task("job", 0, 1 - start.task.index);
    let kept_run = RunId(start.run.0 + 1);
    harness.report_incarnation("a", LATER, &[(kept, kept_run, 10)], &[]);
    let mismatch = OrderResult::Refused(RejectReason::IncarnationMismatch, None);
    answer(&mut harness, &start, mismatch);
    let again = starts(&harness.decide());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.task, start.task);
}

/// Guards against a later incarnation that gets no new work because a poll of the earlier one
/// had no answer.
#[test]
fn late_failure_ignored() {
    let (mut harness, start) = with_answered_start();
    harness.report_incarnation("a", LATER, &running(&start), &[]);
    harness.fail_poll("a");
    harness.fail_poll("b");
    harness.submit("new", vec![step(1, 4)]);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 1, "server a accepts work");
    assert_eq!(started[0].0, server("a"));
}

/// Guards against runs of the later incarnation that are given up by a late report of the
/// earlier one, which does not say whose it is.
#[test]
fn unnamed_report_ignored() {
    let (mut harness, start) = with_answered_start();
    let polled = harness.now - ms(5);
    harness.report_incarnation("a", LATER, &running(&start), &[]);
    harness.advance(10);
    let clock = ClockReading { sent: polled, ..harness.reading() };
    let report = StatusReport {
        server: server("a"),
        incarnation_ms: None,
        clock,
        running: Vec::new(),
        finished: vec![harness::finished_run(1, start.task, start.run, RunOutcome::Failed)],
        is_partial: false,
    };
    harness.shard.handle_status_report(harness.now, report);
    assert_kept(&mut harness);
}

/// Guards against ends of the later incarnation that are acknowledged unread, by a poll with
/// the number of an end of the earlier one, so that a task that is done runs again.
#[test]
fn earlier_ends_withheld() {
    let (mut harness, start) = with_sent_start(step(1, 4));
    let done = harness::finished_run(1, start.task.clone(), start.run, RunOutcome::Done);
    harness.report("a", &[], &[done]);
    assert_eq!(acknowledged(&harness.decide()), [1]);
    harness.fail_poll("a");
    harness.advance(300);
    assert_eq!(acknowledged(&harness.decide()), [0], "server a may have restarted");
    harness.report("a", &[], &[]);
    assert_eq!(acknowledged(&harness.decide()), [1]);
    harness.report("a", &[], &[]);
    assert_eq!(acknowledged(&harness.decide()), [0], "the acknowledgement was answered");
}

/// Guards against the same by a poll that has waited for a slow write of the ends.
#[test]
fn late_ends_withheld() {
    let (mut harness, start) = with_sent_start(step(1, 4));
    let done = harness::finished_run(1, start.task.clone(), start.run, RunOutcome::Done);
    harness.report("a", &[], &[done]);
    let batch = harness::batches(&harness.decide_unsaved()).remove(0);
    harness.advance(300);
    harness.shard.handle_batch_saved(harness.now, &batch);
    assert_eq!(acknowledged(&harness.decide()), [0], "server a may have restarted");
    harness.report("a", &[], &[]);
    assert_eq!(acknowledged(&harness.decide()), [1]);
}

/// Guards against a run that is given up by a report that was polled before the server got the
/// start, and arrives after one that shows the run.
#[test]
fn overtaken_report_kept() {
    let (mut harness, start) = with_sent_start(step(1, 4));
    let polled = harness.now + ms(10);
    harness.advance(100);
    harness.report("a", &running(&start), &[]);
    for sent in [polled, harness.now - ms(1)] {
        harness.advance(50);
        let report = StatusReport {
            server: server("a"),
            incarnation_ms: Some(1),
            clock: ClockReading { sent, ..harness.reading() },
            running: Vec::new(),
            finished: Vec::new(),
            is_partial: false,
        };
        harness.shard.handle_status_report(harness.now, report);
        assert_kept(&mut harness);
    }
}

/// Guards against runs in doubt that are given up because an order has read the clock of the
/// later incarnation before a report has told how long its leases may be.
#[test]
fn unknown_lease_awaited() {
    let (mut harness, start) = with_sent_start(step(1, 4));
    harness.list_incarnation("a", LATER);
    harness.advance(10);
    let done = OrderResult::Done(harness.reading());
    answer(&mut harness, &start, done);
    harness.advance(500);
    harness.report("b", &[], &[]);
    assert_kept(&mut harness);
}

/// Returns the numbers of ends that polls of server a acknowledge.
fn acknowledged(effects: &[Effect]) -> Vec<u64> {
    let number = |effect: &Effect| match effect {
        Effect::Poll { target, acknowledged, .. } if target.server == server("a") => {
            Some(*acknowledged)
        }
        _ => None,
    };
    effects.iter().filter_map(number).collect()
}

/// Waits until a task starts elsewhere while server a does not answer, until the takeover grace
/// with the longest lease is over; returns the task.
fn await_start(harness: &mut Harness) -> skylarkwick_request::job::task::Id {
    for _ in 0..84 {
        harness.advance(100);
        harness.shard.handle_poll_failure(harness.now, &Harness::target("a", LATER));
        harness.report("b", &[], &[]);
        if let [(id, start)] = &starts(&harness.decide())[..] {
            assert_eq!(*id, server("b"));
            return start.task.clone();
        }
    }
    panic!("the task waits for good");
}
