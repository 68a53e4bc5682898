//! `skylarkwick check`: files, without a running system.

use std::{collections::BTreeMap, io::Write, path::PathBuf};

use clap::ArgMatches;
use skylarkwick_process::{
    exit::ExitStatus,
    settings::{process, read_source, site},
};
use skylarkwick_version::{document::Options, name, source::Source};

use crate::rows::Failed;

/// What kind of file a user wrote.
enum Kind {
    Site,
    Process,
    Document,
}

pub(crate) fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let mut status = ExitStatus::Success;
    let mut services: BTreeMap<name::Service, String> = BTreeMap::new();
    for path in arguments.get_many::<PathBuf>("files").into_iter().flatten() {
        let source = read_source(path)?;
        let checked = match kind(&source) {
            Kind::Site => site::Settings::load(&source).map(|_| None).map_err(Failed::from),
            Kind::Process => {
                let entry = first_entry(path, &source);
                process::Settings::load(path, entry.as_deref()).map(|_| None).map_err(Failed::from)
            }
            Kind::Document => {
                Options::load(&source).map(|document| Some(document.service)).map_err(Failed::from)
            }
        };
        let file = path.display().to_string();
        match checked {
            Ok(Some(service)) if services.contains_key(&service) => {
                status = ExitStatus::Failure;
                let first = &services[&service];
                writeln!(
                    output,
                    "{file}: service: {service} is described in {first} too; keep one"
                )?;
            }
            Ok(service) => {
                services.extend(service.map(|service| (service, file.clone())));
                writeln!(output, "{file}: ok")?;
            }
            Err(error) => {
                status = ExitStatus::Failure;
                writeln!(output, "{error}")?;
            }
        }
    }
    Ok(status)
}

fn kind(source: &Source) -> Kind {
    let has = |wanted: &str| {
        let keys = source.text().lines().filter_map(|line| line.split_once('='));
        let mut keys = keys.map(|(key, _)| key.trim());
        keys.any(|key| key == wanted)
    };
    match (has("service"), has("between-data-centres"), has("site")) {
        (true, ..) => Kind::Document,
        (false, true, _) => Kind::Site,
        (false, false, true) => Kind::Process,
        _ => Kind::Document,
    }
}

/// Process settings may leave the entry host to the command line; any will do
/// for the check.
fn first_entry(path: &std::path::Path, source: &Source) -> Option<String> {
    let has_entry = source.text().lines().any(|line| line.trim_start().starts_with("entry"));
    if has_entry {
        return None;
    }
    let line = source.text().lines().find(|line| line.trim_start().starts_with("site"))?;
    let site = line.split('"').nth(1)?;
    let source = read_source(&path.parent()?.join(site)).ok()?;
    let site = site::Settings::load(&source).ok()?;
    site.entries.keys().next().map(ToString::to_string)
}
