//! Runs a whole site in one process and checks the product's guarantees.
//!
//! Entry hosts and planners run against fakes of the platform and of the backend
//! servers. Callers send requests over HTTP on loopback. At the end, the outcomes
//! that callers saw are compared with the runs that the backend servers recorded.

mod arguments;
mod callers;
mod demand;
mod fault;
mod operator;
mod report;
mod run;
mod sampler;
mod site;

use std::io::{self, Write};

use skylarkwick_process::{
    exit::ExitStatus,
    log::{Format, Output, discard},
};

use crate::arguments::Arguments;

/// Runs the demo, or lists the faults. Returns `Failure` if a guarantee was violated.
fn main() -> ExitStatus {
    let matches = arguments::command().get_matches();
    let mut output = io::stdout();
    if matches.get_flag("list-faults") {
        let names = fault::Fault::ALL.iter().map(|fault| fault.name());
        let text = names.collect::<Vec<_>>().join("\n");
        return finish(&writeln!(output, "{text}"), ExitStatus::Success);
    }
    let arguments = match Arguments::from_matches(&matches) {
        Ok(arguments) => arguments,
        Err(error) => {
            return finish(&writeln!(io::stderr(), "skylarkwick-demo: {error}"), ExitStatus::Error);
        }
    };
    let log_output =
        arguments.is_verbose.then(|| Output::to_stderr(Format::Human, slog::Level::Info));
    let log = log_output.as_ref().map_or_else(discard, |output| output.logger().clone());
    let report = match run::run(&arguments, &log) {
        Ok(report) => report,
        Err(error) => {
            return finish(&writeln!(io::stderr(), "skylarkwick-demo: {error}"), ExitStatus::Error);
        }
    };
    let written = match arguments.is_json {
        true => writeln!(output, "{}", report.json()),
        false => write!(output, "{}", report.table()),
    };
    finish(&written, if report.is_ok() { ExitStatus::Success } else { ExitStatus::Failure })
}

/// Returns `status`, or `Error` if the output could not be written.
fn finish(written: &io::Result<()>, status: ExitStatus) -> ExitStatus {
    match written {
        Ok(()) => status,
        Err(_) => ExitStatus::Error,
    }
}
