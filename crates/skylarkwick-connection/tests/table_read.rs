//! Reads of a whole table: the revision they return is one from which a feed
//! delivers every later write.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::store::{self, Commit, Error, Feed, Page, Range, Store, Transaction};
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
