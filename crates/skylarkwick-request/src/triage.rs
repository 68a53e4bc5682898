//! Which work is postponed when there is too little room to do all of it in time.
//!
//! The method is that of Moore and Hodgson for the number of late jobs: work is added in the order of
//! its deadlines, and whenever it no longer fits before one of them, what costs callers least is
//! taken out. See `docs/design/least-cost.md`.

use std::collections::BinaryHeap;

use skylarkwick_version::moment::{Moment, millis};

/// A job whose deadline can still be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Whether some of it has been done, which would be wasted for now.
    pub is_started: bool,
    /// When it should be over.
    pub deadline: Moment,
    /// What is left to do, in millicores times milliseconds.
    pub millicore_ms: u64,
}

/// What it costs callers to postpone a job, cheapest last: the heap takes out the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    priority: u32,
    is_unstarted: bool,
    millicore_ms: u64,
    index: usize,
}

/// Returns for each job whether it has to be postponed, so that the others can end by their
/// deadlines on this many millicores. Of the jobs with the lowest priority those that have not
/// begun go first, and of those the one with most work: it makes room for the most others.
pub fn postponed(now: Moment, millicores: u64, jobs: &[Work]) -> Vec<bool> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|&index| (jobs[index].deadline, index));
    let mut is_postponed = vec![false; jobs.len()];
    let mut kept = BinaryHeap::new();
    let mut sum = 0_u64;
    for index in order {
        let Work { priority, is_started, deadline, millicore_ms } = jobs[index];
        kept.push(Candidate { priority, is_unstarted: !is_started, millicore_ms, index });
        sum = sum.saturating_add(millicore_ms);
        let room = millicores.saturating_mul(millis(deadline.since(now)));
        while sum > room
            && let Some(cheapest) = kept.pop()
        {
            sum = sum.saturating_sub(cheapest.millicore_ms);
            is_postponed[cheapest.index] = true;
        }
    }
    is_postponed
}
