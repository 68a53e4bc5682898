//! The row of a job's progress is storable, however many tasks the job has and whatever
//! happens to them (review/7).

use std::sync::Arc;

use skylarkwick_connection::store::row::{self, ProgressRow};
use skylarkwick_request::job::{
    progress::{Progress, TaskPosition, TaskProgress},
    ranges::Ranges,
    task::RunId,
};

/// Largest value of a row, as the platform's pages state it.
const ROW_BYTES: usize = 65_536;
/// Largest number of tasks of a submitted job.
const JOB_TASKS: usize = 100_000;
/// Largest number of tasks of a step.
const STEP_TASKS: usize = 10_000;
/// A shard has up to 172 hosts; each may have a server that has left beside its current one.
const SERVERS: usize = 344;
/// Largest sum of weights of the unsettled tasks, and the weight of a task without runs.
const WEIGHT: (usize, usize) = (6_000, 2);

fn position(occurrence: u32, task: usize) -> TaskPosition {
    TaskPosition { occurrence, step: task / STEP_TASKS, index: task % STEP_TASKS }
}

/// Adds tasks that have failed this often, as many as a holder lets be unsettled.
fn fail_tasks(progress: &mut Progress, occurrence: u32, failures: usize) {
    let tasks = WEIGHT.0 / (WEIGHT.1 + failures);
    for task in 0..tasks {
        let runs = (0..failures).map(|run| RunId::first_of_term(9_000 + run as u64));
        let failed = TaskProgress {
            failed_runs: runs.collect(),
            last_ended_run: RunId::first_of_term(9_999),
            checkpoint: Arc::from("00000bb87a21d94b"),
            is_done: false,
        };
        progress.tasks.insert(position(occurrence, JOB_TASKS - 1 - 2 * task), failed);
    }
}

fn done() -> TaskProgress {
    let last_ended_run = RunId::first_of_term(9_999);
    TaskProgress { is_done: true, last_ended_run, ..TaskProgress::default() }
}

fn with_servers() -> Progress {
    let servers = (0..SERVERS).map(|number| Arc::from(format!("i-9ad4d5e8{number:03}")));
    Progress { servers: servers.collect(), ..Progress::default() }
}

/// Encodes progress and decodes it again.
fn read_back(progress: &Progress) -> Progress {
    let bytes = row::encode_progress(progress);
    assert!(bytes.len() <= ROW_BYTES, "the store refuses {} bytes", bytes.len());
    let row = row::decode::<ProgressRow>(&bytes).expect("it decodes");
    Progress::try_from(row).expect("it is valid")
}

/// Returns the number of tasks that are done or have progress.
fn count(progress: &Progress) -> usize {
    progress.tasks.len() + progress.done_tasks.values().map(Ranges::len).sum::<usize>()
}

/// Guards against a job that stands still for good, because its ended tasks outgrow a row.
#[test]
fn ended_tasks_fit() {
    let mut progress = with_servers();
    for task in 0..15_499 {
        progress.tasks.insert(position(0, task), done());
    }
    let read = read_back(&progress);
    assert_eq!(count(&read), 15_499);
    assert!(progress.tasks.keys().all(|position| read.is_done(*position)));
    assert_eq!(read.servers, progress.servers);
}

/// The worst case of a job: every second task has succeeded, and as many others as a holder
/// lets be unsettled have failed.
#[test]
fn failed_tasks_fit() {
    for failures in 1..8 {
        let mut progress = with_servers();
        for task in (0..JOB_TASKS).step_by(2) {
            progress.tasks.insert(position(0, task), done());
        }
        fail_tasks(&mut progress, 0, failures);
        let read = read_back(&progress);
        assert_eq!(count(&read), progress.tasks.len());
        for (position, task) in &progress.tasks {
            assert_eq!(read.is_done(*position), task.is_done);
            assert!(task.is_done || read.tasks[position].failed_runs == task.failed_runs);
        }
    }
}

/// Guards against the checkpoints of running tasks outgrowing a row; as many as fit are kept.
#[test]
fn checkpoints_fit() {
    let mut progress = with_servers();
    for task in 0..STEP_TASKS {
        let checkpoint = Arc::from("00000bb87a21d94b");
        let stopped = TaskProgress { checkpoint, ..TaskProgress::default() };
        progress.tasks.insert(position(0, task), stopped);
    }
    let read = read_back(&progress);
    assert!(read.tasks.len() > 1_000, "{} checkpoints are kept", read.tasks.len());
    assert!(read.tasks.iter().all(|(position, task)| progress.tasks[position] == *task));
}

/// Guards against a scheduled job that stands still, because its past occurrences outgrow a
/// row.
#[test]
fn past_occurrences_fit() {
    let mut progress = with_servers();
    for occurrence in 0..20_000 {
        for task in 0..6 {
            progress.tasks.insert(position(occurrence, task), done());
        }
        if occurrence != 7 {
            progress.done_occurrences.insert(occurrence);
        }
    }
    let read = read_back(&progress);
    assert_eq!(read.done_occurrences, progress.done_occurrences);
    let left = read.done_tasks.iter().map(|(step, done)| (*step, done.len()));
    assert_eq!(left.collect::<Vec<_>>(), [((7, 0), 6)], "one occurrence is not done");
    assert!(read.tasks.is_empty());
}
