//! Sender duties: each makes one attempt at a time on a backend server.

use std::io;

use skylarkwick_connection::backend::Server;
use skylarkwick_process::{duty::Duty, ring};

use crate::event::{DispatchEvent, PendingAttempt};

/// Starts the senders; returns the ring of each.
pub(crate) fn start<S: Server>(
    count: usize,
    server: &S,
    dispatch: &ring::Sender<DispatchEvent>,
) -> io::Result<Vec<ring::Sender<PendingAttempt>>> {
    (0..count)
        .map(|executor| {
            let (attempts, input) = ring::bounded(1);
            let (server, dispatch) = (server.clone(), dispatch.clone());
            Duty::spawn("sender", move || run(executor, &server, &input, &dispatch))?;
            Ok(attempts)
        })
        .collect()
}

fn run<S: Server>(
    executor: usize,
    server: &S,
    input: &ring::Receiver<PendingAttempt>,
    dispatch: &ring::Sender<DispatchEvent>,
) {
    while let Some(PendingAttempt { task, span }) = input.receive() {
        let outcome = server.run(&task);
        drop(span);
        let finished = DispatchEvent::AttemptFinished { executor, attempt: task.attempt, outcome };
        if dispatch.send(finished).is_err() {
            return;
        }
    }
}
