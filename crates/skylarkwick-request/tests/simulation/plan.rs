//! What goes wrong in a simulated site, and how often.

use std::time::Duration;

use skylarkwick_request::shard::Timings;

use crate::harness;

/// What goes wrong beside crashes of servers, late and lost calls and an unavailable store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "each soak uses one of them")]
pub(crate) enum Trouble {
    /// Nothing.
    Restarts,
    /// Holders are killed or stopped as planned, and servers are cut off.
    HandOvers,
    /// The same, with leases far beyond those that holders grant, and with long jobs on servers
    /// that run on while they are cut off.
    LongLeases,
}

/// How often what happens, and for how long. Periods that aren't in milliseconds are mean numbers
/// of steps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) job_period_ms: u64,
    /// One job in this many is long.
    pub(crate) long_jobs: u64,
    pub(crate) longest_job_ms: u64,
    /// Cores that a task needs.
    pub(crate) task_cores: u64,
    pub(crate) list_period_ms: u64,
    /// Between two restarts of a server at a change of the holder, and two other changes.
    pub(crate) restart_period: u64,
    pub(crate) term_period: u64,
    /// For how long a server is cut off at least, and by how much longer it may be.
    pub(crate) cut_ms: (u64, u64),
    /// Whether servers that are cut off don't crash, so that their leases last.
    pub(crate) spares_cut: bool,
    pub(crate) max_lease: Duration,
}

const HAND_OVERS: Plan = Plan {
    job_period_ms: 150,
    long_jobs: 4,
    longest_job_ms: 9_000,
    task_cores: 4,
    list_period_ms: 250,
    restart_period: 500,
    term_period: 400,
    cut_ms: (500, 9_500),
    spares_cut: false,
    max_lease: Duration::from_millis(6_000),
};

/// Terms outlast the takeover grace, and leases that no holder knows of outlast it as well.
const LONG_LEASES: Plan = Plan {
    job_period_ms: 200,
    long_jobs: 1,
    task_cores: 1,
    list_period_ms: 1_000,
    restart_period: 400,
    term_period: 4_000,
    cut_ms: (6_000, 4_000),
    spares_cut: true,
    max_lease: Duration::from_millis(10_000),
    ..HAND_OVERS
};

impl Trouble {
    pub(crate) fn has_hand_overs(self) -> bool {
        self != Trouble::Restarts
    }

    pub(crate) fn plan(self) -> Plan {
        match self {
            Trouble::Restarts => Plan { longest_job_ms: 4_000, ..HAND_OVERS },
            Trouble::HandOvers => HAND_OVERS,
            Trouble::LongLeases => LONG_LEASES,
        }
    }
}

impl Plan {
    pub(crate) fn timings(&self) -> Timings {
        Timings { max_lease: self.max_lease, ..harness::timings() }
    }
}
