//! What the duties of a holder tell the shard's duty.

use skylarkwick_connection::order::{Configuration, PollError};
use skylarkwick_process::ring;
use skylarkwick_request::{
    job::{self, progress::Progress, task},
    shard::{
        effect::Batch,
        input::{
            AcceptedJob, Host, HostId, HostOrderResult, MaintenanceWave, OrderResult, ServerId,
            ServerInfo, StatusReport,
        },
    },
};
use skylarkwick_version::{moment::Moment, revision::Revision};

use super::lease::Renewal;

/// One thing that became known.
#[derive(Debug)]
pub(super) enum Event {
    /// A configuration is in force.
    Configured(Box<Configuration>),
    /// An operator asks for a wave.
    WaveAsked(MaintenanceWave),
    /// A job was accepted.
    Submitted(Box<AcceptedJob>),
    /// A job is over or cancelled.
    Withdrawn(job::Id),
    /// The platform lists these servers.
    Servers(Vec<ServerInfo>),
    /// The platform lists these hosts.
    Hosts(Vec<Host>),
    /// A server says this of itself.
    StatusReported(Box<StatusReport>),
    /// A server said nothing.
    PollFailed(ServerId, PollError),
    /// Answer to a start.
    Started(ServerId, task::Id, task::RunId, OrderResult),
    /// Answer to a stop.
    Stopped(ServerId, task::Id, task::RunId, OrderResult),
    /// A batch is stored.
    Saved(Box<Batch>),
    /// A batch may not be stored.
    NotSaved(Box<Batch>),
    /// The row of a job's progress has this revision, and held this besides.
    Noted(job::Id, Revision, Option<Progress>),
    /// Answer to an order for a host.
    HostAnswered(HostId, HostOrderResult),
    /// The progress of a wave is stored, or may not be.
    WaveStored {
        /// Number of the wave.
        wave: u64,
        /// Whether it is stored.
        is_stored: bool,
        /// Whether the wave is over.
        is_completed: bool,
    },
    /// Outcome of a renewal of the lease, and when it was sent.
    Renewed(Renewal, Moment),
}

/// Sends an event to the holder; false once it has ended, and then its successor
/// reads the rows.
pub(super) fn tell(events: &ring::Sender<Event>, event: Event) -> bool {
    events.send(event).is_ok()
}
