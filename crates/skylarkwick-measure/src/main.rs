//! Measures the product's decisions against baselines.
//!
//! Each measurement runs the product's own code for one decision (such as one queue,
//! one pool or one wave) and compares it with named baselines in the same process.
//! Most run in virtual time; `planning` and `slopes` measure real time and memory.

mod breaker;
mod claims;
mod demand;
mod least_cost;
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

/// Name and description of a measurement, and the function that runs it for a list of
/// seeds.
type Measurement = (&'static str, &'static str, fn(&[u64]) -> Vec<Row>);

/// All measurements, in the order in which they are listed.
const MEASUREMENTS: [Measurement; 7] = [
    (
        "short-before-long",
        "wait of short requests and completion of long ones, against FIFO and an oracle",
        short_before_long::run,
    ),
    (
        "breaker",
        "requests lost to workers that fail every task, with and without circuit breakers",
        breaker::run,
    ),
    ("claims", "claims per second and their delay, written in batches and one by one", claims::run),
    (
        "roll-out",
        "duration of a wave against its lower bound, one host at a time and tenths of a pool",
        roll_out::run,
    ),
    (
        "least-cost",
        "jobs in time in bursts beyond the room, against FIFO, least work first and a bound",
        least_cost::run,
    ),
    ("planning", "duration of a planning round by number of hosts", planning::run),
    ("slopes", "time and memory by number of hosts, with the error of a linear fit", slopes::run),
];

/// Runs the named measurement and prints its rows, or lists the measurements.
fn main() -> ExitStatus {
    let matches = command().get_matches();
    let mut output = io::stdout();
    if matches.get_flag("list") {
        let written = MEASUREMENTS
            .iter()
            .try_for_each(|(name, about, _)| writeln!(output, "{name:<20} {about}"));
        return exit_status(&written);
    }
    let wanted = matches.get_one::<String>("name").map(String::as_str).unwrap_or_default();
    let Some((name, _, run)) = MEASUREMENTS.iter().find(|(name, ..)| *name == wanted) else {
        let message = format!(
            "measurement {wanted:?} does not exist; run `skylarkwick-measure --list` for the names"
        );
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
    exit_status(&written)
}

/// Returns the definition of the command line.
fn command() -> Command {
    Command::new("skylarkwick-measure")
        .about("Measures the product's decisions against baselines")
        .version(clap::crate_version!())
        .after_help(
            "Exit status: 0 measured (targets met or not), 2 invalid arguments or \
             unwritable output.\n\n\
             Examples:\n  skylarkwick-measure --list\n  \
             skylarkwick-measure short-before-long --json",
        )
        .arg(Arg::new("name").value_name("NAME").required_unless_present("list"))
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..=100))
                .help("Number of seeds; runs the seeds 1 to N"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of a table"),
        )
        .arg(
            Arg::new("list")
                .long("list")
                .action(ArgAction::SetTrue)
                .help("List the measurements and exit"),
        )
}

/// Returns `Error` if the output could not be written, else `Success`.
fn exit_status(written: &io::Result<()>) -> ExitStatus {
    match written {
        Ok(()) => ExitStatus::Success,
        Err(_) => ExitStatus::Error,
    }
}
