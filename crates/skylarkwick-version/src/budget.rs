//! The availability budget of a service.
//!
//! A voluntary disruption needs a grant in the service's budget row. Hosts that
//! failed or fell silent are counted first, so that maintenance gives way to
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
    pub down: BTreeMap<name::DataCentre, BTreeSet<name::Host>>,
}

/// Answer to a request for grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
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
pub trait Guard {
    /// Whether a grant counts the hosts that are down already.
    const COUNTS_UNAVAILABLE: bool;
}

/// The guards of the product.
#[derive(Clone, Copy, Debug)]
pub struct Strict;

impl Guard for Strict {
    const COUNTS_UNAVAILABLE: bool = true;
}

impl Budget {
    /// Counts the hosts that are unavailable, each once.
    ///
    /// `silent` holds the hosts of data centres that nobody has heard from.
    pub fn unavailable(&self, silent: &BTreeSet<name::Host>) -> u32 {
        let mut hosts: BTreeSet<&name::Host> = self.grants.keys().collect();
        hosts.extend(self.down.values().flatten());
        hosts.extend(silent);
        hosts.len() as u32
    }

    /// Asks for a grant for each of `hosts`, all or nothing.
    pub fn grant<G: Guard>(
        &self,
        hosts: &[name::Host],
        cause: &Cause,
        silent: &BTreeSet<name::Host>,
        allowed: u32,
    ) -> Answer {
        let mut next = self.clone();
        for host in hosts {
            next.grants.entry(host.clone()).or_insert_with(|| cause.clone());
        }
        match next.unavailable(silent) {
            _ if !G::COUNTS_UNAVAILABLE => Answer::Granted(next),
            unavailable if unavailable <= allowed => Answer::Granted(next),
            _ => Answer::Refused { unavailable: self.unavailable(silent), allowed },
        }
    }

    /// Ends the grant of a host.
    pub fn release(&self, host: &name::Host) -> Budget {
        let mut next = self.clone();
        next.grants.remove(host);
        next
    }

    /// Notes which hosts of a data centre are down without a grant.
    pub fn report(&self, data_centre: &name::DataCentre, down: BTreeSet<name::Host>) -> Budget {
        let mut next = self.clone();
        match down.is_empty() {
            true => next.down.remove(data_centre),
            false => next.down.insert(data_centre.clone(), down),
        };
        next
    }
}
