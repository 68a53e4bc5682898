//! Executor duties: each runs one attempt at a time on a backend server.

use std::io;

use skylarkwick_connection::backend::Runner;
use skylarkwick_process::{duty::Duty, ring};

use crate::event::{DispatchEvent, PendingAttempt};

/// Starts `count` executors and returns the ring of each, in the order of their indexes. Each
/// ring holds one attempt, and an executor ends once its ring is closed.
///
/// # Errors
///
/// Returns the operating system's error if a thread cannot be started.
pub(crate) fn start<R: Runner>(
    count: usize,
    runner: &R,
    dispatch: &ring::Sender<DispatchEvent>,
) -> io::Result<Vec<ring::Sender<PendingAttempt>>> {
    (0..count)
        .map(|executor| {
            let (attempts, input) = ring::bounded(1);
            let (runner, dispatch) = (runner.clone(), dispatch.clone());
            Duty::spawn("sender", move || run(executor, &runner, &input, &dispatch))?;
            Ok(attempts)
        })
        .collect()
}

/// Runs the attempts of a ring one after the other, and sends their outcomes to the dispatch
/// duty with the index of the executor.
fn run<R: Runner>(
    executor: usize,
    runner: &R,
    input: &ring::Receiver<PendingAttempt>,
    dispatch: &ring::Sender<DispatchEvent>,
) {
    while let Some(PendingAttempt { task, span }) = input.receive() {
        let outcome = runner.run(&task);
        drop(span);
        let finished = DispatchEvent::AttemptFinished { executor, attempt: task.attempt, outcome };
        if dispatch.send(finished).is_err() {
            return;
        }
    }
}
