//! Cases of the third review: starts the project's programs against stand-ins, and exits with 1
//! if a rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod platform;
mod record;
mod site;
mod store;
mod workers;

use std::{
    env,
    process::{self, ExitCode},
    thread,
    time::Duration,
};

use self::{cases::Verdict, record::Record};

/// Longest time of a case.
const MAX_TIME: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&path);
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        site::kill_all();
        late.line("not run: the case took too long");
        process::exit(2);
    });
    let verdict = cases::run(&case, &record, has_trouble);
    let (status, line) = match verdict {
        Ok(Verdict::Held(what)) => (0, format!("held: {what}")),
        Ok(Verdict::Broken(what)) => (1, format!("broken: {what}")),
        Err(error) => (2, format!("not run: {error}")),
    };
    record.line(&line);
    println!("{case}: {line}");
    ExitCode::from(status)
}
