//! Cases of the fourth review: each starts the project's own processes on loopback addresses,
//! beside stand-ins of the platform's store, of workers and of clients.
//!
//! `review-4 CASE FOLDER` plays a case and writes `record.txt` into the folder. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` it plays
//! the same without the disruption.

mod cases;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use std::{env, io, path::Path, process::ExitCode};

use site::Site;

/// How a case ended: its site, and whether the rule was broken.
type Outcome = io::Result<(Site, bool)>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("review-4 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "lasting-done" => cases::lasting_done::play(has_trouble),
        "foreign-entry" => cases::foreign_entry::play(has_trouble, false),
        "foreign-entry-copy" => cases::foreign_entry::play(has_trouble, true),
        "lost-holder" => cases::lost_holder::play(has_trouble),
        "waiting-count" => cases::waiting_count::play(has_trouble),
        "early-cancel" => cases::early_cancel::play(has_trouble),
        "excess-fills" => cases::excess_fills::play(has_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    let (site, is_broken) = match outcome {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            return ExitCode::from(2);
        }
    };
    site.record.add(if is_broken { "the rule was broken" } else { "the rule held" });
    match site.finish(Path::new(folder)) {
        Ok(()) => ExitCode::from(u8::from(is_broken)),
        Err(error) => {
            eprintln!("no record: {error}");
            ExitCode::from(2)
        }
    }
}
