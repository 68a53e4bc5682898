//! Claims: which process may run the request behind a key.
//!
//! A key is claimed by a row of the platform before its work starts. The
//! register of the process that holds the claim knows what became of the work,
//! answers repeats, and is the only place that starts it. Tickets are entered
//! in the same register without a row. See `docs/DESIGN.md`, section "At most
//! once".

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use skylarkwick_version::{lease::Incarnation, name};

use crate::{
    id::{Digest, Key},
    outcome::{Outcome, Refusal, UnknownReason},
};

/// Most ended keys that a process keeps for repeats.
const MAX_ENDED: usize = 20_000;
/// Most bytes of answers that a process keeps for repeats.
const MAX_ENDED_BYTES: usize = 32 << 20;

/// A claim's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The entry host that may run the work.
    pub entry: name::Entry,
    /// The run of that entry host.
    pub incarnation: Incarnation,
    /// Digest of the request.
    pub digest: Digest,
}

/// State of a key in the register of one process.
#[derive(Clone, Debug)]
enum State<A, W> {
    /// The row is being written; nothing has run. `in_doubt` tells that an
    /// earlier write may have gone through.
    Claiming { digest: Digest, waiters: Vec<W>, in_doubt: bool },
    /// The row may have been written; nothing has run.
    Doubtful { digest: Digest },
    /// The row is ours and the work was started.
    Running { digest: Digest, waiters: Vec<W> },
    /// The row is ours, but the work was refused and may be started again.
    Idle { digest: Digest },
    /// The work has ended.
    Finished { digest: Digest, outcome: Outcome<Arc<A>> },
}

/// What to do with a request that carries a key.
#[derive(Debug, PartialEq, Eq)]
pub enum Action<A, W> {
    /// Write the claim's row, then report to [`Registry::claim_written`].
    WriteClaim,
    /// The row is ours; start the work and report to [`Registry::finish`].
    Start(W),
    /// Tell the waiter.
    Answer(W, Outcome<Arc<A>>),
    /// The waiter was noted and is told when the work ends.
    Wait,
}

/// The keys of one process.
#[derive(Debug)]
pub struct Registry<A, W> {
    states: BTreeMap<Key, State<A, W>>,
    ended: VecDeque<(Key, usize)>,
    ended_bytes: usize,
}

impl<A, W> Default for Registry<A, W> {
    fn default() -> Registry<A, W> {
        Registry { states: BTreeMap::new(), ended: VecDeque::new(), ended_bytes: 0 }
    }
}

impl<A, W> Registry<A, W> {
    /// Returns the number of keys in the register.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tells whether the register has no key.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Takes a request with a key.
    pub fn submit(&mut self, key: Key, digest: Digest, waiter: W) -> Action<A, W> {
        match self.states.get_mut(&key) {
            None => {
                let waiters = vec![waiter];
                self.states.insert(key, State::Claiming { digest, waiters, in_doubt: false });
                Action::WriteClaim
            }
            Some(
                State::Claiming { digest: known, .. }
                | State::Running { digest: known, .. }
                | State::Idle { digest: known }
                | State::Doubtful { digest: known }
                | State::Finished { digest: known, .. },
            ) if *known != digest => Action::Answer(waiter, Outcome::NotRun(Refusal::KeyReused)),
            Some(State::Claiming { waiters, .. } | State::Running { waiters, .. }) => {
                waiters.push(waiter);
                Action::Wait
            }
            Some(State::Finished { outcome, .. }) => Action::Answer(waiter, outcome.clone()),
            Some(state @ State::Idle { .. }) => {
                *state = State::Running { digest, waiters: Vec::new() };
                Action::Start(waiter)
            }
            Some(state @ State::Doubtful { .. }) => {
                *state = State::Claiming { digest, waiters: vec![waiter], in_doubt: true };
                Action::WriteClaim
            }
        }
    }

    /// Takes a ticket, which needs no row; `is_first` tells that it was not
    /// spent before.
    pub fn submit_ticket(
        &mut self,
        key: Key,
        digest: Digest,
        waiter: W,
        is_first: bool,
    ) -> Action<A, W> {
        match self.states.contains_key(&key) {
            false if !is_first => {
                return Action::Answer(waiter, Outcome::Unknown(UnknownReason::Forgotten));
            }
            false => drop(self.states.insert(key, State::Idle { digest })),
            true => {}
        }
        self.submit(key, digest, waiter)
    }

    /// Takes a repeat of a key that this process claimed, on another's word.
    ///
    /// Unlike [`Registry::submit`], it never claims anew.
    pub fn submit_forwarded(&mut self, key: Key, digest: Digest, waiter: W) -> Action<A, W> {
        match self.states.get_mut(&key) {
            None => return Action::Answer(waiter, Outcome::Unknown(UnknownReason::Forgotten)),
            Some(state @ State::Doubtful { .. }) => *state = State::Idle { digest },
            Some(_) => {}
        }
        self.submit(key, digest, waiter)
    }

    /// Notes that the row of a key is ours: one waiter starts the work.
    pub fn claim_written(&mut self, key: Key) -> Option<W> {
        match self.states.remove(&key) {
            Some(State::Claiming { digest, mut waiters, .. }) => {
                let first = (!waiters.is_empty()).then(|| waiters.remove(0));
                let state = match first {
                    Some(_) => State::Running { digest, waiters },
                    None => State::Idle { digest },
                };
                self.states.insert(key, state);
                first
            }
            Some(state) => {
                self.states.insert(key, state);
                None
            }
            None => None,
        }
    }

    /// Tells whether a row of this run, found in the way, is one whose write
    /// was in doubt, so that its work has never started.
    pub fn is_write_in_doubt(&self, key: Key) -> bool {
        matches!(self.states.get(&key), Some(State::Claiming { in_doubt: true, .. }))
    }

    /// Gives up to claim a key whose row another process holds.
    ///
    /// Returns those who wait for it.
    pub fn claim_lost(&mut self, key: Key) -> Vec<W> {
        match self.states.remove(&key) {
            Some(State::Claiming { waiters, .. }) => waiters,
            Some(state) => {
                self.states.insert(key, state);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Gives up to claim a key while its row may have been written or not.
    ///
    /// Nothing has run. Returns those who wait for it.
    pub fn claim_uncertain(&mut self, key: Key) -> Vec<W> {
        match self.states.remove(&key) {
            Some(State::Claiming { digest, waiters, .. }) => {
                self.states.insert(key, State::Doubtful { digest });
                self.end(key, 0);
                waiters
            }
            Some(state) => {
                self.states.insert(key, state);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Notes how the work of a key ended. Returns those who wait for it too.
    ///
    /// `bytes` is the size of the answer, which bounds how many are kept.
    pub fn finish(&mut self, key: Key, outcome: Outcome<Arc<A>>, bytes: usize) -> Vec<W> {
        match self.states.remove(&key) {
            Some(State::Running { digest, waiters }) => {
                let state = match outcome {
                    Outcome::NotRun(_) => State::Idle { digest },
                    outcome => State::Finished { digest, outcome },
                };
                self.states.insert(key, state);
                self.end(key, bytes);
                waiters
            }
            Some(state) => {
                self.states.insert(key, state);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn end(&mut self, key: Key, bytes: usize) {
        self.ended.push_back((key, bytes));
        self.ended_bytes += bytes;
        while self.ended.len() > MAX_ENDED || self.ended_bytes > MAX_ENDED_BYTES {
            let Some((key, bytes)) = self.ended.pop_front() else { return };
            self.ended_bytes -= bytes;
            self.forget(key);
        }
    }

    fn forget(&mut self, key: Key) {
        let has_ended = matches!(
            self.states.get(&key),
            Some(State::Finished { .. } | State::Idle { .. } | State::Doubtful { .. })
        );
        if has_ended {
            self.states.remove(&key);
        }
    }
}
