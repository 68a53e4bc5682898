//! Hosts are moved and maintained only while nothing runs on them.

mod shard;

use std::collections::BTreeSet;

use shard::{POOL, Site, host, listing, starts, step, task, up};
use skylarkwick_request::{
    job::task::RunId,
    shard::{
        effect::Effect,
        input::{HostOrderResult, HostState, MaintenanceWave},
    },
};

fn maintained(effects: &[Effect]) -> Vec<String> {
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

/// A site whose holder may give orders for hosts.
fn settled(names: &[&str]) -> Site {
    let mut site = Site::with_servers(names);
    let hosts = names.iter().map(|name| up(name, POOL, Some(name))).collect();
    site.shard.set_hosts(site.now, hosts);
    for name in names {
        site.look(name, &[], &[]);
    }
    site
}

#[test]
fn an_uncertain_holder_orders_no_host() {
    let mut site = settled(&["a"]);
    site.shard.add_wave(site.now, wave(&["a"], 1));
    let effects = site.decide_in_doubt();
    assert!(maintained(&effects).is_empty(), "another holder may order the host");
    assert_eq!(maintained(&site.decide()), ["a"]);
}

#[test]
fn no_more_than_the_most_at_once() {
    let mut site = settled(&["a", "b", "c"]);
    site.shard.add_wave(site.now, wave(&["a", "b", "c"], 2));
    let first = maintained(&site.decide());
    assert_eq!(first.len(), 2);
    site.shard.handle_host_order_result(site.now, &host(&first[0]), HostOrderResult::Done);
    site.shard.handle_host_order_result(site.now, &host(&first[1]), HostOrderResult::Unknown);
    assert!(maintained(&site.decide()).is_empty());
}

#[test]
fn busy_hosts_are_emptied_first() {
    let mut site = settled(&["a"]);
    site.submit("job", vec![step(1, 4)]);
    let effects = site.decide();
    let (_, start) = site.confirm(&effects).remove(0);
    site.shard.add_wave(site.now, wave(&["a"], 1));
    assert!(maintained(&site.decide()).is_empty());
    site.submit("next", vec![step(1, 4)]);
    assert!(starts(&site.decide()).is_empty(), "the host is being emptied");
    site.advance(50);
    let end =
        shard::ended(1, start.task, start.run, skylarkwick_request::job::task::RunOutcome::Done);
    site.look("a", &[], &[end]);
    assert_eq!(maintained(&site.decide()), ["a"]);
}

#[test]
fn every_server_of_a_host_counts() {
    let mut site = settled(&["a"]);
    // After a move the platform may list the last server beside the new one.
    let listings = vec![listing("a", POOL, "a"), listing("a2", POOL, "a")];
    site.shard.set_servers(site.now, listings);
    site.submit("job", vec![step(1, 4)]);
    site.look("a2", &[(task("job", 0, 0), RunId(3), 10)], &[]);
    site.shard.set_hosts(site.now, vec![up("a", POOL, Some("a"))]);
    site.shard.add_wave(site.now, wave(&["a"], 1));
    assert!(maintained(&site.decide()).is_empty());
}

#[test]
fn a_wave_is_completed_when_each_host_has_begun() {
    let mut site = settled(&["a"]);
    site.shard.add_wave(site.now, wave(&["a"], 1));
    let is_completed = |effects: &[Effect]| {
        effects.iter().any(|effect| matches!(effect, Effect::SaveWave { is_completed: true, .. }))
    };
    let effects = site.decide();
    assert_eq!(maintained(&effects), ["a"]);
    assert!(!is_completed(&effects));
    site.shard.handle_host_order_result(site.now, &host("a"), HostOrderResult::Done);
    assert!(is_completed(&site.decide()));
}

#[test]
fn lasting_tasks_leave_one_at_a_time() {
    let (mut site, place, running) = lasting();
    site.advance(3000);
    site.look("a", &running_on("a", &place, &running), &[]);
    site.look("b", &running_on("b", &place, &running), &[]);
    let mut effects = site.decide();
    effects.extend(site.decide());
    assert_eq!(shard::stops(&effects).len(), 1, "the step may miss one task");
    assert!(maintained(&effects).is_empty());
}

#[test]
fn no_task_is_moved_right_after_a_takeover() {
    let (mut site, _, _) = lasting();
    // The last holder may have ordered one of the tasks to stop.
    assert!(shard::stops(&site.decide()).is_empty());
}

#[test]
fn tasks_that_were_just_started_are_not_stopped_together() {
    let (mut site, place, mut running) = lasting();
    for run in &mut running {
        run.2 = 0;
    }
    site.advance(3000);
    site.look("a", &running_on("a", &place, &running), &[]);
    site.look("b", &running_on("b", &place, &running), &[]);
    // All of them may have come to work since.
    assert!(shard::stops(&site.decide()).is_empty());
}

#[test]
fn long_tasks_with_checkpoints_are_not_waited_for() {
    for is_checkpointing in [true, false] {
        let mut site = settled(&["a", "b"]);
        let long = skylarkwick_request::job::Step { is_checkpointing, ..step(1, 4) };
        site.submit("job", vec![long]);
        let effects = site.decide();
        let (place, start) = site.confirm(&effects).remove(0);
        site.shard.add_wave(site.now, wave(&[&place.0], 1));
        assert!(shard::stops(&site.decide()).is_empty(), "it may end soon");
        site.advance(2000);
        let other = if &*place.0 == "a" { "b" } else { "a" };
        site.look(other, &[], &[]);
        site.look(&place.0, &[(start.task.clone(), start.run, 30)], &[]);
        let stopped = shard::stops(&site.decide());
        assert_eq!(stopped.len(), usize::from(is_checkpointing));
    }
}

#[test]
fn tasks_on_a_silent_server_are_away() {
    let mut site = settled(&["a", "b"]);
    let spread = skylarkwick_request::job::Step {
        is_long_running: true,
        max_unavailable: 1,
        max_per_host: 1,
        ..step(2, 4)
    };
    site.submit("job", vec![spread]);
    let effects = site.decide();
    let started = site.confirm(&effects);
    site.advance(3000);
    for (server, start) in &started {
        site.look(&server.0, &[(start.task.clone(), start.run, 100)], &[]);
    }
    site.list(&["a", "b", "c"]);
    site.look("c", &[], &[]);
    site.shard.handle_poll_failure(site.now, &started[0].0);
    site.shard.add_wave(site.now, wave(&[&started[1].0.0], 1));
    site.decide();
    assert!(shard::stops(&site.decide()).is_empty(), "the other task may be gone");
}

type Runs = Vec<(skylarkwick_request::job::task::Id, RunId, u32)>;

/// Three lasting tasks at work on one of two hosts, which is due.
fn lasting() -> (Site, String, Runs) {
    let mut site = settled(&["a", "b"]);
    let lasting =
        skylarkwick_request::job::Step { is_long_running: true, max_unavailable: 1, ..step(3, 4) };
    site.submit("job", vec![lasting]);
    let effects = site.decide();
    let started = site.confirm(&effects);
    let place = started[0].0.to_string();
    let running: Runs =
        started.iter().map(|(_, start)| (start.task.clone(), start.run, 100)).collect();
    site.advance(50);
    site.look(&place, &running, &[]);
    site.shard.add_wave(site.now, wave(&[&place], 1));
    site.decide();
    (site, place, running)
}

fn running_on(name: &str, place: &str, running: &Runs) -> Runs {
    if name == place { running.clone() } else { Runs::new() }
}

#[test]
fn a_host_that_is_not_up_gets_no_order() {
    let mut site = settled(&["a"]);
    let mut busy = up("a", POOL, Some("a"));
    busy.state = HostState::Busy;
    site.shard.set_hosts(site.now, vec![busy]);
    site.shard.add_wave(site.now, wave(&["a"], 1));
    assert!(maintained(&site.decide()).is_empty());
}

#[test]
fn a_host_whose_order_waits_gets_no_work() {
    let mut site = settled(&["a"]);
    site.shard.add_wave(site.now, wave(&["a"], 1));
    assert_eq!(maintained(&site.decide()), ["a"]);
    site.submit("job", vec![step(1, 4)]);
    for _ in 0..10 {
        site.advance(1000);
        site.shard.set_hosts(site.now, vec![up("a", POOL, Some("a"))]);
        site.look("a", &[], &[]);
        assert!(starts(&site.decide()).is_empty(), "the order may be given at any moment");
    }
    site.shard.handle_host_order_result(site.now, &host("a"), HostOrderResult::Busy);
    site.advance(1000);
    site.shard.set_hosts(site.now, vec![up("a", POOL, Some("a"))]);
    site.look("a", &[], &[]);
    let mut effects = site.decide();
    effects.extend(site.decide());
    assert!(!starts(&effects).is_empty() || !maintained(&effects).is_empty());
}

#[test]
fn hosts_that_the_last_holder_maintains_count() {
    let mut site = settled(&["a", "b"]);
    // The last holder has begun with host b and could not store it.
    let mut busy = up("b", POOL, None);
    busy.state = HostState::Busy;
    site.shard.set_hosts(site.now, vec![up("a", POOL, Some("a")), busy]);
    site.shard.add_wave(site.now, wave(&["a", "b"], 1));
    assert!(maintained(&site.decide()).is_empty());
}
