//! Lease acquisition, renewal, expiry and release.

use std::time::Duration;

use skylarkwick_version::{
    lease::{Action, FencingToken, Incarnation, Lease, Observation},
    moment::Moment,
    name,
    revision::Revision,
};

const OWN: Incarnation = Incarnation(1);
const OTHER: Incarnation = Incarnation(2);
const LEASE_DURATION: Duration = Duration::from_secs(2);

fn entry() -> name::Entry {
    name::Entry::try_from("kap-e1").unwrap()
}

fn held(holder: Incarnation, fencing_token: u64) -> Lease {
    Lease { holder: Some(holder), entry: Some(entry()), fencing_token: FencingToken(fencing_token) }
}

#[test]
fn action_table() {
    let cases = [
        ("unheld and preferred", Lease::VACANT, false, true, Some(1)),
        ("unheld, another is preferred", Lease::VACANT, false, false, None),
        (
            "unheld past the lease duration, another is preferred",
            Lease::VACANT,
            true,
            false,
            Some(1),
        ),
        ("held by another", held(OTHER, 4), false, true, None),
        ("held by another and lapsed", held(OTHER, 4), true, true, Some(5)),
        ("held by itself", held(OWN, 4), false, false, Some(4)),
        ("held by itself and lapsed", held(OWN, 4), true, false, Some(4)),
    ];
    for (case, lease, has_lapsed, is_preferred, fencing_token) in cases {
        let action = lease.next_action(OWN, &entry(), has_lapsed, is_preferred);
        let expected = fencing_token
            .map_or(Action::Wait, |fencing_token| Action::Write(held(OWN, fencing_token)));
        assert_eq!(action, expected, "{case}");
    }
}

#[test]
fn lapse_on_own_clock() {
    let at = |seconds| Moment::from_start(Duration::from_secs(seconds));
    let observation = Observation { revision: Revision(7), first_seen: at(10) };
    assert!(!observation.update(Revision(7), at(12)).has_lapsed(LEASE_DURATION, at(12)));
    assert!(observation.update(Revision(7), at(13)).has_lapsed(LEASE_DURATION, at(13)));
    let renewed = observation.update(Revision(8), at(13));
    assert!(!renewed.has_lapsed(LEASE_DURATION, at(15)));
}

#[test]
fn release_keeps_token() {
    let released = held(OWN, 3).release(OWN).unwrap();
    assert_eq!(released, Lease { holder: None, entry: None, fencing_token: FencingToken(3) });
    assert_eq!(held(OTHER, 3).release(OWN), None);
    let action = released.next_action(OTHER, &entry(), false, true);
    assert_eq!(action, Action::Write(held(OTHER, 4)));
}
