//! Long-running tasks are restarted however they end, until their job is cancelled.

mod harness;

use std::sync::Arc;

use harness::{Harness, batches, finished_run, ms, starts, step, taken_shard, task};
use skylarkwick_request::{
    job::{
        Job, Schedule, Step,
        progress::{Progress, TaskPosition, TaskProgress},
        task::{Id, RunId, RunOutcome},
    },
    shard::{
        effect::{Change, Effect, Start},
        input::{AcceptedJob, ServerId},
    },
};

fn long_running(count: u32) -> Step {
    Step { is_long_running: true, ..step(count, 4) }
}

/// Starts the tasks of a job on server a and returns them.
fn with_running_job(steps: Vec<Step>) -> (Harness, Vec<(ServerId, Start)>) {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", steps);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    (harness, started)
}

/// Reports the runs as in progress, but the first one as successful; returns what follows.
fn end_first(harness: &mut Harness, started: &[(ServerId, Start)]) -> Vec<Effect> {
    let running: Vec<_> = started[1..].iter().map(|(_, start)| running(start)).collect();
    let (_, ended) = &started[0];
    let end = finished_run(1, ended.task.clone(), ended.run, RunOutcome::Done);
    harness.advance(500);
    harness.report("a", &running, &[end]);
    harness.decide()
}

fn running(start: &Start) -> (Id, RunId, u32) {
    (start.task.clone(), start.run, 100)
}

fn started_tasks(effects: &[Effect]) -> Vec<Id> {
    starts(effects).into_iter().map(|(_, start)| start.task).collect()
}

/// Returns whether a job was stored as finished.
fn is_finished(effects: &[Effect]) -> bool {
    let batches = batches(effects);
    let mut updates = batches.iter().flat_map(|batch| &batch.updates);
    updates.any(|update| matches!(update.change, Change::Finished(_)))
}

/// Guards against a task that stays away once it has ended as successful (review/19).
#[test]
fn successful_end_restarted() {
    let (mut harness, started) = with_running_job(vec![long_running(2)]);
    let effects = end_first(&mut harness, &started);
    assert_eq!(started_tasks(&effects), [started[0].1.task.clone()]);
}

/// Guards against a job that is shown as completed, and never runs again, although nobody has
/// cancelled it.
#[test]
fn only_task_restarted() {
    let (mut harness, started) = with_running_job(vec![long_running(1)]);
    let effects = end_first(&mut harness, &started);
    assert!(!is_finished(&effects), "{effects:?}");
    assert_eq!(started_tasks(&effects), [started[0].1.task.clone()]);
}

/// Guards against a gang that stays away once a member has ended as successful: the others have
/// ended with it and may not say so.
#[test]
fn gang_restarted_together() {
    let gang = Step { is_gang: true, ..long_running(2) };
    let (mut harness, started) = with_running_job(vec![gang]);
    let effects = end_first(&mut harness, &started[..1]);
    assert_eq!(started_tasks(&effects), [task("job", 0, 0), task("job", 0, 1)]);
}

/// Guards against a later step that starts although the step that it depends on never succeeds.
#[test]
fn dependent_step_waits() {
    let dependent = Step { depends_on: vec![0], ..step(1, 4) };
    let (mut harness, started) = with_running_job(vec![long_running(1), dependent]);
    let effects = end_first(&mut harness, &started);
    assert_eq!(started_tasks(&effects), [task("job", 0, 0)]);
}

/// Returns the starts of a holder that has just taken over a job with this progress, which an
/// earlier release has stored.
fn started_after_takeover(job: Job, progress: Progress) -> Vec<Id> {
    let mut harness = taken_shard();
    let accepted =
        AcceptedJob { job: Arc::new(job), progress, ..Harness::accepted_job("job", Vec::new()) };
    harness.shard.add_job(harness.now, accepted);
    harness.set_servers(&["a"]);
    harness.decide();
    harness.report("a", &[], &[]);
    let effects = harness.decide();
    assert!(!is_finished(&effects), "{effects:?}");
    started_tasks(&effects)
}

/// Guards against a task that an earlier release has stored as done and that no later holder
/// restarts.
#[test]
fn stored_success_restarted() {
    let job = Job { spec: Arc::from(""), steps: vec![long_running(3)], schedule: None };
    let position = |index| TaskPosition { index, ..TaskPosition::default() };
    let done = TaskProgress { is_done: true, ..TaskProgress::default() };
    let mut progress = Progress::default();
    progress.tasks.insert(position(0), done);
    progress.done_tasks.entry((0, 0)).or_default().insert(1);
    let all: Vec<Id> = (0..3).map(|index| task("job", 0, index)).collect();
    assert_eq!(started_after_takeover(job, progress), all);
}

/// Guards against occurrences that an earlier release has stored as done: their long-running
/// tasks come back, in their turn, and the others don't run twice.
#[test]
fn stored_occurrence_reopened() {
    const COUNT: u32 = 3;
    let schedule = Schedule { count: COUNT, first_ms: 0, interval: ms(0) };
    let steps = vec![step(2, 1), Step { depends_on: vec![0], ..long_running(1) }];
    let job = Job { spec: Arc::from(""), steps, schedule: Some(schedule) };
    let mut progress = Progress::default();
    progress.done_occurrences.insert_range(0..COUNT);
    let of_occurrence = |occurrence| Id { occurrence, ..task("job", 1, 0) };
    let all: Vec<Id> = (0..COUNT).map(of_occurrence).collect();
    assert_eq!(started_after_takeover(job, progress), all);
}

/// Guards against tasks of a reopened occurrence that run again after the next takeover, because
/// the occurrence is stored neither as done nor with its tasks.
#[test]
fn reopened_progress_kept() {
    let steps = vec![step(2, 1), long_running(1)];
    let mut progress = Progress::default();
    progress.done_occurrences.insert(0);
    let job = Job { spec: Arc::from(""), steps, schedule: None };
    let mut harness = taken_shard();
    let accepted =
        AcceptedJob { job: Arc::new(job), progress, ..Harness::accepted_job("job", Vec::new()) };
    harness.shard.add_job(harness.now, accepted);
    harness.set_servers(&["a"]);
    harness.decide();
    harness.report("a", &[], &[]);
    let effects = harness.decide();
    let Some(Change::Progress(stored)) =
        batches(&effects).last().map(|batch| batch.updates[0].change.clone())
    else {
        panic!("the job's servers are stored");
    };
    let position = |step, index| TaskPosition { occurrence: 0, step, index };
    assert!(stored.is_done(position(0, 0)) && stored.is_done(position(0, 1)));
    assert!(!stored.is_done(position(1, 0)));
}
