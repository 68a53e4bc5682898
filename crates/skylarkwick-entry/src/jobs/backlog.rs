//! Waiting jobs, read from the lists that the holders of the shards write to the store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use skylarkwick_connection::store::{
    self, Row, Store,
    keyspace::{self, Keyspace},
    row::{self, BacklogRow, JobRow},
};
use skylarkwick_process::clock::{Boot, Clock};
use skylarkwick_request::{intake::Publication, job::Id};
use skylarkwick_version::{
    moment::Moment,
    sharding::{ShardId, Sharding},
};

/// Age up to which a list counts as complete, from when the shard's holder wrote it.
const MAX_LIST_AGE: Duration = Duration::from_millis(1800);
/// Time, from a read of a list, for which it is used without reading it again.
const CACHE_TTL: Duration = Duration::from_millis(500);

/// Cache of the lists of waiting jobs of the shards that were asked for: when each was read,
/// and its row.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    cache: Mutex<BTreeMap<ShardId, (Moment, Arc<BacklogRow>)>>,
}

impl Backlog {
    /// Returns whether no task of an unfinished job of this shard has started. `accepted_ms`
    /// is the time at which the job was accepted on the store's clock, in milliseconds.
    ///
    /// A job accepted after the list was written counts as waiting. If the list
    /// cannot be read, the job counts as running.
    pub(super) fn is_waiting<S: Store>(
        &self,
        store: &S,
        keyspace: Keyspace,
        queue: &str,
        id: &Id,
        accepted_ms: u64,
    ) -> bool {
        self.list(store, keyspace).is_ok_and(|row| {
            let contains_id = |ids: &Vec<String>| ids.iter().any(|other| other == id.as_str());
            accepted_ms >= row.written_ms || row.waiting.get(queue).is_some_and(contains_id)
        })
    }

    /// Returns the number of waiting jobs in a queue, or an error if the store does not
    /// respond or a list cannot be decoded.
    ///
    /// If the list of a shard is out of date because no holder writes it, the shard's
    /// unfinished jobs accepted since then are counted from their rows and added.
    pub(super) fn count<S: Store>(
        &self,
        store: &S,
        sharding: Sharding,
        queue: &str,
    ) -> Result<usize, store::Error> {
        let mut count = 0;
        for (shard, list) in self.lists(store, sharding)? {
            count += list.waiting.get(queue).map_or(0, Vec::len);
            let age = Duration::from_millis(store.clock_ms().saturating_sub(list.written_ms));
            if age > MAX_LIST_AGE {
                let part = Keyspace::new(sharding, shard).part(queue);
                count += count_newer(store, &part, list.written_ms)?;
            }
        }
        Ok(count)
    }

    /// Returns what the holder of a shard has published of its room.
    pub(super) fn publication<S: Store>(
        &self,
        store: &S,
        keyspace: Keyspace,
    ) -> Result<Publication, store::Error> {
        let list = self.list(store, keyspace)?;
        Ok(Publication { written_ms: list.written_ms, room: list.room })
    }

    /// Returns the list of a shard, read at most [`CACHE_TTL`] ago. It is empty if no holder
    /// has written one.
    fn list<S: Store>(
        &self,
        store: &S,
        keyspace: Keyspace,
    ) -> Result<Arc<BacklogRow>, store::Error> {
        if let Some(list) = self.cached(keyspace.shard()) {
            return Ok(list);
        }
        let (row, _) = store::read_one(store, &keyspace.backlog())?;
        self.remember(keyspace.shard(), Some(&row))
    }

    /// Returns the lists of all shards, in one read unless each was read at most
    /// [`CACHE_TTL`] ago.
    fn lists<S: Store>(
        &self,
        store: &S,
        sharding: Sharding,
    ) -> Result<BTreeMap<ShardId, Arc<BacklogRow>>, store::Error> {
        let cached = sharding.shards().map(|shard| Some((shard, self.cached(shard)?))).collect();
        if let Some(cached) = cached {
            return Ok(cached);
        }
        let page = store::read_partition(store, keyspace::BACKLOG, "")?;
        let list = |shard| {
            let key = Keyspace::new(sharding, shard).backlog();
            let row = page.rows.iter().find(|row| row.key == key);
            Ok((shard, self.remember(shard, row)?))
        };
        sharding.shards().map(list).collect()
    }

    /// Returns the list of a shard if it was read at most [`CACHE_TTL`] ago.
    fn cached(&self, shard: ShardId) -> Option<Arc<BacklogRow>> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let (at, list) = cache.get(&shard)?;
        (Boot.now().since(*at) < CACHE_TTL).then(|| Arc::clone(list))
    }

    /// Decodes the row of a shard's list and keeps it in the cache.
    fn remember(&self, shard: ShardId, row: Option<&Row>) -> Result<Arc<BacklogRow>, store::Error> {
        let value = row.and_then(|row| row.value.as_deref());
        let list = value.map(row::decode::<BacklogRow>).transpose();
        let list = list.map_err(|error| store::Error::NotDone(error.to_string()))?;
        let list = Arc::new(list.unwrap_or_default());
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.insert(shard, (Boot.now(), Arc::clone(&list)));
        Ok(list)
    }
}

/// Counts the unfinished jobs of a partition that were accepted after `written_ms` on the
/// store's clock, in milliseconds.
fn count_newer<S: Store>(store: &S, part: &str, written_ms: u64) -> Result<usize, store::Error> {
    let page = store::read_partition(store, keyspace::JOBS, part)?;
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
