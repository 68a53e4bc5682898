//! Maintenance waves.
//!
//! A wave maintains every host of its scope once. A row for each data centre says
//! which hosts are done; all else is read from the hosts themselves, so a planner
//! that takes over resumes where the last one was. See `docs/DESIGN.md`, section "Waves".

use std::collections::{BTreeMap, BTreeSet};

use crate::name;

/// State of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Hosts are being maintained.
    Running,
    /// No further host is started.
    Paused,
}

/// The row of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// The wave's name.
    pub name: name::Wave,
    /// Whether hosts are being started.
    pub state: State,
    /// The only pool whose hosts are maintained, or every pool.
    pub pool: Option<name::Pool>,
}

/// The row of a wave's progress in one data centre, written by its planner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Hosts that were maintained.
    pub done: BTreeSet<name::Host>,
}

/// A host that a wave could start with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: name::Host,
    /// Its rack.
    pub rack: name::Rack,
    /// The service whose budget it takes from.
    pub service: name::Service,
    /// Work left on the host, in milliseconds of run time.
    pub work_left_ms: u64,
}

/// Chooses the hosts to start next, most useful first.
///
/// `room` is the number of grants that each service's budget has left. Whole
/// racks go first where every budget on them allows it, because a rack that is
/// down as a whole needs its switch once; hosts with the least work left go
/// before others, because their grants return soonest.
pub fn select_hosts(
    candidates: &[Candidate],
    room: &BTreeMap<name::Service, u32>,
) -> Vec<Vec<name::Host>> {
    let mut racks: BTreeMap<&name::Rack, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        racks.entry(&candidate.rack).or_default().push(candidate);
    }
    let mut order: Vec<Vec<&Candidate>> = racks.into_values().collect();
    order.sort_by_key(|hosts| hosts.iter().map(|host| host.work_left_ms).max());
    let mut room = room.clone();
    let mut chosen = Vec::new();
    let mut rest = Vec::new();
    for hosts in order {
        match fits(&hosts, &room) {
            true => {
                take(&hosts, &mut room);
                chosen.push(hosts.iter().map(|host| host.host.clone()).collect());
            }
            false => rest.extend(hosts),
        }
    }
    rest.sort_by_key(|host| host.work_left_ms);
    for host in rest {
        if fits(&[host], &room) {
            take(&[host], &mut room);
            chosen.push(vec![host.host.clone()]);
        }
    }
    chosen
}

fn fits(hosts: &[&Candidate], room: &BTreeMap<name::Service, u32>) -> bool {
    let mut needed: BTreeMap<&name::Service, u32> = BTreeMap::new();
    for host in hosts {
        *needed.entry(&host.service).or_default() += 1;
    }
    needed.iter().all(|(service, count)| room.get(*service).is_some_and(|left| count <= left))
}

fn take(hosts: &[&Candidate], room: &mut BTreeMap<name::Service, u32>) {
    for host in hosts {
        if let Some(left) = room.get_mut(&host.service) {
            *left -= 1;
        }
    }
}
