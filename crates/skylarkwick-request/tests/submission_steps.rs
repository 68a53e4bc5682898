//! Submissions at entry hosts that the store refuses, in virtual time: at 1, 2, 4 and 10 times the
//! usual load, with a store that turns some hosts away, is silent, or refuses everybody for a
//! while.

use std::time::Duration;

use skylarkwick_request::submission::{Action, Attempts, Failure, Gate};
use skylarkwick_version::moment::Moment;

const HOSTS: usize = 40;
/// Submissions a second of the whole site at its usual load.
const USUAL_PER_S: u64 = 80;
/// Writing calls a second that the store takes.
const STORE_PER_S: u64 = 1200;
const DEADLINE_MS: u64 = 3000;
/// Time that a write, or a hand-over with its write, takes.
const CALL_MS: u64 = 10;
/// Time after which a call to a silent store is given up.
const TIMEOUT_MS: u64 = 400;
const LOAD_MS: u64 = 6000;

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
}

struct Submission {
    host: usize,
    attempts: Attempts,
    /// When it goes on, in ms.
    wake_ms: u64,
    asked: usize,
    /// What the call in progress does, if there is one.
    call: Option<Call>,
}

#[derive(Clone, Copy)]
enum Call {
    Write,
    HandOver(usize),
}

#[derive(Debug, Default)]
struct Result {
    stored: usize,
    given_up: usize,
    /// Calls to the store in each second.
    calls: Vec<u64>,
}

fn at(ms: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(ms)
}

fn is_cut(host: usize) -> bool {
    host < HOSTS / 4
}

/// Returns whether the store takes a host's write, and how long the host waits for the answer.
fn store_answer(trouble: Trouble, host: usize, now_ms: u64) -> (bool, u64) {
    match trouble {
        Trouble::ThirdOfHosts if host.is_multiple_of(3) => (false, CALL_MS),
        Trouble::Silent if now_ms < 1000 => (false, TIMEOUT_MS),
        Trouble::Refusing if now_ms < 1000 => (false, CALL_MS),
        Trouble::CutOff if is_cut(host) => (false, TIMEOUT_MS),
        _ => (true, CALL_MS),
    }
}

fn play(trouble: Trouble, multiple: u64) -> Result {
    let mut gates = vec![Gate::default(); HOSTS];
    let mut open: Vec<Submission> = Vec::new();
    let seconds = usize::try_from((LOAD_MS + DEADLINE_MS) / 1000 + 1).expect("few");
    let mut result = Result { calls: vec![0; seconds], ..Result::default() };
    let mut count = 0;
    for now_ms in 0..LOAD_MS + DEADLINE_MS + 100 {
        let due = (now_ms + 1).min(LOAD_MS) * USUAL_PER_S * multiple / 1000;
        while count < due {
            let spread = (count * 37 % 100) as f64 / 100.0;
            open.push(Submission {
                host: usize::try_from(count * 7).expect("few") % HOSTS,
                attempts: Attempts::new(at(now_ms + DEADLINE_MS), spread),
                wake_ms: now_ms,
                asked: 0,
                call: None,
            });
            count += 1;
        }
        open.retain_mut(|submission| {
            while submission.wake_ms <= now_ms {
                if !step(submission, trouble, now_ms, &mut gates, &mut result) {
                    return false;
                }
            }
            true
        });
    }
    assert!(open.is_empty(), "nothing is open after its deadline");
    result
}

/// Ends a call of a submission, or takes its next step; returns whether it is still open.
fn step(
    submission: &mut Submission,
    trouble: Trouble,
    now_ms: u64,
    gates: &mut [Gate],
    result: &mut Result,
) -> bool {
    let Submission { host, attempts, .. } = submission;
    if let Some(call) = submission.call.take() {
        let writer = match call {
            Call::Write => *host,
            Call::HandOver(neighbour) => neighbour,
        };
        let (is_taken, _) = store_answer(trouble, writer, now_ms);
        match is_taken {
            true => gates[writer].record_answer(),
            false => gates[writer].record_refusal(at(now_ms)),
        }
        if is_taken {
            result.stored += 1;
            return false;
        }
        attempts.record(Failure::Refused);
    }
    // A host that is cut off knows others, and reaches those that are cut off with it.
    match attempts.next(at(now_ms), &mut gates[*host], true) {
        Action::GiveUp => {
            result.given_up += 1;
            return false;
        }
        Action::Wait(pause) => {
            let pause_ms = u64::try_from(pause.as_millis()).expect("short");
            submission.wake_ms = now_ms + pause_ms.max(1);
        }
        Action::Write => {
            let (_, wait_ms) = store_answer(trouble, *host, now_ms);
            result.calls[usize::try_from(now_ms / 1000).expect("few")] += 1;
            submission.call = Some(Call::Write);
            submission.wake_ms = now_ms + wait_ms;
        }
        Action::HandOver => {
            submission.asked += 1;
            let neighbour = (*host + 1 + 7 * submission.asked) % HOSTS;
            // A neighbour whose writes are refused answers so at once.
            if gates[neighbour].admit(at(now_ms)) {
                let (_, wait_ms) = store_answer(trouble, neighbour, now_ms);
                result.calls[usize::try_from(now_ms / 1000).expect("few")] += 1;
                submission.call = Some(Call::HandOver(neighbour));
                submission.wake_ms = now_ms + wait_ms;
            } else {
                submission.wake_ms = now_ms + 1;
            }
        }
    }
    true
}

#[test]
fn all_stored_by_deadline() {
    for trouble in [Trouble::ThirdOfHosts, Trouble::Silent, Trouble::Refusing] {
        for multiple in [1, 2, 4, 10] {
            let result = play(trouble, multiple);
            assert_eq!(result.given_up, 0, "{trouble:?} at {multiple}: {result:?}");
        }
    }
}

#[test]
fn cut_off_hosts_tell() {
    for multiple in [1, 2, 4, 10] {
        let result = play(Trouble::CutOff, multiple);
        let all = result.stored + result.given_up;
        assert!(result.stored * 4 >= all * 3, "{multiple}: {result:?}");
    }
}

#[test]
fn calls_below_store_rate() {
    for trouble in [Trouble::ThirdOfHosts, Trouble::Silent, Trouble::Refusing, Trouble::CutOff] {
        for multiple in [1, 2, 4] {
            let result = play(trouble, multiple);
            let most = result.calls.iter().max().copied().unwrap_or_default();
            assert!(most < STORE_PER_S, "{trouble:?} at {multiple}: {most} calls in a second");
        }
    }
}

/// A write whose answer is lost is repeated by the host itself, which finds out what it did.
#[test]
fn unanswered_write_repeated() {
    let mut gate = Gate::default();
    let mut attempts = Attempts::new(at(3000), 0.5);
    assert_eq!(attempts.next(at(0), &mut gate, true), Action::Write);
    attempts.record(Failure::Unanswered);
    let Action::Wait(pause) = attempts.next(at(10), &mut gate, true) else {
        panic!("no pause");
    };
    assert!(pause < Duration::from_millis(200));
    assert_eq!(attempts.next(at(120), &mut gate, true), Action::Write);
}

/// While writes are refused, one a pause finds out whether they are taken again.
#[test]
fn one_probe_each_pause() {
    let mut gate = Gate::default();
    let mut probes = 0;
    for now_ms in 0..10_000 {
        if gate.admit(at(now_ms)) {
            probes += 1;
            gate.record_refusal(at(now_ms));
        }
    }
    assert!((10..=17).contains(&probes), "{probes} probes in 10 s");
    gate.record_answer();
    assert!((0..5).all(|_| gate.admit(at(10_000))));
}

#[test]
fn deadline_ends_attempts() {
    let mut gate = Gate::default();
    let mut attempts = Attempts::new(at(100), 0.0);
    assert_eq!(attempts.next(at(99), &mut gate, true), Action::GiveUp);
}
