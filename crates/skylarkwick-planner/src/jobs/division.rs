//! Divides the site into shards once, when it starts for the first time.

use std::time::Duration;

use skylarkwick_connection::{
    control::{Hosts, Registry},
    store::{
        self, Store, Transaction,
        keyspace::{self, Keyspace},
        row::{self, ShardingRow},
    },
};
use skylarkwick_process::duty::StopSignal;
use skylarkwick_request::shard::input::{Host, ServerInfo};
use skylarkwick_version::{revision::Revision, sharding::Sharding};
use slog::{Logger, info, warn};

use super::{Clients, watch};

/// Pause after a failed attempt to read or store the division.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the stored division of the site into shards, or stores one first by the number of
/// the site's hosts. Blocks until the store and the platform have answered; returns `None` on
/// the stop signal.
///
/// A site that an earlier release has scheduled stays undivided, because the rows of its jobs
/// are those of a single shard.
pub(super) fn divide<S, O, H, D>(
    clients: &Clients<S, O, H, D>,
    log: &Logger,
    stop: &StopSignal,
) -> Option<Sharding>
where
    S: Store,
    H: Hosts,
    D: Registry,
{
    while !stop.is_requested() {
        match try_divide(clients) {
            Ok(Some(sharding)) => {
                info!(log, "shards known"; "shards" => sharding.count());
                return Some(sharding);
            }
            // Another process has just stored one.
            Ok(None) => continue,
            Err(error) => warn!(log, "shards not known"; "error" => %error),
        }
        stop.sleep(RETRY_DELAY);
    }
    None
}

/// Makes one attempt to read the division or to store one; `None` if another process stored
/// one meanwhile.
///
/// # Errors
///
/// Returns an error if the store or the platform gave no usable response.
fn try_divide<S: Store, O, H: Hosts, D: Registry>(
    clients: &Clients<S, O, H, D>,
) -> Result<Option<Sharding>, store::Error> {
    let Clients { store, hosts, registry, .. } = clients;
    if let Some(stored) = keyspace::read_sharding(store)? {
        return Ok(Some(stored));
    }
    let (earlier_lease, _) = store::read_one(store, &Keyspace::SINGLE.lease())?;
    let sharding = match earlier_lease.value {
        Some(_) => Sharding::SINGLE,
        None => division(&hosts.hosts()?, &registry.servers()?),
    };
    let value = row::encode(&ShardingRow { count: sharding.count(), seed: sharding.seed() });
    let key = keyspace::sharding_key();
    let transaction = Transaction::default().replace(key, Revision::ABSENT, value);
    match store::commit_with_retry(store, &transaction) {
        store::Outcome::Applied(_) => Ok(Some(sharding)),
        store::Outcome::Conflict(_) => Ok(None),
        store::Outcome::NotDone(error) => Err(store::Error::NotDone(error)),
        store::Outcome::Unknown(error) => Err(store::Error::Unknown(error)),
    }
}

/// Returns the division of a site by the platform's list of hosts, or by that of the backend
/// servers if it has more entries.
fn division(hosts: &[Host], servers: &[ServerInfo]) -> Sharding {
    let listed: Vec<(&str, &str)> = match hosts.len() >= servers.len() {
        true => hosts.iter().map(|host| (&*host.pool, &*host.id.0)).collect(),
        false => servers.iter().map(|info| (&*info.pool, watch::owned_name(info))).collect(),
    };
    Sharding::for_hosts(&listed)
}
