//! Leases: who takes, keeps and loses a shard.

use std::time::Duration;

use skylarkwick_version::{
    lease::{Action, FencingToken, Incarnation, Lease, Observation},
    moment::Moment,
    name,
    revision::Revision,
};

const ME: Incarnation = Incarnation(1);
const OTHER: Incarnation = Incarnation(2);
const LEASE: Duration = Duration::from_secs(2);

fn entry() -> name::Entry {
    name::Entry::try_from("kap-e1").unwrap()
}

fn held(holder: Incarnation, fencing: u64) -> Lease {
    Lease { holder: Some(holder), entry: Some(entry()), fencing_token: FencingToken(fencing) }
}

#[test]
fn step_table() {
    let cases = [
        ("vacant and preferred", Lease::VACANT, false, true, Some(1)),
        ("vacant, another is preferred", Lease::VACANT, false, false, None),
        ("vacant for long, another is preferred", Lease::VACANT, true, false, Some(1)),
        ("held by another", held(OTHER, 4), false, true, None),
        ("held by another and lapsed", held(OTHER, 4), true, true, Some(5)),
        ("held by me", held(ME, 4), false, false, Some(4)),
        ("held by me and lapsed", held(ME, 4), true, false, Some(4)),
    ];
    for (case, lease, has_lapsed, is_preferred, fencing) in cases {
        let step = lease.next_action(ME, &entry(), has_lapsed, is_preferred);
        let expected = fencing.map_or(Action::Wait, |fencing| Action::Write(held(ME, fencing)));
        assert_eq!(step, expected, "{case}");
    }
}

#[test]
fn lapse_by_own_clock() {
    let at = |seconds| Moment::from_start(Duration::from_secs(seconds));
    let sight = Observation { revision: Revision(7), first_seen: at(10) };
    assert!(!sight.update(Revision(7), at(12)).has_lapsed(LEASE, at(12)));
    assert!(sight.update(Revision(7), at(13)).has_lapsed(LEASE, at(13)));
    let renewed = sight.update(Revision(8), at(13));
    assert!(!renewed.has_lapsed(LEASE, at(15)));
}

#[test]
fn release_keeps_fencing() {
    let released = held(ME, 3).release(ME).unwrap();
    assert_eq!(released, Lease { holder: None, entry: None, fencing_token: FencingToken(3) });
    assert_eq!(held(OTHER, 3).release(ME), None);
    let taken = released.next_action(OTHER, &entry(), false, true);
    assert_eq!(taken, Action::Write(held(OTHER, 4)));
}
