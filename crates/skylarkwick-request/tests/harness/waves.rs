//! Hosts of a shard, and maintenance waves for them.

use std::collections::BTreeSet;

use skylarkwick_request::shard::{
    effect::Effect,
    input::{HostId, MaintenanceWave},
};

use super::{Harness, POOL, host, host_up, ms};

pub(crate) fn maintained_hosts(effects: &[Effect]) -> Vec<String> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::MaintainHost { host, .. } => Some(host.to_string()),
            _ => None,
        })
        .collect()
}

pub(crate) fn wave(hosts: &[&str], max_unavailable: usize) -> MaintenanceWave {
    let hosts = hosts.iter().map(|name| host(name)).collect();
    MaintenanceWave {
        number: 1,
        hosts,
        time_left: ms(0),
        max_unavailable,
        started: BTreeSet::new(),
    }
}

/// Creates a shard with idle hosts, each with a server of the same name.
pub(crate) fn with_hosts(names: &[&str]) -> Harness {
    let mut harness = Harness::with_servers(names);
    let hosts = names.iter().map(|name| host_up(name, POOL, Some(name))).collect();
    harness.shard.set_hosts(harness.now, hosts);
    for name in names {
        harness.report(name, &[], &[]);
    }
    harness
}

/// Returns the saves of waves: the hosts that have started, and whether all have.
pub(crate) fn saved_waves(effects: &[Effect]) -> Vec<(BTreeSet<HostId>, bool)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::SaveWave { started, is_completed, .. } => {
                Some((started.clone(), *is_completed))
            }
            _ => None,
        })
        .collect()
}
