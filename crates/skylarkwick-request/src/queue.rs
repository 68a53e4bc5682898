//! The queue of a pool, in which short work does not wait behind long work.
//!
//! Short and long work wait in bands of their own. Short work goes first; long
//! work may hold a capped share of the pool's slots, and more only while no
//! short work waits. The queue is bounded, and work that could not finish by
//! its deadline is refused early, which is a true `NotRun`. See
//! `docs/DESIGN.md`, section "Short before long".

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::{document::Priority, moment::Moment, name};

use crate::{estimate::Class, id, outcome::Refusal};

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most requests that wait at once.
    pub max_waiting: usize,
    /// Percentage of the pool's slots that long work may hold while short work
    /// waits.
    pub long_percent: u32,
    /// Percentage of the pool's slots that long work may hold at any time, so
    /// that the next burst of short work finds some free.
    pub idle_long_percent: u32,
}

impl Limits {
    /// The limits of an entry host.
    pub const DEFAULT: Limits =
        Limits { max_waiting: 512, long_percent: 10, idle_long_percent: 40 };
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// The request.
    pub id: id::Request,
    /// Its service.
    pub service: name::Service,
    /// Its kind.
    pub kind: name::Kind,
    /// Its service's priority.
    pub priority: Priority,
    /// Whether it is expected to run long.
    pub length: Class,
    /// How long it is expected to run.
    pub run_time: Duration,
    /// When its caller stops waiting.
    pub deadline: Moment,
    /// When it was admitted.
    pub queued_at: Moment,
    /// What the owner of the queue needs to run it.
    pub work: T,
}

/// How the slots of a pool are used, as far as this queue may use them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// All slots.
    pub total: u32,
    /// SlotUsage held by short work.
    pub short: u32,
    /// SlotUsage held by long work.
    pub long: u32,
}

impl SlotUsage {
    fn free(self) -> u32 {
        self.total.saturating_sub(self.short + self.long)
    }
}

type Place = (Class, Priority, u64);

/// Requests that wait for a slot of one pool.
#[derive(Debug)]
pub struct Queue<T> {
    limits: Limits,
    next: u64,
    waiting: BTreeMap<Place, QueuedRequest<T>>,
    places: BTreeMap<id::Request, Place>,
    short_work: Duration,
    long_work: Duration,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Queue<T> {
        Queue {
            limits,
            next: 0,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            short_work: Duration::ZERO,
            long_work: Duration::ZERO,
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Admits a request, or refuses it early.
    ///
    /// # Errors
    ///
    /// Gives the request back with the refusal when the queue is full, when no
    /// slot exists, or when the request could not finish by its deadline.
    pub fn push(
        &mut self,
        request: QueuedRequest<T>,
        slots: SlotUsage,
        now: Moment,
    ) -> Result<(), (QueuedRequest<T>, Refusal)> {
        match self.expected_wait(request.length, slots) {
            None => return Err((request, Refusal::NoHost)),
            Some(wait) if self.waiting.len() >= self.limits.max_waiting => {
                let retry_after = wait.max(MIN_RETRY_AFTER);
                return Err((request, Refusal::QueueFull { retry_after }));
            }
            Some(wait) if now + wait + request.run_time > request.deadline => {
                let retry_after = wait.max(MIN_RETRY_AFTER);
                return Err((request, Refusal::TooLate { retry_after }));
            }
            Some(_) => {}
        }
        self.insert(request);
        Ok(())
    }

    /// Puts a request back that was admitted before, such as one whose attempt
    /// did not run.
    pub fn requeue(&mut self, request: QueuedRequest<T>) {
        self.insert(request);
    }

    /// Takes the next request to run, if a slot may be used for it.
    pub fn pop(&mut self, slots: SlotUsage) -> Option<QueuedRequest<T>> {
        if slots.free() == 0 {
            return None;
        }
        let &place = self.waiting.keys().next()?;
        match place.0 {
            Class::Short => self.take(place),
            Class::Long if slots.long < self.long_cap(slots) => self.take(place),
            Class::Long => None,
        }
    }

    /// Takes a long request although short ones wait, while long work holds
    /// less than its share of slots, so that neither band starves the other.
    pub fn pop_long(&mut self, slots: SlotUsage) -> Option<QueuedRequest<T>> {
        let cap = share(slots.total, self.limits.long_percent);
        if slots.free() == 0 || slots.long >= cap {
            return None;
        }
        let first_long = (Class::Long, Priority::Urgent, 0);
        let place = *self.waiting.range(first_long..).next()?.0;
        self.take(place)
    }

    /// Takes a request out because its caller cancelled it.
    pub fn cancel(&mut self, id: id::Request) -> Option<QueuedRequest<T>> {
        let place = *self.places.get(&id)?;
        self.take(place)
    }

    /// Takes out every request that can no longer finish by its deadline.
    pub fn expire(&mut self, now: Moment) -> Vec<QueuedRequest<T>> {
        let late: Vec<Place> = self
            .waiting
            .iter()
            .filter(|(_, request)| now + request.run_time > request.deadline)
            .map(|(&place, _)| place)
            .collect();
        late.into_iter().filter_map(|place| self.take(place)).collect()
    }

    /// Takes out everything that waits.
    pub fn drain(&mut self) -> Vec<QueuedRequest<T>> {
        let all: Vec<Place> = self.waiting.keys().copied().collect();
        all.into_iter().filter_map(|place| self.take(place)).collect()
    }

    fn long_cap(&self, slots: SlotUsage) -> u32 {
        share(slots.total, self.limits.idle_long_percent)
    }

    fn expected_wait(&self, length: Class, slots: SlotUsage) -> Option<Duration> {
        let usable = match length {
            Class::Short => slots.total.saturating_sub(slots.long).max(1),
            Class::Long => self.long_cap(slots),
        };
        let ahead = match length {
            Class::Short => self.short_work,
            Class::Long => self.long_work,
        };
        match slots.total {
            0 => None,
            _ => Some(ahead / usable.max(1)),
        }
    }

    fn insert(&mut self, request: QueuedRequest<T>) {
        let place = (request.length, request.priority, self.next);
        self.next += 1;
        *self.work_of(request.length) += request.run_time;
        self.places.insert(request.id, place);
        self.waiting.insert(place, request);
    }

    fn take(&mut self, place: Place) -> Option<QueuedRequest<T>> {
        let request = self.waiting.remove(&place)?;
        self.places.remove(&request.id);
        let work = self.work_of(request.length);
        *work = work.saturating_sub(request.run_time);
        Some(request)
    }

    fn work_of(&mut self, length: Class) -> &mut Duration {
        match length {
            Class::Short => &mut self.short_work,
            Class::Long => &mut self.long_work,
        }
    }
}

fn share(slots: u32, percent: u32) -> u32 {
    (slots * percent / 100).max(1)
}
