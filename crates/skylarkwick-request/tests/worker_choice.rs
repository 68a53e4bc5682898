//! Choice of worker: load, breakers, and a pool that fails as a whole.

use std::{collections::BTreeMap, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use skylarkwick_request::{balancer::Balancer, breaker::State, estimate::Class};
use skylarkwick_version::{host::Epoch, moment::Moment, name};

fn host(number: u32) -> name::Host {
    name::Host::try_from(format!("h{number:02}")).unwrap()
}

fn board(hosts: u32, slots: u32) -> Balancer {
    let listed = (0..hosts).map(|number| (host(number), (Epoch(1), slots))).collect();
    let mut board = Balancer::new();
    board.set_workers(&listed);
    board
}

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(millis))
}

#[test]
fn failing_worker_rests() {
    let mut board = board(10, 4);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut failures = 0;
    for step in 0..400 {
        let now = at(step);
        let (chosen, _) = board.choose(None, now, &mut random).unwrap();
        board.record_start(&chosen, Class::Short, now);
        let is_bad = chosen == host(0);
        failures += u32::from(is_bad);
        board.record_finish(&chosen, Class::Short, Some(!is_bad), now);
    }
    assert!(failures <= 5, "the failing worker got {failures} of 400");
    assert!(matches!(board.breaker_state(&host(0), at(400)), Some(State::Open { .. })));
}

#[test]
fn pool_never_closes() {
    let mut board = board(10, 4);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    for step in 0..400 {
        let now = at(step);
        let (chosen, _) = board.choose(None, now, &mut random).unwrap();
        board.record_start(&chosen, Class::Short, now);
        board.record_finish(&chosen, Class::Short, Some(false), now);
    }
    let open = (0..10)
        .filter(|&number| board.breaker_state(&host(number), at(400)) != Some(State::Closed))
        .count();
    assert_eq!(open, 3);
}

#[test]
fn probes_close_breaker() {
    let mut board = board(4, 4);
    for _ in 0..3 {
        board.record_start(&host(0), Class::Short, at(0));
        board.record_finish(&host(0), Class::Short, Some(false), at(0));
    }
    assert!(matches!(board.breaker_state(&host(0), at(499)), Some(State::Open { .. })));
    for _ in 0..3 {
        assert_eq!(board.breaker_state(&host(0), at(500)), Some(State::HalfOpen));
        board.record_start(&host(0), Class::Short, at(500));
        board.record_finish(&host(0), Class::Short, Some(true), at(500));
    }
    assert_eq!(board.breaker_state(&host(0), at(500)), Some(State::Closed));
}

#[test]
fn full_workers_left_out() {
    let mut board = board(3, 1);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut chosen = Vec::new();
    while let Some((host, _)) = board.choose(None, at(0), &mut random) {
        board.record_start(&host, Class::Short, at(0));
        chosen.push(host);
    }
    chosen.sort();
    assert_eq!(chosen, [host(0), host(1), host(2)]);
    assert_eq!(board.slots().short, 3);
    board.record_finish(&host(1), Class::Short, Some(true), at(0));
    assert_eq!(board.choose(None, at(0), &mut random).unwrap().0, host(1));
}

#[test]
fn unlisted_worker_drains() {
    let mut board = board(2, 2);
    board.record_start(&host(0), Class::Long, at(0));
    board.set_workers(&BTreeMap::from([(host(1), (Epoch(1), 2))]));
    assert_eq!(board.slots().total, 3);
    board.record_finish(&host(0), Class::Long, Some(true), at(0));
    let mut random = Pcg64Mcg::seed_from_u64(5);
    assert_eq!(board.choose(Some(&host(1)), at(0), &mut random).unwrap().0, host(1));
    assert_eq!(board.slots().long, 0);
}

#[test]
fn load_stays_even() {
    let mut board = board(20, 8);
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut held: BTreeMap<name::Host, u32> = BTreeMap::new();
    for _ in 0..80 {
        let (chosen, _) = board.choose(None, at(0), &mut random).unwrap();
        board.record_start(&chosen, Class::Short, at(0));
        *held.entry(chosen).or_default() += 1;
    }
    assert!(held.values().all(|&count| count <= 7), "{held:?}");
}
