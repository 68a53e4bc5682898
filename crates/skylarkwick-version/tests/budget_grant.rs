//! Budgets: failures count first, each host once.

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

fn place() -> name::DataCentre {
    name::DataCentre::try_from("kapana").unwrap()
}

/// Granted before, down, silent, asked, allowed, granted.
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
    for (granted, down, silent, asked, allowed, expected) in cases {
        let before = Budget {
            grants: granted.iter().map(|&number| (host(number), Cause::Drain)).collect(),
            ..Budget::default()
        };
        let before = before.set_down(&place(), hosts(down));
        let asked: Vec<_> = asked.iter().copied().map(host).collect();
        let answer = before.grant::<AllChecks>(&asked, &Cause::Drain, &hosts(silent), allowed);
        assert_eq!(matches!(answer, Decision::Granted(_)), expected, "{before:?} {asked:?}");
    }
}

#[test]
fn refusal_tells_counts() {
    let budget = Budget::default().set_down(&place(), hosts(&[1, 2]));
    let answer = budget.grant::<AllChecks>(&[host(3)], &Cause::Drain, &hosts(&[2, 4]), 3);
    assert_eq!(answer, Decision::Refused { unavailable: 3, allowed: 3 });
}

#[test]
fn never_above_allowed() {
    fn holds(asked: Vec<u8>, down: Vec<u8>, allowed: u8) -> bool {
        let mut budget = Budget::default().set_down(&place(), hosts(&down));
        let silent = BTreeSet::new();
        let mut has_granted = false;
        for number in asked {
            let answer =
                budget.grant::<AllChecks>(&[host(number)], &Cause::Move, &silent, allowed.into());
            if let Decision::Granted(next) = answer {
                has_granted = true;
                budget = next;
            }
        }
        !has_granted || budget.unavailable(&silent) <= allowed.into()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(32, 11))
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>, u8) -> bool);
}

#[test]
fn release_gives_back() {
    let Decision::Granted(granted) =
        Budget::default().grant::<AllChecks>(&[host(1)], &Cause::Drain, &BTreeSet::new(), 1)
    else {
        panic!("one host may be down");
    };
    assert_eq!(granted.release(&host(1)), Budget::default());
    assert_eq!(granted.release(&host(2)), granted);
}
