//! `skylarkwick apply`, `show`, `diff` and `history`.

use std::{io::Write, path::PathBuf};

use clap::ArgMatches;
use skylarkwick_connection::platform::documents;
use skylarkwick_process::{exit::ExitStatus, settings::read_source};
use skylarkwick_version::{document::Options, name};

use crate::common::{Error, new_token, platform_client, text_argument};

/// Puts a document in force and prints the number and revision of the change. With
/// `--if-match`, fails if another change is the last one.
pub(crate) fn apply(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let source = read_source(&path_argument(arguments))?;
    let platform = platform_client(arguments)?;
    let if_match = arguments.get_one::<u64>("if-match").copied();
    let operator = text_argument(arguments, "operator");
    let applied = documents::apply(&platform, &source, operator, if_match, new_token())?;
    writeln!(
        output,
        "{}: change {} is accepted (revision {})",
        applied.service, applied.change, applied.revision
    )?;
    Ok(ExitStatus::Success)
}

/// Prints the document in force with its last change and author; fails if the service
/// has no document.
pub(crate) fn show(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let service = name::Service::try_from(text_argument(arguments, "service"))?;
    match documents::read(&platform_client(arguments)?, &service)? {
        (_, Some(document)) => {
            writeln!(output, "# change {} by {}", document.change, document.operator)?;
            write!(output, "{}", document.text)?;
            Ok(ExitStatus::Success)
        }
        (_, None) => Err(Error::Refused(format!(
            "service {service} has no document; put one in force with `skylarkwick apply`"
        ))),
    }
}

/// Prints the keys that differ between a file and the document in force; returns
/// `Failure` if there are any.
pub(crate) fn diff(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let source = read_source(&path_argument(arguments))?;
    let service = Options::load(&source)?.service;
    let (_, current) = documents::read(&platform_client(arguments)?, &service)?;
    let current_text = current.map(|document| document.text).unwrap_or_default();
    let keys = documents::differing_keys(&current_text, source.text());
    for key in &keys {
        writeln!(output, "{key}")?;
    }
    Ok(if keys.is_empty() { ExitStatus::Success } else { ExitStatus::Failure })
}

/// Prints the changes of a document, oldest first: the number and author of each, and
/// the keys that it changed.
pub(crate) fn history(
    arguments: &ArgMatches,
    output: &mut impl Write,
) -> Result<ExitStatus, Error> {
    let service = name::Service::try_from(text_argument(arguments, "service"))?;
    let mut previous_text = String::new();
    for document in documents::history(&platform_client(arguments)?, &service)? {
        let keys = documents::differing_keys(&previous_text, &document.text);
        let keys = keys.into_iter().collect::<Vec<_>>().join(", ");
        writeln!(output, "{:>6}  {:<16}  {keys}", document.change, document.operator)?;
        previous_text = document.text;
    }
    Ok(ExitStatus::Success)
}

/// Returns the path in the argument `file`.
fn path_argument(arguments: &ArgMatches) -> PathBuf {
    arguments.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}
