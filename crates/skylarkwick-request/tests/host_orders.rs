//! Orders to hosts: a host is moved or maintained only while nothing runs on it.

mod harness;

use harness::{
    Harness, POOL, host, host_up, server_info, starts, step, task,
    waves::{maintained_hosts, saved_waves, wave, with_hosts},
};
use skylarkwick_request::{
    job::task::RunId,
    shard::{
        effect::Effect,
        input::{HostOrderResult, HostState},
    },
};

#[test]
fn unconfirmed_orders_nothing() {
    let mut harness = with_hosts(&["a"]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    let effects = harness.decide_unconfirmed();
    assert!(maintained_hosts(&effects).is_empty(), "another holder may order the host");
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
}

#[test]
fn unavailable_hosts_limited() {
    let mut harness = with_hosts(&["a", "b", "c"]);
    harness.shard.add_wave(harness.now, wave(&["a", "b", "c"], 2));
    let first = maintained_hosts(&harness.decide());
    assert_eq!(first.len(), 2);
    harness.shard.handle_host_order_result(harness.now, &host(&first[0]), HostOrderResult::Done);
    harness.shard.handle_host_order_result(harness.now, &host(&first[1]), HostOrderResult::Unknown);
    assert!(maintained_hosts(&harness.decide()).is_empty());
}

#[test]
fn busy_host_drained() {
    let mut harness = with_hosts(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let (_, start) = harness.confirm_starts(&effects).remove(0);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
    harness.submit("next", vec![step(1, 4)]);
    assert!(starts(&harness.decide()).is_empty(), "the host is draining");
    harness.advance(50);
    let end = harness::finished_run(
        1,
        start.task,
        start.run,
        skylarkwick_request::job::task::RunOutcome::Done,
    );
    harness.report("a", &[], &[end]);
    assert!(maintained_hosts(&harness.decide()).is_empty(), "the end is stored first");
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
}

#[test]
fn previous_server_counts() {
    let mut harness = with_hosts(&["a"]);
    // After a move, the platform may list the previous server beside the new one.
    let servers = vec![server_info("a", POOL, "a"), server_info("a2", POOL, "a")];
    harness.shard.set_servers(harness.now, servers);
    harness.submit("job", vec![step(1, 4)]);
    harness.report("a2", &[(task("job", 0, 0), RunId(3), 10)], &[]);
    harness.shard.set_hosts(harness.now, vec![host_up("a", POOL, Some("a"))]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
}

#[test]
fn last_start_completes() {
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
fn one_task_moves() {
    let (mut harness, server_id, running) = with_long_running();
    harness.advance(3000);
    harness.report("a", &running_on("a", &server_id, &running), &[]);
    harness.report("b", &running_on("b", &server_id, &running), &[]);
    let mut effects = harness.decide();
    effects.extend(harness.decide());
    assert_eq!(
        harness::stops(&effects).len(),
        1,
        "at most one task of the step may be unavailable"
    );
    assert!(maintained_hosts(&effects).is_empty());
}

#[test]
fn takeover_moves_nothing() {
    let (mut harness, _, _) = with_long_running();
    // The previous holder may have sent a stop to one of the tasks.
    assert!(harness::stops(&harness.decide()).is_empty());
}

#[test]
fn new_tasks_kept() {
    let (mut harness, server_id, mut running) = with_long_running();
    for run in &mut running {
        run.2 = 0;
    }
    harness.advance(3000);
    harness.report("a", &running_on("a", &server_id, &running), &[]);
    harness.report("b", &running_on("b", &server_id, &running), &[]);
    // All of them may have become available since.
    assert!(harness::stops(&harness.decide()).is_empty());
}

#[test]
fn checkpointing_tasks_stopped() {
    for is_checkpointing in [true, false] {
        let mut harness = with_hosts(&["a", "b"]);
        let long_step = skylarkwick_request::job::Step { is_checkpointing, ..step(1, 4) };
        harness.submit("job", vec![long_step]);
        let effects = harness.decide();
        let (server_id, start) = harness.confirm_starts(&effects).remove(0);
        harness.shard.add_wave(harness.now, wave(&[&server_id.0], 1));
        assert!(harness::stops(&harness.decide()).is_empty(), "the task may end soon");
        harness.advance(2000);
        let other = if &*server_id.0 == "a" { "b" } else { "a" };
        harness.report(other, &[], &[]);
        harness.report(&server_id.0, &[(start.task.clone(), start.run, 30)], &[]);
        let stopped = harness::stops(&harness.decide());
        assert_eq!(stopped.len(), usize::from(is_checkpointing));
    }
}

#[test]
fn unreachable_tasks_count() {
    let mut harness = with_hosts(&["a", "b"]);
    let spread_step = skylarkwick_request::job::Step {
        is_long_running: true,
        max_unavailable: 1,
        max_per_host: 1,
        ..step(2, 4)
    };
    harness.submit("job", vec![spread_step]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    harness.advance(3000);
    for (server, start) in &started {
        harness.report(&server.0, &[(start.task.clone(), start.run, 100)], &[]);
    }
    harness.set_servers(&["a", "b", "c"]);
    harness.report("c", &[], &[]);
    harness.fail_poll(&started[0].0.0);
    harness.shard.add_wave(harness.now, wave(&[&started[1].0.0], 1));
    harness.decide();
    assert!(harness::stops(&harness.decide()).is_empty(), "the other task may not run any more");
}

type Runs = Vec<(skylarkwick_request::job::task::Id, RunId, u32)>;

/// Starts three long-running tasks on one of two hosts and makes its maintenance due;
/// returns the host's name and the runs.
fn with_long_running() -> (Harness, String, Runs) {
    let mut harness = with_hosts(&["a", "b"]);
    let long_running_step =
        skylarkwick_request::job::Step { is_long_running: true, max_unavailable: 1, ..step(3, 4) };
    harness.submit("job", vec![long_running_step]);
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
fn busy_host_skipped() {
    let mut harness = with_hosts(&["a"]);
    let mut busy = host_up("a", POOL, Some("a"));
    busy.state = HostState::Busy;
    harness.shard.set_hosts(harness.now, vec![busy]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
}

#[test]
fn pending_order_blocks() {
    let mut harness = with_hosts(&["a"]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
    harness.submit("job", vec![step(1, 4)]);
    for _ in 0..10 {
        harness.advance(1000);
        harness.shard.set_hosts(harness.now, vec![host_up("a", POOL, Some("a"))]);
        harness.report("a", &[], &[]);
        assert!(starts(&harness.decide()).is_empty(), "the order may still be sent");
    }
    harness.shard.handle_host_order_result(harness.now, &host("a"), HostOrderResult::Busy);
    harness.advance(1000);
    harness.shard.set_hosts(harness.now, vec![host_up("a", POOL, Some("a"))]);
    harness.report("a", &[], &[]);
    let mut effects = harness.decide();
    effects.extend(harness.decide());
    assert!(!starts(&effects).is_empty() || !maintained_hosts(&effects).is_empty());
}

/// Guards against tasks that run again, because their ends were lost with a server whose host
/// was maintained before they were stored.
#[test]
fn unsaved_end_blocks() {
    let mut harness = with_hosts(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let (_, start) = harness.confirm_starts(&effects).remove(0);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
    harness.advance(50);
    let end = harness::finished_run(
        1,
        start.task,
        start.run,
        skylarkwick_request::job::task::RunOutcome::Done,
    );
    harness.report("a", &[], &[end]);
    harness.advance(50);
    let unsaved = harness.decide_unsaved();
    assert!(maintained_hosts(&unsaved).is_empty(), "the end is not stored");
    let batch = harness::batches(&unsaved).remove(0);
    harness.shard.handle_batch_saved(harness.now, &batch);
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
}

#[test]
fn earlier_maintenance_counts() {
    let mut harness = with_hosts(&["a", "b"]);
    // The previous holder ordered maintenance of host b and failed to store that.
    let mut busy = host_up("b", POOL, None);
    busy.state = HostState::Busy;
    harness.shard.set_hosts(harness.now, vec![host_up("a", POOL, Some("a")), busy]);
    harness.shard.add_wave(harness.now, wave(&["a", "b"], 1));
    assert!(maintained_hosts(&harness.decide()).is_empty());
}

/// Guards against a wave that is done and stays shown as running, because its last save
/// failed.
#[test]
fn last_save_repeated() {
    let mut harness = with_hosts(&["a"]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    harness.decide();
    harness.shard.handle_host_order_result(harness.now, &host("a"), HostOrderResult::Done);
    assert_eq!(saved_waves(&harness.decide()), [([host("a")].into(), true)]);
    harness.shard.handle_wave_save_failed(1);
    assert_eq!(saved_waves(&harness.decide()), [([host("a")].into(), true)]);
}

/// Guards against a start of maintenance that is never stored, because the save before it
/// was confirmed after it.
#[test]
fn later_start_saved() {
    let mut harness = with_hosts(&["a", "b"]);
    harness.shard.add_wave(harness.now, wave(&["a", "b"], 1));
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
    harness.shard.handle_host_order_result(harness.now, &host("a"), HostOrderResult::Done);
    // This confirms the save that the first decision has sent.
    harness.shard.handle_wave_saved(1, false);
    assert_eq!(saved_waves(&harness.decide()), [([host("a")].into(), false)]);
}
