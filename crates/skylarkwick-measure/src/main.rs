//! Decisions of the product, measured in virtual time against baselines.
//!
//! Each measurement drives one decision (one queue, one pool, one wave) with the
//! product's own code and compares it with named baselines in the same run.

mod breaker;
mod claims;
mod demand;
mod planning;
mod pool;
mod roll_out;
mod rows;
mod short_before_long;
mod slopes;

use std::io::{self, Write};

use clap::{Arg, ArgAction, Command, value_parser};
use skylarkwick_process::exit::ExitStatus;

use crate::rows::Row;

/// A measurement: its name, what it shows, and how it is run with some seeds.
type Measurement = (&'static str, &'static str, fn(&[u64]) -> Vec<Row>);

const MEASUREMENTS: [Measurement; 6] = [
    (
        "short-before-long",
        "wait of short work and completion of long work against first-come-first-served and an oracle",
        short_before_long::run,
    ),
    (
        "breaker",
        "work lost to a worker that fails everything, with and without breakers",
        breaker::run,
    ),
    ("claims", "claims a second and their delay, in groups and one by one", claims::run),
    ("roll-out", "time of a wave against the bound, one by one, and tenths", roll_out::run),
    ("planning", "cost of a planning round by the number of hosts", planning::run),
    ("slopes", "processor time and memory by size, with the fit's error", slopes::run),
];

fn main() -> ExitStatus {
    let matches = command().get_matches();
    let mut output = io::stdout();
    if matches.get_flag("list") {
        let written = MEASUREMENTS
            .iter()
            .try_for_each(|(name, about, _)| writeln!(output, "{name:<20} {about}"));
        return finish(&written);
    }
    let wanted = matches.get_one::<String>("name").map(String::as_str).unwrap_or_default();
    let Some((name, _, run)) = MEASUREMENTS.iter().find(|(name, ..)| *name == wanted) else {
        let message = format!("measurement {wanted:?} does not exist; see --list");
        let _ = writeln!(io::stderr(), "skylarkwick-measure: {message}");
        return ExitStatus::Error;
    };
    let count = matches.get_one::<u64>("seeds").copied().unwrap_or(5);
    let seeds: Vec<u64> = (1..=count).collect();
    let measured = run(&seeds);
    let written = match matches.get_flag("json") {
        true => writeln!(output, "{}", rows::json(name, &measured)),
        false => write!(output, "{}", rows::table(&measured)),
    };
    finish(&written)
}

fn command() -> Command {
    Command::new("skylarkwick-measure")
        .about("Measures decisions in virtual time against baselines")
        .version(clap::crate_version!())
        .after_help(
            "Examples:\n  skylarkwick-measure --list\n  skylarkwick-measure short-before-long --json",
        )
        .arg(Arg::new("name").value_name("NAME").required_unless_present("list"))
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..=100))
                .help("How many seeds, from 1 on"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
        .arg(Arg::new("list").long("list").action(ArgAction::SetTrue).help("List measurements"))
}

fn finish(written: &io::Result<()>) -> ExitStatus {
    match written {
        Ok(()) => ExitStatus::Success,
        Err(_) => ExitStatus::Error,
    }
}
