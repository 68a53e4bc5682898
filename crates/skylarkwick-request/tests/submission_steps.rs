//! Submissions at entry hosts that the store refuses, in virtual time: at 1, 2, 4 and 10 times the
//! usual load, with a store that turns some hosts away, is silent, or refuses everybody for a
//! while.

use std::time::Duration;

use skylarkwick_request::submission::{Action, Attempts, Failure, Gate, MAX_GROUP_REFUSALS};
use skylarkwick_version::moment::Moment;

const HOSTS: usize = 40;
/// Submissions a second for one partition at its usual load.
const USUAL_PER_S: u64 = 7;
/// Writes a second that the store takes of one partition's part of all calls.
const STORE_PER_S: usize = 100;
/// Writes a second of a partition whose store is 50 times slower than usual.
const SLOW_PER_S: u64 = 5;
const DEADLINE_MS: u64 = 3000;
/// Time that a write takes.
const CALL_MS: u64 = 10;
/// Time after which a call to a silent store is given up.
const TIMEOUT_MS: u64 = 400;
const LOAD_MS: u64 = 8000;
/// Hosts that write for others, in the order in which they are asked.
const COLLECTORS: [usize; 4] = [12, 22, 31, 4];
const TICK_MS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Every third host is turned away all the time.
    ThirdOfHosts,
    /// Nobody is answered for the first second; connecting fails.
    Silent,
    /// Everybody is refused for the first second.
    Refusing,
    /// A data centre, a quarter of the hosts, reaches neither the store nor other hosts.
    CutOff,
    /// Writes take 50 times as long, and more than a second's worth of them is refused.
    Slow,
}

/// A submission, from its host to the end of its attempts.
struct Submission {
    host: usize,
    attempts: Attempts,
    asked: usize,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Goes on at this time.
    Ready(u64),
    /// Its write began at the first and ends at the second time; whether it is taken.
    Writing(u64, u64, bool),
    /// Waits at the host that writes for others, until this time.
    Held {
        collector: usize,
        until_ms: u64,
    },
    Stored,
    GivenUp,
}

/// A host that writes for others: its gate, and the write in progress with its members.
struct Collector {
    gate: Gate,
    refusals: u32,
    write: Option<(u64, bool, Vec<usize>)>,
}

struct World {
    trouble: Trouble,
    gates: Vec<Gate>,
    collectors: Vec<Collector>,
    submissions: Vec<Submission>,
    /// When the writes that a slow store has taken are all carried out.
    busy_until_ms: u64,
    /// Calls to the store in each second.
    calls: Vec<usize>,
}

fn at(ms: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(ms)
}

fn is_cut(host: usize) -> bool {
    host < HOSTS / 4
}

impl World {
    /// Calls the store; returns when it answers, and whether it takes the write.
    fn call(&mut self, host: usize, now_ms: u64) -> (u64, bool) {
        self.calls[usize::try_from(now_ms / 1000).expect("few")] += 1;
        match self.trouble {
            Trouble::ThirdOfHosts if host.is_multiple_of(3) => (now_ms + CALL_MS, false),
            Trouble::Silent if now_ms < 1000 => (now_ms + TIMEOUT_MS, false),
            Trouble::Refusing if now_ms < 1000 => (now_ms + CALL_MS, false),
            Trouble::CutOff if is_cut(host) => (now_ms + TIMEOUT_MS, false),
            Trouble::Slow if self.busy_until_ms > now_ms + 1000 => (now_ms + CALL_MS, false),
            Trouble::Slow => {
                self.busy_until_ms = self.busy_until_ms.max(now_ms) + 1000 / SLOW_PER_S;
                (self.busy_until_ms, true)
            }
            _ => (now_ms + CALL_MS, true),
        }
    }

    /// Returns the host that is asked to write for others, the same for all.
    fn collector(&self, host: usize, asked: usize) -> Option<usize> {
        let collector = COLLECTORS[asked % COLLECTORS.len()];
        (self.trouble != Trouble::CutOff || !is_cut(host)).then_some(collector)
    }

    fn step(&mut self, index: usize, now_ms: u64) {
        let Submission { host, state, .. } = self.submissions[index];
        match state {
            State::Ready(wake_ms) if wake_ms <= now_ms => self.go_on(index, now_ms),
            State::Writing(begin_ms, end_ms, is_taken) if end_ms <= now_ms => {
                let gate = &mut self.gates[host];
                self.submissions[index].state = match is_taken {
                    true => {
                        let took = Duration::from_millis(end_ms - begin_ms);
                        gate.record_answer(at(now_ms), took);
                        State::Stored
                    }
                    false => {
                        gate.record_refusal(at(now_ms));
                        State::Ready(now_ms)
                    }
                };
            }
            State::Held { until_ms, .. } if until_ms <= now_ms && !self.is_in_write(index) => {
                self.submissions[index].state = State::Ready(now_ms);
            }
            _ => {}
        }
    }

    fn is_in_write(&self, index: usize) -> bool {
        let writes = self.collectors.iter().filter_map(|collector| collector.write.as_ref());
        writes.into_iter().any(|(_, _, members)| members.contains(&index))
    }

    /// Takes the next step of a submission.
    fn go_on(&mut self, index: usize, now_ms: u64) {
        let host = self.submissions[index].host;
        let submission = &mut self.submissions[index];
        let action = submission.attempts.next(at(now_ms), &mut self.gates[host], true);
        let left = submission.attempts.time_left(at(now_ms));
        let asked = submission.asked;
        self.submissions[index].state = match action {
            Action::GiveUp => State::GivenUp,
            Action::Wait(pause) => {
                self.submissions[index].asked = 0;
                State::Ready(now_ms + millis(pause).max(1))
            }
            Action::Write => {
                let (end_ms, is_taken) = self.call(host, now_ms);
                State::Writing(now_ms, end_ms, is_taken)
            }
            Action::HandOver => {
                self.submissions[index].asked += 1;
                match self.collector(host, asked) {
                    Some(collector) => State::Held { collector, until_ms: now_ms + millis(left) },
                    None => State::Ready(now_ms + TIMEOUT_MS),
                }
            }
        };
    }

    /// Ends the write of a collector, and begins one of all that wait there.
    fn collect(&mut self, index: usize, now_ms: u64) {
        if let Some((end_ms, is_taken, members)) = self.collectors[index].write.take() {
            if end_ms > now_ms {
                self.collectors[index].write = Some((end_ms, is_taken, members));
                return;
            }
            let collector = &mut self.collectors[index];
            match is_taken {
                true => collector.gate.record_answer(at(now_ms), Duration::ZERO),
                false => collector.gate.record_refusal(at(now_ms)),
            }
            collector.refusals = if is_taken { 0 } else { collector.refusals + 1 };
            let are_given_back = collector.refusals >= MAX_GROUP_REFUSALS;
            for member in members {
                match is_taken {
                    true => self.submissions[member].state = State::Stored,
                    false if are_given_back => {
                        self.submissions[member].state = State::Ready(now_ms);
                    }
                    false => {}
                }
            }
        }
        let is_held = |submission: &Submission| matches!(submission.state, State::Held { collector, .. } if collector == index);
        let members: Vec<usize> = (0..self.submissions.len())
            .filter(|&member| is_held(&self.submissions[member]))
            .take(48)
            .collect();
        if !members.is_empty() && self.collectors[index].gate.admit(at(now_ms)) {
            let (end_ms, is_taken) = self.call(index, now_ms);
            self.collectors[index].write = Some((end_ms, is_taken, members));
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("short")
}

/// Plays a load; returns the numbers of submissions that were stored and given up, and the most
/// calls to the store in a second.
fn play(trouble: Trouble, multiple: u64) -> (usize, usize, usize) {
    let seconds = usize::try_from((LOAD_MS + 2 * DEADLINE_MS) / 1000 + 1).expect("few");
    let collector = || Collector { gate: Gate::of_group_writes(), refusals: 0, write: None };
    let mut world = World {
        trouble,
        gates: vec![Gate::of_own_writes(); HOSTS],
        collectors: (0..HOSTS).map(|_| collector()).collect(),
        submissions: Vec::new(),
        busy_until_ms: 0,
        calls: vec![0; seconds],
    };
    let mut count = 0;
    for now_ms in (0..LOAD_MS + 2 * DEADLINE_MS).step_by(TICK_MS) {
        let due = (now_ms + 1).min(LOAD_MS) * USUAL_PER_S * multiple / 1000;
        while count < due {
            let spread = (count * 37 % 100) as f64 / 100.0;
            world.submissions.push(Submission {
                host: usize::try_from(count * 7).expect("few") % HOSTS,
                attempts: Attempts::new(at(now_ms + DEADLINE_MS), spread),
                asked: 0,
                state: State::Ready(now_ms),
            });
            count += 1;
        }
        for index in 0..world.submissions.len() {
            world.step(index, now_ms);
        }
        COLLECTORS.into_iter().for_each(|index| world.collect(index, now_ms));
    }
    let ended = |end| world.submissions.iter().filter(|one| one.state == end).count();
    let (stored, given_up) = (ended(State::Stored), ended(State::GivenUp));
    assert_eq!(stored + given_up, world.submissions.len(), "nothing is open after its deadline");
    (stored, given_up, world.calls.into_iter().max().unwrap_or_default())
}

#[test]
fn all_stored_by_deadline() {
    for trouble in [Trouble::ThirdOfHosts, Trouble::Silent, Trouble::Refusing] {
        for multiple in [1, 2, 4, 10] {
            let (_, given_up, _) = play(trouble, multiple);
            assert_eq!(given_up, 0, "{trouble:?} at {multiple}");
        }
    }
}

/// A slow store takes few writes, which have to carry many submissions.
#[test]
fn slow_store_written_together() {
    for multiple in [1, 2, 4, 10] {
        let (stored, given_up, _) = play(Trouble::Slow, multiple);
        assert!(given_up * 20 <= stored, "{multiple}: {stored} stored, {given_up} given up");
    }
}

#[test]
fn cut_off_hosts_tell() {
    for multiple in [1, 2, 4, 10] {
        let (stored, given_up, _) = play(Trouble::CutOff, multiple);
        let all = stored + given_up;
        assert!(stored * 4 >= all * 3 - 4, "{multiple}: {stored} of {all}");
    }
}

#[test]
fn calls_below_store_rate() {
    let troubles =
        [Trouble::ThirdOfHosts, Trouble::Silent, Trouble::Refusing, Trouble::CutOff, Trouble::Slow];
    for trouble in troubles {
        for multiple in [1, 2, 4] {
            let (_, _, most) = play(trouble, multiple);
            assert!(most < STORE_PER_S, "{trouble:?} at {multiple}: {most} calls in a second");
        }
    }
}

/// A write whose answer is lost is repeated by the host itself, which finds out what it did.
#[test]
fn unanswered_write_repeated() {
    let mut gate = Gate::of_own_writes();
    let mut attempts = Attempts::new(at(3000), 0.5);
    assert_eq!(attempts.next(at(0), &mut gate, true), Action::Write);
    attempts.record(Failure::Unanswered);
    let Action::Wait(pause) = attempts.next(at(10), &mut gate, true) else {
        panic!("no pause");
    };
    assert!(pause < Duration::from_millis(200));
    assert_eq!(attempts.next(at(120), &mut gate, true), Action::Write);
    // A gate that was closed meanwhile leaves it to a host that writes for others.
    gate.record_refusal(at(130));
    attempts.record(Failure::Unanswered);
    assert!(matches!(attempts.next(at(140), &mut gate, true), Action::Wait(_)));
    assert_eq!(attempts.next(at(250), &mut gate, true), Action::HandOver);
}

/// While writes are refused, one a pause finds out whether they are taken again.
#[test]
fn one_probe_each_pause() {
    let mut gate = Gate::of_own_writes();
    let mut probes = 0;
    for now_ms in 0..10_000 {
        if gate.admit(at(now_ms)) {
            probes += 1;
            gate.record_refusal(at(now_ms));
        }
    }
    assert!((4..=6).contains(&probes), "{probes} probes in 10 s");
    gate.record_answer(at(10_000), Duration::ZERO);
    assert!((0..5).all(|_| gate.admit(at(10_000))));
}

#[test]
fn deadline_ends_attempts() {
    let mut gate = Gate::of_own_writes();
    let mut attempts = Attempts::new(at(100), 0.0);
    assert_eq!(attempts.next(at(99), &mut gate, true), Action::GiveUp);
}
