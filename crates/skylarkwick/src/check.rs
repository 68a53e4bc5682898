//! `skylarkwick check`: checks files without a running system.

use std::{collections::BTreeMap, io::Write, path::PathBuf};

use clap::ArgMatches;
use skylarkwick_process::{
    exit::ExitStatus,
    settings::{process, read_source, site},
};
use skylarkwick_version::{document::Options, name, source::Source};

use crate::common::Error;

/// Kind of a user-written file: site settings, process settings, or a service's
/// document.
enum FileKind {
    Site,
    Process,
    Document,
}

/// Prints `ok` or the first error for each file; returns `Failure` if any file is
/// invalid or two documents define the same service. A file that can't be read ends the
/// check with an error.
pub(crate) fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let mut status = ExitStatus::Success;
    let mut services: BTreeMap<name::Service, String> = BTreeMap::new();
    for path in arguments.get_many::<PathBuf>("files").into_iter().flatten() {
        let source = read_source(path)?;
        let result = match detect_kind(&source) {
            FileKind::Site => site::Settings::load(&source).map(|_| None).map_err(Error::from),
            FileKind::Process => {
                let entry = default_entry(path, &source);
                process::Settings::load(path, entry.as_deref()).map(|_| None).map_err(Error::from)
            }
            FileKind::Document => {
                Options::load(&source).map(|document| Some(document.service)).map_err(Error::from)
            }
        };
        let file = path.display().to_string();
        match result {
            Ok(Some(service)) if services.contains_key(&service) => {
                status = ExitStatus::Failure;
                let first = &services[&service];
                writeln!(
                    output,
                    "{file}: service: {first} also defines {service}; keep one of the two files"
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

/// Detects the kind of a file by the keys in it; a file without any of them is checked
/// as a document.
fn detect_kind(source: &Source) -> FileKind {
    let has_key = |wanted: &str| {
        let keys = source.text().lines().filter_map(|line| line.split_once('='));
        let mut keys = keys.map(|(key, _)| key.trim());
        keys.any(|key| key == wanted)
    };
    match (has_key("service"), has_key("between-data-centres"), has_key("site")) {
        (true, ..) => FileKind::Document,
        (false, true, _) => FileKind::Site,
        (false, false, true) => FileKind::Process,
        _ => FileKind::Document,
    }
}

/// Returns the first entry host of the site if process settings don't name one, and
/// `None` if they do or the site settings can't be loaded.
///
/// Process settings may leave it to the command line; the check accepts any entry host
/// of the site.
fn default_entry(path: &std::path::Path, source: &Source) -> Option<String> {
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
