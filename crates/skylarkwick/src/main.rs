//! The operators' command line.
//!
//! Commands read and change rows of the platform's table service and never call an
//! entry host, so that operators can act while entry hosts are down.

mod arguments;
mod check;
mod common;
mod document;
mod explain;
mod plan;
mod status;
mod wave;

use std::io::{self, Write};

use clap::ArgMatches;
use skylarkwick_process::exit::ExitStatus;

use crate::common::Error;

/// Runs a command; prints an error to standard error and returns its exit status.
fn main() -> ExitStatus {
    let arguments = arguments::command().get_matches();
    let mut output = io::stdout().lock();
    match run(&arguments, &mut output) {
        Ok(status) => status,
        Err(error) => {
            // If standard error can't be written to, only the exit status reports the error.
            let _ = writeln!(io::stderr(), "skylarkwick: {error}");
            error.exit_status()
        }
    }
}

/// Runs the command that the arguments name; returns its exit status.
fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    match arguments.subcommand() {
        Some(("check", arguments)) => check::run(arguments, output),
        Some(("apply", arguments)) => document::apply(arguments, output),
        Some(("show", arguments)) => document::show(arguments, output),
        Some(("diff", arguments)) => document::diff(arguments, output),
        Some(("history", arguments)) => document::history(arguments, output),
        Some(("drain", arguments)) => plan::drain(arguments, output),
        Some(("undrain", arguments)) => plan::undrain(arguments, output),
        Some(("plan", arguments)) => plan::show(arguments, output),
        Some(("status", arguments)) => status::run(arguments, output),
        Some(("explain", arguments)) => explain::run(arguments, output),
        Some(("wave", arguments)) => wave::run(arguments, output),
        Some(("completions", arguments)) => arguments::print_completions(arguments, output),
        _ => unreachable!("the command line requires a command"),
    }
}
