//! Hosts are moved and maintained only while nothing runs on them.

mod shard;

use std::collections::BTreeSet;

use shard::{Harness, POOL, host, server_info, starts, step, task, up};
use skylarkwick_request::{
    job::task::RunId,
    shard::{
        effect::Effect,
        input::{HostOrderResult, HostState, MaintenanceWave},
    },
};

fn maintained_hosts(effects: &[Effect]) -> Vec<String> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::MaintainHost { host, .. } => Some(host.to_string()),
            _ => None,
        })
        .collect()
}

fn wave(hosts: &[&str], max_unavailable: usize) -> MaintenanceWave {
    let hosts = hosts.iter().map(|name| host(name)).collect();
    MaintenanceWave {
        number: 1,
        hosts,
        time_left: shard::ms(0),
        max_unavailable,
        started: BTreeSet::new(),
    }
}

/// Creates a shard whose holder may order the hosts.
fn with_hosts(names: &[&str]) -> Harness {
    let mut harness = Harness::with_servers(names);
    let hosts = names.iter().map(|name| up(name, POOL, Some(name))).collect();
    harness.shard.set_hosts(harness.now, hosts);
    for name in names {
        harness.report(name, &[], &[]);
    }
    harness
}

#[test]
fn an_unconfirmed_holder_orders_no_host() {
    let mut harness = with_hosts(&["a"]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    let effects = harness.decide_unconfirmed();
    assert!(maintained_hosts(&effects).is_empty(), "another holder may order the host");
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
}

#[test]
fn limits_hosts_down_at_once() {
    let mut harness = with_hosts(&["a", "b", "c"]);
    harness.shard.add_wave(harness.now, wave(&["a", "b", "c"], 2));
    let first = maintained_hosts(&harness.decide());
    assert_eq!(first.len(), 2);
    harness.shard.handle_host_order_result(harness.now, &host(&first[0]), HostOrderResult::Done);
    harness.shard.handle_host_order_result(harness.now, &host(&first[1]), HostOrderResult::Unknown);
    assert!(maintained_hosts(&harness.decide()).is_empty());
}

#[test]
fn busy_hosts_drain_before_maintenance() {
    let mut harness = with_hosts(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let (_, start) = harness.confirm_starts(&effects).remove(0);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
    harness.submit("next", vec![step(1, 4)]);
    assert!(starts(&harness.decide()).is_empty(), "the host is draining");
    harness.advance(50);
    let end =
        shard::ended(1, start.task, start.run, skylarkwick_request::job::task::RunOutcome::Done);
    harness.report("a", &[], &[end]);
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
}

#[test]
fn every_server_of_a_host_counts() {
    let mut harness = with_hosts(&["a"]);
    // After a move, the platform may list the previous server beside the new
    // one.
    let servers = vec![server_info("a", POOL, "a"), server_info("a2", POOL, "a")];
    harness.shard.set_servers(harness.now, servers);
    harness.submit("job", vec![step(1, 4)]);
    harness.report("a2", &[(task("job", 0, 0), RunId(3), 10)], &[]);
    harness.shard.set_hosts(harness.now, vec![up("a", POOL, Some("a"))]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
}

#[test]
fn a_wave_completes_when_every_host_has_started() {
    let mut harness = with_hosts(&["a"]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    let is_completed = |effects: &[Effect]| {
        effects.iter().any(|effect| matches!(effect, Effect::SaveWave { is_completed: true, .. }))
    };
    let effects = harness.decide();
    assert_eq!(maintained_hosts(&effects), ["a"]);
    assert!(!is_completed(&effects));
    harness.shard.handle_host_order_result(harness.now, &host("a"), HostOrderResult::Done);
    assert!(is_completed(&harness.decide()));
}

#[test]
fn long_running_tasks_move_one_at_a_time() {
    let (mut harness, server_id, running) = with_long_running();
    harness.advance(3000);
    harness.report("a", &running_on("a", &server_id, &running), &[]);
    harness.report("b", &running_on("b", &server_id, &running), &[]);
    let mut effects = harness.decide();
    effects.extend(harness.decide());
    assert_eq!(shard::stops(&effects).len(), 1, "the step may miss one task");
    assert!(maintained_hosts(&effects).is_empty());
}

#[test]
fn no_task_moves_right_after_a_takeover() {
    let (mut harness, _, _) = with_long_running();
    // The previous holder may have sent a stop to one of the tasks.
    assert!(shard::stops(&harness.decide()).is_empty());
}

#[test]
fn new_long_running_tasks_are_not_stopped_together() {
    let (mut harness, server_id, mut running) = with_long_running();
    for run in &mut running {
        run.2 = 0;
    }
    harness.advance(3000);
    harness.report("a", &running_on("a", &server_id, &running), &[]);
    harness.report("b", &running_on("b", &server_id, &running), &[]);
    // All of them may have become available since.
    assert!(shard::stops(&harness.decide()).is_empty());
}

#[test]
fn long_checkpointing_tasks_are_stopped() {
    for is_checkpointing in [true, false] {
        let mut harness = with_hosts(&["a", "b"]);
        let long = skylarkwick_request::job::Step { is_checkpointing, ..step(1, 4) };
        harness.submit("job", vec![long]);
        let effects = harness.decide();
        let (server_id, start) = harness.confirm_starts(&effects).remove(0);
        harness.shard.add_wave(harness.now, wave(&[&server_id.0], 1));
        assert!(shard::stops(&harness.decide()).is_empty(), "it may end soon");
        harness.advance(2000);
        let other = if &*server_id.0 == "a" { "b" } else { "a" };
        harness.report(other, &[], &[]);
        harness.report(&server_id.0, &[(start.task.clone(), start.run, 30)], &[]);
        let stopped = shard::stops(&harness.decide());
        assert_eq!(stopped.len(), usize::from(is_checkpointing));
    }
}

#[test]
fn tasks_on_an_unreachable_server_are_unavailable() {
    let mut harness = with_hosts(&["a", "b"]);
    let spread = skylarkwick_request::job::Step {
        is_long_running: true,
        max_unavailable: 1,
        max_per_host: 1,
        ..step(2, 4)
    };
    harness.submit("job", vec![spread]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    harness.advance(3000);
    for (server, start) in &started {
        harness.report(&server.0, &[(start.task.clone(), start.run, 100)], &[]);
    }
    harness.list_servers(&["a", "b", "c"]);
    harness.report("c", &[], &[]);
    harness.shard.handle_poll_failure(harness.now, &started[0].0);
    harness.shard.add_wave(harness.now, wave(&[&started[1].0.0], 1));
    harness.decide();
    assert!(shard::stops(&harness.decide()).is_empty(), "the other task may not run any more");
}

type Runs = Vec<(skylarkwick_request::job::task::Id, RunId, u32)>;

/// Starts three long-running tasks on one of two hosts and makes its
/// maintenance due; returns the host's name and the runs.
fn with_long_running() -> (Harness, String, Runs) {
    let mut harness = with_hosts(&["a", "b"]);
    let with_long_running =
        skylarkwick_request::job::Step { is_long_running: true, max_unavailable: 1, ..step(3, 4) };
    harness.submit("job", vec![with_long_running]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    let server_id = started[0].0.to_string();
    let running: Runs =
        started.iter().map(|(_, start)| (start.task.clone(), start.run, 100)).collect();
    harness.advance(50);
    harness.report(&server_id, &running, &[]);
    harness.shard.add_wave(harness.now, wave(&[&server_id], 1));
    harness.decide();
    (harness, server_id, running)
}

fn running_on(name: &str, server_id: &str, running: &Runs) -> Runs {
    if name == server_id { running.clone() } else { Runs::new() }
}

#[test]
fn a_busy_host_gets_no_order() {
    let mut harness = with_hosts(&["a"]);
    let mut busy = up("a", POOL, Some("a"));
    busy.state = HostState::Busy;
    harness.shard.set_hosts(harness.now, vec![busy]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
}

#[test]
fn a_host_with_a_pending_order_gets_no_work() {
    let mut harness = with_hosts(&["a"]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
    harness.submit("job", vec![step(1, 4)]);
    for _ in 0..10 {
        harness.advance(1000);
        harness.shard.set_hosts(harness.now, vec![up("a", POOL, Some("a"))]);
        harness.report("a", &[], &[]);
        assert!(starts(&harness.decide()).is_empty(), "the order may still be sent");
    }
    harness.shard.handle_host_order_result(harness.now, &host("a"), HostOrderResult::Busy);
    harness.advance(1000);
    harness.shard.set_hosts(harness.now, vec![up("a", POOL, Some("a"))]);
    harness.report("a", &[], &[]);
    let mut effects = harness.decide();
    effects.extend(harness.decide());
    assert!(!starts(&effects).is_empty() || !maintained_hosts(&effects).is_empty());
}

#[test]
fn hosts_under_earlier_maintenance_count() {
    let mut harness = with_hosts(&["a", "b"]);
    // The previous holder has ordered maintenance of host b and could not store
    // it.
    let mut busy = up("b", POOL, None);
    busy.state = HostState::Busy;
    harness.shard.set_hosts(harness.now, vec![up("a", POOL, Some("a")), busy]);
    harness.shard.add_wave(harness.now, wave(&["a", "b"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
}
