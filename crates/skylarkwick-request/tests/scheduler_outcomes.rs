//! Scheduler: retries after an attempt, and the outcomes returned to callers.

use std::{collections::BTreeMap, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use skylarkwick_request::{
    id,
    outcome::{BackendRefusal, Outcome, Refusal, UnknownReason},
    queue::Limits,
    scheduler::{CompletedRequest, Scheduler, Submission},
};
use skylarkwick_version::{
    document::Priority, host::Epoch, lease::Incarnation, moment::Moment, name,
};

const RUN_TIME: Duration = Duration::from_millis(100);

struct Harness {
    scheduler: Scheduler<u64>,
    random: Pcg64Mcg,
    now: Moment,
}

impl Harness {
    fn new(hosts: u32, slots: u32) -> Harness {
        let mut scheduler = Scheduler::new(Limits::DEFAULT, RUN_TIME);
        let listed: BTreeMap<_, _> =
            (0..hosts).map(|number| (host(number), (Epoch(1), slots))).collect();
        scheduler.set_workers(&listed, Moment::ZERO);
        Harness { scheduler, random: Pcg64Mcg::seed_from_u64(1), now: Moment::ZERO }
    }

    fn submit(&mut self, number: u64, is_repeatable: bool) -> Result<(), Refusal> {
        let submission = Submission {
            id: id::Request { incarnation: Incarnation(1), number },
            service: name::Service::try_from("retail").unwrap(),
            kind: name::Kind::try_from("short").unwrap(),
            priority: Priority::Normal,
            is_repeatable,
            deadline: self.now + Duration::from_secs(5),
            work: number,
        };
        self.scheduler.submit(submission, self.now).map_err(|(_, refusal)| refusal)
    }

    fn start(&mut self) -> Option<(id::Attempt, name::Host)> {
        let start = self.scheduler.next_attempt(self.now, &mut self.random)?;
        Some((start.attempt, start.host))
    }

    fn finish(
        &mut self,
        attempt: id::Attempt,
        outcome: Outcome<()>,
    ) -> Option<CompletedRequest<u64, ()>> {
        self.now = self.now + RUN_TIME;
        self.scheduler.finish_attempt(attempt, outcome, self.now)
    }
}

fn host(number: u32) -> name::Host {
    name::Host::try_from(format!("h{number}")).unwrap()
}

#[test]
fn retry_table() {
    let cases = [
        ("done", Outcome::Done(()), true, false),
        ("stale epoch, unrepeatable", not_run(BackendRefusal::StaleEpoch), false, true),
        ("leaving, unrepeatable", not_run(BackendRefusal::Leaving), false, true),
        ("full, unrepeatable", not_run(BackendRefusal::Full), false, true),
        ("forbidden, unrepeatable", not_run(BackendRefusal::Forbidden), false, true),
        ("unreachable, unrepeatable", Outcome::NotRun(Refusal::Unreachable), false, true),
        ("timeout, unrepeatable", Outcome::Unknown(UnknownReason::Timeout), false, false),
        ("failed, unrepeatable", Outcome::Unknown(UnknownReason::Failed), false, false),
        ("timeout, repeatable", Outcome::Unknown(UnknownReason::Timeout), true, true),
        ("foreign, repeatable", Outcome::Unknown(UnknownReason::ForeignAnswer), true, true),
    ];
    for (case, outcome, is_repeatable, is_retried) in cases {
        let mut harness = Harness::new(3, 1);
        harness.submit(1, is_repeatable).unwrap();
        let (attempt, first) = harness.start().unwrap();
        let completed = harness.finish(attempt, outcome);
        assert_eq!(completed.is_none(), is_retried, "{case}");
        if is_retried {
            let (again, second) = harness.start().unwrap();
            assert_eq!(again.number, 1, "{case}");
            assert_ne!(first, second, "{case}: retried on the same host");
        }
    }
}

fn not_run(refusal: BackendRefusal) -> Outcome<()> {
    Outcome::NotRun(Refusal::Backend(refusal))
}

#[test]
fn unknown_outcome_kept() {
    let mut harness = Harness::new(2, 1);
    harness.submit(1, true).unwrap();
    let (attempt, _) = harness.start().unwrap();
    assert!(harness.finish(attempt, Outcome::Unknown(UnknownReason::Timeout)).is_none());
    let id = id::Request { incarnation: Incarnation(1), number: 1 };
    let completed: CompletedRequest<u64, ()> = harness.scheduler.cancel(id).unwrap();
    assert_eq!(completed.outcome, Outcome::Unknown(UnknownReason::Timeout));
}

#[test]
fn cancelled_never_starts() {
    let mut harness = Harness::new(1, 1);
    for number in 0..3 {
        harness.submit(number, true).unwrap();
    }
    let (running, _) = harness.start().unwrap();
    let id = |number| id::Request { incarnation: Incarnation(1), number };
    let completed: CompletedRequest<u64, ()> = harness.scheduler.cancel(id(1)).unwrap();
    assert_eq!(completed.outcome, Outcome::NotRun(Refusal::Cancelled));
    assert!(harness.scheduler.cancel::<()>(id(0)).is_none());
    harness.finish(running, Outcome::Done(()));
    assert_eq!(harness.start().unwrap().0.request, id(2));
}

#[test]
fn leaving_host_excluded() {
    let mut harness = Harness::new(2, 4);
    harness.submit(0, false).unwrap();
    let (attempt, leaving) = harness.start().unwrap();
    harness.finish(attempt, not_run(BackendRefusal::Leaving));
    let listed = BTreeMap::from([(host(0), (Epoch(1), 4)), (host(1), (Epoch(1), 4))]);
    harness.scheduler.set_workers(&listed, harness.now);
    for number in 1..4 {
        harness.submit(number, false).unwrap();
    }
    while let Some((_, chosen)) = harness.start() {
        assert_ne!(chosen, leaving);
    }
    let listed = listed.into_keys().map(|host| (host, (Epoch(2), 4))).collect();
    harness.scheduler.set_workers(&listed, harness.now);
    assert_eq!(harness.scheduler.slots().total, 8);
}

#[test]
fn retries_are_bounded() {
    let mut harness = Harness::new(4, 8);
    let mut attempts = 0;
    for number in 0..1000 {
        harness.submit(number, true).unwrap();
        while let Some((attempt, _)) = harness.start() {
            attempts += 1;
            harness.finish(attempt, Outcome::NotRun(Refusal::Unreachable));
        }
    }
    assert!(attempts <= 1300, "{attempts} attempts at 1000 requests");
}

#[test]
fn expired_not_run() {
    let mut harness = Harness::new(1, 1);
    harness.submit(0, true).unwrap();
    harness.submit(1, true).unwrap();
    let (_, _) = harness.start().unwrap();
    harness.now = harness.now + Duration::from_secs(10);
    let completed: Vec<CompletedRequest<u64, ()>> = harness.scheduler.expire(harness.now);
    assert_eq!(completed.len(), 1);
    assert!(matches!(completed[0].outcome, Outcome::NotRun(Refusal::TooLate { .. })));
}

#[test]
fn admission_refuses_excess() {
    let mut empty = Harness::new(0, 1);
    assert_eq!(empty.submit(0, true), Err(Refusal::NoHost));
    let mut harness = Harness::new(1, 1);
    let refused = (0..100).filter_map(|number| harness.submit(number, true).err()).count();
    // 50 runs of 100 ms, including the request's own, fit into the deadline of 5 s.
    assert_eq!(refused, 50);
}
