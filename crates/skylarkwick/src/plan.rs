//! `skylarkwick drain` and `undrain` keep a host out of its pool or end that;
//! `skylarkwick plan` shows the next planning steps.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write,
    sync::Arc,
};

use clap::ArgMatches;
use skylarkwick_connection::{
    backend::{Control, http::Backend},
    platform::{
        Hosts, Liveness, Transaction,
        http::Platform,
        row::{self, BUDGET, DOCUMENT, DRAIN, HOST, PROGRESS, WAVE},
    },
};
use skylarkwick_process::exit::ExitStatus;
use skylarkwick_version::{
    budget::Budget,
    document,
    host::Ownership,
    name,
    plan::{HostView, Input, Step, WaveState},
    wave,
};

use crate::common::{
    Error, commit, decode_rows, load_site, new_token, platform_client, read_row, scan,
    text_argument,
};

/// Marks a host for draining: a planner takes it out of its pool as soon as the budget
/// allows, and it is kept out until it is undrained. Fails if the host has no row.
pub(crate) fn drain(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let host = name::Host::try_from(text_argument(arguments, "host"))?;
    let platform = platform_client(arguments)?;
    if read_row(&platform, &row::key(HOST, host.as_str()))?.value.is_none() {
        return Err(Error::Refused(format!(
            "host {host} does not exist; check the name, or wait until a planner has registered it"
        )));
    }
    let key = row::key(DRAIN, host.as_str());
    let row = read_row(&platform, &key)?;
    let transaction = Transaction::new(new_token()).replace(key, row.revision, "{}".to_owned());
    commit(&platform, &transaction)?;
    writeln!(output, "{host}: marked for draining; leaves its pool as soon as its budget allows")?;
    Ok(ExitStatus::Success)
}

/// Removes the mark that keeps a host drained; fails if there is none.
pub(crate) fn undrain(
    arguments: &ArgMatches,
    output: &mut impl Write,
) -> Result<ExitStatus, Error> {
    let host = name::Host::try_from(text_argument(arguments, "host"))?;
    let platform = platform_client(arguments)?;
    let key = row::key(DRAIN, host.as_str());
    let row = read_row(&platform, &key)?;
    if row.value.is_none() {
        return Err(Error::Refused(format!("host {host} is not drained; nothing was changed")));
    }
    commit(&platform, &Transaction::new(new_token()).delete(key, row.revision))?;
    writeln!(output, "{host}: no longer drained; available to pools again")?;
    Ok(ExitStatus::Success)
}

/// Plans one round for each data centre and prints its steps without writing them.
pub(crate) fn show(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let site = load_site(arguments)?;
    let platform = platform_client(arguments)?;
    let data_centres = site.data_centres();
    let documents: Vec<Arc<document::Settings>> =
        decode_rows::<row::Document, document::Settings>(&platform, DOCUMENT)?
            .into_iter()
            .map(|(_, document)| Arc::new(document))
            .collect();
    let mut budgets = BTreeMap::new();
    for (service, budget) in decode_rows::<row::Budget, Budget>(&platform, BUDGET)? {
        budgets.insert(name::Service::try_from(service)?, budget);
    }
    for data_centre in &data_centres {
        let hosts = host_views(&platform, data_centre)?;
        let waves = wave_states(&platform, data_centre)?;
        let input = Input {
            data_centre,
            data_centres: &data_centres,
            documents: &documents,
            hosts: &hosts,
            budgets: &budgets,
            unreachable_hosts: &BTreeMap::new(),
            waves: &waves,
        };
        let steps = input.plan();
        writeln!(output, "{data_centre}: {} steps", steps.len())?;
        for step in &steps {
            writeln!(output, "  {}", describe(step))?;
        }
    }
    Ok(ExitStatus::Success)
}

/// Returns the hosts of a data centre as a planner sees them. Asks each backend server
/// for its status; one that does not respond has no report.
fn host_views(
    platform: &Platform,
    data_centre: &name::DataCentre,
) -> Result<BTreeMap<name::Host, HostView>, Error> {
    let backend = Backend::default();
    let ownerships: BTreeMap<String, Ownership> =
        decode_rows::<row::Host, Ownership>(platform, HOST)?.into_iter().collect();
    let drained_hosts: BTreeSet<String> = scan(platform, DRAIN)?
        .into_iter()
        .filter_map(|row| row.key.after(DRAIN).map(str::to_owned))
        .collect();
    let records = platform.hosts(Some(data_centre))?.into_iter();
    Ok(records
        .map(|record| {
            let status = backend.status(record.address).ok();
            let view = HostView {
                rack: record.rack,
                ownership: ownerships.get(record.host.as_str()).cloned(),
                report: status.map(|status| status.report),
                is_stopping: record.liveness == Liveness::Leaving
                    || status.is_some_and(|status| status.is_leaving),
                is_drained: drained_hosts.contains(record.host.as_str()),
            };
            (record.host, view)
        })
        .collect())
}

/// Returns the waves with their progress in a data centre, which is empty where none is
/// recorded.
fn wave_states(
    platform: &Platform,
    data_centre: &name::DataCentre,
) -> Result<Vec<WaveState>, Error> {
    let progress: BTreeMap<String, wave::Progress> =
        decode_rows::<row::Progress, wave::Progress>(platform, PROGRESS)?.into_iter().collect();
    let waves = decode_rows::<row::Wave, wave::Wave>(platform, WAVE)?.into_iter();
    Ok(waves
        .map(|(name, wave)| {
            let key = format!("{name}/{data_centre}");
            WaveState { wave, progress: progress.get(&key).cloned().unwrap_or_default() }
        })
        .collect())
}

/// Describes a step and its reason in one line.
fn describe(step: &Step) -> String {
    match step {
        Step::Register(host) => {
            format!("register {host}: the platform lists it and it has no row yet")
        }
        Step::Assign(host, pool) => {
            format!("assign {host} to {pool}: the pool needs another host in this data centre")
        }
        Step::Leave { hosts, cause, granted } => {
            let hosts = join_names(hosts.iter());
            let services = join_names(granted.keys());
            match granted.is_empty() {
                true => {
                    format!("withdraw {hosts}: {cause:?}; its pool has more hosts than it needs")
                }
                false => {
                    format!(
                        "take {hosts} out: {cause:?}; needs a grant of the budget of {services}"
                    )
                }
            }
        }
        Step::Depart(host) => {
            format!("let {host} leave service: it acknowledged its new epoch and runs no task")
        }
        Step::Recover(host) => format!("give {host} back to its pool: it has rebooted"),
        Step::Report(service, down) => {
            format!(
                "record in the budget of {service}: {} hosts are down without a grant ({})",
                down.len(),
                join_names(down.iter())
            )
        }
    }
}

/// Joins names with commas.
fn join_names<T: ToString>(names: impl Iterator<Item = T>) -> String {
    names.map(|name| name.to_string()).collect::<Vec<_>>().join(", ")
}
