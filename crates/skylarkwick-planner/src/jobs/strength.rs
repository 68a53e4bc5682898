//! Processor time of this entry host for shards, compared with that of the strongest one.
//!
//! Holding a shard needs more processor time than anything else that an entry host does. So
//! a host leaves vacant shards for a while to those that have more cores left, and the shards
//! of a site spread over its strongest hosts. See `docs/DESIGN.md`, section "Shards".

use std::time::Duration;

use skylarkwick_connection::store::{self, Store, Transaction, keyspace, row};
use skylarkwick_version::revision::Revision;
use slog::{Logger, warn};

/// Ratio of the largest published number of processor cores to what this host has left above
/// which this host counts as weaker.
const MIN_CORES_RATIO: f64 = 1.3;
/// Time for which a host that lacks all of the largest number of cores would leave a vacant
/// shard to others; one that lacks a part waits for as large a part of this.
const MISSING_CORES_DELAY: Duration = Duration::from_millis(2000);
/// Longest time for which a weaker host leaves a vacant shard to others.
const MAX_WEAKER_DELAY: Duration = Duration::from_millis(1500);
/// Time for which even the strongest host waits before it acquires a shard that never had a
/// holder, so that all hosts can publish their processor cores.
const FIRST_HOLDER_DELAY: Duration = Duration::from_millis(700);
/// Maximum number of attempts to publish the cores of this host while other hosts publish
/// theirs; each raises the figure.
const MAX_PUBLISH_ATTEMPTS: u32 = 10;

/// The processor cores of this host, and the row in the store with the largest number of all
/// hosts.
#[derive(Clone, Debug)]
pub(super) struct Strength<S> {
    store: S,
    cores: f64,
    log: Logger,
}

impl<S: Store> Strength<S> {
    /// Creates the strength of a host with this many cores; writes nothing yet.
    pub(super) fn new(store: S, cores: f64, log: Logger) -> Strength<S> {
        Strength { store, cores, log }
    }

    /// Returns how long this host leaves a vacant shard to others: the longer, the more the
    /// largest published number of cores exceeds what this host has left for it beside the
    /// `held` shards that it holds, else [`FIRST_HOLDER_DELAY`] if `is_first`, else zero.
    ///
    /// `is_first` is whether the shard never had a holder; the cores of other hosts may not
    /// be published yet then. A maximum of cores that can't be read counts as zero.
    pub(super) fn acquire_delay(&self, held: u32, is_first: bool) -> Duration {
        let max_cores = self.max_cores().unwrap_or_default();
        let cores = self.cores / f64::from(held + 1);
        let first_delay = if is_first { FIRST_HOLDER_DELAY } else { Duration::ZERO };
        match max_cores > cores * MIN_CORES_RATIO {
            true => {
                let missing = 1.0 - (cores / max_cores).clamp(0.0, 1.0);
                MISSING_CORES_DELAY.mul_f64(missing).min(MAX_WEAKER_DELAY).max(first_delay)
            }
            false => first_delay,
        }
    }

    /// Stores the cores of this host if they exceed the stored maximum of all hosts; does
    /// nothing if that can't be read or decoded. All hosts may do so at once, so the write
    /// is conditional on the row that was read, and a conflict reads it again. Any other
    /// failure is only logged.
    pub(super) fn publish_cores(&self) {
        for _ in 0..MAX_PUBLISH_ATTEMPTS {
            let Some((revision, max_cores)) = self.read_max_cores() else {
                return;
            };
            if self.cores <= max_cores {
                return;
            }
            let key = keyspace::max_cores_key();
            let value = row::encode(&self.cores);
            let transaction = Transaction::default().replace(key, revision, value);
            match store::commit_with_retry(&self.store, &transaction) {
                store::Outcome::Applied(_) => return,
                store::Outcome::Conflict(_) => {}
                store::Outcome::NotDone(error) | store::Outcome::Unknown(error) => {
                    warn!(self.log, "core count not stored"; "error" => error);
                    return;
                }
            }
        }
        warn!(self.log, "core count not stored"; "error" => "other hosts kept changing it");
    }

    /// Returns the largest published number of cores, as [`Self::read_max_cores`] does.
    fn max_cores(&self) -> Option<f64> {
        self.read_max_cores().map(|(_, max_cores)| max_cores)
    }

    /// Returns the revision of the row with the largest published number of cores, and that
    /// number, zero if there is none; `None` if it can't be read or decoded, which is logged.
    fn read_max_cores(&self) -> Option<(Revision, f64)> {
        let (row, _) = store::read_one(&self.store, &keyspace::max_cores_key())
            .inspect_err(|error| warn!(self.log, "core count not read"; "error" => %error))
            .ok()?;
        let Some(value) = row.value.as_deref() else {
            return Some((row.revision, 0.0));
        };
        row::decode::<f64>(value)
            .inspect_err(|error| warn!(self.log, "core count not decoded"; "error" => %error))
            .ok()
            .map(|max_cores| (row.revision, max_cores))
    }
}
