//! Worker selection: load, breakers, and a pool in which every worker fails.

use std::{collections::BTreeMap, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use skylarkwick_request::{balancer::Balancer, breaker::State, estimate::Class};
use skylarkwick_version::{host::Epoch, moment::Moment, name};

fn host(number: u32) -> name::Host {
    name::Host::try_from(format!("h{number:02}")).unwrap()
}

fn balancer(hosts: u32, slots: u32) -> Balancer {
    let listed = (0..hosts).map(|number| (host(number), (Epoch(1), slots))).collect();
    let mut balancer = Balancer::new();
    balancer.set_workers(&listed);
    balancer
}

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(millis))
}

#[test]
fn failing_worker_avoided() {
    let mut balancer = balancer(10, 4);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut failures = 0;
    for step in 0..400 {
        let now = at(step);
        let (chosen, _) = balancer.choose(None, now, &mut random).unwrap();
        balancer.record_start(&chosen, Class::Short, now);
        let is_failing = chosen == host(0);
        failures += u32::from(is_failing);
        balancer.record_finish(&chosen, Class::Short, Some(!is_failing), now);
    }
    assert!(failures <= 5, "the failing worker got {failures} of 400 tasks");
    assert!(matches!(balancer.breaker_state(&host(0), at(400)), Some(State::Open { .. })));
}

#[test]
fn open_breakers_limited() {
    let mut balancer = balancer(10, 4);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    for step in 0..400 {
        let now = at(step);
        let (chosen, _) = balancer.choose(None, now, &mut random).unwrap();
        balancer.record_start(&chosen, Class::Short, now);
        balancer.record_finish(&chosen, Class::Short, Some(false), now);
    }
    let open = (0..10)
        .filter(|&number| balancer.breaker_state(&host(number), at(400)) != Some(State::Closed))
        .count();
    assert_eq!(open, 3);
}

#[test]
fn probes_close_breaker() {
    let mut balancer = balancer(4, 4);
    for _ in 0..3 {
        balancer.record_start(&host(0), Class::Short, at(0));
        balancer.record_finish(&host(0), Class::Short, Some(false), at(0));
    }
    assert!(matches!(balancer.breaker_state(&host(0), at(499)), Some(State::Open { .. })));
    for _ in 0..3 {
        assert_eq!(balancer.breaker_state(&host(0), at(500)), Some(State::HalfOpen));
        balancer.record_start(&host(0), Class::Short, at(500));
        balancer.record_finish(&host(0), Class::Short, Some(true), at(500));
    }
    assert_eq!(balancer.breaker_state(&host(0), at(500)), Some(State::Closed));
}

#[test]
fn full_workers_skipped() {
    let mut balancer = balancer(3, 1);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut chosen = Vec::new();
    while let Some((host, _)) = balancer.choose(None, at(0), &mut random) {
        balancer.record_start(&host, Class::Short, at(0));
        chosen.push(host);
    }
    chosen.sort();
    assert_eq!(chosen, [host(0), host(1), host(2)]);
    assert_eq!(balancer.slots().short, 3);
    balancer.record_finish(&host(1), Class::Short, Some(true), at(0));
    assert_eq!(balancer.choose(None, at(0), &mut random).unwrap().0, host(1));
}

#[test]
fn unlisted_worker_drains() {
    let mut balancer = balancer(2, 2);
    balancer.record_start(&host(0), Class::Long, at(0));
    balancer.set_workers(&BTreeMap::from([(host(1), (Epoch(1), 2))]));
    assert_eq!(balancer.slots().total, 3);
    balancer.record_finish(&host(0), Class::Long, Some(true), at(0));
    let mut random = Pcg64Mcg::seed_from_u64(5);
    assert_eq!(balancer.choose(Some(&host(1)), at(0), &mut random).unwrap().0, host(1));
    assert_eq!(balancer.slots().long, 0);
}

#[test]
fn load_stays_even() {
    let mut balancer = balancer(20, 8);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut used: BTreeMap<name::Host, u32> = BTreeMap::new();
    for _ in 0..80 {
        let (chosen, _) = balancer.choose(None, at(0), &mut random).unwrap();
        balancer.record_start(&chosen, Class::Short, at(0));
        *used.entry(chosen).or_default() += 1;
    }
    assert!(used.values().all(|&count| count <= 7), "{used:?}");
}
