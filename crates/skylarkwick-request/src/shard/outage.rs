//! Tasks and jobs that should run and have no run: since when, and for what reason, for logs and
//! metrics. See `docs/OPERATIONS.md`, section "Long-running tasks without a run".
//!
//! Nothing is decided by it. It is computed when it is asked for, from what the holder keeps for
//! its decisions; only the time of the last run is noted for it.

mod scan;
pub mod tracker;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{
    active::ActiveJob,
    hold,
    input::ServerId,
    server::{ActiveRun, Attribution, Server, Stage},
};
use crate::job::{Key, progress::TaskPosition, task};

/// Time without a run after which a long-running task is reported by itself.
const REPORTED_AFTER: Duration = Duration::from_secs(3);
/// Most tasks without a run that are listed by themselves, the longest first.
const MAX_LISTED: usize = 64;

/// Why a task has no run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// An earlier holder may have started it on a server that has not answered this one.
    EarlierRuns,
    /// Its server does not answer, and may keep the run until its leases have expired.
    SilentServer,
    /// Its server has restarted, and the later incarnation may still start the run.
    RunInDoubt,
    /// A run that may not have begun is being stopped.
    Stopping,
    /// The configuration lacks its queue.
    UnknownQueue,
    /// Steps that it depends on are not done.
    EarlierSteps,
    /// The servers with room have tasks of a job with the same identifier.
    Namesake,
    /// No usable server of its pool has the label that its step requires.
    Label,
    /// The hosts with room have as many tasks of its step as one host may have.
    HostLimit,
    /// Its workspace has as much running as its quota allows.
    Quota,
    /// It is beyond the weight of its workspace, and what is left free is kept for others.
    Reserve,
    /// No server has room, and its workspace uses more than its share.
    Share,
    /// No server has room.
    Room,
    /// Writes of its job fail, so that it starts only on servers that are recorded with the job.
    FailedWrites,
    /// The lease of the shard is not confirmed, with the same effect.
    UnconfirmedLease,
    /// Its start waits for a write of its job.
    Unsaved,
    /// Its start is sent and not answered.
    UnansweredStart,
    /// As many starts are on their way as the holder can send.
    SendWindow,
    /// No decision has considered it yet.
    Undecided,
}

impl Cause {
    /// Returns the name of the cause in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Cause::EarlierRuns => "earlier_runs",
            Cause::SilentServer => "silent_server",
            Cause::RunInDoubt => "run_in_doubt",
            Cause::Stopping => "stopping",
            Cause::UnknownQueue => "unknown_queue",
            Cause::EarlierSteps => "earlier_steps",
            Cause::Namesake => "namesake",
            Cause::Label => "label",
            Cause::HostLimit => "host_limit",
            Cause::Quota => "quota",
            Cause::Reserve => "reserve",
            Cause::Share => "share",
            Cause::Room => "room",
            Cause::FailedWrites => "failed_writes",
            Cause::UnconfirmedLease => "unconfirmed_lease",
            Cause::Unsaved => "unsaved",
            Cause::UnansweredStart => "unanswered_start",
            Cause::SendWindow => "send_window",
            Cause::Undecided => "undecided",
        }
    }
}

impl From<hold::Cause> for Cause {
    fn from(cause: hold::Cause) -> Cause {
        match cause {
            hold::Cause::Quota => Cause::Quota,
            hold::Cause::Reserve => Cause::Reserve,
            hold::Cause::Share => Cause::Share,
            hold::Cause::Room => Cause::Room,
        }
    }
}

/// What the time without a run counts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The last run was known to be in progress then.
    LastRun,
    /// The job was accepted then, or its occurrence was due.
    Acceptance,
    /// The term began then; when the last run ended before is not known.
    Term,
}

impl Origin {
    /// Returns the name of the origin in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Origin::LastRun => "last_run",
            Origin::Acceptance => "acceptance",
            Origin::Term => "term",
        }
    }
}

/// A server that a task waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Awaited {
    /// The server.
    pub server: ServerId,
    /// Until when at the latest, if it stays silent; `None` if that is not known.
    pub until: Option<Moment>,
}

/// A reason, with the server that is waited for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    /// The cause.
    pub cause: Cause,
    /// The server that is waited for.
    pub awaited: Option<Awaited>,
}

impl From<Cause> for Reason {
    fn from(cause: Cause) -> Reason {
        Reason { cause, awaited: None }
    }
}

/// A long-running task without a run, or the tasks of a step that have not begun, which wait for
/// the same reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The task, or the first one.
    pub task: task::Id,
    /// Number of tasks.
    pub tasks: usize,
    /// Queue of the job.
    pub queue: Arc<str>,
    /// When it last had a run, as far as is known.
    pub since: Moment,
    /// What `since` stands for.
    pub origin: Origin,
    /// Why it has none now.
    pub reason: Reason,
}

impl Outage {
    /// Returns whether it has lasted so long that it is reported by itself.
    pub(super) fn is_reported(&self, now: Moment) -> bool {
        now.since(self.since) >= REPORTED_AFTER
    }
}

/// What a long-running task does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// It runs on this server, since this moment.
    Running(ServerId, Moment),
    /// It has no run.
    Waiting(Outage),
    /// It is done, or its job is over or unknown.
    Over,
}

/// Number of tasks or jobs without a run for one cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// Tasks or jobs.
    pub count: usize,
    /// Longest time for which one has had no run.
    pub longest: Duration,
    /// Job of that one.
    pub job: Option<Key>,
}

impl Total {
    /// Adds tasks or jobs that have had no run for this long.
    fn add(&mut self, count: usize, time: Duration, active: &ActiveJob) {
        self.count += count;
        if self.job.is_none() || time > self.longest {
            self.longest = time;
            self.job = Some(active.key());
        }
    }
}

/// The tasks and jobs of a shard that should run and have no run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outages {
    /// Long-running tasks that run.
    pub running: usize,
    /// Long-running tasks without a run.
    pub tasks: BTreeMap<Cause, Total>,
    /// Jobs without any run that have other tasks to start.
    pub jobs: BTreeMap<Cause, Total>,
    /// Outages of long-running tasks that have lasted for long.
    pub reported: usize,
    /// The longest outages of long-running tasks, the longest first.
    longest: BTreeMap<(Moment, task::Id), Outage>,
}

impl Outages {
    /// Returns the number of long-running tasks without a run.
    pub fn count(&self) -> usize {
        self.tasks.values().map(|total| total.count).sum()
    }

    /// Returns the longest time for which a long-running task has had no run.
    pub fn longest_time(&self) -> Duration {
        self.tasks.values().map(|total| total.longest).max().unwrap_or_default()
    }

    /// Returns the longest outages of long-running tasks, the longest first, at most
    /// `MAX_LISTED` (64).
    pub fn longest(&self) -> impl Iterator<Item = &Outage> {
        self.longest.values()
    }

    /// Adds an outage.
    fn add(&mut self, now: Moment, active: &ActiveJob, outage: Outage) {
        let total = self.tasks.entry(outage.reason.cause).or_default();
        total.add(outage.tasks, now.since(outage.since), active);
        self.reported += usize::from(outage.is_reported(now));
        self.longest.insert((outage.since, outage.task.clone()), outage);
        if self.longest.len() > MAX_LISTED {
            self.longest.pop_last();
        }
    }
}

impl ActiveJob {
    /// Records that a run of a task is over that was known to be in progress until this moment.
    /// The time of the task itself is kept only if it is long-running.
    pub(super) fn record_run_over(&mut self, position: TaskPosition, last_run: Moment) {
        self.last_run = self.last_run.max(Some(last_run));
        if self.job.steps.get(position.step).is_some_and(|step| step.is_long_running)
            && let Some(task) = self.task_mut(position)
        {
            task.last_run = task.last_run.max(Some(last_run));
        }
    }
}

impl Server {
    /// Returns when a run was last known to be in progress; `None` if it never was.
    pub(super) fn last_run_time(&self, active_run: &ActiveRun) -> Option<Moment> {
        let has_begun =
            active_run.stage == Stage::Running || active_run.attribution == Attribution::Reported;
        has_begun.then(|| self.last_poll.max(active_run.stage_since))
    }
}
