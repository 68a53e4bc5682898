//! The jobs that wait, as the holder of the shard last wrote them.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use skylarkwick_connection::store::{
    self, Store,
    row::{self, BacklogRow, JobRow},
};
use skylarkwick_process::clock::{Boot, Clock};
use skylarkwick_request::job::Id;
use skylarkwick_version::moment::Moment;

/// Age up to which the list tells of all jobs that wait.
const FRESH: Duration = Duration::from_millis(1800);
/// Age up to which a read is used again.
const MAX_AGE: Duration = Duration::from_millis(500);

/// The last read, kept for a moment.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    read: Mutex<Option<(Moment, Arc<BacklogRow>)>>,
}

impl Backlog {
    /// Tells whether no task of a job that is not over has started.
    ///
    /// A job that is newer than the list waits; without a list nothing is
    /// known, and the job is taken as running.
    pub(super) fn is_waiting<S: Store>(
        &self,
        store: &S,
        queue: &str,
        id: &Id,
        accepted_ms: u64,
    ) -> bool {
        self.get(store).is_ok_and(|row| {
            let waits = |ids: &Vec<String>| ids.iter().any(|other| other == id.as_str());
            accepted_ms >= row.written_ms || row.waiting.get(queue).is_some_and(waits)
        })
    }

    /// Counts the jobs of a queue that wait.
    ///
    /// While no holder keeps the list up to date, the jobs that were accepted
    /// after it was written are counted as well, from their rows.
    pub(super) fn count<S: Store>(&self, store: &S, queue: &str) -> Result<usize, store::Error> {
        let list = self.get(store)?;
        let listed = list.waiting.get(queue).map_or(0, Vec::len);
        let age = Duration::from_millis(store.clock_ms().saturating_sub(list.written_ms));
        match age <= FRESH {
            true => Ok(listed),
            false => Ok(listed + newer(store, queue, list.written_ms)?),
        }
    }

    fn get<S: Store>(&self, store: &S) -> Result<Arc<BacklogRow>, store::Error> {
        let now = Boot.now();
        let kept = self.read.lock().unwrap_or_else(PoisonError::into_inner).clone();
        match kept {
            Some((at, row)) if now.since(at) < MAX_AGE => Ok(row),
            _ => {
                let (row, _) = store::read_one(store, &row::backlog_key(row::SHARD))?;
                let value = row.value.as_deref().map(row::decode::<BacklogRow>);
                let row = Arc::new(match value {
                    None => BacklogRow::default(),
                    Some(Ok(row)) => row,
                    Some(Err(error)) => return Err(store::Error::NotDone(error.to_string())),
                });
                *self.read.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some((now, Arc::clone(&row)));
                Ok(row)
            }
        }
    }
}

/// Counts the jobs of a queue that are not over and were accepted after a time.
fn newer<S: Store>(store: &S, queue: &str, written_ms: u64) -> Result<usize, store::Error> {
    let page = store::read_partition(store, row::JOBS, queue)?;
    let is_newer = |value: &Vec<u8>| match row::decode(value) {
        Ok(JobRow::Active { accepted_ms, .. }) => accepted_ms > written_ms,
        // A row that can't be read is no job that waits.
        Ok(JobRow::Finished { .. }) | Err(_) => false,
    };
    Ok(page
        .rows
        .iter()
        .filter_map(|row| row.value.as_ref())
        .filter(|value| is_newer(value))
        .count())
}
