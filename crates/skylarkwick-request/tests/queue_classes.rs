//! Queue: short work runs before long work, and neither starves.

use std::time::Duration;

use skylarkwick_request::{
    estimate::Class,
    id,
    outcome::Refusal,
    queue::{Limits, Queue, QueuedRequest, SlotUsage},
};
use skylarkwick_version::{document::Priority, lease::Incarnation, moment::Moment, name};

const LIMITS: Limits = Limits { max_waiting: 4, long_percent: 25, idle_long_percent: 50 };

fn request(number: u64, class: Class, priority: Priority) -> QueuedRequest<u64> {
    QueuedRequest {
        id: id::Request { incarnation: Incarnation(1), number },
        service: name::Service::try_from("retail").unwrap(),
        kind: name::Kind::try_from("k").unwrap(),
        priority,
        class,
        run_time: Duration::from_millis(10),
        deadline: Moment::from_start(Duration::from_secs(1)),
        queued_at: Moment::ZERO,
        work: number,
    }
}

fn slots(short: u32, long: u32) -> SlotUsage {
    SlotUsage { total: 8, short, long }
}

fn filled(requests: &[(u64, Class, Priority)]) -> Queue<u64> {
    let mut queue = Queue::new(LIMITS);
    for &(number, class, priority) in requests {
        queue.push(request(number, class, priority), slots(0, 0), Moment::ZERO).unwrap();
    }
    queue
}

#[test]
fn short_runs_first() {
    let mut queue = filled(&[
        (1, Class::Long, Priority::Urgent),
        (2, Class::Short, Priority::Batch),
        (3, Class::Short, Priority::Urgent),
    ]);
    let order: Vec<u64> =
        std::iter::from_fn(|| queue.pop(slots(0, 0))).map(|request| request.work).collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn long_is_limited() {
    let mut queue = filled(&[(1, Class::Long, Priority::Normal)]);
    assert!(queue.pop(slots(0, 4)).is_none());
    assert!(queue.pop_long(slots(0, 2)).is_none());
    assert!(queue.pop(slots(0, 3)).is_some());
}

#[test]
fn long_not_starved() {
    let mut queue =
        filled(&[(1, Class::Short, Priority::Urgent), (2, Class::Long, Priority::Batch)]);
    assert_eq!(queue.pop_long(slots(6, 1)).unwrap().work, 2);
    assert!(queue.pop_long(slots(0, 0)).is_none());
}

#[test]
fn full_slots_wait() {
    let mut queue = filled(&[(1, Class::Short, Priority::Urgent)]);
    assert!(queue.pop(slots(8, 0)).is_none());
    assert_eq!(queue.len(), 1);
}

#[test]
fn full_queue_refuses() {
    let requests: Vec<_> = (0..4).map(|number| (number, Class::Short, Priority::Normal)).collect();
    let mut queue = filled(&requests);
    let excess = request(9, Class::Short, Priority::Normal);
    let (returned, refusal) = queue.push(excess, slots(0, 0), Moment::ZERO).unwrap_err();
    assert_eq!(returned.work, 9);
    assert!(matches!(refusal, Refusal::QueueFull { retry_after } if !retry_after.is_zero()));
}
