//! Waiting jobs, read from the list that the shard's holder writes to the store.

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

/// Age up to which the list counts as complete, from when the shard's holder wrote it.
const MAX_LIST_AGE: Duration = Duration::from_millis(1800);
/// Time, from a read of the list, for which it is used without reading it again.
const CACHE_TTL: Duration = Duration::from_millis(500);

/// Cache of the list of waiting jobs: when it was read, and its row; `None` until the first
/// read.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    cache: Mutex<Option<(Moment, Arc<BacklogRow>)>>,
}

impl Backlog {
    /// Returns whether no task of an unfinished job has started. `accepted_ms` is the time at
    /// which the job was accepted, in Unix milliseconds.
    ///
    /// A job accepted after the list was written counts as waiting. If the list
    /// cannot be read, the job counts as running.
    pub(super) fn is_waiting<S: Store>(
        &self,
        store: &S,
        queue: &str,
        id: &Id,
        accepted_ms: u64,
    ) -> bool {
        self.get(store).is_ok_and(|row| {
            let contains_id = |ids: &Vec<String>| ids.iter().any(|other| other == id.as_str());
            accepted_ms >= row.written_ms || row.waiting.get(queue).is_some_and(contains_id)
        })
    }

    /// Returns the number of waiting jobs in a queue, or an error if the store does not
    /// respond or the list cannot be decoded.
    ///
    /// If the list is out of date because no holder writes it, the unfinished
    /// jobs accepted since then are counted from their rows and added.
    pub(super) fn count<S: Store>(&self, store: &S, queue: &str) -> Result<usize, store::Error> {
        let list = self.get(store)?;
        let listed = list.waiting.get(queue).map_or(0, Vec::len);
        let age = Duration::from_millis(store.clock_ms().saturating_sub(list.written_ms));
        match age <= MAX_LIST_AGE {
            true => Ok(listed),
            false => Ok(listed + count_newer(store, queue, list.written_ms)?),
        }
    }

    /// Returns the list of waiting jobs, read at most [`CACHE_TTL`] ago. The list is empty if
    /// no holder has written one.
    fn get<S: Store>(&self, store: &S) -> Result<Arc<BacklogRow>, store::Error> {
        let now = Boot.now();
        let cached = self.cache.lock().unwrap_or_else(PoisonError::into_inner).clone();
        match cached {
            Some((at, row)) if now.since(at) < CACHE_TTL => Ok(row),
            _ => {
                let (row, _) = store::read_one(store, &row::backlog_key(row::SHARD))?;
                let value = row.value.as_deref().map(row::decode::<BacklogRow>);
                let row = Arc::new(match value {
                    None => BacklogRow::default(),
                    Some(Ok(row)) => row,
                    Some(Err(error)) => return Err(store::Error::NotDone(error.to_string())),
                });
                *self.cache.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some((now, Arc::clone(&row)));
                Ok(row)
            }
        }
    }
}

/// Counts the unfinished jobs of a queue that were accepted after `written_ms`, in Unix
/// milliseconds.
fn count_newer<S: Store>(store: &S, queue: &str, written_ms: u64) -> Result<usize, store::Error> {
    let page = store::read_partition(store, row::JOBS, queue)?;
    let is_newer = |value: &Vec<u8>| match row::decode(value) {
        Ok(JobRow::Active { accepted_ms, .. }) => accepted_ms > written_ms,
        // A row that cannot be decoded does not count as a waiting job.
        Ok(JobRow::Finished { .. }) | Err(_) => false,
    };
    Ok(page
        .rows
        .iter()
        .filter_map(|row| row.value.as_ref())
        .filter(|value| is_newer(value))
        .count())
}
