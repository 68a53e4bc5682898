//! Writes of a job that keep failing: its starts hold no room from other jobs.

mod harness;

use harness::{Harness, batches, starts, step};
use skylarkwick_request::shard::effect::{Batch, Effect};

/// Rounds of decisions and writes; writes count as failing after fewer.
const ROUNDS: u32 = 6;

/// Decides for some rounds, fails the writes of the job "bad" and confirms all others;
/// returns the effects.
fn decide_failing(harness: &mut Harness) -> Vec<Effect> {
    let mut effects = Vec::new();
    for _ in 0..ROUNDS {
        harness.advance(50);
        let next = harness.decide_unsaved();
        for Batch { updates, cursors } in batches(&next) {
            let (bad, good): (Vec<_>, Vec<_>) =
                updates.into_iter().partition(|update| update.key.id().as_str() == "bad");
            harness.shard.handle_updates_saved(harness.now, &good);
            let rest = Batch { updates: bad, cursors };
            match rest.updates.is_empty() {
                true => harness.shard.handle_batch_saved(harness.now, &rest),
                false => harness.shard.handle_batch_save_failed(&rest),
            }
        }
        effects.extend(next);
    }
    effects
}

/// Guards against jobs that find no room and no place in the send window, because the starts
/// of one whose writes fail for good hold them (review/7).
#[test]
fn failing_job_holds_nothing() {
    let mut harness = Harness::with_servers(&["a"]);
    // As many starts as the window takes at least, which fill the server too.
    harness.submit("bad", vec![step(64, 1)]);
    decide_failing(&mut harness);
    harness.submit("good", vec![step(2, 32)]);
    let started = starts(&decide_failing(&mut harness));
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|(_, start)| start.task.job.as_str() == "good"));
}

/// A job whose writes succeed again starts.
#[test]
fn failing_job_recovers() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("bad", vec![step(4, 1)]);
    decide_failing(&mut harness);
    assert!(starts(&decide_failing(&mut harness)).is_empty());
    let mut effects = harness.decide();
    effects.extend(harness.decide());
    assert_eq!(starts(&effects).len(), 4);
}
