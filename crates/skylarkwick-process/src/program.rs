//! Startup and shutdown shared by the processes of an entry host: arguments,
//! settings, log, termination signals and exit status.

use std::{error::Error, io, path::PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use skylarkwick_version::name;
use slog::{Logger, error, info};

use crate::{duty::StopSignal, exit::ExitStatus, log, settings::process::Settings, signal, trace};

/// Error returned when a process of an entry host cannot start; names the process, the
/// entry host, the part that could not be started and why.
#[derive(Debug, thiserror::Error)]
#[error("{process} on entry host {entry}: cannot start its {part}: {error}")]
pub struct StartError {
    process: &'static str,
    entry: name::Entry,
    part: &'static str,
    #[source]
    error: io::Error,
}

impl StartError {
    /// Creates an error for `part` of `process` on the entry host `entry`.
    pub fn new(
        process: &'static str,
        entry: &name::Entry,
        part: &'static str,
        error: io::Error,
    ) -> StartError {
        StartError { process, entry: entry.clone(), part, error }
    }
}

/// Returns the command `name` with the arguments shared by the processes of an entry host:
/// `--settings`, which is required, and `--entry`.
pub fn command(name: &'static str) -> Command {
    Command::new(name)
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of the process"),
        )
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("NAME")
                .help("Name of the entry host, in place of the one in the settings"),
        )
}

/// Loads the settings, runs `job` until it returns, and returns the exit status: `Error`,
/// after logging why, if the settings are invalid, the signal handlers cannot be installed
/// or `job` fails; otherwise `Success`.
///
/// The stop signal passed to `job` is requested on SIGTERM or SIGINT; `job` then has to
/// return. `arguments` are those of [`command`].
pub fn run<E>(
    arguments: &ArgMatches,
    job: impl FnOnce(&Settings, &Logger, &StopSignal) -> Result<(), E>,
) -> ExitStatus
where
    E: Into<Box<dyn Error>>,
{
    let path = arguments.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let name = arguments.get_one::<String>("entry").map(String::as_str);
    let settings = match Settings::load(&path, name) {
        Ok(settings) => settings,
        Err(error) => {
            let output = log::Output::to_stderr(log::Format::Human, slog::Level::Info);
            error!(output.logger(), "{error}");
            return ExitStatus::Error;
        }
    };
    let output = log::Output::to_stderr(settings.log_format, settings.log_level);
    let log = output.logger();
    trace::init(log.clone());
    let stop = StopSignal::default();
    let result = signal::watch_termination(stop.clone())
        .map_err(Into::into)
        .and_then(|_| job(&settings, log, &stop).map_err(Into::into));
    match result {
        Ok(()) => {
            info!(log, "stopped");
            ExitStatus::Success
        }
        Err(error) => {
            error!(log, "{error}");
            ExitStatus::Error
        }
    }
}
