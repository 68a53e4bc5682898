//! Hosts with labels that jobs require: a pool keeps one of each, and gets one that it lacks.

mod harness;

use std::{collections::BTreeMap, sync::Arc};

use harness::{Harness, POOL, host_up, server_info, step};
use skylarkwick_request::{
    job::Step,
    shard::{
        effect::Effect,
        input::{Host, ServerInfo},
    },
};

const OTHER: &str = "other";
const SPARE: &str = "spare";

/// A host: its name, which is that of its server too, its pool and its label.
type Placed = (&'static str, &'static str, &'static str);

fn labelled(label: &str) -> Vec<Step> {
    vec![Step { required_label: Some(Arc::from(label)), ..step(1, 4) }]
}

/// Creates a shard with these hosts, all idle.
fn with_hosts(placed: &[Placed]) -> Harness {
    let names: Vec<&str> = placed.iter().map(|(name, ..)| *name).collect();
    let mut harness = Harness::with_servers(&names);
    let server = |(name, pool, label): &Placed| ServerInfo {
        labels: [Arc::from(*label)].into(),
        ..server_info(name, pool, name)
    };
    let host = |(name, pool, label): &Placed| Host {
        labels: [Arc::from(*label)].into(),
        ..host_up(name, pool, Some(name))
    };
    harness.servers = placed.iter().map(server).collect();
    harness.shard.set_servers(harness.now, harness.servers.clone());
    harness.shard.set_spare_pools([Arc::from(SPARE)].into());
    harness.shard.set_hosts(harness.now, placed.iter().map(host).collect());
    for name in names {
        harness.report(name, &[], &[]);
    }
    harness
}

fn moves(effects: &[Effect]) -> BTreeMap<String, String> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::MoveHost { host, pool } => Some((host.to_string(), pool.to_string())),
            _ => None,
        })
        .collect()
}

/// Guards against a job that waits for good, because the last host with its label was moved
/// to another pool that had a burst.
#[test]
fn last_labelled_kept() {
    for rack in ["a", "c", "f"] {
        let all = ["a", "b", "c", "d", "e", "f"];
        let placed = all.map(|name| (name, OTHER, if name == rack { "r1" } else { "r2" }));
        let mut placed: Vec<Placed> = placed.to_vec();
        placed.push(("g", POOL, "r3"));
        let mut harness = with_hosts(&placed);
        harness.shard.set_queues(vec![
            harness::queue(harness::QUEUE, POOL),
            harness::queue("labelled", OTHER),
        ]);
        // The job waits for its first step; the burst takes hosts meanwhile.
        let mut accepted = Harness::accepted_job("labelled", labelled("r1"));
        accepted.queue = Arc::from("labelled");
        let mut job = (*accepted.job).clone();
        job.steps.insert(0, step(1, 60));
        job.steps[1].depends_on = vec![0];
        accepted.job = Arc::new(job);
        harness.shard.add_job(harness.now, accepted);
        harness.submit("burst", vec![step(60, 16)]);
        let moved = moves(&harness.decide());
        assert!(!moved.is_empty() && !moved.contains_key(rack), "{rack} is the last: {moved:?}");
    }
}

/// Guards against a job that waits for good, because all hosts with its label are in other
/// pools.
#[test]
fn missing_label_fetched() {
    let placed = [
        ("a", POOL, "r1"),
        ("b", OTHER, "r1"),
        ("c", OTHER, "r2"),
        ("d", OTHER, "r1"),
        ("e", OTHER, "r1"),
    ];
    let mut harness = with_hosts(&placed);
    harness.submit("job", labelled("r2"));
    assert_eq!(moves(&harness.decide()), [("c".to_owned(), POOL.to_owned())].into());
}

/// A powered-off host is taken only if no other has the label.
#[test]
fn spare_label_last() {
    let placed = [("a", POOL, "r1"), ("b", OTHER, "r1"), ("c", OTHER, "r1"), ("s", SPARE, "r2")];
    let mut harness = with_hosts(&placed);
    harness.submit("job", labelled("r2"));
    assert_eq!(moves(&harness.decide()), [("s".to_owned(), POOL.to_owned())].into());
}
