//! `skylarkwick status`: shows the services, hosts, waves and shard leases of the site.

use std::{collections::BTreeMap, io::Write};

use clap::ArgMatches;
use skylarkwick_connection::platform::{
    http::Platform,
    row::{self, BUDGET, DOCUMENT, HOST, LEASE, PROGRESS, WAVE},
};
use skylarkwick_process::exit::ExitStatus;
use skylarkwick_version::{
    budget::Budget,
    document,
    host::{Ownership, Phase},
    lease::Lease,
    wave,
};

use crate::common::{Error, decode_rows, platform_client};

/// Number of hosts of a pool that are active, leaving and in maintenance.
#[derive(Clone, Copy, Debug, Default)]
struct PhaseCounts {
    active: u32,
    leaving: u32,
    in_maintenance: u32,
}

/// Prints a table of the services, then lines for hosts, waves and leases.
pub(crate) fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let platform = platform_client(arguments)?;
    let hosts = decode_rows::<row::Host, Ownership>(&platform, HOST)?;
    let pools = count_phases(&hosts);
    write_services(&platform, &pools, output)?;
    let free = hosts.iter().filter(|(_, host)| host.phase == Phase::Free).count();
    writeln!(output, "\nhosts: {} in all, {free} owned by no pool", hosts.len())?;
    write_waves(&platform, hosts.len(), output)?;
    write_leases(&platform, output)?;
    Ok(ExitStatus::Success)
}

/// Counts the hosts of each pool by phase; free hosts belong to no pool and are left
/// out.
fn count_phases(hosts: &[(String, Ownership)]) -> BTreeMap<String, PhaseCounts> {
    let mut pools: BTreeMap<String, PhaseCounts> = BTreeMap::new();
    for (_, host) in hosts {
        let Some(pool) = host.pool() else { continue };
        let counts = pools.entry(pool.to_string()).or_default();
        match host.phase {
            Phase::Free => {}
            Phase::Active { .. } => counts.active += 1,
            Phase::Leaving { .. } => counts.leaving += 1,
            Phase::Maintenance { .. } => counts.in_maintenance += 1,
        }
    }
    pools
}

/// Writes a table of the services: hosts wanted, hosts of the pool in each phase, and
/// how many more hosts may become unavailable, out of the maximum. Hosts in unreachable
/// data centres are not counted as unavailable unless they are recorded as down or have
/// a grant.
fn write_services(
    platform: &Platform,
    pools: &BTreeMap<String, PhaseCounts>,
    output: &mut impl Write,
) -> Result<(), Error> {
    let budgets: BTreeMap<String, Budget> =
        decode_rows::<row::Budget, Budget>(platform, BUDGET)?.into_iter().collect();
    writeln!(
        output,
        "{:<24} {:<20} {:>6} {:>6} {:>7} {:>10} {:>11}",
        "service", "pool", "wanted", "active", "leaving", "maintained", "budget-left"
    )?;
    for (service, document) in decode_rows::<row::Document, document::Settings>(platform, DOCUMENT)?
    {
        let counts = pools.get(document.pool.as_str()).copied().unwrap_or_default();
        let unavailable =
            budgets.get(&service).map_or(0, |budget| budget.unavailable(&Default::default()));
        writeln!(
            output,
            "{service:<24} {:<20} {:>6} {:>6} {:>7} {:>10} {:>11}",
            document.pool,
            document.hosts,
            counts.active,
            counts.leaving,
            counts.in_maintenance,
            format!(
                "{}/{}",
                document.max_unavailable.saturating_sub(unavailable),
                document.max_unavailable
            ),
        )?;
    }
    Ok(())
}

/// Writes a line for each wave with its state, its scope, and the hosts done out of
/// `host_count`, the hosts of the site.
fn write_waves(
    platform: &Platform,
    host_count: usize,
    output: &mut impl Write,
) -> Result<(), Error> {
    let progress = decode_rows::<row::Progress, wave::Progress>(platform, PROGRESS)?;
    for (name, wave) in decode_rows::<row::Wave, wave::Wave>(platform, WAVE)? {
        let prefix = format!("{name}/");
        let progress = progress.iter().filter(|(key, _)| key.starts_with(&prefix));
        let done: usize = progress.map(|(_, progress)| progress.done.len()).sum();
        let scope = wave.pool.map_or("every pool".to_owned(), |pool| pool.to_string());
        writeln!(
            output,
            "wave {name}: {:?}, {scope}, {done} done of {host_count} hosts",
            wave.state
        )?;
    }
    Ok(())
}

/// Writes a line for each shard with the holder of its lease and the fencing token.
fn write_leases(platform: &Platform, output: &mut impl Write) -> Result<(), Error> {
    for (shard, lease) in decode_rows::<row::Lease, Lease>(platform, LEASE)? {
        let entry = lease.entry.map_or("nobody".to_owned(), |entry| entry.to_string());
        writeln!(output, "lease {shard}: {entry}, fencing number {}", lease.fencing_token.0)?;
    }
    Ok(())
}
