//! Exhaustive model checking of the core protocol with the production decisions.
//!
//! Two planners compete for the lease of a data centre with one host. The host
//! leaves pool `a`, for pool `b` or for maintenance, while an entry host
//! dispatches with a possibly stale view and a remote planner uses the same
//! budget. Writes are conditional transactions that may arrive late, twice or
//! never; planners pause past their lease; views and host reports may be stale.
//! Each safety check is disabled in turn, and the exploration has to find a
//! violation.

#![allow(clippy::print_stdout, reason = "the number of states and the traces are the result")]

mod model;

use model::{
    AllChecks, Bounds, Checks, Exploration,
    checks::{NoAcknowledgement, NoBudget, NoEpochCheck, NoFencing},
    explore,
};

/// Bounds that allow one move and one wave, two takeovers and two remote drains.
const FAST: Bounds = Bounds { epoch: 5, fencing: 3, lease: 5, remote: 3 };
/// Bounds that allow consecutive moves and waves, four takeovers and four remote drains.
const DEEP: Bounds = Bounds { epoch: 8, fencing: 5, lease: 9, remote: 7 };

#[test]
fn guards_hold() {
    check_invariants(FAST);
}

#[test]
#[ignore = "takes minutes; docs/PROOF.md gives the command"]
fn guards_hold_deep() {
    check_invariants(DEEP);
}

fn check_invariants(bounds: Bounds) {
    let Exploration { states, trace } = explore::<AllChecks>(bounds);
    println!("{states} states explored");
    assert_eq!(trace, None, "an invariant is violated");
    assert!(states > 10_000, "the exploration covers only {states} states, expected over 10000");
}

fn expect_violation<C: Checks>(check: &str) {
    let Exploration { states, trace } = explore::<C>(FAST);
    let trace =
        trace.unwrap_or_else(|| panic!("no violation without the {check} in {states} states"));
    println!("violation without the {check} after {} steps:", trace.len() - 1);
    for step in &trace {
        println!("  {step}");
    }
}

#[test]
fn fencing_needed() {
    expect_violation::<NoFencing>("fencing condition");
}

#[test]
fn epoch_check_needed() {
    expect_violation::<NoEpochCheck>("epoch check");
}

#[test]
fn budget_needed() {
    expect_violation::<NoBudget>("budget condition");
}

#[test]
fn acknowledgement_needed() {
    expect_violation::<NoAcknowledgement>("host's own acknowledgement");
}
