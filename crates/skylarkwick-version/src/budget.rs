//! Disruption budgets of services.
//!
//! A voluntary disruption of a host needs a grant in the service's budget row.
//! Hosts that failed or became unreachable count against the budget first, so
//! that maintenance yields to failures. The row is changed by compare-and-swap
//! only; see `docs/DESIGN.md`, section "Budgets".

use std::collections::{BTreeMap, BTreeSet};

use crate::{host::Cause, name};

/// Budget row of a service: its granted disruptions and the hosts that are down without
/// one. The number of hosts that may be unavailable is in the service's document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Hosts with a granted disruption that has not ended, each with its cause.
    pub grants: BTreeMap<name::Host, Cause>,
    /// Hosts that are down without a grant, by the data centre that reported them.
    pub down_hosts: BTreeMap<name::DataCentre, BTreeSet<name::Host>>,
}

/// Decision on a request for grants, made by [`Budget::grant`]: the next row with all of
/// them, or a refusal with the number of unavailable hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The next row, to be written only if the current one is unchanged.
    Granted(Budget),
    /// The grants would exceed the budget.
    Refused {
        /// Number of hosts unavailable now, with or without a grant.
        unavailable: u32,
        /// Number of hosts that may be unavailable at the same time.
        allowed: u32,
    },
}

/// Safety checks of the budget protocol.
///
/// The model checker disables each check in turn, to show that the protocol is
/// unsafe without it.
pub trait Checks {
    /// Whether a grant is refused when it would exceed the budget.
    const COUNTS_UNAVAILABLE: bool;
}

/// Every check of [`Checks`] enabled, as in production.
#[derive(Clone, Copy, Debug)]
pub struct AllChecks;

impl Checks for AllChecks {
    const COUNTS_UNAVAILABLE: bool = true;
}

impl Budget {
    /// Returns the number of hosts that have a grant, are recorded as down, or are in
    /// `unreachable_hosts`, each counted once.
    ///
    /// `unreachable_hosts` are the pool's hosts in unreachable data centres.
    pub fn unavailable(&self, unreachable_hosts: &BTreeSet<name::Host>) -> u32 {
        let mut hosts: BTreeSet<&name::Host> = self.grants.keys().collect();
        hosts.extend(self.down_hosts.values().flatten());
        hosts.extend(unreachable_hosts);
        hosts.len() as u32
    }

    /// Decides on a grant for each of `hosts`: either all are granted, or none. A host
    /// that has a grant already keeps that grant's cause, and one that is unavailable
    /// already isn't counted again.
    ///
    /// `allowed` is the number of hosts that may be unavailable at the same time.
    pub fn grant<C: Checks>(
        &self,
        hosts: &[name::Host],
        cause: &Cause,
        unreachable_hosts: &BTreeSet<name::Host>,
        allowed: u32,
    ) -> Decision {
        let mut next = self.clone();
        for host in hosts {
            next.grants.entry(host.clone()).or_insert_with(|| cause.clone());
        }
        match next.unavailable(unreachable_hosts) {
            _ if !C::COUNTS_UNAVAILABLE => Decision::Granted(next),
            unavailable if unavailable <= allowed => Decision::Granted(next),
            _ => Decision::Refused { unavailable: self.unavailable(unreachable_hosts), allowed },
        }
    }

    /// Returns the row without the grant of a host; unchanged if the host has none.
    pub fn release(&self, host: &name::Host) -> Budget {
        let mut next = self.clone();
        next.grants.remove(host);
        next
    }

    /// Returns the row with `down` in place of the recorded hosts of a data centre that
    /// are down without a grant.
    pub fn set_down(&self, data_centre: &name::DataCentre, down: BTreeSet<name::Host>) -> Budget {
        let mut next = self.clone();
        match down.is_empty() {
            true => next.down_hosts.remove(data_centre),
            false => next.down_hosts.insert(data_centre.clone(), down),
        };
        next
    }
}
