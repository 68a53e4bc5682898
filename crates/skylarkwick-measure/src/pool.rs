//! One pool in virtual time, under any policy.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use skylarkwick_request::{
    id,
    outcome::Outcome,
    queue::Limits,
    scheduler::{Scheduler, Submission},
};
use skylarkwick_version::{
    document::Priority, host::Epoch, lease::Incarnation, moment::Moment, name,
};

use crate::demand::{Job, Site};

/// Longest wait of a caller in the measurements; nothing is refused early.
const DEADLINE: Duration = Duration::from_secs(3600);

/// Decides which piece of work a pool runs next.
pub(crate) trait Policy {
    /// Takes a piece of work.
    fn submit(&mut self, number: usize, job: &Job, now: Moment);
    /// Chooses the next piece of work to start, if a slot is free.
    fn next(&mut self, now: Moment) -> Option<usize>;
    /// Notes that a piece of work ended.
    fn finish(&mut self, number: usize, now: Moment);
    /// Returns when to look again although nothing arrives or ends.
    fn wakes(&mut self, _now: Moment) {}
}

/// When each piece of work started and ended.
pub(crate) struct Times {
    pub(crate) started: Vec<Moment>,
    pub(crate) ended: Vec<Moment>,
}

/// Runs the work of a pool to its end.
pub(crate) fn simulate<P: Policy>(jobs: &[Job], policy: &mut P) -> Times {
    let mut times =
        Times { started: vec![Moment::ZERO; jobs.len()], ended: vec![Moment::ZERO; jobs.len()] };
    let mut ends: BinaryHeap<Reverse<(Moment, usize)>> = BinaryHeap::new();
    let mut arriving = jobs.iter().enumerate().peekable();
    loop {
        let arrival = arriving.peek().map(|(_, job)| job.arrives);
        let end = ends.peek().map(|Reverse((at, _))| *at);
        let now = match (arrival, end) {
            (Some(arrival), Some(end)) if end <= arrival => end,
            (Some(arrival), _) => arrival,
            (None, Some(end)) => end,
            (None, None) => return times,
        };
        if end == Some(now) {
            if let Some(Reverse((_, number))) = ends.pop() {
                policy.finish(number, now);
            }
        } else if let Some((number, job)) = arriving.next() {
            policy.submit(number, job, now);
        }
        policy.wakes(now);
        while let Some(number) = policy.next(now) {
            times.started[number] = now;
            times.ended[number] = now + jobs[number].run_time;
            ends.push(Reverse((times.ended[number], number)));
        }
    }
}

/// First come, first served.
pub(crate) struct Fifo {
    free: u32,
    waiting: VecDeque<usize>,
}

impl Fifo {
    pub(crate) fn new(site: &Site) -> Fifo {
        Fifo { free: site.hosts * site.slots, waiting: VecDeque::new() }
    }
}

impl Policy for Fifo {
    fn submit(&mut self, number: usize, _: &Job, _: Moment) {
        self.waiting.push_back(number);
    }

    fn next(&mut self, _: Moment) -> Option<usize> {
        if self.free == 0 {
            return None;
        }
        let number = self.waiting.pop_front()?;
        self.free -= 1;
        Some(number)
    }

    fn finish(&mut self, _: usize, _: Moment) {
        self.free += 1;
    }
}

/// Knows every run time, and runs the shortest first.
pub(crate) struct Oracle {
    free: u32,
    waiting: BTreeMap<(Duration, usize), ()>,
}

impl Oracle {
    pub(crate) fn new(site: &Site) -> Oracle {
        Oracle { free: site.hosts * site.slots, waiting: BTreeMap::new() }
    }
}

impl Policy for Oracle {
    fn submit(&mut self, number: usize, job: &Job, _: Moment) {
        self.waiting.insert((job.run_time, number), ());
    }

    fn next(&mut self, _: Moment) -> Option<usize> {
        if self.free == 0 {
            return None;
        }
        let ((_, number), ()) = self.waiting.pop_first()?;
        self.free -= 1;
        Some(number)
    }

    fn finish(&mut self, _: usize, _: Moment) {
        self.free += 1;
    }
}

/// The product's lane.
pub(crate) struct Product {
    lane: Scheduler<usize>,
    attempts: BTreeMap<usize, id::Attempt>,
    random: Pcg64Mcg,
    service: name::Service,
}

impl Product {
    pub(crate) fn new(site: &Site, limits: Limits, seed: u64) -> Product {
        // The declared run time is wrong by a factor of three.
        let mut lane = Scheduler::new(limits, site.run_time * 3);
        let listed = (0..site.hosts).map(|number| (host(number), (Epoch(1), site.slots)));
        lane.set_workers(&listed.collect(), Moment::ZERO);
        Product {
            lane,
            attempts: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            service: name::Service::try_from("measured").expect("the name is valid"),
        }
    }
}

/// Returns the name of a host.
pub(crate) fn host(number: u32) -> name::Host {
    name::Host::try_from(format!("h{number}")).expect("the name is valid")
}

impl Policy for Product {
    fn submit(&mut self, number: usize, job: &Job, now: Moment) {
        let submission = Submission {
            id: id::Request { incarnation: Incarnation(1), number: number as u64 },
            service: self.service.clone(),
            kind: name::Kind::try_from(job.kind).expect("the name is valid"),
            priority: Priority::Normal,
            is_repeatable: true,
            deadline: now + DEADLINE,
            work: number,
        };
        let admitted = self.lane.submit(submission, now);
        assert!(admitted.is_ok(), "the measurement's queue has room for everything");
    }

    fn next(&mut self, now: Moment) -> Option<usize> {
        let start = self.lane.next_attempt(now, &mut self.random)?;
        let number = *start.work;
        self.attempts.insert(number, start.attempt);
        Some(number)
    }

    fn finish(&mut self, number: usize, now: Moment) {
        if let Some(attempt) = self.attempts.remove(&number) {
            self.lane.finish_attempt(attempt, Outcome::Done(()), now);
        }
    }

    fn wakes(&mut self, now: Moment) {
        self.lane.reclassify_overruns(now);
    }
}
