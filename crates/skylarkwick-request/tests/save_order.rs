//! More jobs change than one write can hold. The oldest change is stored first, so that no job
//! waits for ever while others keep changing.

mod harness;

use harness::{Harness, batches, step};

#[test]
fn oldest_change_first() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("zzz", vec![step(1, 1)]);
    harness.advance(50);
    for number in 0..60 {
        harness.submit(&format!("job{number:02}"), vec![step(1, 1)]);
    }
    let batch = batches(&harness.decide_unsaved()).remove(0);
    let stored: Vec<&str> = batch.updates.iter().map(|update| update.key.id().as_str()).collect();
    assert!(stored.contains(&"zzz"), "stored first: {stored:?}");
}

#[test]
fn waiting_job_keeps_place() {
    let mut harness = Harness::with_servers(&["a"]);
    for number in 0..60 {
        harness.submit(&format!("job{number:02}"), vec![step(1, 1)]);
    }
    let first = batches(&harness.decide_unsaved()).remove(0);
    harness.shard.handle_batch_save_failed(&first);
    let second = batches(&harness.decide_unsaved()).remove(0);
    let repeats = second
        .updates
        .iter()
        .filter(|update| first.updates.iter().any(|other| other.key == update.key))
        .count();
    let left = 60 - first.updates.len();
    assert_eq!(second.updates.len() - repeats, left, "jobs left out before come first");
}
