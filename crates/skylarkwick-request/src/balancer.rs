//! Load balancer of a pool: tracks its workers and selects one for each attempt.
//!
//! The selected worker is the less loaded of two random ones that have a free
//! slot; the cost does not depend on the number of workers. See `docs/DESIGN.md`,
//! section "Choice of worker", for the alternatives considered.

use std::collections::BTreeMap;

use rand::{Rng, RngExt};
use skylarkwick_version::{host::Epoch, moment::Moment, name};

use crate::{
    breaker::{Breaker, State},
    estimate::Class,
    queue::SlotUsage,
};

/// A breaker opens only if, with it, at most this percentage of the pool's breakers is open or
/// half open, so that a failure of the whole pool or of the tasks does not make all workers
/// unavailable. None opens in a pool of fewer than three workers.
const MAX_OPEN_PERCENT: usize = 34;
/// Number of random pairs of workers sampled before falling back to a linear search.
const MAX_SAMPLED_PAIRS: usize = 4;

/// A worker, which is a host of the pool, and its use by this entry host: its epoch, its
/// slots, how many of them are used, and its circuit breaker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Epoch that tasks for the worker carry; the worker refuses one below the highest that it
    /// has accepted.
    pub epoch: Epoch,
    /// Number of slots that this entry host may use on the worker.
    pub slots: u32,
    used_slots: u32,
    breaker: Breaker,
    /// Index in [`Balancer::available`], if the worker is available.
    available_index: Option<usize>,
    /// Whether the worker gets new work; others are kept until their work has ended.
    is_listed: bool,
}

/// The workers of one pool with their load and breakers, from which one is selected for
/// each attempt.
#[derive(Debug, Default)]
pub struct Balancer {
    workers: BTreeMap<name::Host, Worker>,
    /// Listed workers with a free slot, whatever the state of their breakers.
    available: Vec<name::Host>,
    slots: SlotUsage,
    /// Number of workers whose breaker is open or half open.
    tripped_workers: usize,
}

impl Balancer {
    /// Creates a balancer without workers.
    pub fn new() -> Balancer {
        Balancer::default()
    }

    /// Returns how many slots of the pool this entry host may use, and how many of them short
    /// and long work use now. The total is that of the last change to the list of workers; it
    /// includes the slots that workers no longer listed used then.
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

    /// Replaces the list of workers; the values are the epoch of each and the number of its
    /// slots that this entry host may use. Workers that stay listed keep their breakers; the
    /// others get no new work and are dropped once their work has ended, unless they are
    /// listed again before.
    pub fn set_workers(&mut self, listed: &BTreeMap<name::Host, (Epoch, u32)>) {
        for worker in self.workers.values_mut() {
            worker.is_listed = false;
        }
        for (host, &(epoch, slots)) in listed {
            let worker = self.workers.entry(host.clone()).or_insert(Worker {
                epoch,
                slots,
                used_slots: 0,
                breaker: Breaker::default(),
                available_index: None,
                is_listed: true,
            });
            worker.epoch = epoch;
            worker.slots = slots;
            worker.is_listed = true;
        }
        self.workers.retain(|_, worker| worker.is_listed || worker.used_slots > 0);
        self.rebuild_available();
    }

    /// Stops sending work to a worker, such as one that is leaving, until it is listed again.
    /// Its work in progress continues. Does nothing if the worker is unknown.
    pub fn remove_worker(&mut self, host: &name::Host) {
        if let Some(worker) = self.workers.get_mut(host) {
            worker.is_listed = false;
            self.rebuild_available();
        }
    }

    /// Selects a worker with a free slot whose breaker admits work, usually the less loaded of
    /// two random ones; selects `avoided` only if there is no other. Returns its host and
    /// epoch, or `None` if there is no such worker. The slot is not used until
    /// [`Balancer::record_start`].
    pub fn choose<R: Rng>(
        &self,
        avoided: Option<&name::Host>,
        now: Moment,
        random: &mut R,
    ) -> Option<(name::Host, Epoch)> {
        let sampled = (0..MAX_SAMPLED_PAIRS).find_map(|_| self.sample_two(avoided, now, random));
        let host = sampled
            .or_else(|| self.first_available(avoided, now))
            .or_else(|| self.first_available(None, now))?;
        self.workers.get(host).map(|worker| (host.clone(), worker.epoch))
    }

    /// Records that work was sent to a worker: one of its slots is used, and its breaker
    /// counts a probe if it is half open. Does nothing if the worker is unknown.
    pub fn record_start(&mut self, host: &name::Host, class: Class, now: Moment) {
        let Some(worker) = self.workers.get_mut(host) else { return };
        worker.used_slots += 1;
        worker.breaker.record_start(now);
        *used_slots(&mut self.slots, class) += 1;
        self.update_availability(host);
    }

    /// Counts one slot less for short work and one more for long work, because a task that
    /// uses it was reclassified.
    pub fn reclassify_as_long(&mut self) {
        self.slots.short = self.slots.short.saturating_sub(1);
        self.slots.long += 1;
    }

    /// Records that work on a worker ended: the balancer counts one used slot less for the
    /// class and for the worker, and the worker's breaker records the result. A worker that is
    /// not listed and has no other work is removed. If the worker is unknown, only the count
    /// of the class changes.
    ///
    /// `class` is the present class of the work. `succeeded` is `None` if the result does not
    /// indicate the worker's health; the breaker then stays as it is, with its count of
    /// probes.
    pub fn record_finish(
        &mut self,
        host: &name::Host,
        class: Class,
        succeeded: Option<bool>,
        now: Moment,
    ) {
        let slots = used_slots(&mut self.slots, class);
        *slots = slots.saturating_sub(1);
        let may_open = (self.tripped_workers + 1) * 100 <= self.workers.len() * MAX_OPEN_PERCENT;
        let Some(worker) = self.workers.get_mut(host) else { return };
        worker.used_slots = worker.used_slots.saturating_sub(1);
        if let Some(succeeded) = succeeded {
            let was_tripped = worker.breaker.is_tripped();
            worker.breaker.record_result(succeeded, may_open, now);
            match (was_tripped, worker.breaker.is_tripped()) {
                (false, true) => self.tripped_workers += 1,
                (true, false) => self.tripped_workers -= 1,
                _ => {}
            }
        }
        let is_unused = !worker.is_listed && worker.used_slots == 0;
        self.update_availability(host);
        if is_unused && self.workers.remove(host).is_some_and(|gone| gone.breaker.is_tripped()) {
            self.tripped_workers -= 1;
        }
    }

    /// Returns the state of a worker's breaker, or `None` if the worker is unknown.
    pub fn breaker_state(&self, host: &name::Host, now: Moment) -> Option<State> {
        self.workers.get(host).map(|worker| worker.breaker.state(now))
    }

    /// Returns the less loaded of two available workers drawn at random, which may be the
    /// same, leaving out `avoided` and those whose breaker admits no work. Returns `None` if
    /// both are left out or no worker is available.
    fn sample_two<R: Rng>(
        &self,
        avoided: Option<&name::Host>,
        now: Moment,
        random: &mut R,
    ) -> Option<&name::Host> {
        if self.available.is_empty() {
            return None;
        }
        let mut pick = || {
            let host = &self.available[random.random_range(0..self.available.len())];
            self.admits(host, avoided, now).then_some(host)
        };
        match (pick(), pick()) {
            (Some(one), Some(other)) if self.load_permille(other) < self.load_permille(one) => {
                Some(other)
            }
            (Some(one), _) => Some(one),
            (None, other) => other,
        }
    }

    /// Returns the first listed worker with a free slot, in no particular order, that is not
    /// `avoided` and whose breaker admits work; `None` if there is none.
    fn first_available(&self, avoided: Option<&name::Host>, now: Moment) -> Option<&name::Host> {
        self.available.iter().find(|host| self.admits(host, avoided, now))
    }

    /// Returns whether a worker is not `avoided` and its breaker admits work; false for an
    /// unknown worker.
    fn admits(&self, host: &name::Host, avoided: Option<&name::Host>, now: Moment) -> bool {
        avoided != Some(host)
            && self.workers.get(host).is_some_and(|worker| worker.breaker.admits(now))
    }

    /// Returns the used slots of a worker in thousandths of the slots that this entry host may
    /// use, or the maximum value if the worker is unknown.
    fn load_permille(&self, host: &name::Host) -> u32 {
        self.workers
            .get(host)
            .map_or(u32::MAX, |worker| worker.used_slots * 1000 / worker.slots.max(1))
    }

    /// Recomputes the available workers, the total number of slots and the number of tripped
    /// workers after the list of workers has changed.
    fn rebuild_available(&mut self) {
        self.available.clear();
        self.slots.total = 0;
        self.tripped_workers =
            self.workers.values().filter(|worker| worker.breaker.is_tripped()).count();
        for (host, worker) in &mut self.workers {
            worker.available_index = None;
            if !worker.is_listed {
                self.slots.total += worker.used_slots;
                continue;
            }
            self.slots.total += worker.slots.max(worker.used_slots);
            if worker.used_slots < worker.slots {
                worker.available_index = Some(self.available.len());
                self.available.push(host.clone());
            }
        }
    }

    /// Adds a worker to the available ones if it is listed and has a free slot, and removes it
    /// otherwise. Does not search the list, unlike [`Balancer::rebuild_available`].
    fn update_availability(&mut self, host: &name::Host) {
        let Some(worker) = self.workers.get_mut(host) else { return };
        let is_free = worker.is_listed && worker.used_slots < worker.slots;
        match (worker.available_index, is_free) {
            (None, true) => {
                worker.available_index = Some(self.available.len());
                self.available.push(host.clone());
            }
            (Some(index), false) => {
                worker.available_index = None;
                self.available.swap_remove(index);
                let moved = self.available.get(index).cloned();
                if let Some(moved) = moved.and_then(|host| self.workers.get_mut(&host)) {
                    moved.available_index = Some(index);
                }
            }
            _ => {}
        }
    }
}

/// Returns the number of slots that work of a class uses, to be changed by the caller.
fn used_slots(slots: &mut SlotUsage, class: Class) -> &mut u32 {
    match class {
        Class::Short => &mut slots.short,
        Class::Long => &mut slots.long,
    }
}
