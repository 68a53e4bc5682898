//! `skylarkwick explain`: shows the last decision on a host or a service.

use std::io::Write;

use clap::ArgMatches;
use skylarkwick_connection::platform::{
    documents,
    row::{self, BUDGET, HOST},
};
use skylarkwick_process::exit::ExitStatus;
use skylarkwick_version::{budget::Budget, host::Ownership, name};

use crate::common::{Error, decode_rows, platform_client, read_row, text_argument};

/// Prints the epoch and phase of a host and why it last changed; or, for a service, its
/// last change, the grants of its budget, the hosts that are down without a grant, and
/// the phases of its pool's hosts. Fails if the name is neither.
pub(crate) fn run(arguments: &ArgMatches, output: &mut impl Write) -> Result<ExitStatus, Error> {
    let name = text_argument(arguments, "name");
    let platform = platform_client(arguments)?;
    let row = read_row(&platform, &row::key(HOST, name))?;
    if let Some(ownership) = row::decode::<row::Host, Ownership>(&row)? {
        let reason = row::why(&row)?;
        writeln!(output, "host {name}: epoch {}, {:?}", ownership.epoch.0, ownership.phase)?;
        writeln!(output, "  because: {reason} (revision {})", row.revision)?;
        return Ok(ExitStatus::Success);
    }
    let service = name::Service::try_from(name)?;
    let (_, Some(document)) = documents::read(&platform, &service)? else {
        return Err(Error::Refused(format!(
            "{name} is neither a host nor a service; see `skylarkwick status` for the services"
        )));
    };
    let settings = documents::parse_settings(&document)?;
    writeln!(output, "service {service}: change {} by {}", document.change, document.operator)?;
    let budget_row = read_row(&platform, &row::key(BUDGET, name))?;
    let budget = row::decode::<row::Budget, Budget>(&budget_row)?.unwrap_or_default();
    for (host, cause) in &budget.grants {
        writeln!(output, "  {host}: granted: {cause:?}")?;
    }
    for host in budget.down_hosts.values().flatten() {
        writeln!(output, "  {host}: down without a grant")?;
    }
    for (host, ownership) in decode_rows::<row::Host, Ownership>(&platform, HOST)? {
        if ownership.pool() == Some(&settings.pool) {
            writeln!(output, "  {host}: {:?}", ownership.phase)?;
        }
    }
    Ok(ExitStatus::Success)
}
