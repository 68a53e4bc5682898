//! A cache of the rows under a key prefix, updated by incremental scans.

use std::collections::BTreeMap;

use skylarkwick_connection::platform::{Error, Key, Row, Table};
use skylarkwick_version::revision::Revision;

/// The rows under a key prefix as of the last refresh.
#[derive(Debug)]
pub(crate) struct RowCache {
    prefix: &'static str,
    revision: Revision,
    rows: BTreeMap<Key, Row>,
}

impl RowCache {
    pub(crate) fn new(prefix: &'static str) -> RowCache {
        RowCache { prefix, revision: Revision::ABSENT, rows: BTreeMap::new() }
    }

    /// Reads the rows that changed since the last refresh and returns them.
    pub(crate) fn refresh<T: Table>(&mut self, table: &T) -> Result<Vec<Row>, Error> {
        let scan = table.scan(self.prefix, self.revision)?;
        for row in &scan.rows {
            self.rows.insert(row.key.clone(), row.clone());
        }
        self.revision = scan.complete_through;
        Ok(scan.rows)
    }

    /// Returns the row of a key; one without a value if the row does not exist.
    pub(crate) fn get(&self, key: &Key) -> Row {
        self.rows.get(key).cloned().unwrap_or(Row {
            key: key.clone(),
            revision: Revision::ABSENT,
            token: None,
            value: None,
        })
    }

    /// Returns the existing rows under a longer prefix, each with the rest of its
    /// key.
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
