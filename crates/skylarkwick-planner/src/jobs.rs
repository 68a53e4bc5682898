//! The job planner: places tasks, and moves and maintains hosts.
//!
//! One job planner runs on every entry host. The one that holds the lease of a shard
//! is its holder; the others stand by, and a planner may hold several shards. Most
//! modules run one kind of duty. The holder's duty owns a shard and blocks only on
//! its own ring; other duties call the platform and the backend servers. See
//! `docs/DESIGN.md`, section "Shards".

mod activity;
mod allotments;
mod candidate;
mod dispatch;
mod division;
mod event;
mod holder;
mod host_orders;
pub mod lease;
mod load;
mod operator_changes;
mod outages;
pub mod permit;
mod poller;
mod saver;
pub mod status;
mod strength;
pub mod sweep;
mod takeover;
mod wall_clock;
mod watch;
mod writer;

use std::{sync::Arc, time::Duration};

use skylarkwick_connection::{
    control::{Hosts, Orders, Registry},
    store::Store,
};
use skylarkwick_process::duty::StopSignal;
use skylarkwick_request::shard::Timings;
use skylarkwick_version::shard_lease::Remainder;
use slog::Logger;

use self::candidate::Candidate;

/// Time for which a backend server continues a run after the holder last renewed the run's
/// lease with a poll; 90 % of [`Config::max_run_lease`] if that is shorter.
const RUN_LEASE: Duration = Duration::from_millis(4600);
/// Longest time between sending a start order and the start of the run; the server rejects
/// the order afterwards.
const START_WINDOW: Duration = Duration::from_millis(1300);
/// Part of the takeover grace that allows for slow clocks and delayed responses. The
/// takeover grace is the time from the start of a term in which runs of previous holders
/// may still be unknown.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(500);

/// Clients of the platform (`S`, `H` and `D`) and of the backend servers (`O`); the duties
/// of a job planner each use clones of them.
#[derive(Clone, Debug)]
pub struct Clients<S, O, H, D> {
    /// Client of the platform's store.
    pub store: S,
    /// Sends orders to backend servers and polls them.
    pub orders: O,
    /// Lists hosts and sends orders for them through the platform.
    pub hosts: H,
    /// Reads what operators and backend servers write to the platform's store.
    pub registry: D,
}

/// Configuration of a job planner: its entry host and that host's processor cores, the
/// longest lease of a run, the shortest time between the orders of two holders for one
/// host, and durations that the shard and its duties use.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry host of this process.
    pub entry: Arc<str>,
    /// Processor cores of this host; the hosts with the most acquire a vacant shard first.
    pub cores: f64,
    /// Longest lease of a run that the platform allows; the planner uses at most
    /// 90 % of it.
    pub max_run_lease: Duration,
    /// Shortest time between the orders of two holders for one host (a machine of the
    /// fleet), so that a late order of the previous holder has arrived or never will.
    pub handover_delay: Duration,
    /// Time after which a long-running task that is not running counts as
    /// unavailable, which older reports can't rule out.
    pub outage_threshold: Duration,
    /// Duration of the maintenance of a host.
    pub maintenance_duration: Duration,
    /// Time for which callers can read the result of a finished job.
    pub result_retention: Duration,
    /// Memory of this process, in bytes; a part of it is for the jobs of shards.
    pub memory_bytes: usize,
}

/// Part of the memory of a process that the jobs of all shards may take: one in this many bytes.
/// A new holder reads rows and decodes jobs at the same time, and some are accepted meanwhile.
const JOBS_MEMORY_DIVISOR: usize = 4;
/// Memory for the jobs of a shard at the least, in bytes.
const MIN_SHARD_BYTES: usize = 8 << 20;

/// Returns the memory for the jobs of one shard, in bytes: one process may come to hold all shards
/// of the site.
fn shard_bytes(memory_bytes: usize, shards: u32) -> usize {
    let shards = usize::try_from(shards.max(1)).unwrap_or(usize::MAX);
    (memory_bytes / JOBS_MEMORY_DIVISOR / shards).max(MIN_SHARD_BYTES)
}

/// Competes for the leases of the site's shards, each the scheduling state of a part of the
/// servers and jobs, and runs those that it holds. If a lease is lost, competes for it again.
/// Blocks until the stop signal, and then releases the leases that it still holds.
pub fn run<S, O, H, D>(
    clients: &Clients<S, O, H, D>,
    config: &Config,
    log: &Logger,
    stop: &StopSignal,
) where
    S: Store,
    O: Orders,
    H: Hosts,
    D: Registry,
{
    if let Some(sharding) = division::divide(clients, log, stop) {
        Candidate::new(clients, config, sharding, log, stop).run();
    }
}

impl Config {
    /// Returns the lease that a holder grants to runs: [`RUN_LEASE`], or 90 % of the platform's
    /// limit if that is shorter.
    pub fn run_lease(&self) -> Duration {
        RUN_LEASE.min(self.max_run_lease.mul_f64(0.9))
    }
}

/// Returns the durations that the shard uses in a term, the time of one holder, by what earlier
/// holders may still do. The takeover grace is 103 % of the time for which the leases last that
/// they may have granted by the servers' clocks, plus [`TAKEOVER_MARGIN`].
pub fn timings(config: &Config, earlier: Remainder) -> Timings {
    // Leases of runs count as 3 % longer here than they were granted.
    let takeover_grace = earlier.granted.mul_f64(1.03) + TAKEOVER_MARGIN;
    let longest_grace = earlier.overlap + config.max_run_lease.mul_f64(1.03) + TAKEOVER_MARGIN;
    Timings {
        lease_duration: config.run_lease(),
        max_lease: config.max_run_lease,
        start_window: START_WINDOW,
        takeover_grace,
        longest_grace: longest_grace.max(takeover_grace),
        outage_threshold: config.outage_threshold,
        maintenance_duration: config.maintenance_duration,
    }
}
