//! Run-time estimates: learned by kind, and robust to stragglers.

use std::time::Duration;

use skylarkwick_request::estimate::{Class, Estimator};
use skylarkwick_version::name;

fn service() -> name::Service {
    name::Service::try_from("newspaper").unwrap()
}

fn kind(name: &str) -> name::Kind {
    name::Kind::try_from(name).unwrap()
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn wrong_prior_forgotten() {
    let mut estimator = Estimator::from_declared(Duration::from_secs(60));
    for _ in 0..200 {
        estimator.observe(&service(), &kind("proof"), millis(20));
    }
    let learned = estimator.run_time(&service(), &kind("proof"));
    assert!(learned < millis(24), "{learned:?}");
}

#[test]
fn stragglers_are_long() {
    let mut estimator = Estimator::from_declared(millis(20));
    for number in 0..500 {
        estimator.observe(&service(), &kind("proof"), millis(20));
        if number % 50 == 0 {
            estimator.observe(&service(), &kind("batch"), millis(1000));
        }
    }
    assert_eq!(estimator.class(&service(), &kind("proof")), Class::Short);
    assert_eq!(estimator.class(&service(), &kind("batch")), Class::Long);
    assert_eq!(estimator.class(&service(), &kind("unheard-of")), Class::Short);
}

#[test]
fn kinds_are_bounded() {
    let mut estimator = Estimator::from_declared(millis(20));
    for number in 0..5000 {
        estimator.observe(&service(), &kind(&format!("k{number}")), millis(20));
    }
    let untracked = estimator.run_time(&service(), &kind("k4999"));
    assert!(untracked < millis(25));
}

#[test]
fn overruns_reclassify_kind() {
    let mut estimator = Estimator::from_declared(millis(20));
    for _ in 0..100 {
        estimator.observe(&service(), &kind("proof"), millis(20));
    }
    for _ in 0..40 {
        estimator.observe_overrun(&service(), &kind("batch"), millis(400));
    }
    assert_eq!(estimator.class(&service(), &kind("batch")), Class::Long);
    assert_eq!(estimator.class(&service(), &kind("proof")), Class::Short);
}
