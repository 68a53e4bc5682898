//! The process of an entry host that plans its data centre.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};
use skylarkwick_planner::Planner;
use skylarkwick_process::{duty::Stop, exit::ExitStatus, log, settings::process::Settings, signal};
use slog::{Logger, error, info};

fn main() -> ExitStatus {
    let arguments = command().get_matches();
    let path = arguments.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let name = arguments.get_one::<String>("entry").map(String::as_str);
    let settings = match Settings::load(&path, name) {
        Ok(settings) => settings,
        Err(error) => {
            error!(log::open(log::Format::Human, slog::Level::Info), "{error}");
            return ExitStatus::Error;
        }
    };
    let log = log::open(settings.log_format, settings.log_level);
    match run(&settings, &log) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            error!(log, "{error}");
            ExitStatus::Error
        }
    }
}

fn command() -> Command {
    Command::new("skylarkwick-planner")
        .about("Plans the hosts of a data centre: pools, budgets, maintenance waves")
        .version(clap::crate_version!())
        .after_help(
            "Example:\n  skylarkwick-planner --settings examples/caroni/entry.toml --entry pos-e1\n\n\
             Stops on SIGTERM and gives its lease up.\n\
             Exit status: 0 stopped as asked, 2 the settings are not valid.",
        )
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

fn run(settings: &Settings, log: &Logger) -> Result<(), Box<dyn std::error::Error>> {
    let stop = Stop::default();
    signal::watch(stop.clone())?;
    let planner = Planner::start(settings, log)?;
    stop.wait();
    planner.stop();
    info!(log, "stopped");
    Ok(())
}
