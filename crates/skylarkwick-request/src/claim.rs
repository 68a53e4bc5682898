//! Claims: which process may run the request with a given idempotency key.
//!
//! A process claims a key by writing a row to the platform before it starts the
//! work. The registry of the process that owns the claim is the only place that
//! starts the work; it records the outcome and answers repeats. Tickets use the
//! same registry without a row. See `docs/DESIGN.md`, section "At most once".

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use skylarkwick_version::{lease::Incarnation, name};

use crate::{
    id::{Digest, Key},
    outcome::{Outcome, Refusal, UnknownReason},
};

/// Maximum number of keys without running work that are kept to answer repeats; the oldest are
/// dropped first. A key that has ended several times counts as often and is as old as its
/// first end.
const MAX_ENDED_KEYS: usize = 20_000;
/// Maximum total size of the answers kept for repeats, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Content of a claim's row: which incarnation of which entry host may run the work of a
/// key, and for which request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The entry host that may run the work.
    pub entry: name::Entry,
    /// The incarnation of that entry host.
    pub incarnation: Incarnation,
    /// Digest of the request; a request with the same key and another digest is refused.
    pub digest: Digest,
}

/// State of a key in the registry, from the writing of its claim to the outcome of its work.
/// Each state keeps the digest of the key's request, to detect other requests with the same
/// key. `A` is the type of the answers, `W` that of the waiters, which are returned to the
/// caller of the registry to be answered.
#[derive(Clone, Debug)]
enum State<A, W> {
    /// The row is being written and the work was not started; it will be with the first waiter.
    /// `in_doubt` is set if an earlier write of the row may have been applied.
    WritingClaim { digest: Digest, waiters: Vec<W>, in_doubt: bool },
    /// A write of the row may have been applied; the work was not started.
    ClaimInDoubt { digest: Digest },
    /// This process owns the key and has started the work. The waiters don't include the one
    /// that started it.
    Running { digest: Digest, waiters: Vec<W> },
    /// This process owns the key, by its row or as the issuer of the ticket, and the work is
    /// not running: it was not started or was not run, and may be started.
    Claimed { digest: Digest },
    /// The work has ended; the outcome is `Done` or `Unknown`.
    Finished { digest: Digest, outcome: Outcome<Arc<A>> },
}

/// What the caller of [`Registry`] has to do with a request: write its claim, start its work,
/// answer it, or let it wait. `A` is the type of the answers, `W` that of the waiters.
#[derive(Debug, PartialEq, Eq)]
pub enum Action<A, W> {
    /// Write the claim's row, then call [`Registry::claim_written`],
    /// [`Registry::claim_lost`] or [`Registry::claim_uncertain`].
    WriteClaim,
    /// Start the work for this waiter, and call [`Registry::finish`] once it has ended.
    Start(W),
    /// Return the outcome to the waiter.
    Answer(W, Outcome<Arc<A>>),
    /// Nothing: the waiter was added to those that a later call returns.
    Wait,
}

/// The keys and tickets of one process, with the state of their work, the waiters for its
/// outcome, and a bounded number of outcomes for repeats.
///
/// `A` is the type of the answers; `W` is that of the waiters, to which outcomes are
/// returned.
#[derive(Debug)]
pub struct Registry<A, W> {
    states: BTreeMap<Key, State<A, W>>,
    /// Keys that were evictable when added, oldest first, with the size of their answer in
    /// bytes. A key may be listed several times.
    ended_keys: VecDeque<(Key, usize)>,
    /// Sum of the sizes in `ended_keys`.
    answer_bytes: usize,
}

impl<A, W> Default for Registry<A, W> {
    /// Returns a [`Registry`] without keys.
    fn default() -> Registry<A, W> {
        Registry { states: BTreeMap::new(), ended_keys: VecDeque::new(), answer_bytes: 0 }
    }
}

impl<A, W> Registry<A, W> {
    /// Returns the number of keys in the registry, whatever their state.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tells whether the registry has no key.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Registers a request with an idempotency key, and returns what its caller has to do. The
    /// claim is written if the key is new or an earlier write was in doubt; the work is
    /// started if this process owns the key and the work is not running. Other repeats wait
    /// for the outcome or are answered with it, and a request whose digest is not that of the
    /// key is answered with `KeyReused`.
    pub fn submit(&mut self, key: Key, digest: Digest, waiter: W) -> Action<A, W> {
        match self.states.get_mut(&key) {
            None => {
                let waiters = vec![waiter];
                self.states.insert(key, State::WritingClaim { digest, waiters, in_doubt: false });
                Action::WriteClaim
            }
            Some(
                State::WritingClaim { digest: known, .. }
                | State::Running { digest: known, .. }
                | State::Claimed { digest: known }
                | State::ClaimInDoubt { digest: known }
                | State::Finished { digest: known, .. },
            ) if *known != digest => Action::Answer(waiter, Outcome::NotRun(Refusal::KeyReused)),
            Some(State::WritingClaim { waiters, .. } | State::Running { waiters, .. }) => {
                waiters.push(waiter);
                Action::Wait
            }
            Some(State::Finished { outcome, .. }) => Action::Answer(waiter, outcome.clone()),
            Some(state @ State::Claimed { .. }) => {
                *state = State::Running { digest, waiters: Vec::new() };
                Action::Start(waiter)
            }
            Some(state @ State::ClaimInDoubt { .. }) => {
                *state = State::WritingClaim { digest, waiters: vec![waiter], in_doubt: true };
                Action::WriteClaim
            }
        }
    }

    /// Registers a request with a ticket, which needs no row, so that new work starts at once.
    /// `is_first` is set if the ticket was not redeemed before; a repeat whose key is no
    /// longer in the registry is answered with `Forgotten`. A known key is handled as by
    /// [`Registry::submit`].
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
            false => drop(self.states.insert(key, State::Claimed { digest })),
            true => {}
        }
        self.submit(key, digest, waiter)
    }

    /// Registers a request that another process forwarded because it found a row of this
    /// process.
    ///
    /// Unlike [`Registry::submit`], it never writes a claim. An unknown key is answered with
    /// `Forgotten`. A claim in doubt counts as written, as the row proves, so that the work
    /// starts; `digest` then replaces the stored one, as the other process has compared it with
    /// the row. Any other key is handled as by [`Registry::submit`].
    pub fn submit_forwarded(&mut self, key: Key, digest: Digest, waiter: W) -> Action<A, W> {
        match self.states.get_mut(&key) {
            None => return Action::Answer(waiter, Outcome::Unknown(UnknownReason::Forgotten)),
            Some(state @ State::ClaimInDoubt { .. }) => *state = State::Claimed { digest },
            Some(_) => {}
        }
        self.submit(key, digest, waiter)
    }

    /// Records that this process owns the row of a key. Returns the first waiter, with which
    /// the caller must start the work, or `None` if no claim of the key is being written. The
    /// other waiters stay until [`Registry::finish`].
    pub fn claim_written(&mut self, key: Key) -> Option<W> {
        match self.states.remove(&key) {
            Some(State::WritingClaim { digest, mut waiters, .. }) => {
                let first = (!waiters.is_empty()).then(|| waiters.remove(0));
                let state = match first {
                    Some(_) => State::Running { digest, waiters },
                    None => State::Claimed { digest },
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

    /// Tells whether the row of a key is being written again after an earlier write in doubt.
    ///
    /// If so, a row of this incarnation that the new write finds is the result of the earlier
    /// one, and its work was never started.
    pub fn is_write_in_doubt(&self, key: Key) -> bool {
        matches!(self.states.get(&key), Some(State::WritingClaim { in_doubt: true, .. }))
    }

    /// Drops a key whose row existed before and that this process therefore cannot
    /// claim. Returns the waiters, which the caller must answer; none if no claim of the key
    /// is being written.
    pub fn claim_lost(&mut self, key: Key) -> Vec<W> {
        match self.states.remove(&key) {
            Some(State::WritingClaim { waiters, .. }) => waiters,
            Some(state) => {
                self.states.insert(key, state);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Records that the row of a key may or may not have been written. Returns the waiters,
    /// which the caller must answer and whose work was not started; none if no claim of the
    /// key is being written. A later request with the key writes the row again.
    pub fn claim_uncertain(&mut self, key: Key) -> Vec<W> {
        match self.states.remove(&key) {
            Some(State::WritingClaim { digest, waiters, .. }) => {
                self.states.insert(key, State::ClaimInDoubt { digest });
                self.record_end(key, 0);
                waiters
            }
            Some(state) => {
                self.states.insert(key, state);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Records the outcome of the work of a key. Returns the waiters other than the one that
    /// started it, which the caller must answer; if the work is not running, returns none and
    /// changes nothing. After `NotRun` a later request may start the work again; any other
    /// outcome is kept for repeats until the limits of the registry are exceeded.
    ///
    /// `bytes` is the size of the answer; it counts towards the limit of the answers kept.
    pub fn finish(&mut self, key: Key, outcome: Outcome<Arc<A>>, bytes: usize) -> Vec<W> {
        match self.states.remove(&key) {
            Some(State::Running { digest, waiters }) => {
                let state = match outcome {
                    Outcome::NotRun(_) => State::Claimed { digest },
                    outcome => State::Finished { digest, outcome },
                };
                self.states.insert(key, state);
                self.record_end(key, bytes);
                waiters
            }
            Some(state) => {
                self.states.insert(key, state);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Adds a key to those that may be dropped. While they exceed [`MAX_ENDED_KEYS`] or
    /// [`MAX_ANSWER_BYTES`], removes the oldest entry and drops its key, unless the key is in
    /// use again.
    fn record_end(&mut self, key: Key, bytes: usize) {
        self.ended_keys.push_back((key, bytes));
        self.answer_bytes += bytes;
        while self.ended_keys.len() > MAX_ENDED_KEYS || self.answer_bytes > MAX_ANSWER_BYTES {
            let Some((key, bytes)) = self.ended_keys.pop_front() else { return };
            self.answer_bytes -= bytes;
            self.evict(key);
        }
    }

    /// Drops a key unless its row is being written or its work is running.
    fn evict(&mut self, key: Key) {
        let is_evictable = matches!(
            self.states.get(&key),
            Some(State::Finished { .. } | State::Claimed { .. } | State::ClaimInDoubt { .. })
        );
        if is_evictable {
            self.states.remove(&key);
        }
    }
}
