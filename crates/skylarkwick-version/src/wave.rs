//! Maintenance waves.
//!
//! A wave maintains every host in its scope once. A row for each data centre lists
//! the completed hosts; all other state is read from the hosts' own rows, so that
//! a planner that takes over resumes the wave. See `docs/DESIGN.md`, section "Waves".

use std::collections::{BTreeMap, BTreeSet};

use crate::name;

/// State of a wave, set by operators: running or paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Maintenance of further hosts may start.
    Running,
    /// No further maintenance is started; maintenance in progress is completed.
    Paused,
}

/// Row of a wave: its name, its state and the pool that it maintains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Name of the wave.
    pub name: name::Wave,
    /// Whether maintenance of further hosts may start.
    pub state: State,
    /// Pool whose hosts are maintained; none for all pools.
    pub pool: Option<name::Pool>,
}

/// Row of a wave's progress in one data centre: the hosts that are done. Written by that
/// data centre's planner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Hosts whose maintenance is complete.
    pub done: BTreeSet<name::Host>,
}

/// Host whose maintenance a wave may start, with its rack, the service whose budget has to
/// grant it, and an estimate of its remaining work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the host.
    pub host: name::Host,
    /// Rack of the host.
    pub rack: name::Rack,
    /// Service whose budget has to grant the maintenance; of several, the one with the
    /// fewest grants left.
    pub service: name::Service,
    /// Number of the host's running tasks times the service's declared run time, in
    /// milliseconds; it orders hosts by how soon they finish.
    pub work_left_ms: u64,
}

/// Selects the groups of hosts whose maintenance starts next, in order. Each group is
/// either all candidates of a rack or a single host.
///
/// `remaining_grants` is the number of grants left in each service's budget. Whole
/// racks come first, where the budgets allow it, because a rack that is down as a
/// whole needs its switch only once. Hosts with the least remaining work come
/// before others, because their grants are released soonest.
pub fn select_hosts(
    candidates: &[Candidate],
    remaining_grants: &BTreeMap<name::Service, u32>,
) -> Vec<Vec<name::Host>> {
    let mut racks: BTreeMap<&name::Rack, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        racks.entry(&candidate.rack).or_default().push(candidate);
    }
    let mut ordered_racks: Vec<Vec<&Candidate>> = racks.into_values().collect();
    ordered_racks.sort_by_key(|hosts| hosts.iter().map(|host| host.work_left_ms).max());
    let mut remaining_grants = remaining_grants.clone();
    let mut selected = Vec::new();
    let mut single_hosts = Vec::new();
    for hosts in ordered_racks {
        match are_grantable(&hosts, &remaining_grants) {
            true => {
                take_grants(&hosts, &mut remaining_grants);
                selected.push(hosts.iter().map(|host| host.host.clone()).collect());
            }
            false => single_hosts.extend(hosts),
        }
    }
    single_hosts.sort_by_key(|host| host.work_left_ms);
    for host in single_hosts {
        if are_grantable(&[host], &remaining_grants) {
            take_grants(&[host], &mut remaining_grants);
            selected.push(vec![host.host.clone()]);
        }
    }
    selected
}

/// Returns whether the budgets have a grant left for each of `hosts`; a service without an
/// entry has none.
fn are_grantable(hosts: &[&Candidate], remaining_grants: &BTreeMap<name::Service, u32>) -> bool {
    let mut needed: BTreeMap<&name::Service, u32> = BTreeMap::new();
    for host in hosts {
        *needed.entry(&host.service).or_default() += 1;
    }
    needed.iter().all(|(service, count)| {
        remaining_grants.get(*service).is_some_and(|remaining| count <= remaining)
    })
}

/// Takes a grant for each of `hosts` from its service's budget, which must have one left.
fn take_grants(hosts: &[&Candidate], remaining_grants: &mut BTreeMap<name::Service, u32>) {
    for host in hosts {
        if let Some(remaining) = remaining_grants.get_mut(&host.service) {
            *remaining -= 1;
        }
    }
}
