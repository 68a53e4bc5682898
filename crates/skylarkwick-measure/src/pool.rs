//! Simulates one pool in virtual time under a scheduling policy.

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

use crate::demand::{Request, Scenario};

/// Time from arrival to deadline; long enough that no request is refused for it.
const DEADLINE: Duration = Duration::from_secs(3600);

/// Decides which request a pool runs next. Requests are identified by their index in
/// the simulated list.
pub(crate) trait Policy {
    /// Adds a request to the queue.
    fn submit(&mut self, number: usize, request: &Request, now: Moment);
    /// Starts the next request and takes a slot for it; returns its number, or `None`
    /// if no slot is free or no request can start now.
    fn next(&mut self, now: Moment) -> Option<usize>;
    /// Records the successful end of a request and frees its slot.
    fn finish(&mut self, number: usize, now: Moment);
    /// Updates the policy to the current time, after each arrival or end.
    fn advance(&mut self, _now: Moment) {}
}

/// When each request started and ended, by number.
pub(crate) struct Times {
    pub(crate) started: Vec<Moment>,
    pub(crate) ended: Vec<Moment>,
}

/// Runs the requests, in order of arrival, under a policy until the last one has ended.
pub(crate) fn simulate<P: Policy>(requests: &[Request], policy: &mut P) -> Times {
    let mut times = Times {
        started: vec![Moment::ZERO; requests.len()],
        ended: vec![Moment::ZERO; requests.len()],
    };
    let mut ends: BinaryHeap<Reverse<(Moment, usize)>> = BinaryHeap::new();
    let mut arrivals = requests.iter().enumerate().peekable();
    loop {
        let arrival = arrivals.peek().map(|(_, request)| request.arrives_at);
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
        } else if let Some((number, request)) = arrivals.next() {
            policy.submit(number, request, now);
        }
        policy.advance(now);
        while let Some(number) = policy.next(now) {
            times.started[number] = now;
            times.ended[number] = now + requests[number].run_time;
            ends.push(Reverse((times.ended[number], number)));
        }
    }
}

/// Runs requests in the order of arrival on any free slot of the pool.
pub(crate) struct Fifo {
    free_slots: u32,
    waiting: VecDeque<usize>,
}

impl Fifo {
    /// Creates a policy with every slot of the scenario's pool free.
    pub(crate) fn new(scenario: &Scenario) -> Fifo {
        Fifo { free_slots: scenario.hosts * scenario.slots, waiting: VecDeque::new() }
    }
}

impl Policy for Fifo {
    /// Adds the request at the end of the queue.
    fn submit(&mut self, number: usize, _: &Request, _: Moment) {
        self.waiting.push_back(number);
    }

    /// Starts the request at the head of the queue if a slot is free.
    fn next(&mut self, _: Moment) -> Option<usize> {
        if self.free_slots == 0 {
            return None;
        }
        let number = self.waiting.pop_front()?;
        self.free_slots -= 1;
        Some(number)
    }

    /// Frees a slot.
    fn finish(&mut self, _: usize, _: Moment) {
        self.free_slots += 1;
    }
}

/// Knows every run time in advance and runs the shortest waiting request first on any
/// free slot of the pool.
pub(crate) struct Oracle {
    free_slots: u32,
    waiting: BTreeMap<(Duration, usize), ()>,
}

impl Oracle {
    /// Creates a policy with every slot of the scenario's pool free.
    pub(crate) fn new(scenario: &Scenario) -> Oracle {
        Oracle { free_slots: scenario.hosts * scenario.slots, waiting: BTreeMap::new() }
    }
}

impl Policy for Oracle {
    /// Adds the request in the order of run times.
    fn submit(&mut self, number: usize, request: &Request, _: Moment) {
        self.waiting.insert((request.run_time, number), ());
    }

    /// Starts the waiting request with the shortest run time if a slot is free.
    fn next(&mut self, _: Moment) -> Option<usize> {
        if self.free_slots == 0 {
            return None;
        }
        let ((_, number), ()) = self.waiting.pop_first()?;
        self.free_slots -= 1;
        Some(number)
    }

    /// Frees a slot.
    fn finish(&mut self, _: usize, _: Moment) {
        self.free_slots += 1;
    }
}

/// Runs requests as the product's scheduler does, with the attempt of each running
/// request.
pub(crate) struct Product {
    scheduler: Scheduler<usize>,
    attempts: BTreeMap<usize, id::Attempt>,
    random: Pcg64Mcg,
    service: name::Service,
}

impl Product {
    /// Creates a scheduler with the workers of a scenario; `seed` determines its random
    /// choices of a worker.
    pub(crate) fn new(scenario: &Scenario, limits: Limits, seed: u64) -> Product {
        // The declared run time is three times the actual mean of short requests.
        let mut scheduler = Scheduler::new(limits, scenario.run_time * 3);
        let workers = (0..scenario.hosts).map(|number| (host(number), (Epoch(1), scenario.slots)));
        scheduler.set_workers(&workers.collect(), Moment::ZERO);
        Product {
            scheduler,
            attempts: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            service: name::Service::try_from("measured").expect("the name is valid"),
        }
    }
}

/// Returns the name of the host with a number.
pub(crate) fn host(number: u32) -> name::Host {
    name::Host::try_from(format!("h{number}")).expect("the name is valid")
}

impl Policy for Product {
    /// Submits the request with the kind that its caller declares.
    fn submit(&mut self, number: usize, request: &Request, now: Moment) {
        let submission = Submission {
            id: id::Request { incarnation: Incarnation(1), number: number as u64 },
            service: self.service.clone(),
            kind: name::Kind::try_from(request.kind).expect("the name is valid"),
            priority: Priority::Normal,
            is_repeatable: true,
            deadline: now + DEADLINE,
            work: number,
        };
        let admitted = self.scheduler.submit(submission, now);
        assert!(admitted.is_ok(), "the queue of the simulation is unbounded");
    }

    /// Starts the scheduler's next attempt and keeps it until the request ends.
    fn next(&mut self, now: Moment) -> Option<usize> {
        let start = self.scheduler.next_attempt(now, &mut self.random)?;
        let number = *start.work;
        self.attempts.insert(number, start.attempt);
        Some(number)
    }

    /// Ends the request's attempt as successful.
    fn finish(&mut self, number: usize, now: Moment) {
        if let Some(attempt) = self.attempts.remove(&number) {
            self.scheduler.finish_attempt(attempt, Outcome::Done(()), now);
        }
    }

    /// Lets the scheduler reclassify running short requests that overran as long.
    fn advance(&mut self, now: Moment) {
        self.scheduler.reclassify_overruns(now);
    }
}
