//! `skylarkwick drain`, `undrain` and `plan`.

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

use crate::rows::{Failed, commit, decoded, platform, read_row, site, text, token};

pub(crate) fn drain(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let host = name::Host::try_from(text(arguments, "host"))?;
    let platform = platform(arguments)?;
    if read_row(&platform, &row::key(HOST, host.as_str()))?.value.is_none() {
        return Err(Failed::Refused(format!("host {host} does not exist")));
    }
    let key = row::key(DRAIN, host.as_str());
    let row = read_row(&platform, &key)?;
    let transaction = Transaction::new(token()).replace(key, row.revision, "{}".to_owned());
    commit(&platform, &transaction)?;
    writeln!(output, "{host}: will leave its pool as soon as its budget allows")?;
    Ok(ExitStatus::Success)
}

pub(crate) fn undrain(
    arguments: &ArgMatches,
    output: &mut impl Write,
) -> Result<ExitStatus, Failed> {
    let host = name::Host::try_from(text(arguments, "host"))?;
    let platform = platform(arguments)?;
    let key = row::key(DRAIN, host.as_str());
    let row = read_row(&platform, &key)?;
    if row.value.is_none() {
        return Err(Failed::Refused(format!("host {host} is not drained")));
    }
    commit(&platform, &Transaction::new(token()).delete(key, row.revision))?;
    writeln!(output, "{host}: may be used again")?;
    Ok(ExitStatus::Success)
}

pub(crate) fn show(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let site = site(arguments)?;
    let platform = platform(arguments)?;
    let data_centres = site.data_centres();
    let documents: Vec<Arc<document::Settings>> =
        decoded::<row::Document, document::Settings>(&platform, DOCUMENT)?
            .into_iter()
            .map(|(_, document)| Arc::new(document))
            .collect();
    let mut budgets = BTreeMap::new();
    for (service, budget) in decoded::<row::Budget, Budget>(&platform, BUDGET)? {
        budgets.insert(name::Service::try_from(service)?, budget);
    }
    for data_centre in &data_centres {
        let hosts = known(&platform, data_centre)?;
        let waves = waves(&platform, data_centre)?;
        let facts = Input {
            data_centre,
            data_centres: &data_centres,
            documents: &documents,
            hosts: &hosts,
            budgets: &budgets,
            unreachable_hosts: &BTreeMap::new(),
            waves: &waves,
        };
        let steps = facts.plan();
        writeln!(output, "{data_centre}: {} steps", steps.len())?;
        for step in &steps {
            writeln!(output, "  {}", describe(step))?;
        }
    }
    Ok(ExitStatus::Success)
}

fn known(
    platform: &Platform,
    data_centre: &name::DataCentre,
) -> Result<BTreeMap<name::Host, HostView>, Failed> {
    let backend = Backend::default();
    let owned: BTreeMap<String, Ownership> =
        decoded::<row::Host, Ownership>(platform, HOST)?.into_iter().collect();
    let drained: BTreeSet<String> = crate::rows::scan(platform, DRAIN)?
        .into_iter()
        .filter_map(|row| row.key.after(DRAIN).map(str::to_owned))
        .collect();
    let listed = platform.hosts(Some(data_centre))?.into_iter();
    Ok(listed
        .map(|listed| {
            let status = backend.status(listed.address).ok();
            let known = HostView {
                rack: listed.rack,
                ownership: owned.get(listed.host.as_str()).cloned(),
                report: status.map(|status| status.report),
                is_stopping: listed.liveness == Liveness::Leaving
                    || status.is_some_and(|status| status.is_leaving),
                is_drained: drained.contains(listed.host.as_str()),
            };
            (listed.host, known)
        })
        .collect())
}

fn waves(platform: &Platform, data_centre: &name::DataCentre) -> Result<Vec<WaveState>, Failed> {
    let progress: BTreeMap<String, wave::Progress> =
        decoded::<row::Progress, wave::Progress>(platform, PROGRESS)?.into_iter().collect();
    let waves = decoded::<row::Wave, wave::Wave>(platform, WAVE)?.into_iter();
    Ok(waves
        .map(|(name, wave)| {
            let key = format!("{name}/{data_centre}");
            WaveState { wave, progress: progress.get(&key).cloned().unwrap_or_default() }
        })
        .collect())
}

fn describe(step: &Step) -> String {
    match step {
        Step::Register(host) => format!("register {host}: it is listed and has no row"),
        Step::Assign(host, pool) => format!("assign {host} to {pool}: the pool lacks a host here"),
        Step::Leave { hosts, cause, granted } => {
            let hosts = names(hosts.iter());
            let services = names(granted.keys());
            match granted.is_empty() {
                true => format!("withdraw {hosts}: {cause:?}; its pool has more than it needs"),
                false => {
                    format!("take {hosts} out: {cause:?}; granted by the budget of {services}")
                }
            }
        }
        Step::Depart(host) => format!("let {host} go: it acknowledged and runs no task"),
        Step::Recover(host) => format!("give {host} back to its pool: it has booted"),
        Step::Report(service, down) => {
            format!("note for {service}: {} hosts are down ({})", down.len(), names(down.iter()))
        }
    }
}

fn names<T: ToString>(names: impl Iterator<Item = T>) -> String {
    names.map(|name| name.to_string()).collect::<Vec<_>>().join(", ")
}
