//! The workers of one pool and the choice among them.
//!
//! A worker is chosen as the less loaded of two random ones that have a free
//! slot, which costs the same for ten workers and for ten thousand. See
//! `docs/DESIGN.md`, section "Choice of worker", for the ways weighed.

use std::collections::BTreeMap;

use rand::{Rng, RngExt};
use skylarkwick_version::{host::Epoch, moment::Moment, name};

use crate::{
    breaker::{Breaker, State},
    estimate::Class,
    queue::SlotUsage,
};

/// Percentage of a pool whose breakers may be open at once, so that a fault of
/// the whole pool or of the tasks themselves does not close it.
const MAX_OPEN_PERCENT: usize = 34;
/// Pairs drawn before the choice falls back to a walk over the free workers.
const DRAWS: usize = 4;

/// A worker that may be given work.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Epoch that tasks for the worker carry.
    pub epoch: Epoch,
    /// SlotUsage that this entry host may use on the worker.
    pub slots: u32,
    held: u32,
    breaker: Breaker,
    place: Option<usize>,
    is_listed: bool,
}

/// The workers of one pool.
#[derive(Debug, Default)]
pub struct Balancer {
    workers: BTreeMap<name::Host, Worker>,
    free: Vec<name::Host>,
    slots: SlotUsage,
    /// Workers whose breakers are not closed, counted as they change.
    tripped: usize,
}

impl Balancer {
    /// Creates a board without workers.
    pub fn new() -> Balancer {
        Balancer::default()
    }

    /// Returns how the pool's slots are used.
    pub fn slots(&self) -> SlotUsage {
        self.slots
    }

    /// Returns the number of workers that are listed.
    pub fn len(&self) -> usize {
        self.workers.values().filter(|worker| worker.is_listed).count()
    }

    /// Tells whether no worker is listed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Replaces the list of workers, keeping what was learned of those that stay.
    pub fn set_workers(&mut self, listed: &BTreeMap<name::Host, (Epoch, u32)>) {
        for worker in self.workers.values_mut() {
            worker.is_listed = false;
        }
        for (host, &(epoch, slots)) in listed {
            let worker = self.workers.entry(host.clone()).or_insert(Worker {
                epoch,
                slots,
                held: 0,
                breaker: Breaker::default(),
                place: None,
                is_listed: true,
            });
            worker.epoch = epoch;
            worker.slots = slots;
            worker.is_listed = true;
        }
        self.workers.retain(|_, worker| worker.is_listed || worker.held > 0);
        self.rebuild();
    }

    /// Takes a worker off the list at once, such as one that is leaving.
    pub fn remove_worker(&mut self, host: &name::Host) {
        if let Some(worker) = self.workers.get_mut(host) {
            worker.is_listed = false;
            self.rebuild();
        }
    }

    /// Chooses a worker, avoiding `avoided` where another one is free.
    pub fn choose<R: Rng>(
        &self,
        avoided: Option<&name::Host>,
        now: Moment,
        random: &mut R,
    ) -> Option<(name::Host, Epoch)> {
        let drawn = (0..DRAWS).find_map(|_| self.draw(avoided, now, random));
        let host = drawn.or_else(|| self.first(avoided, now)).or_else(|| self.first(None, now))?;
        self.workers.get(host).map(|worker| (host.clone(), worker.epoch))
    }

    /// Notes that a worker was given work.
    pub fn record_start(&mut self, host: &name::Host, length: Class, now: Moment) {
        let Some(worker) = self.workers.get_mut(host) else { return };
        worker.held += 1;
        worker.breaker.record_start(now);
        *held(&mut self.slots, length) += 1;
        self.place(host);
    }

    /// Notes that the work which a worker was given runs long.
    pub fn reclassify_as_long(&mut self) {
        self.slots.short = self.slots.short.saturating_sub(1);
        self.slots.long += 1;
    }

    /// Notes that work on a worker ended; `succeeded` is `None` where that says
    /// nothing about the worker's health.
    pub fn record_finish(
        &mut self,
        host: &name::Host,
        length: Class,
        succeeded: Option<bool>,
        now: Moment,
    ) {
        let slots = held(&mut self.slots, length);
        *slots = slots.saturating_sub(1);
        let may_open = (self.tripped + 1) * 100 <= self.workers.len() * MAX_OPEN_PERCENT;
        let Some(worker) = self.workers.get_mut(host) else { return };
        worker.held = worker.held.saturating_sub(1);
        if let Some(succeeded) = succeeded {
            let was_tripped = worker.breaker.is_tripped();
            worker.breaker.record_result(succeeded, may_open, now);
            match (was_tripped, worker.breaker.is_tripped()) {
                (false, true) => self.tripped += 1,
                (true, false) => self.tripped -= 1,
                _ => {}
            }
        }
        let is_gone = !worker.is_listed && worker.held == 0;
        self.place(host);
        if is_gone && self.workers.remove(host).is_some_and(|gone| gone.breaker.is_tripped()) {
            self.tripped -= 1;
        }
    }

    /// Returns the state of a worker's breaker.
    pub fn breaker_state(&self, host: &name::Host, now: Moment) -> Option<State> {
        self.workers.get(host).map(|worker| worker.breaker.state(now))
    }

    fn draw<R: Rng>(
        &self,
        avoided: Option<&name::Host>,
        now: Moment,
        random: &mut R,
    ) -> Option<&name::Host> {
        if self.free.is_empty() {
            return None;
        }
        let mut pick = || {
            let host = &self.free[random.random_range(0..self.free.len())];
            self.admits(host, avoided, now).then_some(host)
        };
        match (pick(), pick()) {
            (Some(one), Some(other)) if self.load(other) < self.load(one) => Some(other),
            (Some(one), _) => Some(one),
            (None, other) => other,
        }
    }

    fn first(&self, avoided: Option<&name::Host>, now: Moment) -> Option<&name::Host> {
        self.free.iter().find(|host| self.admits(host, avoided, now))
    }

    fn admits(&self, host: &name::Host, avoided: Option<&name::Host>, now: Moment) -> bool {
        avoided != Some(host)
            && self.workers.get(host).is_some_and(|worker| worker.breaker.admits(now))
    }

    fn load(&self, host: &name::Host) -> u32 {
        self.workers.get(host).map_or(u32::MAX, |worker| worker.held * 1000 / worker.slots.max(1))
    }

    fn rebuild(&mut self) {
        self.free.clear();
        self.slots.total = 0;
        self.tripped = self.workers.values().filter(|worker| worker.breaker.is_tripped()).count();
        for (host, worker) in &mut self.workers {
            worker.place = None;
            if !worker.is_listed {
                self.slots.total += worker.held;
                continue;
            }
            self.slots.total += worker.slots.max(worker.held);
            if worker.held < worker.slots {
                worker.place = Some(self.free.len());
                self.free.push(host.clone());
            }
        }
    }

    /// Moves a worker on to or off the list of free ones, in constant time.
    fn place(&mut self, host: &name::Host) {
        let Some(worker) = self.workers.get_mut(host) else { return };
        let is_free = worker.is_listed && worker.held < worker.slots;
        match (worker.place, is_free) {
            (None, true) => {
                worker.place = Some(self.free.len());
                self.free.push(host.clone());
            }
            (Some(place), false) => {
                worker.place = None;
                self.free.swap_remove(place);
                let moved = self.free.get(place).cloned();
                if let Some(moved) = moved.and_then(|host| self.workers.get_mut(&host)) {
                    moved.place = Some(place);
                }
            }
            _ => {}
        }
    }
}

fn held(slots: &mut SlotUsage, length: Class) -> &mut u32 {
    match length {
        Class::Short => &mut slots.short,
        Class::Long => &mut slots.long,
    }
}
