//! The process of an entry host that serves callers.

use skylarkwick_entry::EntryHost;
use skylarkwick_process::{
    exit::ExitStatus,
    program::{self, StartError},
};

fn main() -> ExitStatus {
    let command = program::command("skylarkwick-entry")
        .about("Serves callers on an entry host: admission, queue, dispatch")
        .after_help(
            "Example:\n  skylarkwick-entry --settings examples/caroni/entry.toml --entry pos-e1\n\n\
             Stops on SIGTERM after every request in progress has been answered.\n\
             Exit status: 0 stopped as asked, 2 the settings are not valid or a port is taken.",
        );
    program::run(&command.get_matches(), |settings, log, stop| {
        let entry = EntryHost::start(settings, log)?;
        stop.wait();
        entry.stop();
        Ok::<(), StartError>(())
    })
}
