//! The request queue of a pool, in which short work does not wait behind long
//! work.
//!
//! Requests are ordered by class, priority and arrival. Long work may use a small
//! share of the pool's slots at any time, and a larger share while no short work is
//! queued; the other slots are for short work. The queue is bounded, and work that
//! cannot finish by its deadline is refused on admission, so its outcome is known to
//! be `NotRun`. See `docs/DESIGN.md`, section "Short before long".

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::{document::Priority, moment::Moment, name};

use crate::{estimate::Class, id, outcome::Refusal};

/// Minimum delay after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of queued requests.
    pub max_waiting: usize,
    /// Percentage of the pool's slots that long work may use while short work is
    /// queued.
    pub long_percent: u32,
    /// Percentage of the pool's slots that long work may use while no short work is
    /// queued; the rest stays available for the next burst of short work.
    pub idle_long_percent: u32,
}

impl Limits {
    /// The limits of an entry host.
    pub const DEFAULT: Limits =
        Limits { max_waiting: 512, long_percent: 10, idle_long_percent: 40 };
}

/// A request in the queue.
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
    /// Its class by estimated run time.
    pub class: Class,
    /// Its estimated run time.
    pub run_time: Duration,
    /// Time at which its caller stops waiting.
    pub deadline: Moment,
    /// Time of admission; it stays when the request is requeued.
    pub queued_at: Moment,
    /// Data of the queue's owner.
    pub work: T,
}

/// Usage of the slots of a pool that this entry host may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Number of slots.
    pub total: u32,
    /// Slots used by short work.
    pub short: u32,
    /// Slots used by long work.
    pub long: u32,
}

impl SlotUsage {
    fn free(self) -> u32 {
        self.total.saturating_sub(self.short + self.long)
    }
}

type Position = (Class, Priority, u64);

/// Requests that wait for a slot of one pool, by class, priority and arrival.
#[derive(Debug)]
pub struct Queue<T> {
    limits: Limits,
    next_number: u64,
    waiting: BTreeMap<Position, QueuedRequest<T>>,
    positions: BTreeMap<id::Request, Position>,
    /// Sum of the estimated run times of the queued short requests.
    short_run_time: Duration,
    /// Sum of the estimated run times of the queued long requests.
    long_run_time: Duration,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Queue<T> {
        Queue {
            limits,
            next_number: 0,
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
            short_run_time: Duration::ZERO,
            long_run_time: Duration::ZERO,
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Admits a request, or refuses it at once.
    ///
    /// # Errors
    ///
    /// Returns the request and the refusal if the pool has no slot, the queue is
    /// full, or the request could not finish by its deadline.
    pub fn push(
        &mut self,
        request: QueuedRequest<T>,
        slots: SlotUsage,
        now: Moment,
    ) -> Result<(), (QueuedRequest<T>, Refusal)> {
        match self.expected_wait(request.class, slots) {
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

    /// Queues a request again that was admitted before, such as one that is retried;
    /// the limits do not apply.
    pub fn requeue(&mut self, request: QueuedRequest<T>) {
        self.insert(request);
    }

    /// Removes the next request to run, if it may use a free slot.
    pub fn pop(&mut self, slots: SlotUsage) -> Option<QueuedRequest<T>> {
        if slots.free() == 0 {
            return None;
        }
        let &position = self.waiting.keys().next()?;
        match position.0 {
            Class::Short => self.remove(position),
            Class::Long if slots.long < self.max_long_slots(slots) => self.remove(position),
            Class::Long => None,
        }
    }

    /// Removes the next long request, even if short ones are queued, while long work
    /// uses less than its share of slots; so short work cannot starve long work.
    pub fn pop_long(&mut self, slots: SlotUsage) -> Option<QueuedRequest<T>> {
        let cap = percent_of(slots.total, self.limits.long_percent);
        if slots.free() == 0 || slots.long >= cap {
            return None;
        }
        let first_long = (Class::Long, Priority::Urgent, 0);
        let position = *self.waiting.range(first_long..).next()?.0;
        self.remove(position)
    }

    /// Removes a request that its caller cancelled.
    pub fn cancel(&mut self, id: id::Request) -> Option<QueuedRequest<T>> {
        let position = *self.positions.get(&id)?;
        self.remove(position)
    }

    /// Removes every request that can no longer finish by its deadline.
    pub fn expire(&mut self, now: Moment) -> Vec<QueuedRequest<T>> {
        let expired: Vec<Position> = self
            .waiting
            .iter()
            .filter(|(_, request)| now + request.run_time > request.deadline)
            .map(|(&position, _)| position)
            .collect();
        expired.into_iter().filter_map(|position| self.remove(position)).collect()
    }

    /// Removes all requests.
    pub fn drain(&mut self) -> Vec<QueuedRequest<T>> {
        let all: Vec<Position> = self.waiting.keys().copied().collect();
        all.into_iter().filter_map(|position| self.remove(position)).collect()
    }

    fn max_long_slots(&self, slots: SlotUsage) -> u32 {
        percent_of(slots.total, self.limits.idle_long_percent)
    }

    fn expected_wait(&self, class: Class, slots: SlotUsage) -> Option<Duration> {
        let usable = match class {
            Class::Short => slots.total.saturating_sub(slots.long).max(1),
            Class::Long => self.max_long_slots(slots),
        };
        let ahead = match class {
            Class::Short => self.short_run_time,
            Class::Long => self.long_run_time,
        };
        match slots.total {
            0 => None,
            _ => Some(ahead / usable.max(1)),
        }
    }

    fn insert(&mut self, request: QueuedRequest<T>) {
        let position = (request.class, request.priority, self.next_number);
        self.next_number += 1;
        *self.queued_run_time(request.class) += request.run_time;
        self.positions.insert(request.id, position);
        self.waiting.insert(position, request);
    }

    fn remove(&mut self, position: Position) -> Option<QueuedRequest<T>> {
        let request = self.waiting.remove(&position)?;
        self.positions.remove(&request.id);
        let run_time = self.queued_run_time(request.class);
        *run_time = run_time.saturating_sub(request.run_time);
        Some(request)
    }

    fn queued_run_time(&mut self, class: Class) -> &mut Duration {
        match class {
            Class::Short => &mut self.short_run_time,
            Class::Long => &mut self.long_run_time,
        }
    }
}

fn percent_of(slots: u32, percent: u32) -> u32 {
    (slots * percent / 100).max(1)
}
