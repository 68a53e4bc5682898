//! Takeover of a shard: a new holder never starts a task that may still run for an
//! earlier holder.

mod harness;

use std::sync::Arc;

use harness::{
    Harness, POOL, earlier_job, earlier_job_on_a, finished_run, job_key, ms, starts, step, stops,
    taken_shard, task, timings,
};
use skylarkwick_request::{
    job::{
        Step,
        progress::{Progress, TaskPosition, TaskProgress},
        task::{RunId, RunOutcome},
    },
    shard::{
        effect::{Change, Effect},
        input::AcceptedJob,
    },
};
use skylarkwick_version::revision::Revision;

#[test]
fn unknown_servers_awaited() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job());
    assert!(starts(&harness.decide()).is_empty(), "no server is known, so none has answered");
}

#[test]
fn unpolled_server_awaited() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job());
    harness.set_servers(&["a", "b"]);
    harness.report("a", &[], &[]);
    assert!(starts(&harness.decide()).is_empty(), "server b may run the tasks");
    harness.report("b", &[], &[]);
    assert_eq!(starts(&harness.decide()).len(), 2);
}

#[test]
fn running_task_adopted() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness.set_servers(&["a"]);
    harness.report("a", &[(task("job", 0, 0), RunId(5), 40)], &[]);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.task, task("job", 0, 1));
    assert!(
        started[0].1.run > RunId(5),
        "run numbers of a later holder are above those of earlier ones"
    );
}

#[test]
fn adopted_lease_kept() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness.set_servers(&["a"]);
    let run = (task("job", 0, 0), RunId(5), 40);
    harness.report("a", &[run.clone(), (task("job", 0, 1), RunId(6), 40)], &[]);
    harness.advance(1000);
    assert!(starts(&harness.decide()).is_empty(), "an earlier holder renewed the lease");
}

#[test]
fn new_jobs_start() {
    let mut harness = taken_shard();
    harness.set_servers(&["a", "b"]);
    harness.report("a", &[], &[]);
    harness.submit("new", vec![step(1, 4)]);
    assert_eq!(starts(&harness.decide()).len(), 1);
}

#[test]
fn expired_leases_released() {
    let mut harness = taken_shard();
    // Long after the servers started.
    harness.unix_ms = 60_000;
    harness.shard.add_job(harness.now, earlier_job());
    harness.set_servers(&["a", "b"]);
    harness.report("a", &[], &[]);
    assert!(starts(&harness.decide()).is_empty());
    harness.now = harness.now + timings().takeover_grace;
    harness.advance(100);
    harness.report("a", &[], &[]);
    assert_eq!(starts(&harness.decide()).len(), 2);
}

#[test]
fn failures_counted_once() {
    let mut harness = taken_shard();
    let mut progress = Progress::default();
    let position = TaskPosition { occurrence: 0, step: 0, index: 0 };
    let task_progress = TaskProgress {
        failed_runs: [RunId(5)].into(),
        last_ended_run: RunId(5),
        ..TaskProgress::default()
    };
    progress.tasks.insert(position, task_progress);
    let accepted = AcceptedJob { progress, progress_revision: Revision(9), ..earlier_job_on_a() };
    harness.shard.add_job(harness.now, accepted);
    harness.set_servers(&["a"]);
    // The earlier holder stored the result and failed to acknowledge it.
    harness.report("a", &[], &[finished_run(1, task("job", 0, 0), RunId(5), RunOutcome::Failed)]);
    let effects = harness.decide();
    assert_eq!(starts(&effects).len(), 2, "the job fails only after two failures");
}

#[test]
fn unknown_runs_stopped() {
    let mut harness = taken_shard();
    harness.set_servers(&["a"]);
    harness.report("a", &[(task("gone", 0, 0), RunId(5), 40)], &[]);
    let effects = harness.decide();
    assert_eq!(stops(&effects).len(), 1);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Log(_))));
}

#[test]
fn unlisted_server_awaited() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job());
    // Server b is cut off from the platform, so its entry has expired.
    harness.set_servers(&["a"]);
    harness.report("a", &[], &[]);
    assert!(starts(&harness.decide()).is_empty(), "server b may run the tasks");
}

/// Guards against tasks that wait for the end of the grace, because a server that had
/// answered has left before the job was next written.
#[test]
fn answered_server_leaves() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job());
    harness.set_servers(&["a", "b"]);
    harness.report("a", &[], &[]);
    harness.report("b", &[], &[]);
    harness.shard.handle_server_replaced(&Harness::target("a", 1));
    assert_eq!(starts(&harness.decide()).len(), 2, "the runs on server a are known to be over");
}

/// Guards against a server that left long ago and is awaited by each further holder anew.
#[test]
fn grace_ends_record() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job());
    harness.set_servers(&["a"]);
    let runs = [0, 1].map(|index| (task("job", 0, index), RunId(5), 40));
    let grace_end = harness.now + timings().takeover_grace;
    let mut written = Vec::new();
    while harness.now <= grace_end {
        harness.advance(500);
        harness.report("a", &runs, &[]);
        written.extend(harness::batches(&harness.decide()));
    }
    let last = written.pop().map(|batch| batch.updates[0].change.clone());
    let Some(Change::Progress(progress)) = last else {
        panic!("the job is not written without server b");
    };
    assert_eq!(progress.servers, [Arc::from("a")].into());
}

#[test]
fn unrecorded_not_awaited() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness.set_servers(&["a", "b"]);
    harness.report("a", &[], &[]);
    assert_eq!(starts(&harness.decide()).len(), 2, "no start was sent to server b");
}

#[test]
fn unstarted_job_starts() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, Harness::accepted_job("job", vec![step(2, 4)]));
    harness.set_servers(&["a", "b"]);
    harness.report("b", &[], &[]);
    assert_eq!(starts(&harness.decide()).len(), 2);
}

#[test]
fn servers_recorded_first() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(2, 4)]);
    let effects = harness.decide_unsaved();
    assert!(starts(&effects).is_empty());
    let batch = harness::batches(&effects).remove(0);
    let Change::Progress(progress) = &batch.updates[0].change else {
        panic!("the job is not finished");
    };
    assert_eq!(progress.servers, [Arc::from("a")].into());
    harness.shard.handle_batch_saved(harness.now, &batch);
    assert_eq!(starts(&harness.decide_unsaved()).len(), 2);
}

#[test]
fn conflict_blocks_start() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4)]);
    let batch = harness::batches(&harness.decide_unsaved()).remove(0);
    // The previous holder was still active and has started the task elsewhere.
    let servers = [Arc::from("gone")].into();
    let stored = Progress { servers, ..Progress::default() };
    harness.shard.merge_stored_progress(&job_key("job"), Revision(12), Some(&stored));
    harness.shard.handle_batch_save_failed(&batch);
    harness.advance(100);
    let effects = harness.decide();
    assert!(starts(&effects).is_empty(), "its server may run the task");
}

#[test]
fn late_results_count() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(2, 4)]);
    let batch = harness::batches(&harness.decide_unsaved()).remove(0);
    // The previous holder stored a result after the jobs were loaded.
    let mut stored = Progress::default();
    let position = TaskPosition { occurrence: 0, step: 0, index: 0 };
    stored.tasks.insert(
        position,
        TaskProgress { is_done: true, last_ended_run: RunId(5), ..TaskProgress::default() },
    );
    harness.shard.merge_stored_progress(&job_key("job"), Revision(12), Some(&stored));
    harness.shard.handle_batch_save_failed(&batch);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.task, task("job", 0, 1));
}

#[test]
fn unconfirmed_starts_recorded() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 40), dependent_step(40)]);
    let effects = harness.decide();
    let (server_id, start) = harness.confirm_starts(&effects).remove(0);
    harness.submit("new", vec![step(1, 4)]);
    harness.advance(500);
    let result = finished_run(1, start.task, start.run, RunOutcome::Done);
    for name in ["a", "b"] {
        let results = if *name == *server_id.0 { vec![result.clone()] } else { Vec::new() };
        harness.report(name, &[], &results);
    }
    let effects = harness.shard.decide(harness.now, 0, harness.now - ms(4000));
    let started = starts(&effects);
    assert_eq!(started.len(), 1, "the new job is left to the next holder");
    assert_eq!((&started[0].0, &started[0].1.task), (&server_id, &task("job", 1, 0)));
}

fn dependent_step(cores: u64) -> Step {
    Step { depends_on: vec![0], ..step(1, cores) }
}

#[test]
fn failures_merged() {
    let position = TaskPosition { occurrence: 0, step: 0, index: 0 };
    let failed = |run| {
        let mut progress = Progress::default();
        let task_progress = TaskProgress {
            failed_runs: [RunId(run)].into(),
            last_ended_run: RunId(run),
            ..TaskProgress::default()
        };
        progress.tasks.insert(position, task_progress);
        progress
    };
    let mut known = failed(5);
    known.merge(&failed(6));
    known.merge(&failed(5));
    assert_eq!(known.tasks[&position].failed_runs.len(), 2);
}

#[test]
fn earlier_attempts_count() {
    let mut harness = taken_shard();
    harness.shard.set_queues(Vec::new());
    let mut progress = Progress::default();
    let position = TaskPosition { occurrence: 0, step: 0, index: 0 };
    let failed = [RunId(5), RunId(6)].into();
    progress.tasks.insert(
        position,
        TaskProgress { failed_runs: failed, last_ended_run: RunId(6), ..TaskProgress::default() },
    );
    harness.shard.add_job(harness.now, AcceptedJob { progress, ..earlier_job_on_a() });
    harness.shard.set_queues(vec![harness::queue(harness::QUEUE, POOL)]);
    harness.set_servers(&["a"]);
    harness.report("a", &[], &[]);
    assert!(starts(&harness.decide()).is_empty(), "the task has used up its attempts");
}

#[test]
fn reordered_failures_count() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job());
    harness.set_servers(&["a", "b"]);
    harness.report("a", &[], &[finished_run(1, task("job", 0, 0), RunId(6), RunOutcome::Failed)]);
    harness.report("b", &[], &[finished_run(1, task("job", 0, 0), RunId(5), RunOutcome::Failed)]);
    assert!(starts(&harness.decide()).is_empty(), "the task has used up its attempts");
}

/// Guards against a second run beside one in progress, because the server reports the end of
/// an older run of the task only with its next list of ends.
#[test]
fn newer_run_kept() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness.set_servers(&["a", "b"]);
    harness.report("b", &[], &[]);
    let runs = [0, 1].map(|index| (task("job", 0, index), RunId(7), 10));
    harness.report("a", &runs, &[]);
    harness.decide();
    let older = finished_run(501, task("job", 0, 0), RunId(5), RunOutcome::Failed);
    harness.report("a", &runs, &[older]);
    assert!(starts(&harness.decide()).is_empty(), "server a runs the task");
}

/// Guards against a run that goes on after an older run of the same task on that server has
/// succeeded.
#[test]
fn newer_run_stopped() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness.set_servers(&["a"]);
    let runs = [0, 1].map(|index| (task("job", 0, index), RunId(7), 10));
    harness.report("a", &runs, &[]);
    harness.decide();
    let older = finished_run(501, task("job", 0, 0), RunId(5), RunOutcome::Done);
    harness.report("a", &runs, &[older]);
    assert_eq!(stops(&harness.decide()).len(), 1, "the task is done");
}

/// Guards against a second run of a task that an earlier holder has started on the next
/// incarnation of a server, which this holder has not polled yet.
#[test]
fn replaced_server_awaited() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness.set_servers(&["a", "b"]);
    harness.report("b", &[], &[]);
    harness.shard.handle_server_replaced(&Harness::target("a", 1));
    assert!(starts(&harness.decide()).is_empty(), "server a may run the tasks");
    harness.set_servers(&["a", "b"]);
    assert!(starts(&harness.decide()).is_empty(), "server a has not answered");
    harness.report("a", &[], &[]);
    assert_eq!(starts(&harness.decide()).len(), 2);
}

#[test]
fn earlier_failures_count() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job());
    harness.set_servers(&["a", "b", "c"]);
    harness.report("a", &[(task("job", 0, 0), RunId(7), 10)], &[]);
    harness.report("b", &[], &[finished_run(1, task("job", 0, 0), RunId(5), RunOutcome::Failed)]);
    harness.report("c", &[], &[finished_run(1, task("job", 0, 0), RunId(6), RunOutcome::Failed)]);
    let effects = harness.decide();
    assert!(starts(&effects).is_empty());
    assert_eq!(stops(&effects).len(), 1, "the job has failed, so its last run is stopped");
}

#[test]
fn late_success_stops() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_job());
    harness.set_servers(&["a", "b"]);
    harness.report("a", &[(task("job", 0, 0), RunId(7), 10)], &[]);
    harness.report("b", &[], &[finished_run(1, task("job", 0, 0), RunId(5), RunOutcome::Done)]);
    let effects = harness.decide();
    assert_eq!(stops(&effects).len(), 1);
    assert_eq!(starts(&effects).len(), 1, "only the other task is left");
}
