//! The probe thread: polls the hosts of the data centre and sends them commands.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use skylarkwick_connection::backend::{Control, Status};
use skylarkwick_process::{
    clock::Clock,
    duty::StopSignal,
    ring::{self, SendError},
};
use skylarkwick_version::{
    host::{Epoch, Report},
    moment::Moment,
    name,
};

/// Pause before each round of probes, counted from the end of the previous one.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Age of the last report, counted from when it was received, from which on a host counts
/// as down.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The request that is sent to a host in each round: for its status, to fence it (reject
/// tasks of earlier epochs of its ownership), or to reboot it. Each makes it report its
/// status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Report the status.
    Status,
    /// Reject tasks of every epoch below this one from now on, and report the status.
    Fence(Epoch),
    /// Report the status, and reboot if the number of boots is still this one.
    Reboot(u64),
}

/// Hosts to probe in each round, with the address of each and the command to send.
pub(crate) type Targets = BTreeMap<name::Host, (SocketAddr, Command)>;

/// The last report of each host that responded within [`REPORT_TIMEOUT`]; a host
/// without one counts as down.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeResults {
    pub(crate) reports: BTreeMap<name::Host, Report>,
    /// Hosts that report that they are about to stop.
    pub(crate) stopping: Vec<name::Host>,
}

/// The last status that a host has reported, and when it was received on this process's
/// clock.
struct LastReport {
    status: Status,
    received_at: Moment,
}

/// Probes the targets last received on `input`, one host after another, and sends the
/// results of each round to `output`; they are dropped while that ring is full. Reports of
/// hosts that are no longer targets are forgotten. Returns at the stop signal or when the
/// receiver of `output` was dropped.
pub(crate) fn run<B: Control, C: Clock>(
    backend: &B,
    clock: &C,
    input: &ring::Receiver<Targets>,
    output: &ring::Sender<ProbeResults>,
    stop: &StopSignal,
) {
    let mut targets = Targets::new();
    let mut last_reports: BTreeMap<name::Host, LastReport> = BTreeMap::new();
    while !stop.sleep(PROBE_PERIOD) {
        while let Some(latest) = input.try_receive() {
            targets = latest;
        }
        for (host, (address, command)) in &targets {
            if let Some(status) = send_command(backend, *address, *command) {
                last_reports.insert(host.clone(), LastReport { status, received_at: clock.now() });
            }
        }
        last_reports.retain(|host, last| {
            targets.contains_key(host) && clock.now().since(last.received_at) < REPORT_TIMEOUT
        });
        // If the ring is full, the planner reads the next results instead.
        if let Err(SendError::Closed(_)) = output.try_send(probe_results(&last_reports)) {
            return;
        }
    }
}

/// Sends a command to the host at `address` and returns the status in its response; none if
/// it did not respond. For a reboot, the status is read first, and the reboot is sent only
/// if the host's boot number still matches; whether it succeeds is not reported.
fn send_command<B: Control>(backend: &B, address: SocketAddr, command: Command) -> Option<Status> {
    match command {
        Command::Status => backend.status(address).ok(),
        Command::Fence(epoch) => backend.fence(address, epoch).ok(),
        Command::Reboot(boot) => {
            let status = backend.status(address).ok()?;
            if status.report.boot == boot {
                // A reboot command that was lost is sent again in the next round.
                let _ = backend.reboot(address, boot);
            }
            Some(status)
        }
    }
}

/// Returns the last report of each host, and the hosts that report that they are about to
/// stop.
fn probe_results(last_reports: &BTreeMap<name::Host, LastReport>) -> ProbeResults {
    let stopping = last_reports.iter().filter(|(_, last)| last.status.is_leaving);
    ProbeResults {
        reports: last_reports
            .iter()
            .map(|(host, last)| (host.clone(), last.status.report))
            .collect(),
        stopping: stopping.map(|(host, _)| host.clone()).collect(),
    }
}
