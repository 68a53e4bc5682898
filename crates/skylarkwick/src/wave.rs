//! `skylarkwick wave start|pause|resume|status`.

use std::io::Write;

use clap::ArgMatches;
use skylarkwick_connection::platform::{
    Key, Row, Transaction,
    http::Platform,
    row::{self, PROGRESS, WAVE},
};
use skylarkwick_process::exit::ExitStatus;
use skylarkwick_version::{
    name,
    wave::{self, State},
};

use crate::rows::{Failed, commit, decoded, platform, read_row, text, token};

pub(crate) fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let (command, arguments) = arguments.subcommand().unwrap_or(("status", arguments));
    let platform = platform(arguments)?;
    let name = name::Wave::try_from(text(arguments, "wave"))?;
    let key = row::key(WAVE, name.as_str());
    let row = read_row(&platform, &key)?;
    let known = row::decode::<row::Wave, wave::Wave>(&row)?;
    match (command, known) {
        ("start", None) => {
            let pool = arguments.get_one::<String>("pool").map(String::as_str);
            let pool = pool.map(name::Pool::try_from).transpose()?;
            let wave = wave::Wave { name, state: State::Running, pool };
            write(&platform, key, &row, &wave, output)
        }
        ("start", Some(_)) => Err(Failed::Refused(format!("wave {name} was started before"))),
        (_, None) => Err(Failed::Refused(format!("wave {name} does not exist"))),
        ("pause", Some(wave)) => {
            write(&platform, key, &row, &wave::Wave { state: State::Paused, ..wave }, output)
        }
        ("resume", Some(wave)) => {
            write(&platform, key, &row, &wave::Wave { state: State::Running, ..wave }, output)
        }
        (_, Some(wave)) => status(&platform, &wave, output),
    }
}

fn write(
    platform: &Platform,
    key: Key,
    row: &Row,
    wave: &wave::Wave,
    output: &mut impl Write,
) -> Result<ExitStatus, Failed> {
    let value = row::encode(&row::Wave::from(wave));
    commit(platform, &Transaction::new(token()).replace(key, row.revision, value))?;
    writeln!(output, "wave {}: {:?}", wave.name, wave.state)?;
    Ok(ExitStatus::Success)
}

fn status(
    platform: &Platform,
    wave: &wave::Wave,
    output: &mut impl Write,
) -> Result<ExitStatus, Failed> {
    writeln!(output, "wave {}: {:?}", wave.name, wave.state)?;
    let prefix = format!("{PROGRESS}{}/", wave.name);
    for (data_centre, progress) in decoded::<row::Progress, wave::Progress>(platform, &prefix)? {
        writeln!(output, "  {data_centre}: {} hosts done", progress.done.len())?;
    }
    Ok(ExitStatus::Success)
}
