//! Tables of persistent state, and the keys of the rows of one shard.
//!
//! Rows of jobs are kept in partitions of their shard, so that the store's limit of
//! transactions for each partition grows with the site, and a new holder reads no rows of
//! other shards. A site with a single shard has one partition for each queue. See
//! `docs/DESIGN.md`, section "Rows".

use std::sync::Arc;

use skylarkwick_version::sharding::{ShardId, Sharding};

use super::{
    Error, Key, Store,
    row::{self, ShardingRow},
};

/// Table of jobs, active and finished ([`row::JobRow`]); the partition is the queue with the
/// shard, the key is the job's identifier.
pub const JOBS: &str = "job";
/// Table of the progress of jobs ([`row::ProgressRow`]); same partitions and keys as
/// [`JOBS`].
pub const PROGRESS: &str = "progress";
/// Table of the leases of shards ([`row::LeaseRow`]); the key is the shard.
pub const LEASES: &str = "lease";
/// Table of fences, each written only by a new holder of its shard. The revision
/// of the row is the holder's fencing token. Writes of the holder for the shard
/// are conditional on it, so that a late write of an earlier holder is refused. The
/// key is the shard.
pub const FENCES: &str = "fence";
/// Table of the jobs of each queue of which no task is known to have started
/// ([`row::BacklogRow`]); the key is the shard.
pub const BACKLOG: &str = "backlog";
/// Table of the progress of waves ([`row::WaveRow`]); the key is the wave's number with the
/// shard.
pub const WAVES: &str = "round";
/// Table of the sizes of pools before any host was moved between them
/// ([`row::PoolSizesRow`]); the key is the shard.
pub const POOL_SIZES: &str = "home";
/// Table of the incarnations of servers that a holder hands on to the next
/// ([`row::IncarnationsRow`]); the key is the shard.
pub const INCARNATIONS: &str = "incarnation";
/// Table of the parts of the workspaces' quotas that the shards may use
/// ([`row::AllotmentRow`]); the key is the workspace.
pub const ALLOTMENTS: &str = "allotment";
/// Table of the entry hosts that take submissions from others ([`row::EntryRow`]); the key is the
/// entry host.
pub const ENTRIES: &str = "entry";
/// Table of the last order for each host ([`row::HostOrderRow`]); the key is the host.
pub const HOST_ORDERS: &str = "order";

/// Returns the key of the row with the largest number of cores, an `f64`, among the entry
/// hosts that may hold a shard; the strongest take vacant shards first.
pub fn max_cores_key() -> Key {
    Key::new("strength", "", "0")
}

/// Returns the key of the row with the division of the site into shards
/// ([`row::ShardingRow`]).
pub fn sharding_key() -> Key {
    Key::new("sharding", "", "0")
}

/// Returns the key of a host's row in [`HOST_ORDERS`].
pub fn host_order_key(host: &str) -> Key {
    Key::new(HOST_ORDERS, "", host)
}

/// Reads the division of the site into shards; `None` if none is stored yet.
///
/// # Errors
///
/// Returns an error if the store gave no usable response, or if a later release has stored
/// what this one can't decode.
pub fn read_sharding<S: Store>(store: &S) -> Result<Option<Sharding>, Error> {
    let (row, _) = super::read_one(store, &sharding_key())?;
    let decoded = row.value.as_deref().map(row::decode::<ShardingRow>).transpose();
    let row = decoded.map_err(|error| Error::NotDone(format!("the row of shards: {error}")))?;
    Ok(row.map(|row| Sharding::new(row.count, row.seed)))
}

/// The rows of one shard of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keyspace {
    sharding: Sharding,
    shard: ShardId,
}

impl Keyspace {
    /// The rows of the only shard of an undivided site.
    pub const SINGLE: Keyspace = Keyspace { sharding: Sharding::SINGLE, shard: ShardId(0) };

    /// Creates the keyspace of one shard.
    pub const fn new(sharding: Sharding, shard: ShardId) -> Keyspace {
        Keyspace { sharding, shard }
    }

    /// Creates the keyspace of the shard that owns a job.
    pub fn of_job(sharding: Sharding, id: &str) -> Keyspace {
        Keyspace::new(sharding, sharding.owner(id))
    }

    /// Returns the shard.
    pub const fn shard(self) -> ShardId {
        self.shard
    }

    /// Returns the division of the site.
    pub const fn sharding(self) -> Sharding {
        self.sharding
    }

    /// Returns whether the shard owns the host or job with this name.
    pub fn owns(self, name: &str) -> bool {
        self.sharding.owner(name) == self.shard
    }

    /// Returns the end of the names of the shard's partitions; empty if the site is undivided.
    pub fn part_suffix(self) -> String {
        match self.sharding.count() {
            1 => String::new(),
            _ => format!("/{}", self.shard),
        }
    }

    /// Returns the partition of a queue's jobs.
    pub fn part(self, queue: &str) -> String {
        format!("{queue}{}", self.part_suffix())
    }

    /// Returns the queue of a partition of this shard; `None` for one of another shard.
    pub fn queue(self, part: &str) -> Option<Arc<str>> {
        part.strip_suffix(&*self.part_suffix()).map(Arc::from)
    }

    /// Returns the key of a job's row in [`JOBS`].
    pub fn job(self, queue: &str, id: &str) -> Key {
        Key::new(JOBS, &self.part(queue), id)
    }

    /// Returns the key of a job's row in [`PROGRESS`].
    pub fn progress(self, queue: &str, id: &str) -> Key {
        Key::new(PROGRESS, &self.part(queue), id)
    }

    /// Returns the key of the shard's row in [`LEASES`].
    pub fn lease(self) -> Key {
        self.shard_key(LEASES)
    }

    /// Returns the key of the shard's row in [`FENCES`].
    pub fn fence(self) -> Key {
        self.shard_key(FENCES)
    }

    /// Returns the key of the shard's row in [`BACKLOG`].
    pub fn backlog(self) -> Key {
        self.shard_key(BACKLOG)
    }

    /// Returns the key of the shard's row in [`POOL_SIZES`].
    pub fn pool_sizes(self) -> Key {
        self.shard_key(POOL_SIZES)
    }

    /// Returns the key of the shard's row in [`INCARNATIONS`].
    pub fn incarnations(self) -> Key {
        self.shard_key(INCARNATIONS)
    }

    /// Returns the key of the row in [`WAVES`] with the shard's progress of a wave.
    pub fn wave(self, number: u64) -> Key {
        Key::new(WAVES, "", &format!("{number}{}", self.part_suffix()))
    }

    /// Returns the key of the shard's row in a table that has one for each shard.
    fn shard_key(self, table: &str) -> Key {
        Key::new(table, "", &self.shard.to_string())
    }
}
