//! Two holders of a shard around a handover: their orders for a host stay apart, however long
//! the earlier one is paused between recording and sending its order.

use std::time::Duration;

use skylarkwick_version::{
    host_order::{self, LastOrder, MAX_AGE, Withheld},
    moment::Moment,
};

/// Time within which two holders must not take turns, as the platform's pages state it.
const LEASE: Duration = Duration::from_millis(3000);
/// Shortest time between the orders of two holders: the lease and the longest call.
const HANDOVER_DELAY: Duration = Duration::from_millis(4600);
const EARLIER: u64 = 7;
const LATER: u64 = 9;
const STEP_MS: u64 = 50;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[test]
fn paused_sender_keeps_apart() {
    let recorded = Moment::from_start(ms(1000));
    for pause in (0..20_000).step_by(20).map(ms) {
        let is_sent = host_order::may_send(recorded, recorded + pause);
        for age in (0..20_000).step_by(50).map(ms) {
            let last = LastOrder { fencing_token: EARLIER, age };
            let is_next_sent = last.allows(LATER, HANDOVER_DELAY).is_ok();
            let is_apart = age >= pause + LEASE;
            assert!(!(is_sent && is_next_sent) || is_apart, "{pause:?} {age:?}");
        }
    }
}

#[test]
fn old_order_unsent() {
    let recorded = Moment::from_start(ms(1000));
    assert!(host_order::may_send(recorded, recorded + MAX_AGE - ms(STEP_MS)));
    assert!(!host_order::may_send(recorded, recorded + MAX_AGE));
}

#[test]
fn earlier_holder_withheld() {
    let last = LastOrder { fencing_token: LATER, age: ms(60_000) };
    assert_eq!(last.allows(EARLIER, HANDOVER_DELAY), Err(Withheld::LaterHolder));
}

#[test]
fn same_holder_continues() {
    let last = LastOrder { fencing_token: LATER, age: Duration::ZERO };
    assert_eq!(last.allows(LATER, HANDOVER_DELAY), Ok(()));
}

#[test]
fn later_holder_waits() {
    let last = |age| LastOrder { fencing_token: EARLIER, age };
    let early = last(HANDOVER_DELAY - ms(STEP_MS));
    assert_eq!(early.allows(LATER, HANDOVER_DELAY), Err(Withheld::Handover));
    assert_eq!(last(HANDOVER_DELAY).allows(LATER, HANDOVER_DELAY), Ok(()));
}
