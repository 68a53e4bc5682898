//! A server that answers a new holder and is then lost: what earlier holders have granted there
//! ends when it would if it had not answered.

mod harness;

use std::time::Duration;

use harness::{Harness, POOL, QUEUE, earlier_job_on_a, ms, queue, server, starts, step, timings};
use skylarkwick_request::{
    job::{Step, task::RunId},
    shard::{Incarnation, Shard, Term, Timings},
};

/// Grace of this holder; the longest lease lasts longer.
const GRACE: Duration = Duration::from_millis(3_000);

/// Returns for how long after its only answer the task on server a waits. `late_calls` is how long
/// before the term earlier holders knew that no call by an earlier clock is carried out there;
/// `None` if they have handed on nothing.
fn wait_after_answer(late_calls: Option<Duration>) -> Duration {
    let timings = Timings { takeover_grace: GRACE, longest_grace: ms(10_000), ..timings() };
    let mut harness = Harness::new(2);
    let since = harness.now;
    let term = Term { fencing_token: 2, number: 2, since };
    harness.shard = Shard::new(timings, term);
    harness.shard.set_queues(vec![queue(QUEUE, POOL)]);
    harness.shard.set_hosts(since, Vec::new());
    if let Some(late_calls) = late_calls {
        let known = Incarnation { started_ms: 1, late_calls_until: since - late_calls };
        harness.shard.set_known_incarnations([(server("a"), known)].into());
    }
    let mut accepted = earlier_job_on_a();
    let job = Harness::accepted_job("job", vec![Step { is_long_running: true, ..step(1, 4) }]);
    accepted.job = job.job;
    harness.shard.add_job(since, accepted);
    harness.set_servers(&["a", "b"]);
    harness.advance(100);
    harness.report("a", &[(harness::task("job", 0, 0), RunId(5), 100)], &[]);
    let answered = harness.now;
    for _ in 0..400 {
        harness.advance(50);
        harness.fail_poll("a");
        harness.report("b", &[], &[]);
        if !starts(&harness.decide()).is_empty() {
            return harness.now.since(answered);
        }
    }
    panic!("the task waits for good");
}

/// Guards against LOST: a long-running task waited for the longest lease of the platform, because
/// its server had answered the new holder before it was lost.
#[test]
fn known_lease_counts() {
    let waited = wait_after_answer(Some(ms(8_000)));
    // The first poll renews nothing; the lease that earlier holders granted is over by the grace.
    assert!(waited > GRACE - ms(200), "the earlier lease may last: {waited:?}");
    assert!(waited < GRACE + ms(500), "{waited:?}");
}

/// Guards against a second run: what nobody has handed on may be the longest lease.
#[test]
fn unknown_lease_awaited() {
    let waited = wait_after_answer(None);
    assert!(waited > timings().max_lease, "{waited:?}");
}
