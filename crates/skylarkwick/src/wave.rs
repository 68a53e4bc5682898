//! `skylarkwick wave`: starts, pauses and resumes waves and shows their progress.

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

use crate::common::{
    Error, commit, decode_rows, new_token, platform_client, read_row, text_argument,
};

/// Runs a subcommand of `wave`: `start` fails if the wave exists, the others if it does
/// not.
pub(crate) fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let (command, arguments) = arguments.subcommand().unwrap_or(("status", arguments));
    let platform = platform_client(arguments)?;
    let name = name::Wave::try_from(text_argument(arguments, "wave"))?;
    let key = row::key(WAVE, name.as_str());
    let row = read_row(&platform, &key)?;
    let current = row::decode::<row::Wave, wave::Wave>(&row)?;
    match (command, current) {
        ("start", None) => {
            let pool = arguments.get_one::<String>("pool").map(String::as_str);
            let pool = pool.map(name::Pool::try_from).transpose()?;
            let wave = wave::Wave { name, state: State::Running, pool };
            write_wave(&platform, key, &row, &wave, output)
        }
        ("start", Some(_)) => Err(Error::Refused(format!(
            "wave {name} already exists; choose another name, \
             or see `skylarkwick wave status {name}`"
        ))),
        (_, None) => Err(Error::Refused(format!(
            "wave {name} does not exist; start it with `skylarkwick wave start {name}`"
        ))),
        ("pause", Some(wave)) => {
            write_wave(&platform, key, &row, &wave::Wave { state: State::Paused, ..wave }, output)
        }
        ("resume", Some(wave)) => {
            write_wave(&platform, key, &row, &wave::Wave { state: State::Running, ..wave }, output)
        }
        (_, Some(wave)) => print_progress(&platform, &wave, output),
    }
}

/// Writes the row of a wave and prints the wave's state; fails if the row has changed
/// since it was read.
fn write_wave(
    platform: &Platform,
    key: Key,
    row: &Row,
    wave: &wave::Wave,
    output: &mut impl Write,
) -> Result<ExitStatus, Error> {
    let value = row::encode(&row::Wave::from(wave));
    commit(platform, &Transaction::new(new_token()).replace(key, row.revision, value))?;
    writeln!(output, "wave {}: {:?}", wave.name, wave.state)?;
    Ok(ExitStatus::Success)
}

/// Prints the state of a wave and the hosts done in each data centre.
fn print_progress(
    platform: &Platform,
    wave: &wave::Wave,
    output: &mut impl Write,
) -> Result<ExitStatus, Error> {
    writeln!(output, "wave {}: {:?}", wave.name, wave.state)?;
    let prefix = format!("{PROGRESS}{}/", wave.name);
    for (data_centre, progress) in decode_rows::<row::Progress, wave::Progress>(platform, &prefix)?
    {
        writeln!(output, "  {data_centre}: {} hosts done", progress.done.len())?;
    }
    Ok(ExitStatus::Success)
}
