//! The row of a job, and the settings of its queue that are stored with it.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use skylarkwick_request::{job::State, shard::input::Queue};
use skylarkwick_version::moment::millis;

use super::{JobBody, decode_later_field};

/// Longest target of a queue; times computed with it must not overflow.
const MAX_TARGET: Duration = Duration::from_secs(366 * 24 * 3600);

/// Row of a job: as submitted while it is active, only its end once it has finished.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "EncodedJob", into = "EncodedJob")]
pub enum JobRow {
    /// The job has not ended.
    Active {
        /// Time of acceptance on the store's clock, in milliseconds.
        accepted_ms: u64,
        /// The job as submitted.
        body: JobBody,
        /// Workspace of its caller, if the queue needs a key.
        workspace: Option<Arc<str>>,
        /// Settings of its queue at its acceptance, by which it is worked off if a configuration
        /// removes the queue; `None` if they are unknown.
        settings: Option<QueueSettings>,
    },
    /// The job has ended; its body is no longer needed.
    Finished {
        /// How the job ended.
        state: FinalState,
        /// Time of the end on the store's clock, in milliseconds.
        ended_ms: u64,
        /// Workspace of its caller, if the queue needs a key.
        workspace: Option<Arc<str>>,
    },
}

impl JobRow {
    /// Returns the workspace of the job's caller, if the queue needs a key.
    pub fn workspace(&self) -> Option<&Arc<str>> {
        match self {
            JobRow::Active { workspace, .. } | JobRow::Finished { workspace, .. } => {
                workspace.as_ref()
            }
        }
    }
}

/// Settings of a job's queue, as stored with the job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    pool: String,
    priority: u32,
    max_attempts: u32,
    stretch: f64,
    target_ms: u64,
}

impl QueueSettings {
    /// Returns the queue of this name with these settings.
    pub fn into_queue(self, name: Arc<str>) -> Queue {
        let QueueSettings { pool, priority, max_attempts, stretch, target_ms } = self;
        let target = Duration::from_millis(target_ms).min(MAX_TARGET);
        Queue { name, pool: Arc::from(pool), priority, max_attempts, stretch, target }
    }
}

impl From<&Queue> for QueueSettings {
    fn from(queue: &Queue) -> QueueSettings {
        QueueSettings {
            pool: queue.pool.to_string(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            target_ms: millis(queue.target),
        }
    }
}

/// Encoded form of a [`JobRow`]. The rows of jobs without a workspace are those of earlier
/// releases, in which an active job ends before the settings of its queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum EncodedJob {
    Active {
        accepted_ms: u64,
        body: JobBody,
        #[serde(deserialize_with = "decode_later_field")]
        settings: Option<QueueSettings>,
    },
    Finished {
        state: FinalState,
        ended_ms: u64,
    },
    ActiveOf {
        workspace: String,
        accepted_ms: u64,
        body: JobBody,
        #[serde(deserialize_with = "decode_later_field")]
        settings: Option<QueueSettings>,
    },
    FinishedOf {
        workspace: String,
        state: FinalState,
        ended_ms: u64,
    },
}

impl From<EncodedJob> for JobRow {
    fn from(row: EncodedJob) -> JobRow {
        match row {
            EncodedJob::Active { accepted_ms, body, settings } => {
                JobRow::Active { accepted_ms, body, workspace: None, settings }
            }
            EncodedJob::Finished { state, ended_ms } => {
                JobRow::Finished { state, ended_ms, workspace: None }
            }
            EncodedJob::ActiveOf { workspace, accepted_ms, body, settings } => JobRow::Active {
                accepted_ms,
                body,
                workspace: Some(Arc::from(workspace)),
                settings,
            },
            EncodedJob::FinishedOf { workspace, state, ended_ms } => {
                JobRow::Finished { state, ended_ms, workspace: Some(Arc::from(workspace)) }
            }
        }
    }
}

impl From<JobRow> for EncodedJob {
    fn from(row: JobRow) -> EncodedJob {
        match row {
            JobRow::Active { accepted_ms, body, workspace: None, settings } => {
                EncodedJob::Active { accepted_ms, body, settings }
            }
            JobRow::Finished { state, ended_ms, workspace: None } => {
                EncodedJob::Finished { state, ended_ms }
            }
            JobRow::Active { accepted_ms, body, workspace: Some(workspace), settings } => {
                EncodedJob::ActiveOf {
                    workspace: workspace.to_string(),
                    accepted_ms,
                    body,
                    settings,
                }
            }
            JobRow::Finished { state, ended_ms, workspace: Some(workspace) } => {
                EncodedJob::FinishedOf { workspace: workspace.to_string(), state, ended_ms }
            }
        }
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalState {
    /// Every task succeeded.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
    /// Its caller cancelled it before it was stored. Its submission may still be under way,
    /// and must not be stored any more; until it arrives, no such job exists.
    Withdrawn,
    /// It was refused before it was stored, because its shard had no room for it. An earlier
    /// attempt of its submission may still be under way, and must not be stored any more; no such
    /// job exists. A later attempt may store it.
    Refused,
}

impl From<FinalState> for State {
    fn from(final_state: FinalState) -> State {
        match final_state {
            FinalState::Completed => State::Completed,
            FinalState::Failed => State::Failed,
            FinalState::Cancelled | FinalState::Withdrawn | FinalState::Refused => State::Cancelled,
        }
    }
}
