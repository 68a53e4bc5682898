//! The operators' command line.
//!
//! Every command reads or changes rows of the platform's table service; none
//! talks to an entry host, so that an operator can act while some are down.

mod arguments;
mod check;
mod document;
mod explain;
mod plan;
mod rows;
mod status;
mod wave;

use std::io::{self, Write};

use clap::ArgMatches;
use skylarkwick_process::exit::ExitStatus;

use crate::rows::Failed;

fn main() -> ExitStatus {
    let arguments = arguments::command().get_matches();
    let mut output = io::stdout().lock();
    match run(&arguments, &mut output) {
        Ok(status) => status,
        Err(failed) => {
            // Without a standard error there is nobody left to tell.
            let _ = writeln!(io::stderr(), "skylarkwick: {failed}");
            failed.status()
        }
    }
}

fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
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
        Some(("completions", arguments)) => arguments::completions(arguments, output),
        _ => unreachable!("the command line requires a command"),
    }
}
