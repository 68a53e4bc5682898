//! Removes the rows of jobs that were over long ago, so that the store and the
//! start of a holder cost the same however many jobs there have been.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    self, Commit, Fault, Row, Store, Transaction,
    row::{self, JobRow},
};
use skylarkwick_process::duty::{Duty, StopSignal};
use skylarkwick_version::moment::millis;
use slog::{Logger, info, warn};

/// Time between two sweeps.
const PERIOD: Duration = Duration::from_secs(60);
/// Rows removed at once; the platform takes a hundred conditions and removals
/// together, and a row needs both.
const MAX_ROWS: usize = 50;

/// Starts the duty; rows are kept for `keep` after their job was over.
pub(super) fn start<S: Store>(
    store: S,
    keep: Duration,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("sweep", move || {
        while !stop.sleep(PERIOD) {
            match remove_expired(&store, keep, &log) {
                Ok(0) => {}
                Ok(removed) => info!(log, "old rows removed"; "rows" => removed),
                Err(error) => warn!(log, "old rows not removed"; "error" => %error),
            }
        }
    })
}

/// Removes old rows; returns how many.
///
/// # Errors
///
/// Returns a fault when the store does not answer; the next sweep removes the
/// rest.
pub fn remove_expired<S: Store>(store: &S, keep: Duration, log: &Logger) -> Result<usize, Fault> {
    let page = store::read_table(store, row::JOBS)?;
    let limit_ms = page.now_ms.saturating_sub(millis(keep));
    let mut parts: BTreeMap<&Arc<str>, Vec<&Row>> = BTreeMap::new();
    for row in page.rows.iter().filter(|row| is_older(row, limit_ms, log)) {
        parts.entry(&row.key.part).or_default().push(row);
    }
    let mut removed = 0;
    for rows in parts.values().flat_map(|rows| rows.chunks(MAX_ROWS)) {
        let change = rows.iter().fold(Transaction::default(), |change, row| {
            change.require(row.key.clone(), row.revision).remove(row.key.clone())
        });
        match store.commit(&change)? {
            Commit::Applied(_) => removed += rows.len(),
            Commit::Conflict(_) => info!(log, "old rows have changed"; "rows" => rows.len()),
        }
    }
    Ok(removed)
}

/// Tells whether a row's job was over before a time; a row that can't be read is
/// left to the release that can.
fn is_older(row: &Row, limit_ms: u64, log: &Logger) -> bool {
    match row.value.as_deref().map(row::decode::<JobRow>) {
        Some(Ok(JobRow::Over { ended_ms, .. })) => ended_ms < limit_ms,
        Some(Err(error)) => {
            warn!(log, "job unreadable"; "job" => &*row.key.name, "error" => %error);
            false
        }
        Some(Ok(JobRow::Live { .. })) | None => false,
    }
}
