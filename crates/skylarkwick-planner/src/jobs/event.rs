//! Events that the other duties send to the holder's duty.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_connection::control::{Configuration, PollError};
use skylarkwick_process::ring;
use skylarkwick_request::{
    job::{self, progress::Progress, task},
    shard::{
        effect::{Batch, JobUpdate, Target},
        input::{
            AcceptedJob, Host, HostId, HostOrderResult, MaintenanceWave, OrderResult, ServerId,
            ServerInfo, StatusReport,
        },
    },
};
use skylarkwick_version::{moment::Moment, resources::Resources, revision::Revision};

use super::lease::Renewal;

/// An event for the holder's duty: a change of the platform's rows or lists, the result of
/// a call to a backend server or of a write, or the result of a lease renewal.
#[derive(Debug)]
pub(super) enum Event {
    /// The platform returned the configuration in force.
    ConfigurationChanged(Box<Configuration>),
    /// What each workspace may have running in this shard of a divided site.
    QuotaLimits {
        /// Number of this change of the limits, which the holder reports back.
        version: u64,
        /// Limits by workspace.
        limits: BTreeMap<Arc<str>, Resources>,
    },
    /// An operator requested a maintenance wave.
    WaveRequested(MaintenanceWave),
    /// The store has a job that is not finished; it may be one that the shard knows.
    JobAdded(Box<AcceptedJob>),
    /// A job is finished or was cancelled, or its row was changed.
    JobRemoved(job::Key),
    /// The row of a job that was over was removed.
    JobForgotten(job::Key),
    /// The servers in the platform's list.
    ServersListed(Vec<ServerInfo>),
    /// The hosts in the platform's list, and when the list was requested.
    HostsListed(Vec<Host>, Moment),
    /// A backend server responded to a poll.
    StatusReported(Box<StatusReport>),
    /// A poll of a backend server failed, or was not sent because its poller was busy or
    /// could not be started.
    PollFailed(Target, PollError),
    /// Result of the order to start this run of a task on this server; a rejection if it
    /// was not sent.
    StartResult(ServerId, task::Id, task::RunId, OrderResult),
    /// Result of the order to stop this run of a task on this server; a rejection if it was
    /// not sent.
    StopResult(ServerId, task::Id, task::RunId, OrderResult),
    /// Updates of one queue, a part of a batch, were stored.
    UpdatesSaved(Vec<JobUpdate>),
    /// All updates of a batch were stored; the batch holds the run ends that they cover.
    BatchSaved(Box<Batch>),
    /// The updates that the batch holds may not have been stored, or the saver's ring was
    /// full.
    BatchNotSaved(Box<Batch>),
    /// Current revision of a job's progress row, and its value if another write had
    /// changed it.
    ProgressStored(job::Key, Revision, Option<Progress>),
    /// Result of an order for a host; busy if it was not sent.
    HostOrderResult(HostId, HostOrderResult),
    /// Result of storing the progress of a wave.
    WaveSaveResult {
        /// Number of the wave.
        wave: u64,
        /// Whether it was stored; if false, it may still have been.
        is_saved: bool,
        /// Whether every host of the wave is done.
        is_completed: bool,
    },
    /// Incarnations of servers that were to be stored may not have been.
    IncarnationsNotSaved,
    /// Result of a lease renewal, and when the renewal was sent; lost also if a write
    /// showed that a later holder has acquired the shard.
    LeaseRenewal(Renewal, Moment),
}

/// Sends an event to the holder; blocks while its ring is full. Returns false once the
/// holder has ended; the event is then dropped, because the next holder reads the rows.
pub(super) fn send(events: &ring::Sender<Event>, event: Event) -> bool {
    events.send(event).is_ok()
}
