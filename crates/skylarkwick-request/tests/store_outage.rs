//! A store that does not answer: tasks go on starting on the servers recorded with their
//! jobs.

mod harness;

use harness::{Harness, finished_run, starts, step, task};
use skylarkwick_request::job::task::RunOutcome;

/// Guards against LOST and SHORT: while the store did not answer, one job that was recorded
/// with no server kept the tasks of all others from starting.
#[test]
fn recorded_jobs_go_on() {
    let mut harness = Harness::with_servers(&["a"]);
    // Each task fills the server.
    harness.submit("recorded", vec![step(2, 64)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    assert_eq!(started.len(), 1);
    // A job that is not recorded, and ranks before the other, which is late by then.
    harness.advance(4000);
    harness.submit("new", vec![step(1, 2)]);
    let (first, run) = (started[0].1.task.clone(), started[0].1.run);
    harness.report("a", &[], &[finished_run(1, first, run, RunOutcome::Done)]);
    let tasks: Vec<_> =
        starts(&harness.decide_unconfirmed()).into_iter().map(|(_, start)| start.task).collect();
    assert_eq!(tasks, [task("recorded", 0, 1)]);
}
