//! A new holder never starts what an earlier one may have running.

mod shard;

use std::sync::Arc;

use shard::{POOL, Site, ended, ms, starts, step, stops, task, timings};
use skylarkwick_request::{
    job::{
        Id, Step,
        progress::{Progress, TaskPosition, TaskProgress},
        task::{RunId, RunOutcome},
    },
    shard::{
        effect::{Change, Effect},
        input::AcceptedJob,
    },
};
use skylarkwick_version::revision::Revision;

/// A shard just taken, whose hosts are listed.
fn taken() -> Site {
    let mut site = Site::new(2);
    site.shard.set_hosts(site.now, Vec::new());
    site
}

/// A job of which an earlier holder may have started tasks on servers a and b.
fn inherited() -> AcceptedJob {
    let mut accepted = Site::accepted("job", vec![step(2, 4)]);
    accepted.progress.servers = [Arc::from("a"), Arc::from("b")].into();
    accepted.progress_revision = Revision(8);
    accepted
}

/// The same job, all of whose tasks were started on server a, if at all.
fn inherited_on_a() -> AcceptedJob {
    let mut accepted = inherited();
    accepted.progress.servers = [Arc::from("a")].into();
    accepted
}

#[test]
fn waits_for_the_list_of_servers() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited());
    assert!(starts(&site.decide()).is_empty(), "no server is known, so none has answered");
}

#[test]
fn waits_for_every_server_of_the_pool() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited());
    site.list(&["a", "b"]);
    site.look("a", &[], &[]);
    assert!(starts(&site.decide()).is_empty(), "server b may run the tasks");
    site.look("b", &[], &[]);
    assert_eq!(starts(&site.decide()).len(), 2);
}

#[test]
fn adopts_what_runs() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited_on_a());
    site.list(&["a"]);
    site.look("a", &[(task("job", 0, 0), RunId(5), 40)], &[]);
    let started = starts(&site.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.task, task("job", 0, 1));
    assert!(started[0].1.run > RunId(5), "runs rise over holders");
}

#[test]
fn adopted_runs_have_a_lease() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited_on_a());
    site.list(&["a"]);
    let run = (task("job", 0, 0), RunId(5), 40);
    site.look("a", &[run.clone(), (task("job", 0, 1), RunId(6), 40)], &[]);
    site.advance(1000);
    assert!(starts(&site.decide()).is_empty(), "an earlier holder renewed the lease");
}

#[test]
fn new_jobs_need_not_wait() {
    let mut site = taken();
    site.list(&["a", "b"]);
    site.look("a", &[], &[]);
    site.submit("new", vec![step(1, 4)]);
    assert_eq!(starts(&site.decide()).len(), 1);
}

#[test]
fn doubt_ends_with_the_last_lease() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited());
    site.list(&["a", "b"]);
    site.look("a", &[], &[]);
    assert!(starts(&site.decide()).is_empty());
    site.now = site.now + timings().takeover_grace;
    site.advance(100);
    site.look("a", &[], &[]);
    assert_eq!(starts(&site.decide()).len(), 2);
}

#[test]
fn ends_are_counted_once() {
    let mut site = taken();
    let mut progress = Progress::default();
    let place = TaskPosition { occurrence: 0, step: 0, index: 0 };
    let note = TaskProgress {
        failed_runs: [RunId(5)].into(),
        last_ended_run: RunId(5),
        ..TaskProgress::default()
    };
    progress.tasks.insert(place, note);
    let accepted = AcceptedJob { progress, progress_revision: Revision(9), ..inherited_on_a() };
    site.shard.add_job(site.now, accepted);
    site.list(&["a"]);
    // The earlier holder stored the end and could not acknowledge it.
    site.look("a", &[], &[ended(1, task("job", 0, 0), RunId(5), RunOutcome::Failed)]);
    let effects = site.decide();
    assert_eq!(starts(&effects).len(), 2, "one failure of two is no end of the job");
}

#[test]
fn runs_of_jobs_that_are_over_are_stopped() {
    let mut site = taken();
    site.list(&["a"]);
    site.look("a", &[(task("gone", 0, 0), RunId(5), 40)], &[]);
    let effects = site.decide();
    assert_eq!(stops(&effects).len(), 1);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Log(_))));
}

#[test]
fn waits_for_servers_that_left_the_list() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited());
    // Server b is cut off from the platform, so its entry has lapsed.
    site.list(&["a"]);
    site.look("a", &[], &[]);
    assert!(starts(&site.decide()).is_empty(), "server b may run the tasks");
}

#[test]
fn waits_for_no_other_server() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited_on_a());
    site.list(&["a", "b"]);
    site.look("a", &[], &[]);
    assert_eq!(starts(&site.decide()).len(), 2, "server b was never told to start them");
}

#[test]
fn a_job_that_was_never_started_waits_for_no_server() {
    let mut site = taken();
    site.shard.add_job(site.now, Site::accepted("job", vec![step(2, 4)]));
    site.list(&["a", "b"]);
    site.look("b", &[], &[]);
    assert_eq!(starts(&site.decide()).len(), 2);
}

#[test]
fn nothing_starts_before_its_server_is_stored() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("job", vec![step(2, 4)]);
    let effects = site.decide_unstored();
    assert!(starts(&effects).is_empty());
    let batch = shard::batches(&effects).remove(0);
    let Change::Progress(progress) = &batch.updates[0].change else {
        panic!("the job is not over");
    };
    assert_eq!(progress.servers, [Arc::from("a")].into());
    site.shard.handle_batch_saved(site.now, &batch);
    assert_eq!(starts(&site.decide_unstored()).len(), 2);
}

#[test]
fn nothing_starts_after_a_conflict() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![step(1, 4)]);
    let batch = shard::batches(&site.decide_unstored()).remove(0);
    // The last holder was still at work, and has started the task elsewhere.
    let servers = [Arc::from("gone")].into();
    let other = Progress { servers, ..Progress::default() };
    site.shard.merge_stored_progress(&Id::new("job"), Revision(12), Some(&other));
    site.shard.handle_batch_save_failed(&batch);
    site.advance(100);
    let effects = site.decide();
    assert!(starts(&effects).is_empty(), "its server may run the task");
}

#[test]
fn ends_stored_by_the_last_holder_since_count() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("job", vec![step(2, 4)]);
    let batch = shard::batches(&site.decide_unstored()).remove(0);
    // The last holder has stored an end since the jobs were loaded.
    let mut other = Progress::default();
    let place = TaskPosition { occurrence: 0, step: 0, index: 0 };
    other.tasks.insert(
        place,
        TaskProgress { is_done: true, last_ended_run: RunId(5), ..TaskProgress::default() },
    );
    site.shard.merge_stored_progress(&Id::new("job"), Revision(12), Some(&other));
    site.shard.handle_batch_save_failed(&batch);
    let started = starts(&site.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.task, task("job", 0, 1));
}

#[test]
fn an_uncertain_holder_uses_stored_servers_alone() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![step(1, 40), step_after(40)]);
    let effects = site.decide();
    let (place, start) = site.confirm(&effects).remove(0);
    site.submit("new", vec![step(1, 4)]);
    site.advance(500);
    let end = ended(1, start.task, start.run, RunOutcome::Done);
    for name in ["a", "b"] {
        let ends = if *name == *place.0 { vec![end.clone()] } else { Vec::new() };
        site.look(name, &[], &ends);
    }
    let effects = site.shard.decide(site.now, 0, site.now - ms(4000));
    let started = starts(&effects);
    assert_eq!(started.len(), 1, "the next holder starts the new job");
    assert_eq!((&started[0].0, &started[0].1.task), (&place, &task("job", 1, 0)));
}

fn step_after(cores: u64) -> Step {
    Step { depends_on: vec![0], ..step(1, cores) }
}

#[test]
fn failures_known_to_either_holder_count() {
    let place = TaskPosition { occurrence: 0, step: 0, index: 0 };
    let failed = |run| {
        let mut progress = Progress::default();
        let note = TaskProgress {
            failed_runs: [RunId(run)].into(),
            last_ended_run: RunId(run),
            ..TaskProgress::default()
        };
        progress.tasks.insert(place, note);
        progress
    };
    let mut known = failed(5);
    known.merge(&failed(6));
    known.merge(&failed(5));
    assert_eq!(known.tasks[&place].failed_runs.len(), 2);
}

#[test]
fn attempts_count_before_the_configuration_is_known() {
    let mut site = taken();
    site.shard.set_queues(Vec::new());
    let mut progress = Progress::default();
    let place = TaskPosition { occurrence: 0, step: 0, index: 0 };
    let failed = [RunId(5), RunId(6)].into();
    progress.tasks.insert(
        place,
        TaskProgress { failed_runs: failed, last_ended_run: RunId(6), ..TaskProgress::default() },
    );
    site.shard.add_job(site.now, AcceptedJob { progress, ..inherited_on_a() });
    site.shard.set_queues(vec![shard::queue(shard::QUEUE, POOL)]);
    site.list(&["a"]);
    site.look("a", &[], &[]);
    assert!(starts(&site.decide()).is_empty(), "the task has failed as often as it may");
}

#[test]
fn ends_of_several_servers_count_in_any_order() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited());
    site.list(&["a", "b"]);
    site.look("a", &[], &[ended(1, task("job", 0, 0), RunId(6), RunOutcome::Failed)]);
    site.look("b", &[], &[ended(1, task("job", 0, 0), RunId(5), RunOutcome::Failed)]);
    assert!(starts(&site.decide()).is_empty(), "the task has failed as often as it may");
}

#[test]
fn earlier_failures_count_after_a_later_run_is_adopted() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited());
    site.list(&["a", "b", "c"]);
    site.look("a", &[(task("job", 0, 0), RunId(7), 10)], &[]);
    site.look("b", &[], &[ended(1, task("job", 0, 0), RunId(5), RunOutcome::Failed)]);
    site.look("c", &[], &[ended(1, task("job", 0, 0), RunId(6), RunOutcome::Failed)]);
    let effects = site.decide();
    assert!(starts(&effects).is_empty());
    assert_eq!(stops(&effects).len(), 1, "the job has failed, so its last run is stopped");
}

#[test]
fn a_late_good_end_stops_the_run_that_repeats_it() {
    let mut site = taken();
    site.shard.add_job(site.now, inherited());
    site.list(&["a", "b"]);
    site.look("a", &[(task("job", 0, 0), RunId(7), 10)], &[]);
    site.look("b", &[], &[ended(1, task("job", 0, 0), RunId(5), RunOutcome::Done)]);
    let effects = site.decide();
    assert_eq!(stops(&effects).len(), 1);
    assert_eq!(starts(&effects).len(), 1, "only the other task is left");
}
