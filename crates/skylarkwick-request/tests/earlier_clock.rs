//! Leases that orders by the clock of an earlier incarnation have extended as far as the
//! platform allows: whoever counts them counts the longest.

mod harness;

use std::time::Duration;

use harness::{
    Harness, POOL, earlier_job_on_a, ms, server, server_info, starts, step, taken_shard, task,
    timings,
};
use skylarkwick_request::{
    job::task::{self, RunId},
    shard::input::AcceptedJob,
};
use skylarkwick_version::moment::{Moment, millis};

/// Time of day at a take-over, in Unix milliseconds.
const UNIX_MS: u64 = 1_780_000_000_000;

/// A run on server a.
type Run = (task::Id, RunId, u32);

/// A job with one task, which an earlier holder may have started on server a.
fn earlier_task() -> AcceptedJob {
    let mut accepted = earlier_job_on_a();
    accepted.job = Harness::accepted_job("job", vec![step(1, 4)]).job;
    accepted
}

/// Creates a shard of the second holder, to which server a has just reported the run of an
/// earlier one; server b is idle.
fn with_adopted_run() -> (Harness, Run) {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, earlier_task());
    harness.set_servers(&["a", "b"]);
    let run = (task("job", 0, 0), RunId(5), 40);
    harness.report("a", std::slice::from_ref(&run), &[]);
    harness.report("b", &[], &[]);
    (harness, run)
}

/// Lets server a fall silent; returns when a task starts on server b.
fn await_start(harness: &mut Harness) -> Moment {
    for _ in 0..200 {
        harness.advance(50);
        harness.fail_poll("a");
        harness.report("b", &[], &[]);
        if let [(id, _)] = &starts(&harness.decide())[..] {
            assert_eq!(*id, server("b"));
            return harness.now;
        }
    }
    panic!("the task waits for good");
}

/// Guards against a second run beside one of a server that had restarted under the holder
/// before and falls silent after its first report to this one (review/6).
#[test]
fn first_report_awaited() {
    let (mut harness, _) = with_adopted_run();
    let lease_end = harness.now + timings().max_lease;
    let again = await_start(&mut harness);
    assert!(again > lease_end, "the run may be in progress");
    assert!(again < lease_end + ms(1000), "the lease is over");
}

/// The longest lease counts from the first report only: a server that goes on reporting
/// has the lease that this holder renews.
#[test]
fn renewed_lease_counts() {
    let (mut harness, run) = with_adopted_run();
    for _ in 0..40 {
        harness.advance(50);
        harness.report("a", std::slice::from_ref(&run), &[]);
        harness.report("b", &[], &[]);
        assert!(starts(&harness.decide()).is_empty());
    }
    let lease_end = harness.now + timings().lease_duration;
    let again = await_start(&mut harness);
    assert!(again < lease_end + ms(1000), "the lease is over");
}

/// Guards against a second run beside one whose lease a late call has extended that was sent
/// by the clock of the earlier incarnation.
#[test]
fn late_call_awaited() {
    let (mut harness, run) = with_adopted_run();
    harness.list_incarnation("a", 2);
    let renew = |harness: &mut Harness| {
        harness.advance(50);
        harness.report_incarnation("a", 2, std::slice::from_ref(&run), &[]);
        harness.report("b", &[], &[]);
        assert!(starts(&harness.decide()).is_empty());
    };
    for _ in 0..60 {
        renew(&mut harness);
    }
    let lease_end = harness.now + timings().max_lease;
    for _ in 0..200 {
        harness.advance(50);
        harness.shard.handle_poll_failure(harness.now, &Harness::target("a", 2));
        harness.report("b", &[], &[]);
        if !starts(&harness.decide()).is_empty() {
            assert!(harness.now > lease_end, "the run may be in progress");
            return;
        }
    }
    panic!("the task waits for good");
}

/// Returns for how long after a take-over the task of an earlier holder waits for server a,
/// which started this long before and never answers.
fn await_silent(started: u64) -> Duration {
    let mut harness = taken_shard();
    let since = harness.now;
    harness.shard.add_job(harness.now, earlier_task());
    harness.servers = vec![server_info("a", POOL, "a"), server_info("b", POOL, "b")];
    harness.list_incarnation("a", UNIX_MS - started);
    harness.report("b", &[], &[]);
    for _ in 0..400 {
        harness.advance(50);
        harness.unix_ms = UNIX_MS + millis(harness.now.since(since));
        harness.shard.handle_poll_failure(harness.now, &Harness::target("a", UNIX_MS - started));
        harness.report("b", &[], &[]);
        if !starts(&harness.decide()).is_empty() {
            return harness.now.since(since);
        }
    }
    panic!("the task waits for good");
}

/// Guards against a second run beside one of a server that restarted just before a take-over
/// and is cut off since: the holder before may have extended its lease by the earlier clock.
#[test]
fn silent_restart_awaited() {
    let waited = await_silent(1_000);
    assert!(waited > timings().takeover_grace + ms(1_400), "{waited:?}");
    assert!(waited < timings().takeover_grace + ms(2_000), "{waited:?}");
}

/// A server that started long before has no such lease, and its tasks wait no longer.
#[test]
fn silent_server_given_up() {
    let waited = await_silent(60_000);
    assert!(waited < timings().takeover_grace + ms(300), "{waited:?}");
}
