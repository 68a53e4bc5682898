//! Quotas of workspaces in a shard: what may be running never exceeds one, whatever is silent,
//! being stopped or not known yet.

mod harness;

use std::{collections::BTreeMap, sync::Arc};

use harness::{Harness, earlier_job_on_a, finished_run, job_key, starts, step, taken_shard, task};
use skylarkwick_request::{
    job::{
        Step,
        task::{RunId, RunOutcome},
    },
    shard::input::AcceptedJob,
};
use skylarkwick_version::{
    resources::Resources,
    workspace::{Quota, Workspace, Workspaces},
};

const NAME: &str = "bakery";

fn cores(cores: u64) -> Resources {
    Resources { millicores: cores * 1000, ..Resources::default() }
}

fn workspaces(quota_cores: u64) -> Workspaces {
    let workspace = Workspace { weight: 0.0, quota: Quota(cores(quota_cores)) };
    Workspaces::from([(Arc::from(NAME), workspace)])
}

fn limited_harness(quota_cores: u64) -> Harness {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.shard.set_workspaces(workspaces(quota_cores));
    harness
}

fn submit(harness: &mut Harness, id: &str, steps: Vec<Step>) {
    let workspace = Some(Arc::from(NAME));
    let accepted = AcceptedJob { workspace, ..Harness::accepted_job(id, steps) };
    harness.shard.add_job(harness.now, accepted);
}

fn count_starts(harness: &mut Harness) -> usize {
    let effects = harness.decide();
    harness.confirm_starts(&effects).len()
}

#[test]
fn wide_job_in_waves() {
    let mut harness = limited_harness(10);
    submit(&mut harness, "job", vec![step(8, 4)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    assert_eq!(started.len(), 2);
    assert_eq!(count_starts(&mut harness), 0);
    let ends: Vec<_> = (1..)
        .zip(&started)
        .map(|(number, (_, start))| {
            finished_run(number, start.task.clone(), start.run, RunOutcome::Done)
        })
        .collect();
    harness.report("a", &[], &ends);
    assert_eq!(count_starts(&mut harness), 2);
    let need = harness.shard.quota_needs()[NAME];
    assert_eq!((need.used, need.limit), (cores(8) + memory(2), quota_limit(10)));
}

fn memory(tasks: u64) -> Resources {
    Resources { memory_mib: 64 * tasks, ..Resources::default() }
}

fn quota_limit(quota_cores: u64) -> Resources {
    Quota(cores(quota_cores)).ceiling()
}

/// The other jobs of the queue start as if there were no quota.
#[test]
fn others_unaffected() {
    let mut harness = limited_harness(4);
    submit(&mut harness, "job", vec![step(8, 4)]);
    harness.submit("free", vec![step(8, 4)]);
    assert_eq!(count_starts(&mut harness), 9);
}

#[test]
fn gang_starts_whole() {
    let mut harness = limited_harness(16);
    submit(&mut harness, "small", vec![step(1, 4)]);
    assert_eq!(count_starts(&mut harness), 1);
    submit(&mut harness, "gang", vec![Step { is_gang: true, ..step(4, 4) }]);
    assert_eq!(count_starts(&mut harness), 0, "one member would not fit");
    let need = harness.shard.quota_needs()[NAME];
    assert_eq!(need.unit, cores(16) + memory(4));
    harness.shard.set_workspaces(workspaces(20));
    assert_eq!(count_starts(&mut harness), 4);
}

/// A run that is being stopped goes on until its server says that it has ended.
#[test]
fn stopping_runs_count() {
    let mut harness = limited_harness(8);
    submit(&mut harness, "old", vec![step(2, 4)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    harness.shard.remove_job(harness.now, &job_key("old"));
    submit(&mut harness, "new", vec![step(2, 4)]);
    assert_eq!(count_starts(&mut harness), 0, "the cancelled job still runs");
    let running: Vec<_> =
        started.iter().map(|(_, start)| (start.task.clone(), start.run, 10)).collect();
    harness.report("a", &running, &[]);
    assert_eq!(count_starts(&mut harness), 0);
    let end = |number, (_, start): &(_, skylarkwick_request::shard::effect::Start)| {
        finished_run(number, start.task.clone(), start.run, RunOutcome::Stopped)
    };
    let ends = [end(1, &started[0]), end(2, &started[1])];
    harness.report("a", &[], &ends);
    assert_eq!(count_starts(&mut harness), 2);
}

/// A start without an answer may still be carried out.
#[test]
fn unanswered_starts_count() {
    let mut harness = limited_harness(8);
    submit(&mut harness, "job", vec![step(4, 4)]);
    assert_eq!(starts(&harness.decide()).len(), 2);
    harness.fail_poll("a");
    assert_eq!(starts(&harness.decide()).len(), 0);
}

/// What an earlier holder may have started counts until its servers have answered.
#[test]
fn earlier_runs_count() {
    let mut harness = taken_shard();
    harness.shard.set_workspaces(workspaces(8));
    let workspace = Some(Arc::from(NAME));
    harness.shard.add_job(harness.now, AcceptedJob { workspace, ..earlier_job_on_a() });
    submit(&mut harness, "new", vec![step(1, 4)]);
    harness.set_servers(&["a", "b"]);
    harness.report("b", &[], &[]);
    assert_eq!(count_starts(&mut harness), 0, "server a may run two tasks");
    harness.report("a", &[(task("job", 0, 0), RunId(5), 40)], &[]);
    assert_eq!(count_starts(&mut harness), 1);
}

/// A run whose job is over when it is reported was the earlier holder's, of any workspace.
#[test]
fn unknown_runs_count() {
    let mut harness = taken_shard();
    harness.shard.set_workspaces(workspaces(4));
    harness.set_servers(&["a"]);
    harness.report("a", &[(task("gone", 0, 0), RunId(5), 40)], &[]);
    submit(&mut harness, "new", vec![step(1, 4)]);
    assert_eq!(count_starts(&mut harness), 0);
    let end = finished_run(1, task("gone", 0, 0), RunId(5), RunOutcome::Stopped);
    harness.report("a", &[], &[end]);
    assert_eq!(count_starts(&mut harness), 1);
}

#[test]
fn lowered_quota_starts_nothing() {
    let mut harness = limited_harness(32);
    submit(&mut harness, "job", vec![step(8, 4)]);
    submit(&mut harness, "later", vec![step(4, 4)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    assert_eq!(started.len(), 8);
    harness.shard.set_workspaces(workspaces(12));
    let end = |number: usize| {
        let start = &started[number - 1].1;
        finished_run(number as u64, start.task.clone(), start.run, RunOutcome::Done)
    };
    let running = |first: usize| -> Vec<_> {
        started[first..].iter().map(|(_, start)| (start.task.clone(), start.run, 10)).collect()
    };
    let ends: Vec<_> = (1..=5).map(end).collect();
    harness.report("a", &running(5), &ends);
    assert_eq!(count_starts(&mut harness), 0, "three still run");
    let ends: Vec<_> = (1..=6).map(end).collect();
    harness.report("a", &running(6), &ends);
    assert_eq!(count_starts(&mut harness), 1);
}

/// A shard of a divided site goes by its part, and by none before it has one.
#[test]
fn divided_site_by_parts() {
    let mut harness = limited_harness(100);
    harness.shard.set_quota_limits(BTreeMap::new());
    submit(&mut harness, "job", vec![step(8, 4)]);
    assert_eq!(count_starts(&mut harness), 0);
    let need = harness.shard.quota_needs()[NAME];
    assert_eq!((need.used, need.demand.millicores), (Resources::default(), 32_000));
    let limit = Resources { memory_mib: u64::MAX, accelerators: u64::MAX, ..cores(12) };
    harness.shard.set_quota_limits(BTreeMap::from([(Arc::from(NAME), limit)]));
    assert_eq!(count_starts(&mut harness), 3);
}
