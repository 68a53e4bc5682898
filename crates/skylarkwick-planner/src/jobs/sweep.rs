//! Removes the rows of jobs that finished long ago, so that the size of the store
//! and the start of a holder do not grow with the number of past jobs.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    self, Commit, Row, Store, TableReader, Transaction,
    keyspace::{self, Keyspace},
    row::{self, JobRow},
};
use skylarkwick_process::duty::{Duty, StopSignal};
use skylarkwick_version::moment::millis;
use slog::{Logger, info, warn};

/// Pause before each sweep, a pass that removes the expired rows of finished jobs; counted
/// from the end of the previous sweep.
const PERIOD: Duration = Duration::from_secs(60);
/// Maximum number of rows in one transaction; the platform limits conditions and removals
/// to a hundred in total, and each row needs both.
const MAX_ROWS: usize = 50;

/// Starts the duty that removes the rows of a shard's jobs that finished longer than `retention` ago,
/// after a pause of [`PERIOD`] each time, until the stop signal. Errors are only logged.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn start<S: Store>(
    store: S,
    keyspace: Keyspace,
    retention: Duration,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("sweep", move || {
        while !stop.sleep(PERIOD) {
            match remove_expired(&store, keyspace, retention, &log) {
                Ok(0) => {}
                Ok(removed) => info!(log, "expired rows removed"; "rows" => removed),
                Err(error) => warn!(log, "expired rows not removed"; "error" => %error),
            }
        }
    })
}

/// Removes the rows of a shard's jobs that finished longer than `retention` ago; returns their
/// number. A transaction removes at most `MAX_ROWS` (50) rows of one queue; if one of them
/// has changed since it was read, all of them stay, and the next sweep reads them again.
///
/// # Errors
///
/// Returns the store's error if it does not respond; rows may have been removed until
/// then, and the next sweep removes the remaining ones.
pub fn remove_expired<S: Store>(
    store: &S,
    keyspace: Keyspace,
    retention: Duration,
    log: &Logger,
) -> Result<usize, store::Error> {
    let mut reader = TableReader::with_part_suffix(keyspace::JOBS, &keyspace.part_suffix());
    reader.read(store)?;
    let page = reader.into_page();
    let cutoff_ms = page.now_ms.saturating_sub(millis(retention));
    let mut parts: BTreeMap<&Arc<str>, Vec<&Row>> = BTreeMap::new();
    for row in page.rows.iter().filter(|row| is_expired(row, cutoff_ms, log)) {
        parts.entry(&row.key.part).or_default().push(row);
    }
    let mut removed = 0;
    for rows in parts.values().flat_map(|rows| rows.chunks(MAX_ROWS)) {
        let change = rows.iter().fold(Transaction::default(), |change, row| {
            change.require(row.key.clone(), row.revision).remove(row.key.clone())
        });
        match store.commit(&change)? {
            Commit::Applied(_) => removed += rows.len(),
            Commit::Conflict(_) => {
                info!(log, "expired rows not removed: they have changed"; "rows" => rows.len())
            }
        }
    }
    Ok(removed)
}

/// Returns whether a row's job finished before `cutoff_ms` on the store's clock; false if
/// the job is active or the row was removed. A row that this release can't decode is logged
/// and left to one that can.
fn is_expired(row: &Row, cutoff_ms: u64, log: &Logger) -> bool {
    match row.value.as_deref().map(row::decode::<JobRow>) {
        Some(Ok(JobRow::Finished { ended_ms, .. })) => ended_ms < cutoff_ms,
        Some(Err(error)) => {
            warn!(log, "job row not decoded"; "job" => &*row.key.name, "error" => %error);
            false
        }
        Some(Ok(JobRow::Active { .. })) | None => false,
    }
}
