//! What a shard is told.

use std::{collections::BTreeSet, fmt, net::SocketAddr, sync::Arc, time::Duration};

use skylarkwick_version::{moment::Moment, resources::Resources, revision::Revision};

use crate::job::{self, progress::Progress, task};

/// Identity of a backend server, kept through its restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub Arc<str>);

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identity of a host, kept through moves and maintenance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub Arc<str>);

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A queue as the configuration in force has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// The pool whose hosts run its tasks.
    pub pool: Arc<str>,
    /// Rank among queues; zero comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Factor of a job's chain in its objective.
    pub stretch: f64,
    /// Time that is added to the objective.
    pub target: Duration,
}

/// A job that callers were told is accepted.
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    /// The job's identity.
    pub id: job::Id,
    /// The queue it was handed in to.
    pub queue: Arc<str>,
    /// What was handed in.
    pub job: Arc<job::Job>,
    /// Revision of its row.
    pub revision: Revision,
    /// How long ago it was accepted.
    pub age: Duration,
    /// What is known of its tasks, with the revision of that row.
    pub progress: Progress,
    /// Revision of the row of its progress.
    pub progress_revision: Revision,
}

/// A backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// The server.
    pub id: ServerId,
    /// When this life of the server began, in Unix milliseconds.
    pub incarnation_ms: u64,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The pool that its host belongs to.
    pub pool: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its host.
    pub host: Option<HostId>,
    /// What its host offers.
    pub capacity: Resources,
    /// Labels of its host, its rack among them.
    pub labels: BTreeSet<Arc<str>>,
    /// Whether it is about to leave.
    pub is_leaving: bool,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It can be used and ordered.
    Up,
    /// It is being moved or maintained.
    Busy,
    /// It is down.
    Down,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// The host.
    pub id: HostId,
    /// The pool it belongs to.
    pub pool: Arc<str>,
    /// Its state.
    pub state: HostState,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Labels, its rack among them.
    pub labels: BTreeSet<Arc<str>>,
    /// What it offers.
    pub capacity: Resources,
    /// Its backend server.
    pub server: Option<ServerId>,
}

/// Maintenance that an operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// Hosts that are due.
    pub hosts: BTreeSet<HostId>,
    /// Time that is left for all of them.
    pub time_left: Duration,
    /// Most hosts that may be down for it at once.
    pub max_unavailable: usize,
    /// Hosts whose maintenance has begun, as stored.
    pub started: BTreeSet<HostId>,
}

/// Where a backend server's clock stood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time on the server's own clock, in milliseconds.
    pub clock_ms: u64,
    /// When the request left, on our clock.
    pub sent: Moment,
    /// When the response came, on our clock.
    pub received: Moment,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusReport {
    /// The server.
    pub server: ServerId,
    /// The life of the server that answered, in Unix milliseconds.
    pub incarnation_ms: Option<u64>,
    /// Its clock.
    pub clock: ClockReading,
    /// What runs there.
    pub running: Vec<RunStatus>,
    /// Ends that were not acknowledged, oldest first.
    pub finished: Vec<FinishedRun>,
    /// Whether there may be more ends than are listed.
    pub is_partial: bool,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// The task.
    pub task: task::Id,
    /// The run.
    pub run: task::RunId,
    /// Latest checkpoint, empty when there is none.
    pub checkpoint: Arc<str>,
    /// Share of the work that is done; for a lasting task, how far it is at
    /// work, in percent.
    pub percent: u32,
    /// Tail of response times in milliseconds, for a serving task.
    pub tail_ms: Option<u64>,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRun {
    /// Number of the end on this life of the server.
    pub number: u64,
    /// The task.
    pub task: task::Id,
    /// The run.
    pub run: task::RunId,
    /// How it ended.
    pub end: task::RunOutcome,
    /// Latest checkpoint, empty when there is none.
    pub checkpoint: Arc<str>,
}

/// A backend server's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The order was carried out.
    Done(ClockReading),
    /// The server refused and did nothing.
    Refused(RejectReason, Option<ClockReading>),
    /// The order may have been carried out, or may be later.
    Unknown,
}

/// Why a backend server did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Another holder has a higher fencing number.
    Fenced,
    /// The run is not above one that was stopped or has ended there.
    StaleRun,
    /// The order came too late.
    Expired,
    /// The host lacks room.
    InsufficientCapacity,
    /// The server is not well or overloaded, or no byte reached it.
    Unavailable,
    /// Another life of the server, or another server, is at the address.
    IncarnationMismatch,
    /// The server can't make sense of the order.
    Invalid,
}

/// The platform's answer to an order for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostOrderResult {
    /// It has begun, or had begun before.
    Done,
    /// The host is not up or is leaving.
    Busy,
    /// The platform will not do it.
    Refused,
    /// It may have begun.
    Unknown,
}
