//! Command-line arguments.

use std::{path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::fault::Fault;

/// Validated command-line arguments: the site and its directory, how long callers send
/// requests, the seed, the faults to inject, and the form of the output.
#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    pub(crate) examples: PathBuf,
    pub(crate) site: String,
    pub(crate) duration: Duration,
    pub(crate) seed: u64,
    pub(crate) faults: Vec<Fault>,
    pub(crate) is_json: bool,
    pub(crate) is_verbose: bool,
}

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("skylarkwick-demo")
        .about("Runs a site with its callers in one process and checks the product's guarantees")
        .version(clap::crate_version!())
        .after_help(
            "Exit status: 0 all guarantees held, 1 a guarantee was violated,\n\
             2 invalid settings or arguments.\n\n\
             Examples:\n  skylarkwick-demo --site caroni --seconds 10 --seed 1\n  \
             skylarkwick-demo --site pamet --fault platform-out --json",
        )
        .arg(
            Arg::new("site")
                .long("site")
                .value_name("NAME")
                .default_value("caroni")
                .help("Name of the site, a directory in --examples"),
        )
        .arg(
            Arg::new("examples")
                .long("examples")
                .value_name("DIR")
                .default_value("examples")
                .value_parser(value_parser!(PathBuf))
                .help("Directory of the sites' settings and documents"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("10")
                .value_parser(value_parser!(u64).range(1..=3600))
                .help("How long callers send requests, in seconds"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the random requests"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .action(ArgAction::Append)
                .help("Fault to inject; may be repeated"),
        )
        .arg(flag("list-faults", "List the faults and exit"))
        .arg(flag("json", "Print the report as one JSON object instead of a table"))
        .arg(flag("verbose", "Print the log of the entry hosts and planners"))
}

/// Returns the definition of an option without a value.
fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

impl Arguments {
    /// Reads and validates the parsed arguments.
    ///
    /// # Errors
    ///
    /// Returns a message if a fault does not exist.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Arguments, String> {
        let names = matches.get_many::<String>("fault").into_iter().flatten();
        let faults = names.map(|name| Fault::from_name(name)).collect::<Result<_, _>>()?;
        Ok(Arguments {
            examples: matches.get_one("examples").cloned().unwrap_or_default(),
            site: matches.get_one("site").cloned().unwrap_or_default(),
            duration: Duration::from_secs(matches.get_one("seconds").copied().unwrap_or(10)),
            seed: matches.get_one("seed").copied().unwrap_or(1),
            faults,
            is_json: matches.get_flag("json"),
            is_verbose: matches.get_flag("verbose"),
        })
    }
}
