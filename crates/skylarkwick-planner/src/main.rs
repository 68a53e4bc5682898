//! The process of an entry host that plans its data centre.

use skylarkwick_planner::Planner;
use skylarkwick_process::{
    exit::ExitStatus,
    program::{self, StartError},
};

fn main() -> ExitStatus {
    let command = program::command("skylarkwick-planner")
        .about("Plans the hosts of a data centre: pools, budgets, maintenance waves")
        .after_help(
            "Example:\n  skylarkwick-planner --settings examples/caroni/entry.toml --entry pos-e1\n\n\
             Stops on SIGTERM and gives its lease up.\n\
             Exit status: 0 stopped as asked, 2 the settings are not valid.",
        );
    program::run(&command.get_matches(), |settings, log, stop| {
        let planner = Planner::start(settings, log)?;
        stop.wait();
        planner.stop();
        Ok::<(), StartError>(())
    })
}
