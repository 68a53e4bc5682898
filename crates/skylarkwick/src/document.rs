//! `skylarkwick apply`, `show`, `diff` and `history`.

use std::{io::Write, path::PathBuf};

use clap::ArgMatches;
use skylarkwick_connection::platform::documents;
use skylarkwick_process::{exit::ExitStatus, settings::read_source};
use skylarkwick_version::{document::Options, name};

use crate::rows::{Failed, platform, text, token};

pub(crate) fn apply(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let source = read_source(&path(arguments))?;
    let platform = platform(arguments)?;
    let if_match = arguments.get_one::<u64>("if-match").copied();
    let operator = text(arguments, "operator");
    let applied = documents::apply(&platform, &source, operator, if_match, token())?;
    writeln!(
        output,
        "{}: change {} is accepted (revision {})",
        applied.service, applied.change, applied.revision
    )?;
    Ok(ExitStatus::Success)
}

pub(crate) fn show(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let service = name::Service::try_from(text(arguments, "service"))?;
    match documents::read(&platform(arguments)?, &service)? {
        (_, Some(document)) => {
            writeln!(output, "# change {} by {}", document.change, document.operator)?;
            write!(output, "{}", document.text)?;
            Ok(ExitStatus::Success)
        }
        (_, None) => Err(Failed::Refused(format!("service {service} has no document"))),
    }
}

pub(crate) fn diff(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let source = read_source(&path(arguments))?;
    let service = Options::load(&source)?.service;
    let (_, current) = documents::read(&platform(arguments)?, &service)?;
    let text = current.map(|document| document.text).unwrap_or_default();
    let keys = documents::differing(&text, source.text());
    for key in &keys {
        writeln!(output, "{key}")?;
    }
    Ok(if keys.is_empty() { ExitStatus::Success } else { ExitStatus::Failure })
}

pub(crate) fn history(
    arguments: &ArgMatches,
    output: &mut impl Write,
) -> Result<ExitStatus, Failed> {
    let service = name::Service::try_from(text(arguments, "service"))?;
    let mut before = String::new();
    for document in documents::history(&platform(arguments)?, &service)? {
        let keys = documents::differing(&before, &document.text);
        let keys = keys.into_iter().collect::<Vec<_>>().join(", ");
        writeln!(output, "{:>6}  {:<16}  {keys}", document.change, document.operator)?;
        before = document.text;
    }
    Ok(ExitStatus::Success)
}

fn path(arguments: &ArgMatches) -> PathBuf {
    arguments.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}
