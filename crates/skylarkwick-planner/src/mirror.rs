//! A copy of the rows under a prefix, kept fresh by reading what changed.

use std::collections::BTreeMap;

use skylarkwick_connection::platform::{Fault, Key, Row, Table};
use skylarkwick_version::revision::Revision;

/// Rows under a prefix.
#[derive(Debug)]
pub(crate) struct Mirror {
    prefix: &'static str,
    through: Revision,
    rows: BTreeMap<Key, Row>,
}

impl Mirror {
    pub(crate) fn new(prefix: &'static str) -> Mirror {
        Mirror { prefix, through: Revision::ABSENT, rows: BTreeMap::new() }
    }

    /// Reads what changed since the last time, and returns it.
    pub(crate) fn refresh<T: Table>(&mut self, table: &T) -> Result<Vec<Row>, Fault> {
        let scan = table.scan(self.prefix, self.through)?;
        for row in &scan.rows {
            self.rows.insert(row.key.clone(), row.clone());
        }
        self.through = scan.through;
        Ok(scan.rows)
    }

    /// Returns a row, absent where there is none.
    pub(crate) fn get(&self, key: &Key) -> Row {
        self.rows.get(key).cloned().unwrap_or(Row {
            key: key.clone(),
            revision: Revision::ABSENT,
            token: None,
            value: None,
        })
    }

    /// Returns the rows under a longer prefix, with what follows it in their keys.
    pub(crate) fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Row)> {
        self.rows
            .values()
            .filter(|row| row.value.is_some())
            .filter_map(move |row| Some((row.key.after(prefix)?, row)))
    }
}
