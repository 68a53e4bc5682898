//! Actions that a shard requests from its holder.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::revision::Revision;

use super::input::{HostId, ServerId};
use crate::job::{self, State, progress::Progress, task};

/// Destination of an order: the server, its known incarnation and address, and the
/// fencing token that the server checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Server that must receive the order.
    pub server: ServerId,
    /// Incarnation of the server that is known; a later one may receive the order.
    pub incarnation_ms: u64,
    /// Address of the server.
    pub address: SocketAddr,
    /// Fencing token of the shard's holder.
    pub fencing_token: u64,
}

/// An action that the holder must carry out: an order to a backend server or
/// for a host, a write, a log entry, or the end of its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Start a task.
    Start {
        /// Server to start it on.
        target: Target,
        /// Task, run and payload.
        start: Box<Start>,
    },
    /// Stop a run.
    Stop {
        /// Server that runs it.
        target: Target,
        /// Task to stop.
        task: task::Id,
        /// Run to stop.
        run: task::RunId,
    },
    /// Set the pace of a run.
    SetPace {
        /// Server that runs it.
        target: Target,
        /// Task to slow down or speed up.
        task: task::Id,
        /// Run to slow down or speed up.
        run: task::RunId,
        /// Share of the full pace, in percent.
        percent: u32,
    },
    /// Poll a server for its status, renew its lease and acknowledge run ends.
    Poll {
        /// Server to poll.
        target: Target,
        /// New end of the lease on the server's clock, in milliseconds; `None`
        /// does not renew it.
        lease_until_ms: Option<u64>,
        /// Number of the last run end that is stored.
        acknowledged: u64,
        /// How long the server may wait for a run to end before it answers.
        max_wait: Duration,
    },
    /// Stop polling a server that has left or was replaced.
    RemoveServer(ServerId),
    /// Store the changes of some jobs.
    Save(Batch),
    /// Move a host to another pool.
    MoveHost {
        /// Host to move.
        host: HostId,
        /// Pool to move it to.
        pool: Arc<str>,
    },
    /// Start the maintenance of a host.
    MaintainHost {
        /// Host to maintain.
        host: HostId,
        /// Number of the wave.
        wave: u64,
    },
    /// Store the progress of a wave.
    SaveWave {
        /// Number of the wave.
        wave: u64,
        /// Hosts whose maintenance has started.
        started: BTreeSet<HostId>,
        /// Time left for the remaining hosts.
        time_left: Duration,
        /// Whether no host remains.
        is_completed: bool,
    },
    /// Store the initial sizes of the pools, unless an earlier holder has.
    SavePoolSizes(BTreeMap<Arc<str>, usize>),
    /// Log a decision and its reason.
    Log(LogEntry),
    /// Give up the shard, because another holder has taken it.
    StepDown,
}

/// A task to start: its run, what to run, until when the start is valid, and
/// the checkpoint to resume from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Task to start.
    pub task: task::Id,
    /// Run, which later orders must name.
    pub run: task::RunId,
    /// What the task runs, opaque to the shard.
    pub spec: Arc<str>,
    /// Time on the server's clock, in milliseconds, after which the server must
    /// not start the run.
    pub until_ms: u64,
    /// Checkpoint to resume from, empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Changes of jobs that are stored together, and the run ends that they cover.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// At most one update for each job.
    pub updates: Vec<JobUpdate>,
    /// Run ends that may be acknowledged once the updates are stored.
    pub cursors: Vec<Cursor>,
}

/// Position in the sequence of run ends that one incarnation of a server
/// reports; it covers all ends up to there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// Server that reported the ends.
    pub server: ServerId,
    /// Incarnation of the server, as in `ServerInfo`.
    pub incarnation_ms: u64,
    /// Number of the last run end that is covered.
    pub number: u64,
}

/// Change of one job to store, with the revisions that its rows must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobUpdate {
    /// Job to update.
    pub key: job::Key,
    /// Workspace of its caller, if the queue needs a key.
    pub workspace: Option<Arc<str>>,
    /// Expected revision of the job's row.
    pub revision: Revision,
    /// Expected revision of the row with the job's progress.
    pub progress_revision: Revision,
    /// Content to store.
    pub change: Change,
}

/// What changes in the stored state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Progress of its tasks.
    Progress(Progress),
    /// Final state of the job.
    Finished(State),
}

/// A decision about a task and its reason, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Decision, in two or three words.
    pub action: &'static str,
    /// Task that it concerns.
    pub task: String,
    /// Server that it concerns.
    pub server: Arc<str>,
    /// Input that led to the decision.
    pub reason: &'static str,
    /// For the stop of a long-running task: how many others are unavailable.
    pub unavailable: Option<Unavailable>,
}

/// Unavailable tasks of a long-running step when one more is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// Other tasks of the step and occurrence that count as unavailable.
    pub others: u32,
    /// Number of tasks that the step allows to be unavailable.
    pub limit: u32,
}
