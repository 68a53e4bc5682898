//! Jobs: steps of tasks that callers hand in.
//!
//! A job is accepted once it is stored, and from then on its tasks are started
//! until each has ended well, the job has failed or it was cancelled. See
//! `docs/DESIGN.md`, section "Jobs".

pub mod progress;
pub mod task;

use std::{fmt, sync::Arc, time::Duration};

use skylarkwick_version::resources::Resources;

/// Most tasks of one step; a larger count can't be meant.
const MAX_TASKS: u32 = 10_000;
/// Most steps of one job.
const MAX_STEPS: usize = 1_000;
/// Most times that one job may repeat.
const MAX_OCCURRENCES: u32 = 100_000;

/// Identity of a job, chosen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(Arc<str>);

impl Id {
    /// Makes an identity of a text.
    pub fn new(text: &str) -> Id {
        Id(Arc::from(text))
    }

    /// Returns the identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a caller handed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// What the tasks run, opaque to the system.
    pub spec: Arc<str>,
    /// The steps, in the caller's order.
    pub steps: Vec<Step>,
    /// When the steps run, unless they run once and at once.
    pub schedule: Option<Schedule>,
}

/// Due times of a job that runs more than once or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// When the first is due, in Unix milliseconds.
    pub first_ms: u64,
    /// Time between two occurrences.
    pub interval: Duration,
}

/// Tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What one task takes.
    pub resources: Resources,
    /// The caller's rough estimate of a task's run time.
    pub run_time_estimate: Duration,
    /// Steps whose tasks must all have ended well first.
    pub depends_on: Vec<usize>,
    /// Whether tasks keep checkpoints.
    pub is_checkpointing: bool,
    /// Whether the tasks work only while all of them run.
    pub is_gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub prefers_one_rack: bool,
    /// Label that a host must have.
    pub required_label: Option<Arc<str>>,
    /// Rack of the data.
    pub preferred_rack: Option<Arc<str>>,
    /// Most tasks of an occurrence on one host; zero is no limit.
    pub max_per_host: u32,
    /// Whether copies of a task may run at once.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// What the tasks run, for learning from others of the same image.
    pub image: Option<Arc<str>>,
    /// Bound of the tail of response times of a serving task.
    pub target_latency: Option<Duration>,
    /// Whether the tasks use only processor time that others leave.
    pub is_best_effort: bool,
    /// Tasks that may be away at once because of the system.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns what a task takes of its host's room; a filler gets only the
    /// processor time that others leave.
    pub fn reserved_resources(&self) -> Resources {
        match self.is_best_effort {
            true => Resources { millicores: 0, ..self.resources },
            false => self.resources,
        }
    }
}

/// Why a job is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The job has no step or too many.
    #[error("a job needs 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step has no task or too many.
    #[error("step {0} needs 1 to {MAX_TASKS} tasks")]
    Count(usize),
    /// A step waits for itself, a later step or one that does not exist.
    #[error("step {0} may only wait for earlier steps")]
    After(usize),
    /// The job repeats too often.
    #[error("a job may repeat {MAX_OCCURRENCES} times at most")]
    Occurrences,
}

impl Job {
    /// Checks what a caller handed in.
    ///
    /// # Errors
    ///
    /// Names the first step that is not valid.
    pub fn validate(&self) -> Result<(), Error> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Steps);
        }
        if self.schedule.is_some_and(|schedule| schedule.count > MAX_OCCURRENCES) {
            return Err(Error::Occurrences);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if !(1..=MAX_TASKS).contains(&step.count) {
                return Err(Error::Count(number));
            }
            if step.depends_on.iter().any(|&earlier| earlier >= number) {
                return Err(Error::After(number));
            }
        }
        Ok(())
    }

    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns when an occurrence is due, in Unix milliseconds, if it is timed.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let interval = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
        Some(schedule.first_ms.saturating_add(interval.saturating_mul(u64::from(occurrence))))
    }
}

/// What a caller is told about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    /// Every task has ended well.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}
