//! Which hosts the platform's latest lists had, from which a holder concludes that a
//! host has left.
//!
//! A list is as old as its request, and a host that was added since is not on it. The
//! platform reads a list page by page, so a single one may also lack a host that stays.

use std::collections::BTreeSet;

use skylarkwick_version::moment::Moment;

use super::input::HostId;

/// The hosts on one list, and when it was requested.
#[derive(Clone, Debug)]
struct HostList {
    requested: Moment,
    hosts: BTreeSet<HostId>,
}

/// The last two lists of hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct HostLists {
    latest: Option<HostList>,
    previous: Option<HostList>,
}

impl HostLists {
    /// Records a list as the latest one.
    pub(super) fn record(&mut self, requested: Moment, hosts: BTreeSet<HostId>) {
        self.previous = self.latest.replace(HostList { requested, hosts });
    }

    /// Returns whether any list is known.
    pub(super) fn is_known(&self) -> bool {
        self.latest.is_some()
    }

    /// Returns whether a host that existed at `since` has left the platform: two lists
    /// that were requested since then lack it.
    pub(super) fn is_gone(&self, host: &HostId, since: Moment) -> bool {
        [&self.latest, &self.previous].into_iter().all(|list| {
            list.as_ref().is_some_and(|list| list.requested >= since && !list.hosts.contains(host))
        })
    }
}
