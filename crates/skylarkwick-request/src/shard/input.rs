//! What the holder passes into a shard.

use std::{collections::BTreeSet, fmt, net::SocketAddr, sync::Arc, time::Duration};

use skylarkwick_version::{moment::Moment, resources::Resources, revision::Revision};

use crate::job::{self, progress::Progress, task};

/// Identity of a backend server: its name on the platform, stable across
/// restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub Arc<str>);

impl fmt::Display for ServerId {
    /// Writes the name of the server.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identity of a host: its name on the platform, stable across moves and
/// maintenance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub Arc<str>);

impl fmt::Display for HostId {
    /// Writes the name of the host.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A queue of a configuration: its pool, priority, limit of attempts
/// and objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Pool whose hosts run the queue's tasks.
    pub pool: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails; 0 counts as
    /// 1.
    pub max_attempts: u32,
    /// Multiple of a job's critical path that its objective allows, limited to
    /// 1 to 100.
    pub stretch: f64,
    /// Time that the objective allows in addition to that.
    pub target: Duration,
}

/// A job whose acceptance was confirmed to its caller, as its stored rows have
/// it.
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    /// Identity of the job.
    pub id: job::Id,
    /// Queue to which it was submitted.
    pub queue: Arc<str>,
    /// Settings of the queue at its acceptance; `None` if an earlier release has stored it.
    pub queue_settings: Option<Queue>,
    /// Workspace of its caller, if the queue needs a key.
    pub workspace: Option<Arc<str>>,
    /// What was submitted.
    pub job: Arc<job::Job>,
    /// Revision of the job's row.
    pub revision: Revision,
    /// Time since the job was accepted.
    pub age: Duration,
    /// Stored progress of its tasks.
    pub progress: Progress,
    /// Revision of the row with its progress.
    pub progress_revision: Revision,
}

/// A backend server in the platform's list: its incarnation and address, where
/// it runs, and the resources and labels of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Identity of the server.
    pub id: ServerId,
    /// Start of this incarnation of the server, in Unix milliseconds; tells it
    /// from earlier ones.
    pub incarnation_ms: u64,
    /// Address for orders.
    pub address: SocketAddr,
    /// Pool of its host.
    pub pool: Arc<str>,
    /// Data centre of its host.
    pub data_centre: Arc<str>,
    /// Host that it runs on, if the platform names one.
    pub host: Option<HostId>,
    /// Resources of its host.
    pub capacity: Resources,
    /// Labels of its host, including the rack.
    pub labels: BTreeSet<Arc<str>>,
    /// Whether it is about to leave; it gets no new work, and its tasks are
    /// drained.
    pub is_leaving: bool,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// Can be used and ordered.
    Up,
    /// Is being moved or maintained.
    Busy,
    /// Is down.
    Down,
}

/// A host in the platform's list: its pool and state, where it is, its
/// resources and its backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Identity of the host.
    pub id: HostId,
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// State of the host.
    pub state: HostState,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Labels, including the rack.
    pub labels: BTreeSet<Arc<str>>,
    /// Resources of the host.
    pub capacity: Resources,
    /// Backend server on it, if there is one.
    pub server: Option<ServerId>,
}

/// Maintenance of a set of hosts that an operator requested, with the time in
/// which to do it and the hosts whose maintenance has started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// Hosts to maintain.
    pub hosts: BTreeSet<HostId>,
    /// Time left for all hosts when the holder passes the wave in.
    pub time_left: Duration,
    /// Most hosts that may be down for the wave at once; 0 counts as 1.
    pub max_unavailable: usize,
    /// Hosts whose maintenance has started, as stored.
    pub started: BTreeSet<HostId>,
}

/// A reading of a backend server's clock, and when the request for it was sent
/// and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time on the server's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the request was sent, on the local clock.
    pub sent: Moment,
    /// When the response arrived, on the local clock.
    pub received: Moment,
}

/// A backend server's answer to a poll: its incarnation and clock, its runs in
/// progress, and the run ends that were not acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusReport {
    /// Server that was polled.
    pub server: ServerId,
    /// Incarnation that answered, in Unix milliseconds, if it says so.
    pub incarnation_ms: Option<u64>,
    /// Reading of its clock.
    pub clock: ClockReading,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Runs whose ends were not acknowledged, oldest first.
    pub finished: Vec<FinishedRun>,
    /// Whether there may be more finished runs than are listed; a run in
    /// neither list may then have ended.
    pub is_partial: bool,
}

/// A run in progress, as its server reports it: the latest checkpoint, the share
/// done or the availability, and the tail latency.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// Task that runs.
    pub task: task::Id,
    /// Run of the task.
    pub run: task::RunId,
    /// Latest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
    /// Completed share of the work, in percent; for a long-running task, how
    /// far it is available, 100 being fully.
    pub percent: u32,
    /// Tail latency of a serving task, in milliseconds.
    pub tail_ms: Option<u64>,
}

/// A run that has ended, as its server reports it until the end is
/// acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRun {
    /// Number of the end, counted by this incarnation of the server.
    pub number: u64,
    /// Task that ran.
    pub task: task::Id,
    /// Run of the task.
    pub run: task::RunId,
    /// How the run ended.
    pub outcome: task::RunOutcome,
    /// Latest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Result of an order to a backend server: done, refused or never received, or
/// unknown; with the server's clock if it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The order was carried out; the server's clock when it answered.
    Done(ClockReading),
    /// The order was rejected or never reached the server, which did nothing;
    /// the reason, and the server's clock if it answered with it.
    Refused(RejectReason, Option<ClockReading>),
    /// The order may have been carried out, or still may be.
    Unknown,
}

/// Why a backend server rejected an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Another holder has a higher fencing token.
    Fenced,
    /// The run is not newer than one that was stopped or has ended there.
    StaleRun,
    /// The order arrived after its deadline.
    Expired,
    /// The host lacks resources.
    InsufficientCapacity,
    /// The server is unhealthy or overloaded, or could not be reached.
    Unavailable,
    /// The holder had too many orders to send, and the server has not seen this one.
    NotSent,
    /// Another incarnation of the server, or another server, is at the address.
    IncarnationMismatch,
    /// The server can't process the order.
    Invalid,
}

/// Result of an order for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostOrderResult {
    /// The action has started, now or earlier.
    Done,
    /// The host is not up or is leaving, or the order was not sent.
    Busy,
    /// The platform rejects the order.
    Refused,
    /// The action may have started.
    Unknown,
}
