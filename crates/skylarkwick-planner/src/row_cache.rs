//! A cache of the rows under a key prefix, updated by incremental scans.

use std::collections::BTreeMap;

use skylarkwick_connection::platform::{Error, Key, Row, Table};
use skylarkwick_version::revision::Revision;

/// The rows under a key prefix as of the last refresh, including deleted ones, and the
/// revision up to which they are complete.
#[derive(Debug)]
pub(crate) struct RowCache {
    prefix: &'static str,
    revision: Revision,
    rows: BTreeMap<Key, Row>,
}

impl RowCache {
    /// Creates an empty cache of the rows whose keys start with `prefix`.
    pub(crate) fn new(prefix: &'static str) -> RowCache {
        RowCache { prefix, revision: Revision::ABSENT, rows: BTreeMap::new() }
    }

    /// Reads the rows that changed since the last refresh, keeps them, and returns them;
    /// the first refresh reads all. A deleted row has no value.
    ///
    /// # Errors
    ///
    /// Returns the platform's error; the cache is then unchanged.
    pub(crate) fn refresh<T: Table>(&mut self, table: &T) -> Result<Vec<Row>, Error> {
        let scan = table.scan(self.prefix, self.revision)?;
        for row in &scan.rows {
            self.rows.insert(row.key.clone(), row.clone());
        }
        self.revision = scan.complete_through;
        Ok(scan.rows)
    }

    /// Returns the cached row of a key. A deleted row has a revision but no value; one that
    /// does not exist in the cache has neither ([`Revision::ABSENT`]).
    pub(crate) fn get(&self, key: &Key) -> Row {
        self.rows.get(key).cloned().unwrap_or(Row {
            key: key.clone(),
            revision: Revision::ABSENT,
            token: None,
            value: None,
        })
    }

    /// Returns the existing rows whose keys start with `prefix`, each with the rest of its
    /// key, ordered by key. `prefix` is matched from the start of the key, so it includes
    /// the cache's own prefix. Deleted rows are left out.
    pub(crate) fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Row)> {
        self.rows
            .values()
            .filter(|row| row.value.is_some())
            .filter_map(move |row| Some((row.key.after(prefix)?, row)))
    }
}
