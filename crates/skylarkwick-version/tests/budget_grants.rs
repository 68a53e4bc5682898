//! Budget grants: failed and unreachable hosts count, and each host counts once.

use std::collections::BTreeSet;

use quickcheck::{Gen, QuickCheck};
use skylarkwick_version::{
    budget::{AllChecks, Budget, Decision},
    host::Cause,
    name,
};

fn host(number: u8) -> name::Host {
    name::Host::try_from(format!("h{number}")).unwrap()
}

fn hosts(numbers: &[u8]) -> BTreeSet<name::Host> {
    numbers.iter().copied().map(host).collect()
}

fn data_centre() -> name::DataCentre {
    name::DataCentre::try_from("kapana").unwrap()
}

/// Granted before, down, unreachable, requested, allowed, expected to be granted.
type Case<'a> = (&'a [u8], &'a [u8], &'a [u8], &'a [u8], u32, bool);

#[test]
fn grant_table() {
    let cases: [Case<'_>; 9] = [
        (&[], &[], &[], &[1], 1, true),
        (&[], &[], &[], &[1], 0, false),
        (&[1], &[], &[], &[2], 1, false),
        (&[1], &[], &[], &[2], 2, true),
        (&[], &[3], &[], &[2], 1, false),
        (&[], &[], &[4], &[2], 1, false),
        (&[1], &[1], &[1], &[2], 2, true),
        (&[], &[2], &[], &[2], 1, true),
        (&[], &[], &[], &[1, 2, 3], 2, false),
    ];
    for (granted, down, unreachable, requested, allowed, expected) in cases {
        let before = Budget {
            grants: granted.iter().map(|&number| (host(number), Cause::Drain)).collect(),
            ..Budget::default()
        };
        let before = before.set_down(&data_centre(), hosts(down));
        let requested: Vec<_> = requested.iter().copied().map(host).collect();
        let decision =
            before.grant::<AllChecks>(&requested, &Cause::Drain, &hosts(unreachable), allowed);
        assert_eq!(matches!(decision, Decision::Granted(_)), expected, "{before:?} {requested:?}");
    }
}

#[test]
fn refusal_counts_hosts() {
    let budget = Budget::default().set_down(&data_centre(), hosts(&[1, 2]));
    let decision = budget.grant::<AllChecks>(&[host(3)], &Cause::Drain, &hosts(&[2, 4]), 3);
    assert_eq!(decision, Decision::Refused { unavailable: 3, allowed: 3 });
}

#[test]
fn budget_not_exceeded() {
    fn holds(requested: Vec<u8>, down: Vec<u8>, allowed: u8) -> bool {
        let mut budget = Budget::default().set_down(&data_centre(), hosts(&down));
        let unreachable = BTreeSet::new();
        let mut has_granted = false;
        for number in requested {
            let decision = budget.grant::<AllChecks>(
                &[host(number)],
                &Cause::Move,
                &unreachable,
                allowed.into(),
            );
            if let Decision::Granted(next) = decision {
                has_granted = true;
                budget = next;
            }
        }
        !has_granted || budget.unavailable(&unreachable) <= allowed.into()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(32, 11))
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>, u8) -> bool);
}

#[test]
fn release_restores_budget() {
    let Decision::Granted(granted) =
        Budget::default().grant::<AllChecks>(&[host(1)], &Cause::Drain, &BTreeSet::new(), 1)
    else {
        panic!("a budget of one host granted none");
    };
    assert_eq!(granted.release(&host(1)), Budget::default());
    assert_eq!(granted.release(&host(2)), granted);
}
