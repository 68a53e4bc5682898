//! The `skylarkwick-planner` binary, which runs on each entry host.

use skylarkwick_planner::Planner;
use skylarkwick_process::{
    exit::ExitStatus,
    program::{self, StartError},
};

/// Runs the planner until a stop signal, then releases its lease.
fn main() -> ExitStatus {
    let command = program::command("skylarkwick-planner")
        .about("Plans the hosts of a data centre: pools, budgets, maintenance waves")
        .after_help(
            "Example:\n  skylarkwick-planner --settings examples/caroni/entry.toml --entry pos-e1\n\n\
             Releases its lease and stops on SIGTERM.\n\
             Exit status: 0 stopped by a signal, 2 invalid settings.",
        );
    program::run(&command.get_matches(), |settings, log, stop| {
        let planner = Planner::start(settings, log)?;
        stop.wait();
        planner.stop();
        Ok::<(), StartError>(())
    })
}
