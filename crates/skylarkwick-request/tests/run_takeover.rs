//! A new holder never starts what an earlier one may have running.

mod shard;

use shard::{POOL, Site, ended, rules, starts, step, stops, task, up};
use skylarkwick_request::{
    job::{
        progress::{Note, Place, Progress},
        task::{End, Run},
    },
    shard::{effect::Effect, fact::Accepted},
};
use skylarkwick_version::revision::Revision;

/// A shard just taken, whose hosts are listed.
fn taken() -> Site {
    let mut site = Site::new(2);
    site.shard.list_hosts(site.now, Vec::new());
    site
}

fn inherited() -> Accepted {
    Accepted { is_inherited: true, ..Site::accepted("job", vec![step(2, 4)]) }
}

#[test]
fn waits_for_the_list_of_servers() {
    let mut site = taken();
    site.shard.submit(site.now, inherited());
    assert!(starts(&site.decide()).is_empty(), "no server is known, so none has answered");
}

#[test]
fn waits_for_every_server_of_the_pool() {
    let mut site = taken();
    site.shard.submit(site.now, inherited());
    site.list(&["a", "b"]);
    site.look("a", &[], &[]);
    assert!(starts(&site.decide()).is_empty(), "server b may run the tasks");
    site.look("b", &[], &[]);
    assert_eq!(starts(&site.decide()).len(), 2);
}

#[test]
fn adopts_what_runs() {
    let mut site = taken();
    site.shard.submit(site.now, inherited());
    site.list(&["a"]);
    site.look("a", &[(task("job", 0, 0), Run(5), 40)], &[]);
    let started = starts(&site.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.task, task("job", 0, 1));
    assert!(started[0].1.run > Run(5), "runs rise over holders");
}

#[test]
fn adopted_runs_have_a_lease() {
    let mut site = taken();
    site.shard.submit(site.now, inherited());
    site.list(&["a"]);
    let run = (task("job", 0, 0), Run(5), 40);
    site.look("a", &[run.clone(), (task("job", 0, 1), Run(6), 40)], &[]);
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
    site.shard.submit(site.now, inherited());
    site.list(&["a", "b"]);
    site.look("a", &[], &[]);
    assert!(starts(&site.decide()).is_empty());
    site.now = site.now + rules().doubt;
    site.advance(100);
    site.look("a", &[], &[]);
    assert_eq!(starts(&site.decide()).len(), 2);
}

#[test]
fn ends_are_counted_once() {
    let mut site = taken();
    let mut progress = Progress::default();
    let place = Place { occurrence: 0, step: 0, index: 0 };
    let note = Note { failed: [Run(5)].into(), last_end: Run(5), ..Note::default() };
    progress.notes.insert(place, note);
    let accepted = Accepted { progress, progress_revision: Revision(9), ..inherited() };
    site.shard.submit(site.now, accepted);
    site.list(&["a"]);
    // The earlier holder stored the end and could not acknowledge it.
    site.look("a", &[], &[ended(1, task("job", 0, 0), Run(5), End::Failed)]);
    let effects = site.decide();
    assert_eq!(starts(&effects).len(), 2, "one failure of two is no end of the job");
}

#[test]
fn runs_of_jobs_that_are_over_are_stopped() {
    let mut site = taken();
    site.list(&["a"]);
    site.look("a", &[(task("gone", 0, 0), Run(5), 40)], &[]);
    let effects = site.decide();
    assert_eq!(stops(&effects).len(), 1);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Explain(_))));
}

#[test]
fn waits_for_servers_that_left_the_list() {
    let mut site = Site::new(2);
    site.shard.submit(site.now, inherited());
    site.list(&["a"]);
    site.look("a", &[], &[]);
    assert!(starts(&site.decide()).is_empty(), "the hosts are not listed yet");
    // Server b is cut off from the platform, so its entry has lapsed.
    let hosts = vec![up("a", POOL, Some("a")), up("b", POOL, Some("b"))];
    site.shard.list_hosts(site.now, hosts);
    assert!(starts(&site.decide()).is_empty(), "server b may run the tasks");
    site.shard.list_hosts(site.now, vec![up("a", POOL, Some("a"))]);
    assert_eq!(starts(&site.decide()).len(), 2);
}

#[test]
fn progress_is_read_again_once_the_servers_are_fenced() {
    let mut site = Site::contested(2);
    site.shard.list_hosts(site.now, Vec::new());
    site.shard.submit(site.now, inherited());
    site.list(&["a"]);
    let asks = |effects: &[Effect]| effects.contains(&Effect::Reread);
    assert!(!asks(&site.decide()), "the last holder can still acknowledge ends");
    site.look("a", &[], &[]);
    let effects = site.decide();
    assert!(asks(&effects));
    assert!(starts(&effects).is_empty());
    // The last holder has stored an end since the jobs were loaded.
    let mut progress = Progress::default();
    let place = Place { occurrence: 0, step: 0, index: 0 };
    progress.notes.insert(place, Note { is_done: true, last_end: Run(5), ..Note::default() });
    site.shard.reread(vec![(inherited().id, Revision(12), progress)]);
    let started = starts(&site.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.task, task("job", 0, 1));
}

#[test]
fn failures_known_to_either_holder_count() {
    let place = Place { occurrence: 0, step: 0, index: 0 };
    let failed = |run| {
        let mut progress = Progress::default();
        let note = Note { failed: [Run(run)].into(), last_end: Run(run), ..Note::default() };
        progress.notes.insert(place, note);
        progress
    };
    let mut known = failed(5);
    known.merge(&failed(6));
    known.merge(&failed(5));
    assert_eq!(known.notes[&place].failed.len(), 2);
}

#[test]
fn attempts_count_before_the_configuration_is_known() {
    let mut site = taken();
    site.shard.configure(Vec::new());
    let mut progress = Progress::default();
    let place = Place { occurrence: 0, step: 0, index: 0 };
    let failed = [Run(5), Run(6)].into();
    progress.notes.insert(place, Note { failed, last_end: Run(6), ..Note::default() });
    site.shard.submit(site.now, Accepted { progress, ..inherited() });
    site.shard.configure(vec![shard::queue(shard::QUEUE, POOL)]);
    site.list(&["a"]);
    site.look("a", &[], &[]);
    assert!(starts(&site.decide()).is_empty(), "the task has failed as often as it may");
}

#[test]
fn ends_of_several_servers_count_in_any_order() {
    let mut site = taken();
    site.shard.submit(site.now, inherited());
    site.list(&["a", "b"]);
    site.look("a", &[], &[ended(1, task("job", 0, 0), Run(6), End::Failed)]);
    site.look("b", &[], &[ended(1, task("job", 0, 0), Run(5), End::Failed)]);
    assert!(starts(&site.decide()).is_empty(), "the task has failed as often as it may");
}

#[test]
fn earlier_failures_count_after_a_later_run_is_adopted() {
    let mut site = taken();
    site.shard.submit(site.now, inherited());
    site.list(&["a", "b", "c"]);
    site.look("a", &[(task("job", 0, 0), Run(7), 10)], &[]);
    site.look("b", &[], &[ended(1, task("job", 0, 0), Run(5), End::Failed)]);
    site.look("c", &[], &[ended(1, task("job", 0, 0), Run(6), End::Failed)]);
    let effects = site.decide();
    assert!(starts(&effects).is_empty());
    assert_eq!(stops(&effects).len(), 1, "the job has failed, so its last run is stopped");
}

#[test]
fn a_late_good_end_stops_the_run_that_repeats_it() {
    let mut site = taken();
    site.shard.submit(site.now, inherited());
    site.list(&["a", "b"]);
    site.look("a", &[(task("job", 0, 0), Run(7), 10)], &[]);
    site.look("b", &[], &[ended(1, task("job", 0, 0), Run(5), End::Done)]);
    let effects = site.decide();
    assert_eq!(stops(&effects).len(), 1);
    assert_eq!(starts(&effects).len(), 1, "only the other task is left");
}

#[test]
fn a_holder_back_from_a_cut_starts_no_newer_job() {
    let mut site = Site::with_servers(&["a"]);
    site.submit("before", vec![step(1, 4)]);
    site.advance(5000);
    site.look("a", &[], &[]);
    // The cut heals, and the feed tells of a job that the next holder may run.
    site.submit("since", vec![step(1, 4)]);
    let started = starts(&site.decide_in_doubt());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.task, task("before", 0, 0));
    assert_eq!(starts(&site.decide()).len(), 1, "the lease is confirmed again");
}
