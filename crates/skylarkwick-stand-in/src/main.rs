//! Runs fakes of a site's platform and workers, to try the product without them.

use std::{path::PathBuf, time::Duration};

use clap::{Arg, Command, value_parser};
use skylarkwick_process::{
    duty::StopSignal,
    exit::ExitStatus,
    log::{Format, Output},
    settings::{read_source, site},
    signal,
};
use skylarkwick_stand_in::site::{Addresses, Site, StartOptions};
use slog::{Logger, error, info};

/// Simulated reboot time of a worker.
const REBOOT_TIME: Duration = Duration::from_secs(5);

/// Runs the fakes until they are stopped by a signal.
fn main() -> ExitStatus {
    let arguments = Command::new("skylarkwick-stand-in")
        .about("Runs fakes of the platform and of a site's workers")
        .version(clap::crate_version!())
        .after_help("Example:\n  skylarkwick-stand-in --site examples/caroni/site.toml")
        .arg(
            Arg::new("site")
                .long("site")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of the site"),
        )
        .get_matches();
    let output = Output::to_stderr(Format::Human, slog::Level::Info);
    let log = output.logger();
    let path = arguments.get_one::<PathBuf>("site").cloned().unwrap_or_default();
    match run(&path, log) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            error!(log, "{error}");
            ExitStatus::Error
        }
    }
}

/// Starts the fakes at the addresses in the site settings at `path`, and stops them
/// after SIGTERM or SIGINT. An error is a message for the operator.
fn run(path: &std::path::Path, log: &Logger) -> Result<(), String> {
    let source = read_source(path).map_err(|error| error.to_string())?;
    let settings = site::Settings::load(&source).map_err(|error| error.to_string())?;
    let stop = StopSignal::default();
    signal::watch_termination(stop.clone()).map_err(|error| error.to_string())?;
    let options = StartOptions {
        addresses: Addresses::Configured,
        reboot_time: REBOOT_TIME,
        has_relays: false,
    };
    let site = Site::start(&settings, options).map_err(|error| error.to_string())?;
    info!(log, "platform and workers are up";
        "platform" => %site.platform_address, "workers" => site.workers.len());
    stop.wait();
    site.stop();
    Ok(())
}
