//! Run times: learned by kind, and not moved by stragglers.

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
    let mut estimate = Estimator::from_declared(Duration::from_secs(60));
    for _ in 0..200 {
        estimate.observe(&service(), &kind("proof"), millis(20));
    }
    let learned = estimate.run_time(&service(), &kind("proof"));
    assert!(learned < millis(24), "{learned:?}");
}

#[test]
fn stragglers_are_long() {
    let mut estimate = Estimator::from_declared(millis(20));
    for number in 0..500 {
        estimate.observe(&service(), &kind("proof"), millis(20));
        if number % 50 == 0 {
            estimate.observe(&service(), &kind("batch"), millis(1000));
        }
    }
    assert_eq!(estimate.class(&service(), &kind("proof")), Class::Short);
    assert_eq!(estimate.class(&service(), &kind("batch")), Class::Long);
    assert_eq!(estimate.class(&service(), &kind("unheard-of")), Class::Short);
}

#[test]
fn kinds_are_bounded() {
    let mut estimate = Estimator::from_declared(millis(20));
    for number in 0..5000 {
        estimate.observe(&service(), &kind(&format!("k{number}")), millis(20));
    }
    let unlearned = estimate.run_time(&service(), &kind("k4999"));
    assert!(unlearned < millis(25));
}

#[test]
fn overruns_teach_kind() {
    let mut estimate = Estimator::from_declared(millis(20));
    for _ in 0..100 {
        estimate.observe(&service(), &kind("proof"), millis(20));
    }
    for _ in 0..40 {
        estimate.observe_overrun(&service(), &kind("batch"), millis(400));
    }
    assert_eq!(estimate.class(&service(), &kind("batch")), Class::Long);
    assert_eq!(estimate.class(&service(), &kind("proof")), Class::Short);
}
