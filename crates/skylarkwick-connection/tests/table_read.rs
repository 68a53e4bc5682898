//! Reads of a whole table: the revision they return is one from which a feed
//! delivers every later write.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::store::{
    self, Commit, Error, Feed, Key, Page, Range, Row, Store, TableReader, Transaction,
};
use skylarkwick_version::revision::Revision;

/// A store in which another writer adds a partition right after the partitions have
/// been listed.
#[derive(Clone, Default)]
struct GrowingStore {
    revision: Arc<AtomicU64>,
}

impl Store for GrowingStore {
    fn commit(&self, _: &Transaction) -> Result<Commit, Error> {
        Err(Error::NotDone("the store is read-only".to_owned()))
    }

    fn read(&self, _: &str, _: &str, _: Range<'_>) -> Result<Page, Error> {
        let revision = Revision(self.revision.load(Ordering::Relaxed));
        Ok(Page { revision, ..Page::default() })
    }

    fn parts(&self, _: &str) -> Result<Vec<Arc<str>>, Error> {
        self.revision.fetch_add(1, Ordering::Relaxed);
        Ok(Vec::new())
    }

    fn feed(&self, _: &str, _: Revision, _: Duration) -> Result<Feed, Error> {
        Err(Error::NotDone("the store is read-only".to_owned()))
    }

    fn clock_ms(&self) -> u64 {
        0
    }
}

#[test]
fn added_partition_fed() {
    let page = store::read_table(&GrowingStore::default(), "job").expect("the store responds");
    assert_eq!(page.revision, Revision(0), "the new partition has revision 1");
}

/// A store with a row in each of three partitions that refuses every second call.
#[derive(Clone, Default)]
struct RefusingStore {
    calls: Arc<AtomicU64>,
}

impl RefusingStore {
    fn refuse_second(&self) -> Result<(), Error> {
        match self.calls.fetch_add(1, Ordering::Relaxed) % 2 {
            1 => Err(Error::NotDone("too many calls".to_owned())),
            _ => Ok(()),
        }
    }
}

impl Store for RefusingStore {
    fn commit(&self, _: &Transaction) -> Result<Commit, Error> {
        Err(Error::NotDone("the store is read-only".to_owned()))
    }

    fn read(&self, table: &str, part: &str, _: Range<'_>) -> Result<Page, Error> {
        self.refuse_second()?;
        let row = Row { key: Key::new(table, part, "a"), revision: Revision(1), value: None };
        let rows = if part.is_empty() { Vec::new() } else { vec![row] };
        Ok(Page { rows, ..Page::default() })
    }

    fn parts(&self, _: &str) -> Result<Vec<Arc<str>>, Error> {
        self.refuse_second()?;
        Ok(["p", "q", "r"].map(Arc::from).into())
    }

    fn feed(&self, _: &str, _: Revision, _: Duration) -> Result<Feed, Error> {
        Err(Error::NotDone("the store is read-only".to_owned()))
    }

    fn clock_ms(&self) -> u64 {
        0
    }
}

/// Guards against a read of a table that starts anew after each error, and so never ends
/// while the store refuses some calls.
#[test]
fn failed_read_continued() {
    let store = RefusingStore::default();
    let mut reader = TableReader::new("job");
    let failures = (0..20).take_while(|_| reader.read(&store).is_err()).count();
    assert_eq!(failures, 4, "each read but the first is refused once");
    assert_eq!(reader.into_page().rows.len(), 3, "each partition is read once");
}
