//! The planner of jobs: holds the shard, places tasks, moves and maintains hosts.
//!
//! One runs on every entry host; the one whose lease row is confirmed holds the
//! shard, the others look on. Each module is one duty. The holder's duty owns
//! the shard and waits for nothing but its own ring; whatever talks to the
//! platform or to a backend server is a duty of its own. See `docs/DESIGN.md`,
//! section "Shards".

mod contact;
mod dispatch;
mod event;
mod fleet;
mod holder;
mod lease;
mod load;
mod saver;
pub mod sweep;
mod wall;
mod watch;
mod writer;

use std::{sync::Arc, time::Duration};

use skylarkwick_connection::{
    order::{Directory, Hosts, Orders},
    store::Store,
};
use skylarkwick_process::duty::StopSignal;
use skylarkwick_request::shard::Timings;
use skylarkwick_version::{lease::Incarnation, shard_lease};
use slog::Logger;

/// Lease of everything that runs, as far as the platform allows it.
const LEASE: Duration = Duration::from_millis(4600);
/// Longest time that a start may still begin after it was sent.
const START_WINDOW: Duration = Duration::from_millis(1300);
/// Slack for slow clocks and for answers under way.
const DOUBT_MARGIN: Duration = Duration::from_millis(500);

/// The clients of a planner.
#[derive(Clone, Debug)]
pub struct Clients<S, O, H, D> {
    /// The platform's store.
    pub store: S,
    /// Backend servers.
    pub orders: O,
    /// The platform's list of hosts.
    pub hosts: H,
    /// What operators and backend servers write.
    pub directory: D,
}

/// What the platform says of leases and orders.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry host of this process.
    pub entry: Arc<str>,
    /// Its processor time, in cores.
    pub cores: f64,
    /// Longest lease of a run.
    pub max_run_lease: Duration,
    /// Time between orders of two holders for one host.
    pub handover_delay: Duration,
    /// Time after which a lasting task that is not at work counts as away.
    pub outage_threshold: Duration,
    /// Time that the maintenance of a host takes.
    pub maintenance_duration: Duration,
    /// Time for which callers are told of a job that is over.
    pub result_retention: Duration,
}

/// Holds the shard whenever it can, until the stop.
pub fn run<S, O, H, D>(
    clients: &Clients<S, O, H, D>,
    config: &Config,
    log: &Logger,
    stop: &StopSignal,
) where
    S: Store,
    O: Orders,
    H: Hosts,
    D: Directory,
{
    let incarnation = Incarnation(rand::random());
    let mut lease = lease::Lease::new(clients.store.clone(), config, incarnation, log);
    while let Some(taken) = lease.acquire(stop) {
        holder::hold(clients, config, &mut lease, taken, log, stop);
    }
    lease.release();
}

fn timings(config: &Config, may_be_contested: bool) -> Timings {
    let lease = LEASE.min(config.max_run_lease.mul_f64(0.9));
    let overhang = match may_be_contested {
        true => shard_lease::MAX_RENEWAL_GAP.saturating_sub(shard_lease::LEASE_DURATION),
        false => Duration::ZERO,
    };
    Timings {
        lease_duration: lease,
        start_window: START_WINDOW,
        takeover_grace: overhang + lease.mul_f64(1.03) + DOUBT_MARGIN,
        outage_threshold: config.outage_threshold,
        maintenance_duration: config.maintenance_duration,
    }
}
