//! `skylarkwick explain`: what was decided last about a host or a service.

use std::io::Write;

use clap::ArgMatches;
use skylarkwick_connection::platform::{
    documents,
    row::{self, BUDGET, HOST},
};
use skylarkwick_process::exit::ExitStatus;
use skylarkwick_version::{budget::Budget, host::Ownership, name};

use crate::rows::{Failed, decoded, platform, read_row, text};

pub(crate) fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Failed> {
    let wanted = text(arguments, "name");
    let platform = platform(arguments)?;
    let host = read_row(&platform, &row::key(HOST, wanted))?;
    if let Some(ownership) = row::decode::<row::Host, Ownership>(&host)? {
        let why = row::why(&host)?;
        writeln!(output, "host {wanted}: epoch {}, {:?}", ownership.epoch.0, ownership.phase)?;
        writeln!(output, "  because: {why} (revision {})", host.revision)?;
        return Ok(ExitStatus::Success);
    }
    let service = name::Service::try_from(wanted)?;
    let (_, Some(document)) = documents::read(&platform, &service)? else {
        return Err(Failed::Refused(format!("{wanted} is neither a host nor a service")));
    };
    let settings = documents::checked(&document)?;
    writeln!(output, "service {service}: change {} by {}", document.change, document.operator)?;
    let budget = read_row(&platform, &row::key(BUDGET, wanted))?;
    let budget = row::decode::<row::Budget, Budget>(&budget)?.unwrap_or_default();
    for (host, cause) in &budget.grants {
        writeln!(output, "  {host}: granted: {cause:?}")?;
    }
    for host in budget.down_hosts.values().flatten() {
        writeln!(output, "  {host}: down without a grant")?;
    }
    for (host, ownership) in decoded::<row::Host, Ownership>(&platform, HOST)? {
        if ownership.pool() == Some(&settings.pool) {
            writeln!(output, "  {host}: {:?}", ownership.phase)?;
        }
    }
    Ok(ExitStatus::Success)
}
