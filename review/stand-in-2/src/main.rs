//! Cases of the second review that are shown by a script: `review-case-2 CASE RECORD`.
//!
//! Run from the root of the repository. The exit status is 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption
//! is left out.

mod cases;
mod http;
mod json;
mod process;
mod site;
mod store;

use std::{env, fs, panic, path::Path, process::ExitCode};

use cases::Outcome;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-case-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let run = || cases::run(case, Path::new(record), &folder, has_trouble);
    let outcome = panic::catch_unwind(run).unwrap_or(Outcome::NotRun);
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&folder);
    }
    match outcome {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::NotRun => ExitCode::from(2),
    }
}
