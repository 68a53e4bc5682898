//! Sender duties: each makes one attempt at a time on a backend server.

use std::io;

use skylarkwick_connection::backend::Runner;
use skylarkwick_process::{duty::Duty, ring};

use crate::event::{Attempt, Dispatch};

/// Starts the senders; returns the ring of each.
pub(crate) fn start<S: Runner>(
    count: usize,
    server: &S,
    dispatch: &ring::Sender<Dispatch>,
) -> io::Result<Vec<ring::Sender<Attempt>>> {
    (0..count)
        .map(|sender| {
            let (attempts, input) = ring::bounded(1);
            let (server, dispatch) = (server.clone(), dispatch.clone());
            Duty::spawn("sender", move || run(sender, &server, &input, &dispatch))?;
            Ok(attempts)
        })
        .collect()
}

fn run<S: Runner>(
    sender: usize,
    server: &S,
    input: &ring::Receiver<Attempt>,
    dispatch: &ring::Sender<Dispatch>,
) {
    while let Some(Attempt { task, span }) = input.receive() {
        let outcome = server.run(&task);
        drop(span);
        let finished = Dispatch::Finished { sender, attempt: task.attempt, outcome };
        if dispatch.send(finished).is_err() {
            return;
        }
    }
}
