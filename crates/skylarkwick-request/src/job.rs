//! Jobs: steps of tasks that callers submit.
//!
//! A job is accepted once it is stored. Its tasks are then run until each has
//! succeeded, the job has failed or it was cancelled. See `docs/DESIGN.md`,
//! section "Jobs".

pub mod footprint;
pub mod progress;
pub mod ranges;
mod size;
pub mod task;

use std::{fmt, sync::Arc, time::Duration};

use skylarkwick_version::resources::Resources;

/// Maximum number of tasks of one step; a job with more is not valid.
pub const MAX_TASKS: u32 = 10_000;
/// Maximum number of tasks of all steps of a submitted job.
const MAX_JOB_TASKS: u32 = 100_000;
/// Maximum number of members of a gang in a submitted job.
const MAX_GANG_TASKS: u32 = 1_000;
/// Maximum number of steps of one job.
pub const MAX_STEPS: usize = 1_000;
/// Maximum number of occurrences of one job, which are the repetitions of its schedule.
pub const MAX_OCCURRENCES: u32 = 100_000;

/// Identifier of a job, chosen by its caller. Inside a shard it may carry the job's queue, which
/// tells the job from one of another queue whose caller chose the same text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    text: Arc<str>,
    queue: Option<Arc<str>>,
}

impl Id {
    /// Creates an identifier from text, which is not checked.
    pub fn new(text: &str) -> Id {
        Id { text: Arc::from(text), queue: None }
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the identifier with the job's queue.
    #[must_use]
    pub(crate) fn in_queue(&self, queue: &Arc<str>) -> Id {
        Id { text: Arc::clone(&self.text), queue: Some(Arc::clone(queue)) }
    }

    /// Returns the identifier without a queue.
    #[must_use]
    pub(crate) fn plain(&self) -> Id {
        Id { text: Arc::clone(&self.text), queue: None }
    }

    /// Returns whether another job has the same text.
    pub(crate) fn is_namesake_of(&self, other: &Id) -> bool {
        self.text == other.text && self.queue != other.queue
    }
}

impl fmt::Display for Id {
    /// Writes the text of an [`Id`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Identity of a job on a site: its queue and its identifier. Another queue may have a job with the
/// same identifier, so neither stands for the job alone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    queue: Arc<str>,
    id: Id,
}

impl Key {
    /// Creates the identity of a job of this queue.
    pub const fn new(queue: Arc<str>, id: Id) -> Key {
        Key { queue, id }
    }

    /// Returns the queue of the job.
    pub const fn queue(&self) -> &Arc<str> {
        &self.queue
    }

    /// Returns the identifier that the caller of the job chose.
    pub const fn id(&self) -> &Id {
        &self.id
    }
}

/// A job as its caller submitted it: what its tasks run, its steps and its schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Specification of what the tasks run, opaque to the system.
    pub spec: Arc<str>,
    /// The steps, in the caller's order.
    pub steps: Vec<Step>,
    /// When the steps run; they run once and immediately if unset.
    pub schedule: Option<Schedule>,
}

/// Due times of a job that runs repeatedly or at a later time: the number of occurrences,
/// the time of the first, and the interval between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Number of occurrences, in each of which all steps run; zero counts as one.
    pub count: u32,
    /// Due time of the first occurrence, in Unix milliseconds.
    pub first_ms: u64,
    /// Time between the due times of two occurrences.
    pub interval: Duration,
}

/// A number of tasks with the same resources and other requirements, and the steps that must
/// succeed before them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of one task.
    pub resources: Resources,
    /// The caller's rough estimate of the run time of a task.
    pub run_time_estimate: Duration,
    /// Indices of the steps whose tasks must all have succeeded before this one starts.
    pub depends_on: Vec<usize>,
    /// Whether the tasks write checkpoints.
    pub is_checkpointing: bool,
    /// Whether the tasks make progress only while all of them run.
    pub is_gang: bool,
    /// Whether the members of a gang run faster on a single rack; they are spread over
    /// several if none has enough resources.
    pub prefers_one_rack: bool,
    /// Label that a host must have.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the data of the tasks.
    pub preferred_rack: Option<Arc<str>>,
    /// Maximum number of tasks of an occurrence on one host; zero means no limit.
    pub max_per_host: u32,
    /// Whether copies of a task may run concurrently.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Image that the tasks run, kept for learning from runs of the same image; stored
    /// but not used yet.
    pub image: Option<Arc<str>>,
    /// Upper bound of the tail latency of a serving task.
    pub target_latency: Option<Duration>,
    /// Whether the tasks use only processor time that other tasks leave unused.
    pub is_best_effort: bool,
    /// Maximum number of tasks that the system may make unavailable at once.
    pub max_unavailable: u32,
}

/// Why a job is not valid: a number of steps, tasks or occurrences out of its limits, or a
/// dependency that is not on an earlier step. The field is the number of the step, from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The job has no step or too many.
    #[error("a job must have 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step has no task or too many.
    #[error("step {0} must have 1 to {MAX_TASKS} tasks")]
    Count(usize),
    /// The job has too many tasks.
    #[error("a job may have at most {MAX_JOB_TASKS} tasks")]
    Tasks,
    /// A gang has too many members.
    #[error("step {0} may have at most {MAX_GANG_TASKS} tasks that run together")]
    Gang(usize),
    /// The step depends on itself, a later step or one that does not exist.
    #[error("step {0} may only depend on earlier steps")]
    Dependency(usize),
    /// The job has too many occurrences.
    #[error("a job may have at most {MAX_OCCURRENCES} occurrences")]
    Occurrences,
    /// A task, or a gang as a whole, needs more than the workspace may have running.
    #[error("step {0} needs more than the workspace's quota")]
    Quota(usize),
    /// The job does not fit in a row of the store.
    #[error("the job is too large to be stored")]
    Size,
}

impl Job {
    /// Validates the number of steps, tasks and occurrences and the dependencies.
    ///
    /// # Errors
    ///
    /// Returns the first limit or dependency rule that the job violates.
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
                return Err(Error::Dependency(number));
            }
        }
        Ok(())
    }

    /// Validates a job that is submitted: [`Self::validate`], and that its progress can be
    /// stored whatever happens. Jobs that an earlier release has accepted may be larger.
    ///
    /// # Errors
    ///
    /// Returns the first limit or dependency rule that the job violates.
    pub fn validate_submission(&self) -> Result<(), Error> {
        self.validate()?;
        let is_large_gang = |step: &Step| step.is_gang && step.count > MAX_GANG_TASKS;
        match self.steps.iter().position(is_large_gang) {
            Some(number) => Err(Error::Gang(number)),
            None if self.tasks() > u64::from(MAX_JOB_TASKS) => Err(Error::Tasks),
            None => Ok(()),
        }
    }

    /// Validates that each task, and each gang as a whole, can run within these resources.
    ///
    /// # Errors
    ///
    /// Returns the first step that never could.
    pub fn validate_quota(&self, ceiling: &Resources) -> Result<(), Error> {
        let never_fits = |step: &Step| {
            let unit = if step.is_gang { u64::from(step.count) } else { 1 };
            !step.resources.times(unit).fits_within(ceiling)
        };
        self.steps.iter().position(never_fits).map_or(Ok(()), |number| Err(Error::Quota(number)))
    }

    /// Returns the number of tasks of all steps in one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of occurrences; one if the job has no schedule or the schedule's
    /// count is zero.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns how many occurrences are due by a time of day, in Unix milliseconds; one if the job
    /// has no schedule.
    pub fn due_occurrences(&self, unix_ms: u64) -> u32 {
        let Some(schedule) = self.schedule else {
            return 1;
        };
        let interval = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
        let elapsed = unix_ms.checked_sub(schedule.first_ms);
        let due = elapsed.map_or(0, |elapsed| match elapsed.checked_div(interval) {
            Some(later) => later.saturating_add(1),
            None => u64::MAX,
        });
        u32::try_from(due).unwrap_or(u32::MAX).min(self.occurrences())
    }

    /// Returns the due time of an occurrence, numbered from zero, in Unix milliseconds, or
    /// `None` if the job has no schedule. The number is not checked against the count.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let interval = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
        Some(schedule.first_ms.saturating_add(interval.saturating_mul(u64::from(occurrence))))
    }
}

/// State of a job as reported to its caller: queued, running, completed, failed or
/// cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    /// Every task has succeeded.
    Completed,
    /// A task has failed the maximum number of times.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}
