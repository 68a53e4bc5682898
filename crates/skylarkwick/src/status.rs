//! `skylarkwick status`: the whole site on one screen.

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

use crate::rows::{Failed, decoded, platform};

/// Hosts of a pool by phase.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    active: u32,
    leaving: u32,
    maintained: u32,
}

pub(crate) fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let platform = platform(arguments)?;
    let hosts = decoded::<row::Host, Ownership>(&platform, HOST)?;
    let pools = count(&hosts);
    services(&platform, &pools, output)?;
    let free = hosts.iter().filter(|(_, host)| host.phase == Phase::Free).count();
    writeln!(output, "\nhosts: {} in all, {free} owned by no pool", hosts.len())?;
    waves(&platform, hosts.len(), output)?;
    leases(&platform, output)?;
    Ok(ExitStatus::Success)
}

fn count(hosts: &[(String, Ownership)]) -> BTreeMap<String, Count> {
    let mut pools: BTreeMap<String, Count> = BTreeMap::new();
    for (_, host) in hosts {
        let Some(pool) = host.pool() else { continue };
        let count = pools.entry(pool.to_string()).or_default();
        match host.phase {
            Phase::Free => {}
            Phase::Active { .. } => count.active += 1,
            Phase::Leaving { .. } => count.leaving += 1,
            Phase::Maintenance { .. } => count.maintained += 1,
        }
    }
    pools
}

fn services(
    platform: &Platform,
    pools: &BTreeMap<String, Count>,
    output: &mut impl Write,
) -> Result<(), Failed> {
    let budgets: BTreeMap<String, Budget> =
        decoded::<row::Budget, Budget>(platform, BUDGET)?.into_iter().collect();
    writeln!(
        output,
        "{:<24} {:<20} {:>6} {:>6} {:>7} {:>10} {:>11}",
        "service", "pool", "wanted", "active", "leaving", "maintained", "budget-left"
    )?;
    for (service, document) in decoded::<row::Document, document::Settings>(platform, DOCUMENT)? {
        let count = pools.get(document.pool.as_str()).copied().unwrap_or_default();
        let down = budgets.get(&service).map_or(0, |b| b.unavailable(&Default::default()));
        writeln!(
            output,
            "{service:<24} {:<20} {:>6} {:>6} {:>7} {:>10} {:>11}",
            document.pool,
            document.hosts,
            count.active,
            count.leaving,
            count.maintained,
            format!(
                "{}/{}",
                document.max_unavailable.saturating_sub(down),
                document.max_unavailable
            ),
        )?;
    }
    Ok(())
}

fn waves(platform: &Platform, hosts: usize, output: &mut impl Write) -> Result<(), Failed> {
    let progress = decoded::<row::Progress, wave::Progress>(platform, PROGRESS)?;
    for (name, wave) in decoded::<row::Wave, wave::Wave>(platform, WAVE)? {
        let prefix = format!("{name}/");
        let own = progress.iter().filter(|(key, _)| key.starts_with(&prefix));
        let done: usize = own.map(|(_, progress)| progress.done.len()).sum();
        let scope = wave.pool.map_or("every pool".to_owned(), |pool| pool.to_string());
        writeln!(output, "wave {name}: {:?}, {scope}, {done} done of {hosts} hosts", wave.state)?;
    }
    Ok(())
}

fn leases(platform: &Platform, output: &mut impl Write) -> Result<(), Failed> {
    for (shard, lease) in decoded::<row::Lease, Lease>(platform, LEASE)? {
        let entry = lease.entry.map_or("nobody".to_owned(), |entry| entry.to_string());
        writeln!(output, "lease {shard}: {entry}, fencing number {}", lease.fencing_token.0)?;
    }
    Ok(())
}
