//! What really ran, as the backend servers saw it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use skylarkwick_version::name;

/// One run of a task on a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The host.
    pub host: name::Host,
    /// The service.
    pub service: String,
    /// What identifies the work: the payload of its body.
    pub payload: String,
    /// When it started.
    pub started: Instant,
    /// Whether it ended, and was not cut.
    pub is_finished: bool,
    /// Whether it was cut while in progress.
    pub is_cut: bool,
}

/// A record of every run and of what hosts were doing.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    books: Arc<Mutex<Books>>,
}

#[derive(Debug, Default)]
struct Books {
    runs: Vec<Run>,
    running: BTreeMap<name::Host, BTreeMap<String, u32>>,
    two_pool_hosts: BTreeSet<name::Host>,
    leaving: BTreeMap<name::Host, Instant>,
    max_start_delay_after_leaving: Duration,
}

/// Number of a run in the ledger.
#[derive(Clone, Copy, Debug)]
pub struct Entry(usize);

impl Ledger {
    /// Notes the start of a run.
    pub fn start(&self, host: &name::Host, service: &str, payload: &str) -> Entry {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        let books = &mut *books;
        let now = Instant::now();
        if let Some(since) = books.leaving.get(host) {
            let late = now.saturating_duration_since(*since);
            books.max_start_delay_after_leaving = books.max_start_delay_after_leaving.max(late);
        }
        let running = books.running.entry(host.clone()).or_default();
        *running.entry(service.to_owned()).or_default() += 1;
        if running.len() > 1 {
            books.two_pool_hosts.insert(host.clone());
        }
        books.runs.push(Run {
            host: host.clone(),
            service: service.to_owned(),
            payload: payload.to_owned(),
            started: now,
            is_finished: false,
            is_cut: false,
        });
        Entry(books.runs.len() - 1)
    }

    /// Notes the end of a run.
    pub fn finish(&self, entry: Entry, is_cut: bool) {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        let books = &mut *books;
        let Some(run) = books.runs.get_mut(entry.0) else { return };
        run.is_finished = !is_cut;
        run.is_cut = is_cut;
        let Some(running) = books.running.get_mut(&run.host) else { return };
        if let Some(count) = running.get_mut(&run.service) {
            *count -= 1;
        }
        running.retain(|_, count| *count > 0);
    }

    /// Notes that a host said that it is leaving, or came back.
    pub fn leaving(&self, host: &name::Host, is_leaving: bool) {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        match is_leaving {
            true => books.leaving.insert(host.clone(), Instant::now()),
            false => books.leaving.remove(host),
        };
    }

    /// Returns every run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner).runs.clone()
    }

    /// Returns the hosts that ran work of two pools at once.
    pub fn two_pool_hosts(&self) -> BTreeSet<name::Host> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner).two_pool_hosts.clone()
    }

    /// Returns the longest time after which a leaving host was given new work.
    pub fn max_start_delay_after_leaving(&self) -> Duration {
        self.books.lock().unwrap_or_else(PoisonError::into_inner).max_start_delay_after_leaving
    }
}
