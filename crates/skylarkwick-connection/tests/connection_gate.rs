//! Decisions about the connections of a listener, in virtual time: who is admitted, who has to
//! make room, and who had no progress for too long.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck, TestResult};
use skylarkwick_connection::listen::{
    Limits,
    gate::{ConnectionId, Gate, Phase, Reason},
};
use skylarkwick_version::moment::Moment;

const BODY_BYTES: usize = 1000;

fn limits() -> Limits {
    Limits {
        max_connections: 4,
        max_body_bytes: 4 * BODY_BYTES,
        max_requests_ahead: 3,
        ..Limits::default()
    }
}

fn at(ms: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(ms)
}

/// Opens four connections, one each 10 ms, in these phases.
fn full_gate(phases: [Phase; 4]) -> (Gate, Vec<ConnectionId>) {
    let mut gate = Gate::new(limits());
    let open = |(number, phase): (u64, Phase)| {
        let now = at(10 * number);
        let (id, evicted) = gate.open(now).expect("room");
        assert_eq!(evicted, None);
        gate.enter(id, phase, now);
        id
    };
    let ids = (0..).zip(phases).map(open).collect();
    (gate, ids)
}

#[test]
fn oldest_idle_first() {
    use Phase::{Body, Handling, Head, Idle};
    for (phases, expected) in [
        ([Body, Idle, Idle, Handling], Some(1)),
        ([Handling, Body, Head, Handling], Some(1)),
        ([Handling, Phase::Response, Head, Handling], Some(2)),
        ([Handling, Phase::Response, Handling, Handling], None),
    ] {
        let (mut gate, ids) = full_gate(phases);
        let opened = gate.open(at(100));
        let evicted = opened.map(|(_, eviction)| eviction.expect("an eviction").connection);
        assert_eq!(evicted, expected.map(|index: usize| ids[index]).ok_or(Reason::Full));
        assert_eq!(gate.len(), 4);
    }
}

/// Requests of any size arrive while bodies are stuck just short of their end.
#[test]
fn stuck_bodies_make_room() {
    let (mut gate, ids) = full_gate([Phase::Body; 4]);
    for id in &ids[..3] {
        assert_eq!(gate.reserve(*id, BODY_BYTES + 300), Ok(Vec::new()));
    }
    let evicted = gate.reserve(ids[3], 2 * BODY_BYTES).expect("room");
    let evicted: Vec<ConnectionId> = evicted.iter().map(|eviction| eviction.connection).collect();
    assert_eq!(evicted, ids[..2]);
    assert_eq!(gate.held_bytes(), 3 * BODY_BYTES + 300);
    // Nobody makes room for more than all bytes, and nobody ends for the attempt.
    assert_eq!(gate.reserve(ids[3], 4 * BODY_BYTES), Err(Reason::Outweighed));
    assert_eq!(gate.len(), 2);
    gate.release(ids[3]);
    gate.close(ids[2]);
    assert_eq!(gate.held_bytes(), 0);
}

#[test]
fn handled_requests_keep_theirs() {
    let (mut gate, ids) = full_gate([Phase::Body; 4]);
    for id in &ids[..3] {
        assert_eq!(gate.reserve(*id, BODY_BYTES), Ok(Vec::new()));
        gate.enter(*id, Phase::Handling, at(50));
    }
    assert_eq!(gate.reserve(ids[3], 2 * BODY_BYTES), Err(Reason::Outweighed));
    assert!(gate.expire(at(50) + limits().body_timeout * 2).len() == 1, "only the reader ends");
}

#[test]
fn no_progress_ends() {
    let limits = limits();
    for (phase, limit, reason) in [
        (Phase::Idle, limits.idle_timeout, Reason::Unused),
        (Phase::Head, limits.head_timeout, Reason::SlowHead),
        (Phase::Body, limits.stall_timeout, Reason::SlowBody),
        (Phase::Response, limits.stall_timeout, Reason::SlowReader),
    ] {
        let mut gate = Gate::new(limits);
        let (id, _) = gate.open(at(0)).expect("room");
        gate.enter(id, phase, at(0));
        assert_eq!(gate.expire(at(0) + limit), []);
        let expired = gate.expire(at(1) + limit);
        assert_eq!(expired.iter().map(|eviction| eviction.reason).collect::<Vec<_>>(), [reason]);
        assert!(gate.is_empty());
    }
}

/// A slow caller on a thin link is served as long as bytes come, a head and a body only within
/// their whole time.
#[test]
fn progress_counts() {
    let limits = limits();
    let mut gate = Gate::new(limits);
    let (id, _) = gate.open(at(0)).expect("room");
    gate.enter(id, Phase::Body, at(0));
    let step = limits.stall_timeout / 2;
    let mut now = at(0);
    while now.since(at(0)) + step < limits.body_timeout {
        now = now + step;
        gate.record_read(id, now);
        assert_eq!(gate.expire(now), []);
    }
    assert_eq!(gate.expire(at(1) + limits.body_timeout).len(), 1);
}

#[test]
fn requests_ahead_end() {
    let mut gate = Gate::new(limits());
    let (id, _) = gate.open(at(0)).expect("room");
    gate.record_read(id, at(0));
    let requests: Vec<bool> = (0..4).map(|_| gate.begin_request(id, at(1))).collect();
    assert_eq!(requests, [true, true, true, false]);
    // A caller that waits for each response sends as many as it likes.
    let (id, _) = gate.open(at(0)).expect("room");
    for _ in 0..10 {
        gate.record_read(id, at(2));
        assert!(gate.begin_request(id, at(2)));
        gate.enter(id, Phase::Response, at(3));
        gate.record_flushed(id, at(3));
    }
}

/// Whatever happens in whatever order, connections and bytes stay within the limits, and all
/// bytes come back.
#[test]
fn limits_hold() {
    fn property(actions: Vec<(u8, u8, u16)>) -> TestResult {
        let mut gate = Gate::new(limits());
        let mut ids = Vec::new();
        for (number, (action, which, bytes)) in (0..).zip(actions) {
            let now = at(700 * number);
            let id = ids.get(usize::from(which) % ids.len().max(1)).copied();
            match (action % 7, id) {
                (0, _) | (_, None) => ids.extend(gate.open(now).ok().map(|(id, _)| id)),
                (1, Some(id)) => {
                    let _ = gate.reserve(id, usize::from(bytes % 5000));
                }
                (2, Some(id)) => drop(gate.begin_request(id, now)),
                (3, Some(id)) => gate.enter(id, Phase::Handling, now),
                (4, Some(id)) => gate.record_read(id, now),
                (5, Some(id)) => gate.close(id),
                (_, Some(_)) => drop(gate.expire(now)),
            }
            if gate.len() > 4 || gate.held_bytes() > 4 * BODY_BYTES {
                return TestResult::failed();
            }
        }
        ids.iter().for_each(|id| gate.close(*id));
        TestResult::from_bool(gate.is_empty() && gate.held_bytes() == 0)
    }
    let property: fn(Vec<(u8, u8, u16)>) -> TestResult = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 45)).tests(500).quickcheck(property);
}
