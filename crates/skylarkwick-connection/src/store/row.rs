//! The rows that lasting state is kept in, and their compact binary form.
//!
//! The first byte is the version of the form, so that a later release can read
//! the rows of an earlier one. See `docs/DESIGN.md`, section "Rows".

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use skylarkwick_request::job::{
    Job, Schedule, State, Step,
    progress::{Progress, TaskPosition, TaskProgress},
    task::RunId,
};
use skylarkwick_version::{
    lease::Incarnation, moment::millis, resources::Resources, shard_lease::Record,
};

use super::Key;

/// Version of the binary form.
const FORM: u8 = 1;

/// Table of jobs; the part is the queue, the key the job.
pub const JOBS: &str = "job";
/// Table of what is known of the tasks of jobs; keys as for jobs.
pub const PROGRESS: &str = "progress";
/// Table of the holders of shards.
pub const LEASES: &str = "lease";
/// Table of the strength of the strongest host that may hold a shard.
pub const MAX_CORES: &str = "strength";
/// Table of the rows that only a new holder of a shard writes. The revision of
/// such a row is the fencing number of the holder, and what a holder writes for
/// the shard depends on it, so that an earlier holder's late write is refused.
pub const FENCES: &str = "fence";
/// Table of the jobs of each queue that wait.
pub const BACKLOG: &str = "backlog";
/// Table of the progress of waves.
pub const WAVES: &str = "round";
/// Table of the sizes of pools before any host was moved.
pub const POOL_SIZES: &str = "home";
/// Table of the last order for each host.
pub const HOSTS: &str = "order";

/// Name of the one shard of a site.
pub const SHARD: &str = "0";

/// Returns the key of a job's row.
pub fn job_key(queue: &str, id: &str) -> Key {
    Key::new(JOBS, queue, id)
}

/// Returns the key of the row of a job's progress.
pub fn progress_key(queue: &str, id: &str) -> Key {
    Key::new(PROGRESS, queue, id)
}

/// Returns the key of a shard's lease.
pub fn lease_key(shard: &str) -> Key {
    Key::new(LEASES, "", shard)
}

/// Returns the key of the strength of the strongest host.
pub fn max_cores_key(shard: &str) -> Key {
    Key::new(MAX_CORES, "", shard)
}

/// Returns the key of the row that holds earlier holders of a shard off.
pub fn fence_key(shard: &str) -> Key {
    Key::new(FENCES, "", shard)
}

/// Returns the key of a shard's backlog.
pub fn backlog_key(shard: &str) -> Key {
    Key::new(BACKLOG, "", shard)
}

/// Returns the key of the progress of a wave.
pub fn wave_key(number: u64) -> Key {
    Key::new(WAVES, "", &number.to_string())
}

/// Returns the key of the sizes of a shard's pools.
pub fn pool_sizes_key(shard: &str) -> Key {
    Key::new(POOL_SIZES, "", shard)
}

/// Returns the key of the last order for a host.
pub fn host_key(host: &str) -> Key {
    Key::new(HOSTS, "", host)
}

/// A row that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// A later release has written it.
    #[error("the row has form {0}, which this release does not know")]
    Form(u8),
    /// Its bytes make no sense.
    #[error("the row cannot be read: {0}")]
    Bytes(#[from] postcard::Error),
    /// It has no byte.
    #[error("the row is empty")]
    Empty,
}

/// Writes a row.
pub fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    let mut bytes = vec![FORM];
    // Rows are plain values, and writing those to memory can't fail.
    if let Ok(body) = postcard::to_allocvec(row) {
        bytes.extend(body);
    }
    bytes
}

/// Reads a row.
///
/// # Errors
///
/// Tells why the bytes are not a row.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Malformed> {
    match bytes.split_first() {
        None => Err(Malformed::Empty),
        Some((&FORM, body)) => Ok(postcard::from_bytes(body)?),
        Some((&form, _)) => Err(Malformed::Form(form)),
    }
}

/// A job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobRow {
    /// It is not over.
    Active {
        /// When it was accepted, on the store's clock in milliseconds.
        accepted_ms: u64,
        /// What was handed in.
        body: JobBody,
    },
    /// It is over; what was handed in is no longer needed.
    Finished {
        /// How it ended.
        state: FinalState,
        /// When, on the store's clock in milliseconds.
        ended_ms: u64,
    },
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalState {
    /// Every task ended well.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl From<FinalState> for State {
    fn from(over: FinalState) -> State {
        match over {
            FinalState::Completed => State::Completed,
            FinalState::Failed => State::Failed,
            FinalState::Cancelled => State::Cancelled,
        }
    }
}

/// What was handed in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobBody {
    spec: String,
    steps: Vec<StepBody>,
    schedule: Option<(u32, u64, u64)>,
}

/// A step of what was handed in.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StepBody {
    count: u32,
    size: (u64, u64, u64),
    estimate_ms: u64,
    after: Vec<usize>,
    flags: [bool; 6],
    label: Option<String>,
    rack: Option<String>,
    most_per_host: u32,
    image: Option<String>,
    target_ms: Option<u64>,
    may_miss: u32,
}

impl From<&Job> for JobBody {
    fn from(job: &Job) -> JobBody {
        let schedule = job
            .schedule
            .map(|schedule| (schedule.count, schedule.first_ms, millis(schedule.interval)));
        let steps = job.steps.iter().map(StepBody::from).collect();
        JobBody { spec: job.spec.to_string(), steps, schedule }
    }
}

impl From<JobBody> for Job {
    fn from(body: JobBody) -> Job {
        let schedule = body.schedule.map(|(count, first_ms, interval_ms)| Schedule {
            count,
            first_ms,
            interval: Duration::from_millis(interval_ms),
        });
        let steps = body.steps.into_iter().map(Step::from).collect();
        Job { spec: Arc::from(body.spec), steps, schedule }
    }
}

impl From<&Step> for StepBody {
    fn from(step: &Step) -> StepBody {
        let Resources { millicores, memory_mib, accelerators } = step.resources;
        StepBody {
            count: step.count,
            size: (millicores, memory_mib, accelerators),
            estimate_ms: millis(step.run_time_estimate),
            after: step.depends_on.clone(),
            flags: [
                step.is_checkpointing,
                step.is_gang,
                step.prefers_one_rack,
                step.is_speculative,
                step.is_long_running,
                step.is_best_effort,
            ],
            label: step.required_label.as_deref().map(str::to_owned),
            rack: step.preferred_rack.as_deref().map(str::to_owned),
            most_per_host: step.max_per_host,
            image: step.image.as_deref().map(str::to_owned),
            target_ms: step.target_latency.map(millis),
            may_miss: step.max_unavailable,
        }
    }
}

impl From<StepBody> for Step {
    fn from(body: StepBody) -> Step {
        let (millicores, memory_mib, accelerators) = body.size;
        let [
            is_checkpointing,
            is_gang,
            prefers_one_rack,
            is_speculative,
            is_long_running,
            is_best_effort,
        ] = body.flags;
        Step {
            count: body.count,
            resources: Resources { millicores, memory_mib, accelerators },
            run_time_estimate: Duration::from_millis(body.estimate_ms),
            depends_on: body.after,
            is_checkpointing,
            is_gang,
            prefers_one_rack,
            required_label: body.label.map(Arc::from),
            preferred_rack: body.rack.map(Arc::from),
            max_per_host: body.most_per_host,
            is_speculative,
            is_long_running,
            image: body.image.map(Arc::from),
            target_latency: body.target_ms.map(Duration::from_millis),
            is_best_effort,
            max_unavailable: body.may_miss,
        }
    }
}

/// What is known of the tasks of a job.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ProgressRow {
    notes: Vec<NoteRow>,
    /// Backend servers on which tasks may have been started.
    servers: Vec<String>,
}

/// What is known of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NoteRow {
    place: (u32, usize, usize),
    is_done: bool,
    failed: Vec<u64>,
    last_end: u64,
    checkpoint: String,
}

impl From<&Progress> for ProgressRow {
    fn from(progress: &Progress) -> ProgressRow {
        let row = |(place, note): (&TaskPosition, &TaskProgress)| NoteRow {
            place: (place.occurrence, place.step, place.index),
            is_done: note.is_done,
            failed: note.failed_runs.iter().map(|run| run.0).collect(),
            last_end: note.last_ended_run.0,
            checkpoint: note.checkpoint.to_string(),
        };
        ProgressRow {
            notes: progress.tasks.iter().map(row).collect(),
            servers: progress.servers.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<ProgressRow> for Progress {
    fn from(row: ProgressRow) -> Progress {
        let note = |row: NoteRow| {
            let (occurrence, step, index) = row.place;
            let note = TaskProgress {
                is_done: row.is_done,
                failed_runs: row.failed.into_iter().map(RunId).collect(),
                last_ended_run: RunId(row.last_end),
                checkpoint: Arc::from(row.checkpoint),
            };
            (TaskPosition { occurrence, step, index }, note)
        };
        Progress {
            tasks: row.notes.into_iter().map(note).collect(),
            servers: row.servers.into_iter().map(Arc::from).collect(),
        }
    }
}

/// The holder of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The entry host of the holder; empty when the lease was released.
    pub holder: String,
    /// The run of the holder's process.
    pub incarnation: u64,
    /// How many holders there were.
    pub number: u64,
    /// Fencing number of the holder; zero in the row that takes the lease,
    /// whose revision it becomes.
    pub fencing: u64,
    /// The store's clock at the last renewal, in milliseconds.
    pub renewed_ms: u64,
}

impl From<&LeaseRow> for Record {
    fn from(row: &LeaseRow) -> Record {
        Record {
            entry: (!row.holder.is_empty()).then(|| row.holder.clone()),
            incarnation: Incarnation(row.incarnation),
            renewed_ms: row.renewed_ms,
        }
    }
}

/// The jobs that wait, by queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogRow {
    /// When the row was written, on the store's clock in milliseconds.
    pub written_ms: u64,
    /// Jobs of which no task has started.
    pub waiting: BTreeMap<String, Vec<String>>,
}

/// Hosts of each pool before any host was moved.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSizesRow {
    /// Number of hosts, by pool.
    pub hosts: BTreeMap<String, usize>,
}

/// Progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Hosts whose maintenance has begun.
    pub started: Vec<String>,
    /// When all of them are due, on the store's clock in milliseconds.
    pub due_ms: u64,
}

/// The last order for a host; the revision of the row is the order's fencing
/// number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// The entry host of the process that gives the order.
    pub holder: String,
    /// Fencing number of its shard.
    pub fencing: u64,
    /// When the order was written down, on the store's clock in milliseconds.
    pub ordered_ms: u64,
}
