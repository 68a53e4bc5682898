//! The times in a lease row count from its write, whatever has delayed the process before.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::store::{
    Commit, Error, Feed, Key, Page, Range, Row, Store, Transaction,
    keyspace::Keyspace,
    row::{self, LeaseRow},
};
use skylarkwick_planner::jobs::{Config, lease::Lease};
use skylarkwick_process::log;
use skylarkwick_request::shard::input::ServerId;
use skylarkwick_version::{
    lease::Incarnation,
    revision::Revision,
    sharding::{ShardId, Sharding},
};

/// A store that applies every transaction and keeps it; its clock is set by the test.
#[derive(Clone, Default)]
struct Recorder {
    clock_ms: Arc<AtomicU64>,
    written: Arc<Mutex<Vec<Transaction>>>,
}

impl Recorder {
    fn lease(&self, key: &Key) -> LeaseRow {
        let written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        let mut writes = written.iter().flat_map(|transaction| &transaction.writes);
        let (_, value) = writes.rfind(|(written, _)| written == key).expect("a lease was written");
        row::decode(value).expect("it decodes")
    }
}

impl Store for Recorder {
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        written.push(transaction.clone());
        Ok(Commit::Applied(Revision(10)))
    }

    fn read(&self, _: &str, _: &str, _: Range<'_>) -> Result<Page, Error> {
        Ok(Page::default())
    }

    fn parts(&self, _: &str) -> Result<Vec<Arc<str>>, Error> {
        Ok(Vec::new())
    }

    fn feed(&self, _: &str, _: Revision, _: Duration) -> Result<Feed, Error> {
        Ok(Feed::Compacted)
    }

    fn clock_ms(&self) -> u64 {
        self.clock_ms.load(Ordering::Relaxed)
    }
}

fn config() -> Config {
    Config {
        entry: Arc::from("entry-1"),
        cores: 1.0,
        max_run_lease: Duration::from_secs(6),
        handover_delay: Duration::from_secs(3),
        outage_threshold: Duration::from_secs(4),
        maintenance_duration: Duration::from_secs(2),
        result_retention: Duration::from_secs(120),
        memory_bytes: 260 << 20,
    }
}

/// Guards against a holder that is taken for expired while it counts on its exclusive window,
/// because it was paused between the read of the row and its write.
#[test]
fn paused_acquisition_current() {
    let (store, keyspace) = (Recorder::default(), Keyspace::new(Sharding::SINGLE, ShardId(0)));
    let mut lease = Lease::new(store.clone(), keyspace, &config(), Incarnation(1), &log::discard());
    let stored = Row { key: keyspace.lease(), revision: Revision::ABSENT, value: None };
    assert!(lease.observe(&stored, 1000).is_some());
    store.clock_ms.store(4000, Ordering::Relaxed);
    lease.acquire(&stored, 1000).expect("the store confirms the write");
    assert_eq!(store.lease(&keyspace.lease()).renewed_ms, 4000);
}

/// Guards against a next holder that waits for less than the one before has handed on, or that
/// takes what an earlier one has handed on for that of the one before.
#[test]
fn settled_servers_handed_on() {
    let (store, keyspace) = (Recorder::default(), Keyspace::new(Sharding::SINGLE, ShardId(0)));
    let start = |number| {
        Lease::new(store.clone(), keyspace, &config(), Incarnation(number), &log::discard())
    };
    let stored = || {
        let value = Some(row::encode(&store.lease(&keyspace.lease())));
        Row { key: keyspace.lease(), revision: Revision(10), value }
    };
    let absent = Row { key: keyspace.lease(), revision: Revision::ABSENT, value: None };
    let mut first = start(1);
    assert!(first.observe(&absent, 1000).is_some());
    assert!(first.acquire(&absent, 1000).expect("it is free").settled.is_empty());
    store.clock_ms.store(5000, Ordering::Relaxed);
    let server = ServerId(Arc::from("a"));
    first.release(&[(server.clone(), Duration::from_millis(700))].into());
    let mut second = start(2);
    assert!(second.observe(&stored(), 5200).is_some());
    let acquisition = second.acquire(&stored(), 5200).expect("it was released");
    assert_eq!(acquisition.settled, [(server, Duration::from_millis(500))].into());
    assert!(store.lease(&keyspace.lease()).settled.is_empty(), "it holds for the next one only");
}
