//! A read of a whole table leaves nothing out that a feed after it can't bring.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::store::{self, Commit, Error, Feed, Page, Range, Store, Transaction};
use skylarkwick_version::revision::Revision;

/// A store in which another writer adds a part right after the parts are listed.
#[derive(Clone, Default)]
struct Growing {
    revision: Arc<AtomicU64>,
}

impl Store for Growing {
    fn commit(&self, _: &Transaction) -> Result<Commit, Error> {
        Err(Error::NotDone("read only".to_owned()))
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
        Err(Error::NotDone("read only".to_owned()))
    }

    fn clock_ms(&self) -> u64 {
        0
    }
}

#[test]
fn a_part_added_meanwhile_is_left_to_the_feed() {
    let page = store::read_table(&Growing::default(), "job").expect("an answer");
    assert_eq!(page.revision, Revision(0), "the new part has revision 1");
}
