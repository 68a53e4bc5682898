//! Status of a site's shards, read from the store: who holds each, how old its lease is and
//! how many jobs wait. For people on call; see `docs/OPERATIONS.md`, section "Shards at a
//! glance".

use std::{collections::BTreeMap, fmt, time::Duration};

use skylarkwick_connection::store::{
    self, Key, Page, Store,
    keyspace::{self, Keyspace},
    row::{self, BacklogRow, LeaseRow},
};
use skylarkwick_version::{
    shard_lease,
    sharding::{ShardId, Sharding},
};

/// Age of a list of waiting jobs above which its shard's holder does not keep it up to date.
const MAX_BACKLOG_AGE: Duration = Duration::from_secs(5);

/// The status of every shard of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// The shards, in the order of their numbers.
    pub shards: Vec<Shard>,
}

/// The status of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// Its number.
    pub id: ShardId,
    /// Its lease.
    pub lease: Lease,
    /// Its waiting jobs; `None` if no holder has written a list that can be read.
    pub backlog: Option<Backlog>,
}

/// The lease of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lease {
    /// No planner has held the shard yet.
    Unclaimed,
    /// The last holder has released it.
    Released,
    /// A planner holds or held it.
    Held(Holder),
    /// The row can't be decoded.
    Invalid,
}

/// The holder of a shard's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of its entry host.
    pub entry: String,
    /// Number of holders that the shard has had with this one.
    pub number: u64,
    /// Its fencing token.
    pub fencing: u64,
    /// Time since its last renewal, on the store's clock.
    pub age: Duration,
}

/// The waiting jobs of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Number of jobs of which no task has started, by queue.
    pub waiting: BTreeMap<String, usize>,
    /// Time since the holder wrote the list, on the store's clock.
    pub age: Duration,
}

impl Site {
    /// Reads the status; `None` if the site is not divided into shards yet, because no planner
    /// has started.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gave no usable response.
    pub fn read<S: Store>(store: &S) -> Result<Option<Site>, store::Error> {
        let Some(sharding) = keyspace::read_sharding(store)? else {
            return Ok(None);
        };
        let leases = store::read_partition(store, keyspace::LEASES, "")?;
        let backlogs = store::read_partition(store, keyspace::BACKLOG, "")?;
        let shard = |id| Shard::new(sharding, id, &leases, &backlogs);
        Ok(Some(Site { shards: sharding.shards().map(shard).collect() }))
    }

    /// Returns whether a planner holds every shard and keeps its list of waiting jobs up to
    /// date.
    pub fn is_healthy(&self) -> bool {
        self.shards.iter().all(Shard::is_healthy)
    }
}

impl Shard {
    /// Returns the status of a shard by the rows of all shards.
    fn new(sharding: Sharding, id: ShardId, leases: &Page, backlogs: &Page) -> Shard {
        let keyspace = Keyspace::new(sharding, id);
        let lease = match find(leases, &keyspace.lease()).map(row::decode::<LeaseRow>) {
            None => Lease::Unclaimed,
            Some(Err(_)) => Lease::Invalid,
            Some(Ok(row)) if row.holder.is_empty() => Lease::Released,
            Some(Ok(row)) => Lease::Held(Holder {
                entry: row.holder,
                number: row.number,
                fencing: row.fencing,
                age: age(leases, row.renewed_ms),
            }),
        };
        let backlog = find(backlogs, &keyspace.backlog());
        let backlog = backlog.and_then(|value| row::decode::<BacklogRow>(value).ok());
        let backlog = backlog.map(|row| Backlog {
            age: age(backlogs, row.written_ms),
            waiting: row.waiting.into_iter().map(|(queue, ids)| (queue, ids.len())).collect(),
        });
        Shard { id, lease, backlog }
    }

    /// Returns whether a planner holds the shard and keeps its list of waiting jobs up to date.
    pub fn is_healthy(&self) -> bool {
        let is_listed = self.backlog.as_ref().is_some_and(|list| list.age < MAX_BACKLOG_AGE);
        is_listed && self.lease.is_valid()
    }
}

impl Lease {
    /// Returns whether the lease has a holder and has not expired.
    fn is_valid(&self) -> bool {
        matches!(self, Lease::Held(holder) if holder.age < shard_lease::LEASE_DURATION)
    }
}

/// Returns the value of a row of a page; `None` if it is absent.
fn find<'a>(page: &'a Page, key: &Key) -> Option<&'a [u8]> {
    page.rows.iter().find(|row| row.key == *key).and_then(|row| row.value.as_deref())
}

/// Returns how long ago a time on the store's clock was when a page was read.
fn age(page: &Page, time_ms: u64) -> Duration {
    Duration::from_millis(page.now_ms.saturating_sub(time_ms))
}

impl fmt::Display for Site {
    /// Writes a line for each shard, and a last one with their number and that of those that
    /// need attention.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for shard in &self.shards {
            writeln!(f, "{shard}")?;
        }
        let unhealthy = self.shards.iter().filter(|shard| !shard.is_healthy()).count();
        writeln!(f, "shards: {}, {unhealthy} need attention", self.shards.len())
    }
}

impl fmt::Display for Shard {
    /// Writes the lease and the waiting jobs on one line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "shard {}: {}; ", self.id, self.lease)?;
        match &self.backlog {
            None => write!(f, "no list of waiting jobs"),
            Some(Backlog { waiting, age }) => {
                let jobs: usize = waiting.values().sum();
                write!(f, "{jobs} jobs wait, listed {} ms ago", age.as_millis())?;
                let queues = waiting.iter().filter(|(_, jobs)| **jobs > 0);
                queues.into_iter().try_for_each(|(queue, jobs)| write!(f, ", {queue} {jobs}"))
            }
        }
    }
}

impl fmt::Display for Lease {
    /// Writes the state of the lease.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Lease::Unclaimed => write!(f, "never held"),
            Lease::Released => write!(f, "released"),
            Lease::Invalid => write!(f, "lease row invalid"),
            Lease::Held(Holder { entry, number, fencing, age }) => {
                let state = if self.is_valid() { "held" } else { "lease expired, last held" };
                let age = age.as_millis();
                write!(
                    f,
                    "{state} by {entry}, holder {number}, fencing {fencing}, renewed {age} ms ago"
                )
            }
        }
    }
}
