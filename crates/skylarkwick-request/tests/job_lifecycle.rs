//! Job lifecycle: steps run in order, results of runs are stored before they are
//! acknowledged, and the results of its tasks decide the state of a job.

mod harness;

use harness::{Harness, batches, finished_run, job_key, starts, step, stops, task};
use skylarkwick_request::{
    job::{
        Id, Job, State, Step,
        task::{self as tasks, RunOutcome},
    },
    shard::effect::{Change, Effect},
};

/// Confirms all starts and returns the first: its server, task and run.
fn start_first(harness: &mut Harness) -> (String, tasks::Id, tasks::RunId) {
    let effects = harness.decide();
    let (server_id, start) = harness.confirm_starts(&effects).remove(0);
    harness.advance(50);
    (server_id.to_string(), start.task, start.run)
}

#[test]
fn later_steps_wait() {
    let mut harness = Harness::with_servers(&["a"]);
    let second = Step { depends_on: vec![0], ..step(1, 4) };
    harness.submit("job", vec![step(1, 4), second]);
    let (server_id, first, run) = start_first(&mut harness);
    assert_eq!(first, task("job", 0, 0));
    assert!(starts(&harness.decide()).is_empty());
    harness.report(&server_id, &[], &[finished_run(1, first, run, RunOutcome::Done)]);
    assert_eq!(starts(&harness.decide())[0].1.task, task("job", 1, 0));
}

#[test]
fn results_stored_first() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    let (server_id, id, run) = start_first(&mut harness);
    harness.report(&server_id, &[], &[finished_run(1, id, run, RunOutcome::Done)]);
    let effects = harness.decide_unsaved();
    let batch = batches(&effects).remove(0);
    assert_eq!(batch.updates[0].change, Change::Finished(State::Completed));
    let acknowledged = |effects: &[Effect]| {
        effects.iter().any(|effect| matches!(effect, Effect::Poll { acknowledged: 1, .. }))
    };
    harness.advance(1000);
    assert!(!acknowledged(&effects) && !acknowledged(&harness.decide_unsaved()));
    harness.report(&server_id, &[], &[]);
    harness.shard.handle_batch_saved(harness.now, &batch);
    assert!(acknowledged(&harness.decide()));
}

#[test]
fn failed_batch_retried() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    let (server_id, id, run) = start_first(&mut harness);
    harness.report(&server_id, &[], &[finished_run(1, id, run, RunOutcome::Done)]);
    let batch = batches(&harness.decide_unsaved()).remove(0);
    assert!(batches(&harness.decide_unsaved()).is_empty(), "one batch at a time");
    harness.shard.handle_batch_save_failed(&batch);
    assert_eq!(batches(&harness.decide_unsaved()).len(), 1);
}

#[test]
fn exhausted_job_fails() {
    let mut harness = Harness::with_servers(&["a", "b", "c"]);
    harness.submit("job", vec![step(1, 4)]);
    for number in 1..=2 {
        let (server_id, id, run) = start_first(&mut harness);
        harness.report(&server_id, &[], &[finished_run(number, id, run, RunOutcome::Failed)]);
    }
    let effects = harness.decide();
    assert!(starts(&effects).is_empty());
    let batch = batches(&effects).remove(0);
    assert_eq!(batch.updates[0].change, Change::Finished(State::Failed));
}

#[test]
fn failure_retried_elsewhere() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4)]);
    let (server_id, id, run) = start_first(&mut harness);
    harness.report(&server_id, &[], &[finished_run(1, id, run, RunOutcome::Failed)]);
    assert_ne!(starts(&harness.decide())[0].0.to_string(), server_id);
}

#[test]
fn cancelled_job_stopped() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(3, 4)]);
    start_first(&mut harness);
    harness.shard.remove_job(harness.now, &job_key("job"));
    let effects = harness.decide();
    assert_eq!(stops(&effects).len(), 3);
    assert!(starts(&effects).is_empty());
}

#[test]
fn gang_starts_whole() {
    let mut harness = Harness::with_servers(&["a"]);
    let gang = Step { is_gang: true, ..step(5, 16) };
    harness.submit("job", vec![gang]);
    assert!(starts(&harness.decide()).is_empty(), "one host holds four of the five");
    let mut harness = Harness::with_servers(&["a", "b"]);
    let gang = Step { is_gang: true, ..step(5, 16) };
    harness.submit("job", vec![gang]);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 5);
    assert!(started.iter().all(|(_, start)| start.run == started[0].1.run));
}

#[test]
fn tasks_spread_out() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    let spread_step = Step { max_per_host: 1, ..step(3, 4) };
    harness.submit("job", vec![spread_step]);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 2);
    assert_ne!(started[0].0, started[1].0);
}

#[test]
fn capacity_not_exceeded() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(10, 16)]);
    assert_eq!(starts(&harness.decide()).len(), 4);
    assert!(starts(&harness.decide()).is_empty());
}

#[test]
fn backlog_counts_unstarted() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("first", vec![step(1, 64)]);
    harness.submit("second", vec![step(2, 64)]);
    let effects = harness.decide();
    assert_eq!(harness.confirm_starts(&effects).len(), 1);
    let backlog = harness.shard.backlog();
    assert_eq!(backlog[harness::QUEUE].len(), 1);
}

#[test]
fn invalid_jobs_rejected() {
    let job = |steps| Job { spec: "".into(), steps, schedule: None };
    assert!(job(vec![]).validate().is_err());
    assert!(job(vec![step(0, 1)]).validate().is_err());
    assert!(job(vec![Step { depends_on: vec![0], ..step(1, 1) }]).validate().is_err());
    assert!(job(vec![step(1, 1), Step { depends_on: vec![0], ..step(1, 1) }]).validate().is_ok());
}

#[test]
fn ids_round_trip() {
    let id = task("5c0e7a21d94b36f8", 1, 17);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert!("no.number.0.x".parse::<tasks::Id>().is_err());
}

#[test]
fn stale_row_ignored() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("done", vec![step(1, 4)]);
    let (server_id, id, run) = start_first(&mut harness);
    harness.report(&server_id, &[], &[finished_run(1, id, run, RunOutcome::Done)]);
    let batch = batches(&harness.decide()).remove(0);
    harness.shard.handle_batch_saved(harness.now, &batch);
    harness.submit("cancelled", vec![step(1, 4)]);
    harness.shard.remove_job(harness.now, &job_key("cancelled"));
    // A read of all rows that began before both jobs finished returns them again.
    harness.submit("done", vec![step(1, 4)]);
    harness.submit("cancelled", vec![step(1, 4)]);
    assert!(starts(&harness.decide()).is_empty());
}

#[test]
fn batch_fits_transaction() {
    const ROWS_PER_UPDATE: usize = 3;
    const MAX_ROWS: usize = 100;
    let mut harness = Harness::with_servers(&["a"]);
    let jobs: Vec<String> = (0..60).map(|number| format!("job{number}")).collect();
    for job in &jobs {
        harness.submit(job, vec![step(1, 1)]);
    }
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    harness.advance(50);
    let results: Vec<_> = (1..)
        .zip(started)
        .map(|(number, (_, start))| finished_run(number, start.task, start.run, RunOutcome::Done))
        .collect();
    harness.report("a", &[], &results);
    let batch = batches(&harness.decide()).remove(0);
    assert!(batch.updates.len() * ROWS_PER_UPDATE <= MAX_ROWS);
    let is_stored = |job: &Id| batch.updates.iter().any(|update| update.key.id() == job);
    let first_unstored = results.iter().find(|result| !is_stored(&result.task.job)).unwrap();
    let cursor = batch.cursors.first().expect("a cursor up to the last end that is stored");
    assert_eq!(cursor.number, first_unstored.number - 1, "later ends are not stored yet");
    assert_eq!(batch.cursors.len(), 1);
}
