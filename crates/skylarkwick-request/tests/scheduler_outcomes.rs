//! Lanes: what follows an attempt, and what callers are told.

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

struct Bench {
    lane: Scheduler<u64>,
    random: Pcg64Mcg,
    now: Moment,
}

impl Bench {
    fn new(hosts: u32, slots: u32) -> Bench {
        let mut lane = Scheduler::new(Limits::DEFAULT, RUN_TIME);
        let listed: BTreeMap<_, _> =
            (0..hosts).map(|number| (host(number), (Epoch(1), slots))).collect();
        lane.set_workers(&listed, Moment::ZERO);
        Bench { lane, random: Pcg64Mcg::seed_from_u64(1), now: Moment::ZERO }
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
        self.lane.submit(submission, self.now).map_err(|(_, refusal)| refusal)
    }

    fn start(&mut self) -> Option<(id::Attempt, name::Host)> {
        let start = self.lane.next_attempt(self.now, &mut self.random)?;
        Some((start.attempt, start.host))
    }

    fn finish(
        &mut self,
        attempt: id::Attempt,
        outcome: Outcome<()>,
    ) -> Option<CompletedRequest<u64, ()>> {
        self.now = self.now + RUN_TIME;
        self.lane.finish_attempt(attempt, outcome, self.now)
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
        ("foreign, repeatable", Outcome::Unknown(UnknownReason::Foreign), true, true),
    ];
    for (case, outcome, is_repeatable, is_retried) in cases {
        let mut bench = Bench::new(3, 1);
        bench.submit(1, is_repeatable).unwrap();
        let (attempt, first) = bench.start().unwrap();
        let end = bench.finish(attempt, outcome);
        assert_eq!(end.is_none(), is_retried, "{case}");
        if is_retried {
            let (again, second) = bench.start().unwrap();
            assert_eq!(again.number, 1, "{case}");
            assert_ne!(first, second, "{case}: the host is avoided");
        }
    }
}

fn not_run(denial: BackendRefusal) -> Outcome<()> {
    Outcome::NotRun(Refusal::Backend(denial))
}

#[test]
fn doubt_is_kept() {
    let mut bench = Bench::new(2, 1);
    bench.submit(1, true).unwrap();
    let (attempt, _) = bench.start().unwrap();
    assert!(bench.finish(attempt, Outcome::Unknown(UnknownReason::Timeout)).is_none());
    let id = id::Request { incarnation: Incarnation(1), number: 1 };
    let end: CompletedRequest<u64, ()> = bench.lane.cancel(id).unwrap();
    assert_eq!(end.outcome, Outcome::Unknown(UnknownReason::Timeout));
}

#[test]
fn cancelled_never_starts() {
    let mut bench = Bench::new(1, 1);
    for number in 0..3 {
        bench.submit(number, true).unwrap();
    }
    let (running, _) = bench.start().unwrap();
    let id = |number| id::Request { incarnation: Incarnation(1), number };
    let end: CompletedRequest<u64, ()> = bench.lane.cancel(id(1)).unwrap();
    assert_eq!(end.outcome, Outcome::NotRun(Refusal::Cancelled));
    assert!(bench.lane.cancel::<()>(id(0)).is_none());
    bench.finish(running, Outcome::Done(()));
    assert_eq!(bench.start().unwrap().0.request, id(2));
}

#[test]
fn denied_host_rests() {
    let mut bench = Bench::new(2, 4);
    bench.submit(0, false).unwrap();
    let (attempt, denying) = bench.start().unwrap();
    bench.finish(attempt, not_run(BackendRefusal::Leaving));
    let listed = BTreeMap::from([(host(0), (Epoch(1), 4)), (host(1), (Epoch(1), 4))]);
    bench.lane.set_workers(&listed, bench.now);
    for number in 1..4 {
        bench.submit(number, false).unwrap();
    }
    while let Some((_, chosen)) = bench.start() {
        assert_ne!(chosen, denying);
    }
    let listed = listed.into_keys().map(|host| (host, (Epoch(2), 4))).collect();
    bench.lane.set_workers(&listed, bench.now);
    assert_eq!(bench.lane.slots().total, 8);
}

#[test]
fn outage_is_not_multiplied() {
    let mut bench = Bench::new(4, 8);
    let mut attempts = 0;
    for number in 0..1000 {
        bench.submit(number, true).unwrap();
        while let Some((attempt, _)) = bench.start() {
            attempts += 1;
            bench.finish(attempt, Outcome::NotRun(Refusal::Unreachable));
        }
    }
    assert!(attempts <= 1300, "{attempts} attempts at 1000 requests");
}

#[test]
fn expired_is_not_run() {
    let mut bench = Bench::new(1, 1);
    bench.submit(0, true).unwrap();
    bench.submit(1, true).unwrap();
    let (_, _) = bench.start().unwrap();
    bench.now = bench.now + Duration::from_secs(10);
    let ended: Vec<CompletedRequest<u64, ()>> = bench.lane.expire(bench.now);
    assert_eq!(ended.len(), 1);
    assert!(matches!(ended[0].outcome, Outcome::NotRun(Refusal::TooLate { .. })));
}

#[test]
fn refusals_are_early() {
    let mut empty = Bench::new(0, 1);
    assert_eq!(empty.submit(0, true), Err(Refusal::NoHost));
    let mut bench = Bench::new(1, 1);
    let refused = (0..100).filter_map(|number| bench.submit(number, true).err()).count();
    // 5 s of deadline hold 50 runs of 100 ms, one of them the request's own.
    assert_eq!(refused, 50);
}
