//! Rows of persistent state and their binary encoding.
//!
//! The first byte is the version of the encoding, so that a later release can
//! read the rows of an earlier one. The rest is encoded by position: fields and
//! variants must keep their order, their names are not stored. See
//! `docs/DESIGN.md`, section "Rows".

mod allotment;
mod incarnations;
mod job_row;
mod progress;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use skylarkwick_request::job::{self, Job, Schedule, Step};
use skylarkwick_version::{
    lease::Incarnation, moment::millis, resources::Resources, shard_lease::Record,
};

pub use self::{
    allotment::AllotmentRow,
    incarnations::IncarnationsRow,
    job_row::{FinalState, JobRow, QueueSettings},
    progress::{ProgressRow, encode_progress},
};

/// Version of the encoding, which is the first byte of each row.
const ENCODING_VERSION: u8 = 1;
/// Largest size of the identifiers in a [`BacklogRow`], in bytes; below what the platform
/// accepts for a row.
const MAX_BACKLOG_BYTES: usize = 60_000;
/// Size of the encoded length of an identifier or a list, in bytes, at most.
const LENGTH_BYTES: usize = 3;

/// Why a row can't be decoded: unsupported version, invalid bytes, or no bytes.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// A later release has written the row.
    #[error("the row has encoding version {0}, which this release does not support")]
    UnsupportedVersion(u8),
    /// The bytes can't be decoded.
    #[error("the row cannot be decoded: {0}")]
    Bytes(#[from] postcard::Error),
    /// The row has no bytes.
    #[error("the row is empty")]
    Empty,
}

/// Encodes a row: the version byte, then the fields by position.
pub fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    let mut bytes = vec![ENCODING_VERSION];
    // Encoding plain values to memory can't fail.
    if let Ok(body) = postcard::to_allocvec(row) {
        bytes.extend(body);
    }
    bytes
}

/// Decodes a row that [`encode`] has encoded.
///
/// # Errors
///
/// Returns an error if the bytes are empty, have an unsupported version or are not a
/// `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        None => Err(DecodeError::Empty),
        Some((&ENCODING_VERSION, body)) => Ok(postcard::from_bytes(body)?),
        Some((&version, _)) => Err(DecodeError::UnsupportedVersion(version)),
    }
}

/// Stored form of a submitted [`Job`]: its specification text, its steps, and its
/// schedule as count, due time of the first occurrence in Unix milliseconds, and interval
/// in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobBody {
    spec: String,
    steps: Vec<StepBody>,
    schedule: Option<(u32, u64, u64)>,
}

/// Stored form of a [`Step`]. `resources` are millicores, memory in MiB and accelerators;
/// `flags` are checkpointing, gang, one rack preferred, speculative, long-running and
/// best-effort; durations are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StepBody {
    count: u32,
    resources: (u64, u64, u64),
    run_time_estimate_ms: u64,
    depends_on: Vec<usize>,
    flags: [bool; 6],
    required_label: Option<String>,
    preferred_rack: Option<String>,
    max_per_host: u32,
    image: Option<String>,
    target_latency_ms: Option<u64>,
    max_unavailable: u32,
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

impl TryFrom<JobBody> for Job {
    type Error = job::Error;

    /// Fails if the job is not valid: a row that was damaged or that a later release has
    /// written may decode, and sizes of it would be allocated.
    fn try_from(body: JobBody) -> Result<Job, job::Error> {
        let schedule = body.schedule.map(|(count, first_ms, interval_ms)| Schedule {
            count,
            first_ms,
            interval: Duration::from_millis(interval_ms),
        });
        let steps = body.steps.into_iter().map(Step::from).collect();
        let job = Job { spec: Arc::from(body.spec), steps, schedule };
        job.validate()?;
        Ok(job)
    }
}

impl From<&Step> for StepBody {
    fn from(step: &Step) -> StepBody {
        let Resources { millicores, memory_mib, accelerators } = step.resources;
        StepBody {
            count: step.count,
            resources: (millicores, memory_mib, accelerators),
            run_time_estimate_ms: millis(step.run_time_estimate),
            depends_on: step.depends_on.clone(),
            flags: [
                step.is_checkpointing,
                step.is_gang,
                step.prefers_one_rack,
                step.is_speculative,
                step.is_long_running,
                step.is_best_effort,
            ],
            required_label: step.required_label.as_deref().map(str::to_owned),
            preferred_rack: step.preferred_rack.as_deref().map(str::to_owned),
            max_per_host: step.max_per_host,
            image: step.image.as_deref().map(str::to_owned),
            target_latency_ms: step.target_latency.map(millis),
            max_unavailable: step.max_unavailable,
        }
    }
}

impl From<StepBody> for Step {
    fn from(body: StepBody) -> Step {
        let (millicores, memory_mib, accelerators) = body.resources;
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
            run_time_estimate: Duration::from_millis(body.run_time_estimate_ms),
            depends_on: body.depends_on,
            is_checkpointing,
            is_gang,
            prefers_one_rack,
            required_label: body.required_label.map(Arc::from),
            preferred_rack: body.preferred_rack.map(Arc::from),
            max_per_host: body.max_per_host,
            is_speculative,
            is_long_running,
            image: body.image.map(Arc::from),
            target_latency: body.target_latency_ms.map(Duration::from_millis),
            is_best_effort,
            max_unavailable: body.max_unavailable,
        }
    }
}

/// Row of a shard's lease: its holder, the holder's number and fencing token, the time of
/// the last renewal, until when holders before this one may act, and until when what they have
/// started may run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The entry host of the holder; empty if the lease was released.
    pub holder: String,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Number of the holder, counted from the first one of the shard.
    pub number: u64,
    /// Fencing token of the holder; zero in the row that acquires the lease,
    /// because the token is the revision of that write.
    pub fencing: u64,
    /// Time of the last renewal on the store's clock, in milliseconds.
    pub renewed_ms: u64,
    /// Time on the store's clock, in milliseconds, until which a holder before this one may
    /// act; `None` in a row of an earlier release, which ends before this field.
    #[serde(deserialize_with = "decode_later_field")]
    pub earlier_until_ms: Option<u64>,
    /// In the row that releases the lease: servers, and the times on the store's clock, in
    /// milliseconds, until which anything may run there that this holder or one before it
    /// has started. Empty in other rows, and in those of an earlier release.
    #[serde(deserialize_with = "decode_later_field")]
    pub settled: Vec<(String, u64)>,
    /// Time on the store's clock, in milliseconds, at which the leases of runs end that holders
    /// before this one may have granted; `None` in a row of an earlier release, which ends before
    /// this field.
    #[serde(deserialize_with = "decode_later_field")]
    pub granted_until_ms: Option<u64>,
}

/// Decodes a field that an earlier release did not write; its default if the row ends before
/// it.
///
/// # Errors
///
/// Never fails: an encoding by position does not tell a row that ends early from a damaged
/// one, and for both the field is unknown.
pub(crate) fn decode_later_field<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Deserialize<'de> + Default,
    D: Deserializer<'de>,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

impl From<&LeaseRow> for Record {
    /// Drops the number, the fencing token and the servers; an empty holder becomes `None`.
    fn from(row: &LeaseRow) -> Record {
        Record {
            entry: (!row.holder.is_empty()).then(|| row.holder.clone()),
            incarnation: Incarnation(row.incarnation),
            renewed_ms: row.renewed_ms,
            earlier_until_ms: row.earlier_until_ms,
            granted_until_ms: row.granted_until_ms,
        }
    }
}

/// Row of a shard's backlog: the identifiers of each queue's jobs of which no task is
/// known to have started, and when the row was written on the store's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogRow {
    /// Time of the write on the store's clock, in milliseconds.
    pub written_ms: u64,
    /// Identifiers of the jobs of which no task is known to have started, by queue.
    pub waiting: BTreeMap<String, Vec<String>>,
    /// Memory that the holder has for further jobs, in bytes; `None` in a row of an earlier
    /// release, which ends before this field.
    #[serde(deserialize_with = "decode_later_field")]
    pub room: Option<u64>,
}

impl BacklogRow {
    /// Lists waiting jobs by queue, of each queue at most its equal part of what a row can
    /// hold, the first ones; `written_ms` is set when the row is saved. A job that is left out
    /// counts as running for its caller. `room` is the memory for further jobs, in bytes.
    pub fn new(waiting: BTreeMap<Arc<str>, Vec<job::Id>>, room: usize) -> BacklogRow {
        let queues = waiting.values().filter(|ids| !ids.is_empty()).count();
        let budget = MAX_BACKLOG_BYTES / queues.max(1);
        let list = |(queue, ids): (Arc<str>, Vec<job::Id>)| {
            let mut left = budget.saturating_sub(queue.len() + LENGTH_BYTES);
            let fits = |id: &&job::Id| {
                let bytes = id.as_str().len() + LENGTH_BYTES;
                let has_room = bytes <= left;
                left = left.saturating_sub(bytes);
                has_room
            };
            let listed = ids.iter().take_while(fits).map(|id| id.as_str().to_owned());
            (queue.to_string(), listed.collect())
        };
        let room = Some(u64::try_from(room).unwrap_or(u64::MAX));
        BacklogRow { written_ms: 0, waiting: waiting.into_iter().map(list).collect(), room }
    }
}

/// Row of the division of the site into shards; it is written once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardingRow {
    /// Number of shards.
    pub count: u32,
    /// Seed of the division.
    pub seed: u32,
}

/// Row of the sizes of the pools before any host was moved between them; it is written
/// once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSizesRow {
    /// Number of hosts, by pool.
    pub hosts: BTreeMap<String, usize>,
}

/// Row of the progress of a maintenance wave: the hosts whose maintenance has started,
/// and when all are due.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Hosts whose maintenance has started.
    pub started: Vec<String>,
    /// Time by which all hosts of the wave are due on the store's clock, in
    /// milliseconds.
    pub due_ms: u64,
}

/// Row of an entry host that takes submissions from others: where, in which data centre it is,
/// and the token that it expects with them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// IP address and port.
    pub address: String,
    /// Data centre of the entry host.
    pub data_centre: String,
    /// Token that only readers of the store know.
    pub token: String,
}

/// Row of the last order for a host, written before the order is sent: the entry host
/// that sends it, that holder's fencing token for its shard, and the time. It does not
/// contain the order itself (move to a pool, or maintenance). The revision of the row is
/// the order's own fencing token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostOrderRow {
    /// The entry host that sends the order.
    pub holder: String,
    /// Fencing token of that holder for its shard.
    pub fencing: u64,
    /// Time at which the order was recorded on the store's clock, in milliseconds.
    pub ordered_ms: u64,
}
