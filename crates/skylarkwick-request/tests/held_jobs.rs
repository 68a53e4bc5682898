//! What held waiting jobs back, and for how long, as the holder logs it.

mod harness;

use std::{collections::BTreeMap, sync::Arc};

use harness::{Harness, POOL, finished_run, ms, step};
use skylarkwick_request::{
    job::{Step, task},
    shard::{Holds, input::AcceptedJob},
};
use skylarkwick_version::{
    resources::Resources,
    workspace::{Quota, Workspace, Workspaces},
};

fn submit(harness: &mut Harness, workspace: &str, id: &str, cores: u64) {
    let workspace = Some(Arc::from(workspace));
    let accepted = AcceptedJob { workspace, ..Harness::accepted_job(id, vec![step(1, cores)]) };
    harness.shard.add_job(harness.now, accepted);
}

fn workspaces() -> Workspaces {
    let workspace = |weight, cores: u64| Workspace {
        weight,
        quota: Quota(Resources { millicores: cores * 1000, memory_mib: 0, accelerators: 0 }),
    };
    [("limited", workspace(100.0, 8)), ("hot", workspace(1.0, 0)), ("quiet", workspace(100.0, 0))]
        .map(|(name, workspace)| (Arc::from(name), workspace))
        .into()
}

fn held(harness: &Harness) -> BTreeMap<Arc<str>, Holds> {
    let loads = harness.shard.workspace_loads(harness.now);
    loads.into_iter().map(|(name, load)| (name, load.held)).collect()
}

/// Without the cause, a job beside free servers that waits for ever can't be explained.
#[test]
fn causes_told_apart() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.shard.set_workspaces(workspaces());
    submit(&mut harness, "limited", "limited-0", 8);
    submit(&mut harness, "limited", "limited-1", 8);
    for number in 0..8 {
        submit(&mut harness, "hot", &format!("hot-{number}"), 10);
    }
    harness.decide();
    harness.advance(2000);
    harness.decide();
    let holds = held(&harness);
    assert_eq!((holds["limited"].quota, holds["limited"].reserve), (1, 0));
    assert!(holds["limited"].longest >= ms(2000));
    assert!(holds["hot"].reserve > 0, "{holds:?}");
    assert_eq!((holds["hot"].quota, holds["hot"].room), (0, 0));

    for number in 0..2 {
        submit(&mut harness, "quiet", &format!("quiet-{number}"), 30);
    }
    harness.decide();
    assert_eq!(held(&harness)["quiet"].room, 2);
    assert_eq!(harness.shard.pool_loads(harness.now)[POOL].held.quota, 1);
}

/// A job that starts is not held back any more.
#[test]
fn start_ends_hold() {
    let mut harness = Harness::with_servers(&["a"]);
    submit(&mut harness, "quiet", "large", 60);
    submit(&mut harness, "quiet", "next", 60);
    let effects = harness.decide();
    assert_eq!(held(&harness)["quiet"].room, 1);
    let (_, start) = harness.confirm_starts(&effects).remove(0);
    let end = finished_run(1, start.task, start.run, task::RunOutcome::Done);
    harness.report("a", &[], &[end]);
    harness.decide();
    assert_eq!(held(&harness)["quiet"], Holds::default());
}

/// A best-effort task that finds no memory lacks no processor time; the logs showed a pool with
/// free cores as one that is short of them.
#[test]
fn best_effort_lacks_memory() {
    let mut harness = Harness::with_servers(&["a"]);
    let memory = |memory_mib| Resources { millicores: 60_000, memory_mib, accelerators: 0 };
    let best_effort = Step { is_best_effort: true, ..step(1, 60) };
    for (id, memory_mib) in [("large", 65_000), ("next", 1000)] {
        let resources = memory(memory_mib);
        harness.submit(id, vec![Step { resources, ..best_effort.clone() }]);
    }
    harness.decide();
    let load = harness.shard.pool_loads(harness.now)[POOL];
    assert_eq!((load.runs, load.held.room, load.unmet_millicores), (1, 1, 1));
}
