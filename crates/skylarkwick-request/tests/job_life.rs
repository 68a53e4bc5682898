//! A job's steps run in order, its ends are stored before they are
//! acknowledged, and it is over when its tasks say so.

mod shard;

use shard::{Site, batches, ended, starts, step, stops, task};
use skylarkwick_request::{
    job::{
        Id, Job, State, Step,
        task::{self as tasks, RunOutcome},
    },
    shard::effect::{Change, Effect},
};

fn run_first(site: &mut Site) -> (String, tasks::Id, tasks::RunId) {
    let effects = site.decide();
    let (place, start) = site.confirm(&effects).remove(0);
    site.advance(50);
    (place.to_string(), start.task, start.run)
}

#[test]
fn later_steps_wait() {
    let mut site = Site::with_servers(&["a"]);
    let second = Step { depends_on: vec![0], ..step(1, 4) };
    site.submit("job", vec![step(1, 4), second]);
    let (place, first, run) = run_first(&mut site);
    assert_eq!(first, task("job", 0, 0));
    assert!(starts(&site.decide()).is_empty());
    site.look(&place, &[], &[ended(1, first, run, RunOutcome::Done)]);
    assert_eq!(starts(&site.decide())[0].1.task, task("job", 1, 0));
}

#[test]
fn ends_are_stored_before_they_are_acknowledged() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("job", vec![step(1, 4)]);
    let (place, id, run) = run_first(&mut site);
    site.look(&place, &[], &[ended(1, id, run, RunOutcome::Done)]);
    let effects = site.decide_unstored();
    let batch = batches(&effects).remove(0);
    assert_eq!(batch.updates[0].change, Change::Finished(State::Completed));
    let acknowledged = |effects: &[Effect]| {
        effects.iter().any(|effect| matches!(effect, Effect::Poll { acknowledged: 1, .. }))
    };
    site.advance(1000);
    assert!(!acknowledged(&effects) && !acknowledged(&site.decide_unstored()));
    site.look(&place, &[], &[]);
    site.shard.handle_batch_saved(site.now, &batch);
    assert!(acknowledged(&site.decide()));
}

#[test]
fn a_batch_that_is_not_stored_is_written_again() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("job", vec![step(1, 4)]);
    let (place, id, run) = run_first(&mut site);
    site.look(&place, &[], &[ended(1, id, run, RunOutcome::Done)]);
    let batch = batches(&site.decide_unstored()).remove(0);
    assert!(batches(&site.decide_unstored()).is_empty(), "one batch at a time");
    site.shard.handle_batch_save_failed(&batch);
    assert_eq!(batches(&site.decide_unstored()).len(), 1);
}

#[test]
fn a_job_fails_after_its_attempts() {
    let mut site = Site::with_servers(&["a", "b", "c"]);
    site.submit("job", vec![step(1, 4)]);
    for number in 1..=2 {
        let (place, id, run) = run_first(&mut site);
        site.look(&place, &[], &[ended(number, id, run, RunOutcome::Failed)]);
    }
    let effects = site.decide();
    assert!(starts(&effects).is_empty());
    let batch = batches(&effects).remove(0);
    assert_eq!(batch.updates[0].change, Change::Finished(State::Failed));
}

#[test]
fn a_failed_task_is_tried_elsewhere() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![step(1, 4)]);
    let (place, id, run) = run_first(&mut site);
    site.look(&place, &[], &[ended(1, id, run, RunOutcome::Failed)]);
    assert_ne!(starts(&site.decide())[0].0.to_string(), place);
}

#[test]
fn a_cancelled_job_is_stopped() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("job", vec![step(3, 4)]);
    run_first(&mut site);
    site.shard.remove_job(site.now, &Id::new("job"));
    let effects = site.decide();
    assert_eq!(stops(&effects).len(), 3);
    assert!(starts(&effects).is_empty());
}

#[test]
fn a_gang_starts_whole_or_not() {
    let mut site = Site::with_servers(&["a"]);
    let gang = Step { is_gang: true, ..step(5, 16) };
    site.submit("job", vec![gang]);
    assert!(starts(&site.decide()).is_empty(), "one host holds four of the five");
    let mut site = Site::with_servers(&["a", "b"]);
    let gang = Step { is_gang: true, ..step(5, 16) };
    site.submit("job", vec![gang]);
    let started = starts(&site.decide());
    assert_eq!(started.len(), 5);
    assert!(started.iter().all(|(_, start)| start.run == started[0].1.run));
}

#[test]
fn a_step_spreads_as_it_asks() {
    let mut site = Site::with_servers(&["a", "b"]);
    let apart = Step { max_per_host: 1, ..step(3, 4) };
    site.submit("job", vec![apart]);
    let started = starts(&site.decide());
    assert_eq!(started.len(), 2);
    assert_ne!(started[0].0, started[1].0);
}

#[test]
fn room_is_never_exceeded() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("job", vec![step(10, 16)]);
    assert_eq!(starts(&site.decide()).len(), 4);
    assert!(starts(&site.decide()).is_empty());
}

#[test]
fn backlog_counts_jobs_that_have_not_begun() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("first", vec![step(1, 64)]);
    site.submit("second", vec![step(2, 64)]);
    let effects = site.decide();
    assert_eq!(site.confirm(&effects).len(), 1);
    let backlog = site.shard.backlog();
    assert_eq!(backlog[shard::QUEUE].len(), 1);
}

#[test]
fn senseless_jobs_are_refused() {
    let job = |steps| Job { spec: "".into(), steps, schedule: None };
    assert!(job(vec![]).validate().is_err());
    assert!(job(vec![step(0, 1)]).validate().is_err());
    assert!(job(vec![Step { depends_on: vec![0], ..step(1, 1) }]).validate().is_err());
    assert!(job(vec![step(1, 1), Step { depends_on: vec![0], ..step(1, 1) }]).validate().is_ok());
}

#[test]
fn task_names_are_read_back() {
    let id = task("5c0e7a21d94b36f8", 1, 17);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert!("no.number.0.x".parse::<tasks::Id>().is_err());
}

#[test]
fn an_old_row_starts_nothing_again() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("done", vec![step(1, 4)]);
    let (place, id, run) = run_first(&mut site);
    site.look(&place, &[], &[ended(1, id, run, RunOutcome::Done)]);
    let batch = batches(&site.decide()).remove(0);
    site.shard.handle_batch_saved(site.now, &batch);
    site.submit("cancelled", vec![step(1, 4)]);
    site.shard.remove_job(site.now, &Id::new("cancelled"));
    // All rows were read again, and the read began before both jobs were over.
    site.submit("done", vec![step(1, 4)]);
    site.submit("cancelled", vec![step(1, 4)]);
    assert!(starts(&site.decide()).is_empty());
}

#[test]
fn a_batch_fits_the_hundred_rows_of_a_transaction() {
    const ROWS_PER_ENTRY: usize = 3;
    const MAX_ROWS: usize = 100;
    let mut site = Site::with_servers(&["a"]);
    let jobs: Vec<String> = (0..60).map(|number| format!("job{number}")).collect();
    for job in &jobs {
        site.submit(job, vec![step(1, 1)]);
    }
    let effects = site.decide();
    let started = site.confirm(&effects);
    site.advance(50);
    let ends: Vec<_> = (1..)
        .zip(started)
        .map(|(number, (_, start))| ended(number, start.task, start.run, RunOutcome::Done))
        .collect();
    site.look("a", &[], &ends);
    let batch = batches(&site.decide()).remove(0);
    assert!(batch.updates.len() * ROWS_PER_ENTRY <= MAX_ROWS);
    assert!(batch.cursors.is_empty(), "ends of the other jobs are not stored yet");
}
