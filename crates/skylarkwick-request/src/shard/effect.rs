//! What a shard asks its holder to do.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::revision::Revision;

use super::input::{HostId, ServerId};
use crate::job::{self, State, progress::Progress, task};

/// Where an order goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server that is meant.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Fencing number of the shard.
    pub fencing_token: u64,
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Start a task.
    Start {
        /// Where.
        target: Target,
        /// What.
        start: Box<Start>,
    },
    /// Stop a run.
    Stop {
        /// Where.
        target: Target,
        /// The task.
        task: task::Id,
        /// The run.
        run: task::RunId,
    },
    /// Set the pace of a run.
    SetPace {
        /// Where.
        target: Target,
        /// The task.
        task: task::Id,
        /// The run.
        run: task::RunId,
        /// Share of its full pace, in percent.
        percent: u32,
    },
    /// Look at a server, renew its lease and acknowledge ends.
    Poll {
        /// Where.
        target: Target,
        /// End of the lease on the server's clock, unless it is not renewed.
        lease_until_ms: Option<u64>,
        /// The last end that is stored.
        acknowledged: u64,
        /// How long the server may wait for an end.
        max_wait: Duration,
    },
    /// Forget a server that has left.
    RemoveServer(ServerId),
    /// Store what became known.
    Save(Batch),
    /// Move a host to another pool.
    MoveHost {
        /// The host.
        host: HostId,
        /// The pool.
        pool: Arc<str>,
    },
    /// Begin the maintenance of a host.
    MaintainHost {
        /// The host.
        host: HostId,
        /// Number of the wave.
        wave: u64,
    },
    /// Store the progress of a wave.
    SaveWave {
        /// Number of the wave.
        wave: u64,
        /// Hosts whose maintenance has begun.
        started: BTreeSet<HostId>,
        /// Time that is left for the others.
        time_left: Duration,
        /// Whether every host is done.
        is_completed: bool,
    },
    /// Store the sizes of the pools, unless they are stored.
    SavePoolSizes(BTreeMap<Arc<str>, usize>),
    /// Tell why something was decided.
    Log(LogEntry),
    /// Another holder has taken over: stop.
    StepDown,
}

/// A start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: task::Id,
    /// The run.
    pub run: task::RunId,
    /// What it runs.
    pub spec: Arc<str>,
    /// Time on the server's clock after which the start is void.
    pub until_ms: u64,
    /// Checkpoint to go on from, empty when there is none.
    pub checkpoint: Arc<str>,
}

/// Rows to write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// One entry a job.
    pub updates: Vec<JobUpdate>,
    /// Ends that may be acknowledged once the rows are stored: the server, its
    /// life and the number of the end.
    pub cursors: Vec<Cursor>,
}

/// Ends of one life of a server, up to a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The server.
    pub server: ServerId,
    /// Its life.
    pub incarnation_ms: u64,
    /// Number of the last end.
    pub number: u64,
}

/// What to write of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobUpdate {
    /// The job.
    pub id: job::Id,
    /// Its queue.
    pub queue: Arc<str>,
    /// Revision of its row.
    pub revision: Revision,
    /// Revision of the row of its progress.
    pub progress_revision: Revision,
    /// What to write.
    pub change: Change,
}

/// What became known of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Some of its tasks got further.
    Progress(Progress),
    /// It is over.
    Finished(State),
}

/// Why something was decided, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// What was decided, in two or three words.
    pub action: &'static str,
    /// The task or job, where there is one.
    pub subject: String,
    /// The server or host.
    pub location: Arc<str>,
    /// Input that decided it.
    pub reason: &'static str,
}
