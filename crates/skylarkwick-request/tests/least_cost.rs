//! Work that is postponed when there is too little room: bursts of 1, 2, 4 and 10 times what a
//! pool can do, of small and large jobs, of several priorities.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use skylarkwick_request::triage::{Work, postponed};
use skylarkwick_version::moment::Moment;

const MILLICORES: u64 = 1000;

fn at(ms: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(ms)
}

fn work(priority: u32, deadline_ms: u64, work_ms: u64) -> Work {
    let millicore_ms = work_ms * MILLICORES;
    Work { priority, is_started: false, deadline: at(deadline_ms), millicore_ms }
}

fn count(jobs: &[Work]) -> usize {
    postponed(at(0), MILLICORES, jobs).iter().filter(|is_postponed| !**is_postponed).count()
}

#[test]
fn all_kept_with_room() {
    let jobs: Vec<Work> = (1..=10).map(|number| work(0, 100 * number, 100)).collect();
    assert_eq!(count(&jobs), 10);
    assert_eq!(count(&[]), 0);
}

/// A burst of small jobs meets a few large ones: the large ones wait.
#[test]
fn large_jobs_wait_for_small() {
    for multiple in [1, 2, 4, 10] {
        let mut jobs: Vec<Work> = (0..10 * multiple).map(|_| work(0, 1000, 100)).collect();
        jobs.extend((0..multiple).map(|_| work(0, 1000, 900)));
        let is_postponed = postponed(at(0), MILLICORES, &jobs);
        let kept_small = is_postponed[..10 * multiple].iter().filter(|p| !**p).count();
        assert_eq!(kept_small, 10, "{multiple}");
        assert!(is_postponed[10 * multiple..].iter().all(|p| *p), "{multiple}");
    }
}

#[test]
fn low_priority_waits_first() {
    let jobs = [work(0, 1000, 800), work(1, 1000, 300), work(1, 900, 100)];
    assert_eq!(postponed(at(0), MILLICORES, &jobs), [false, true, false]);
}

/// What was begun is not left lying for what has not begun.
#[test]
fn begun_work_goes_on() {
    let begun = Work { is_started: true, ..work(0, 1000, 700) };
    assert_eq!(postponed(at(0), MILLICORES, &[begun, work(0, 1000, 400)]), [false, true]);
}

/// A job whose deadline is near doesn't wait for one that has time.
#[test]
fn near_deadlines_kept() {
    let jobs = [work(0, 200, 200), work(0, 10_000, 5000), work(0, 10_000, 4700)];
    assert_eq!(count(&jobs), 3);
    let jobs = [work(0, 200, 200), work(0, 10_000, 5000), work(0, 10_000, 4900)];
    assert_eq!(postponed(at(0), MILLICORES, &jobs), [false, true, false]);
}

/// Whatever is kept fits before each deadline, and no set of equally important jobs that fits is
/// larger.
#[test]
fn kept_work_fits_and_is_most() {
    fn fits(jobs: &[Work], kept: &[bool]) -> bool {
        let mut chosen: Vec<&Work> =
            jobs.iter().zip(kept).filter(|(_, kept)| **kept).map(|(job, _)| job).collect();
        chosen.sort_by_key(|job| job.deadline);
        let mut sum = 0;
        chosen.iter().all(|job| {
            sum += job.millicore_ms;
            sum <= MILLICORES * u64::try_from(job.deadline.since(at(0)).as_millis()).expect("short")
        })
    }
    fn property(numbers: Vec<(u8, u8)>) -> bool {
        let jobs: Vec<Work> = numbers
            .into_iter()
            .take(8)
            .map(|(deadline, length)| work(0, u64::from(deadline), u64::from(length % 64) + 1))
            .collect();
        let kept: Vec<bool> =
            postponed(at(0), MILLICORES, &jobs).iter().map(|postponed| !postponed).collect();
        let size = kept.iter().filter(|kept| **kept).count();
        let most = (0..1_u32 << jobs.len())
            .map(|set| (0..jobs.len()).map(|job| set >> job & 1 == 1).collect::<Vec<bool>>())
            .filter(|set| fits(&jobs, set))
            .map(|set| set.iter().filter(|kept| **kept).count())
            .max();
        fits(&jobs, &kept) && Some(size) == most
    }
    let property: fn(Vec<(u8, u8)>) -> bool = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 46)).tests(400).quickcheck(property);
}
