//! Plays a case of the review: starts the system's programs as processes, with stand-ins of
//! the store, the machines, the workers and the clients, and judges what these have seen.

mod cases;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

/// Exit status of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(root), Some(record)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-stand-in CASE REPOSITORY RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("the record can't be written");
        return ExitCode::from(NOT_RUN);
    };
    record.write(&format!("case {name}, trouble: {has_trouble}"));
    let result = cases::play(&name, PathBuf::from(root), has_trouble, &record);
    let (line, status) = match result {
        Ok(breaks) if breaks.is_empty() => ("held".to_owned(), 0),
        Ok(breaks) => {
            breaks.iter().for_each(|line| record.write(&format!("BROKEN {line}")));
            (format!("broken, {} times; first: {}", breaks.len(), breaks[0]), 1)
        }
        Err(error) => (format!("could not run: {error}"), NOT_RUN),
    };
    record.write(&line);
    println!("{name}: {line}");
    ExitCode::from(status)
}
