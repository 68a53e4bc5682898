//! The availability budget of a service.
//!
//! A voluntary disruption needs a grant in the service's budget row. Hosts that
//! failed or became unreachable are counted first, so that maintenance gives way to
//! failures. The row is changed by compare-and-swap only; see `docs/DESIGN.md`,
//! section "Budgets".

use std::collections::{BTreeMap, BTreeSet};

use crate::{host::Cause, name};

/// The row of a service's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Hosts that were granted a disruption which has not ended.
    pub grants: BTreeMap<name::Host, Cause>,
    /// Hosts known to be down without a grant, by the data centre that reported.
    pub down_hosts: BTreeMap<name::DataCentre, BTreeSet<name::Host>>,
}

/// Decision on a request for grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The row to write, on condition that it has not changed.
    Granted(Budget),
    /// The budget has no room.
    Refused {
        /// Hosts unavailable now, with or without a grant.
        unavailable: u32,
        /// Hosts that may be unavailable at once.
        allowed: u32,
    },
}

/// Guards of the protocol, so that the model checker can show what each is for.
pub trait Checks {
    /// Whether a grant counts the hosts that are down already.
    const COUNTS_UNAVAILABLE: bool;
}

/// The guards of the product.
#[derive(Clone, Copy, Debug)]
pub struct AllChecks;

impl Checks for AllChecks {
    const COUNTS_UNAVAILABLE: bool = true;
}

impl Budget {
    /// Counts the hosts that are unavailable, each once.
    ///
    /// `unreachable_hosts` holds the hosts of data centres that nobody has heard from.
    pub fn unavailable(&self, unreachable_hosts: &BTreeSet<name::Host>) -> u32 {
        let mut hosts: BTreeSet<&name::Host> = self.grants.keys().collect();
        hosts.extend(self.down_hosts.values().flatten());
        hosts.extend(unreachable_hosts);
        hosts.len() as u32
    }

    /// Asks for a grant for each of `hosts`, all or nothing.
    pub fn grant<G: Checks>(
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
            _ if !G::COUNTS_UNAVAILABLE => Decision::Granted(next),
            unavailable if unavailable <= allowed => Decision::Granted(next),
            _ => Decision::Refused { unavailable: self.unavailable(unreachable_hosts), allowed },
        }
    }

    /// Ends the grant of a host.
    pub fn release(&self, host: &name::Host) -> Budget {
        let mut next = self.clone();
        next.grants.remove(host);
        next
    }

    /// Notes which hosts of a data centre are down without a grant.
    pub fn set_down(&self, data_centre: &name::DataCentre, down: BTreeSet<name::Host>) -> Budget {
        let mut next = self.clone();
        match down.is_empty() {
            true => next.down_hosts.remove(data_centre),
            false => next.down_hosts.insert(data_centre.clone(), down),
        };
        next
    }
}
