//! Checkpoints of gangs: all members start from one.

mod harness;

use std::sync::Arc;

use harness::{Harness, batches, finished_run, ms, server, starts, step, taken_shard};
use skylarkwick_request::{
    job::{
        Step,
        progress::{Progress, TaskPosition, TaskProgress},
        task::{RunId, RunOutcome},
    },
    shard::{
        effect::{Change, Start},
        input::{FinishedRun, RunStatus, StatusReport},
    },
};

/// A gang whose members take a server each.
fn gang() -> Step {
    Step { is_gang: true, is_checkpointing: true, ..step(2, 64) }
}

/// Reports a member as running, with a checkpoint.
fn report(harness: &mut Harness, name: &str, start: &Start, checkpoint: &str) {
    let running = RunStatus {
        task: start.task.clone(),
        run: start.run,
        checkpoint: Arc::from(checkpoint),
        percent: 50,
        tail_ms: None,
    };
    let report = StatusReport {
        server: server(name),
        incarnation_ms: Some(1),
        clock: harness.reading(),
        running: vec![running],
        finished: Vec::new(),
        is_partial: false,
    };
    harness.shard.handle_status_report(harness.now, report);
}

fn stopped(number: u64, start: &Start, checkpoint: &str) -> FinishedRun {
    let end = finished_run(number, start.task.clone(), start.run, RunOutcome::Stopped);
    FinishedRun { checkpoint: Arc::from(checkpoint), ..end }
}

/// Starts the gang on two servers; returns its members with their servers, the first member
/// first.
fn with_running_gang() -> (Harness, Vec<(String, Start)>) {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![gang()]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    let mut members: Vec<(String, Start)> =
        started.into_iter().map(|(server, start)| (server.to_string(), start)).collect();
    members.sort_by_key(|(_, start)| start.task.index);
    harness.advance(50);
    (harness, members)
}

/// Ends both members' runs and returns the checkpoints that they start from next.
fn next_checkpoints(harness: &mut Harness) -> Vec<Arc<str>> {
    for _ in 0..40 {
        let started = starts(&harness.decide());
        if !started.is_empty() {
            return started.into_iter().map(|(_, start)| start.checkpoint).collect();
        }
        harness.advance(100);
        for name in ["a", "b"] {
            harness.report(name, &[], &[]);
        }
    }
    panic!("the gang does not start");
}

/// Guards against members that start from different checkpoints for ever, because one of them
/// was lost before its last one was known (review/8).
#[test]
fn members_start_alike() {
    for lost in [0, 1] {
        let (mut harness, members) = with_running_gang();
        for (name, start) in &members {
            report(&mut harness, name, start, "older");
        }
        harness.advance(50);
        let (name, start) = &members[1 - lost];
        harness.report(name, &[], &[stopped(1, start, "newer")]);
        // The other one has ended without being heard of.
        harness.advance(50);
        harness.report(&members[lost].0, &[], &[]);
        let checkpoints = next_checkpoints(&mut harness);
        assert_eq!(checkpoints, [Arc::from("newer"), Arc::from("newer")]);
    }
}

/// Guards against work that is thrown away, because a late report has an older checkpoint.
#[test]
fn late_report_ignored() {
    let (mut harness, members) = with_running_gang();
    let (name, start) = &members[1];
    harness.report(name, &[], &[stopped(1, start, "newer")]);
    let (name, start) = &members[0];
    report(&mut harness, name, start, "older");
    harness.now = harness.now + ms(50);
    harness.report(name, &[], &[stopped(1, start, "")]);
    let checkpoints = next_checkpoints(&mut harness);
    assert_eq!(checkpoints, [Arc::from("newer"), Arc::from("newer")]);
}

/// The rows of an earlier release have a checkpoint with each member.
#[test]
fn stored_checkpoints_united() {
    let mut harness = taken_shard();
    let mut accepted = Harness::accepted_job("job", vec![gang()]);
    let member = |run, checkpoint| TaskProgress {
        last_ended_run: RunId(run),
        checkpoint: Arc::from(checkpoint),
        ..TaskProgress::default()
    };
    let position = |index| TaskPosition { occurrence: 0, step: 0, index };
    accepted.progress = Progress {
        tasks: [(position(0), member(4, "older")), (position(1), member(5, "newer"))].into(),
        ..Progress::default()
    };
    harness.shard.add_job(harness.now, accepted);
    harness.set_servers(&["a", "b"]);
    for name in ["a", "b"] {
        harness.report(name, &[], &[]);
    }
    let effects = harness.decide();
    let checkpoints: Vec<Arc<str>> =
        starts(&effects).into_iter().map(|(_, start)| start.checkpoint).collect();
    assert_eq!(checkpoints, [Arc::from("newer"), Arc::from("newer")]);
    let Change::Progress(stored) = &batches(&effects)[0].updates[0].change else {
        panic!("the job is not finished");
    };
    let kept: Vec<&str> = stored.tasks.values().map(|task| &*task.checkpoint).collect();
    assert_eq!(kept, ["newer", ""], "one is kept for all");
}
