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

/// Minimum delay after which a caller refused by the queue is asked to retry; a longer
/// estimated wait counts instead.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Limits of a queue: its length, and the shares of slots that long work may use. The shares
/// are rounded down, but are at least one slot.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of queued requests; requests queued again for a retry may exceed it.
    pub max_waiting: usize,
    /// Percentage of the pool's slots at this entry host that long work may use while short
    /// work is queued.
    pub long_percent: u32,
    /// Percentage of the pool's slots at this entry host that long work may use while no short
    /// work is queued; the rest stays available for the next burst of short work.
    pub idle_long_percent: u32,
}

impl Limits {
    /// The limits of an entry host.
    pub const DEFAULT: Limits =
        Limits { max_waiting: 512, long_percent: 10, idle_long_percent: 40 };
}

/// A request in the queue: its identity, its class and estimated run time, its deadline and
/// the data of the queue's owner, which are of type `T`.
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

/// The slots of a pool that this entry host may use, and how many of them short and long
/// work use.
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
    /// Returns the number of unused slots; zero if more are used than the total.
    fn free(self) -> u32 {
        self.total.saturating_sub(self.short + self.long)
    }
}

/// Place of a request in the queue, smallest first: its class, its priority, and a sequence
/// number assigned when it is queued.
type Position = (Class, Priority, u64);

/// Requests that wait for a slot of one pool, by class, priority and arrival, with the sums of
/// their estimated run times by class. `T` is the type of the owner's data.
#[derive(Debug)]
pub struct Queue<T> {
    limits: Limits,
    /// Sequence number of the next request that is queued.
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

    /// Queues a request, or refuses it at once. Its wait is estimated as the run times of
    /// the queued requests of its class, divided by the slots that the class may use.
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

    /// Queues a request again that was admitted before, such as one that is retried. The
    /// limits do not apply, and it goes behind the others of its class and priority.
    pub fn requeue(&mut self, request: QueuedRequest<T>) {
        self.insert(request);
    }

    /// Removes and returns the next request to run: the first short one or, if none is queued,
    /// the first long one. Returns `None` if no slot is free or the queue is empty, or if only
    /// long requests are queued and long work uses [`Limits::idle_long_percent`] of the slots
    /// already.
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

    /// Removes and returns the next long request, even if short ones are queued, so that
    /// short work cannot starve long work. Returns `None` if none is queued, no slot is
    /// free, or long work uses [`Limits::long_percent`] of the slots already.
    pub fn pop_long(&mut self, slots: SlotUsage) -> Option<QueuedRequest<T>> {
        let cap = percent_of(slots.total, self.limits.long_percent);
        if slots.free() == 0 || slots.long >= cap {
            return None;
        }
        let first_long = (Class::Long, Priority::Urgent, 0);
        let position = *self.waiting.range(first_long..).next()?.0;
        self.remove(position)
    }

    /// Removes and returns a request that its caller cancelled, or `None` if it is not queued.
    pub fn cancel(&mut self, id: id::Request) -> Option<QueuedRequest<T>> {
        let position = *self.positions.get(&id)?;
        self.remove(position)
    }

    /// Removes and returns every request that could not finish by its deadline even if it
    /// started now.
    pub fn expire(&mut self, now: Moment) -> Vec<QueuedRequest<T>> {
        let expired: Vec<Position> = self
            .waiting
            .iter()
            .filter(|(_, request)| now + request.run_time > request.deadline)
            .map(|(&position, _)| position)
            .collect();
        expired.into_iter().filter_map(|position| self.remove(position)).collect()
    }

    /// Removes and returns all requests, in the order of the queue.
    pub fn drain(&mut self) -> Vec<QueuedRequest<T>> {
        let all: Vec<Position> = self.waiting.keys().copied().collect();
        all.into_iter().filter_map(|position| self.remove(position)).collect()
    }

    /// Returns the number of slots that long work may use while no short work is queued, by
    /// [`Limits::idle_long_percent`].
    fn max_long_slots(&self, slots: SlotUsage) -> u32 {
        percent_of(slots.total, self.limits.idle_long_percent)
    }

    /// Estimates how long a new request of a class waits for a slot: the run times of the
    /// queued requests of the class, divided by the slots that the class may use, even if some
    /// are free. Short work may use those that long work does not use now, and long work its
    /// share while no short work is queued. Returns `None` if the pool has no slot.
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

    /// Adds a request behind the others of its class and priority, and its run time to the
    /// sum.
    fn insert(&mut self, request: QueuedRequest<T>) {
        let position = (request.class, request.priority, self.next_number);
        self.next_number += 1;
        *self.queued_run_time(request.class) += request.run_time;
        self.positions.insert(request.id, position);
        self.waiting.insert(position, request);
    }

    /// Removes and returns the request at a position, and subtracts its run time from the sum.
    /// Returns `None` if there is none.
    fn remove(&mut self, position: Position) -> Option<QueuedRequest<T>> {
        let request = self.waiting.remove(&position)?;
        self.positions.remove(&request.id);
        let run_time = self.queued_run_time(request.class);
        *run_time = run_time.saturating_sub(request.run_time);
        Some(request)
    }

    /// Returns the sum of the estimated run times of the queued requests of a class, to be
    /// changed by the caller.
    fn queued_run_time(&mut self, class: Class) -> &mut Duration {
        match class {
            Class::Short => &mut self.short_run_time,
            Class::Long => &mut self.long_run_time,
        }
    }
}

/// Returns a percentage of a number of slots, rounded down but at least one.
fn percent_of(slots: u32, percent: u32) -> u32 {
    (slots * percent / 100).max(1)
}
