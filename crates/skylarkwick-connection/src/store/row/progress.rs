//! The row of a job's progress.
//!
//! A job has one such row, which must not outgrow what the store accepts, however many tasks
//! the job has. While it fits, it has one form that earlier releases read too. A larger one
//! has a compact form: tasks that have succeeded take a bit each, occurrences that are done a
//! range, and checkpoints are left out if they do not fit. The holder limits the other tasks
//! (`skylarkwick_request::shard`, module `unsettled`). See `docs/DESIGN.md`, section "Rows".

use std::{ops::Range, sync::Arc};

use serde::{Deserialize, Serialize};
use skylarkwick_request::job::{
    self,
    progress::{Progress, TaskPosition, TaskProgress},
    ranges::Ranges,
    task::RunId,
};

use super::{decode_later_field, encode};

/// Largest row of progress, in bytes; the platform accepts 64 KiB.
const MAX_PROGRESS_BYTES: usize = 65_000;
/// Fewest bytes of a task in the form that earlier releases read too.
const MIN_TASK_BYTES: usize = 7;
/// Bits of a byte.
const BYTE_BITS: usize = 8;

/// Row of a job's progress: the progress of its tasks, and the servers on which they may
/// have been started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ProgressRow {
    /// All tasks, or in the compact form those that have not succeeded.
    tasks: Vec<TaskRow>,
    /// Backend servers on which tasks may have been started.
    servers: Vec<String>,
    /// Tasks that have succeeded, by step; only in the compact form.
    #[serde(deserialize_with = "decode_later_field")]
    done_steps: Vec<DoneRow>,
    /// Ranges of occurrences that are done, the first one and their number.
    #[serde(deserialize_with = "decode_later_field")]
    done_occurrences: Vec<(u32, u32)>,
}

/// Stored form of a [`TaskProgress`], with the task's position as occurrence, step and
/// index, its failed runs, the last run that ended and the last checkpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct TaskRow {
    position: (u32, usize, usize),
    is_done: bool,
    failed_runs: Vec<u64>,
    last_ended_run: u64,
    checkpoint: String,
}

/// The tasks of a step that have succeeded, in one occurrence.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct DoneRow {
    occurrence: u32,
    step: usize,
    tasks: DoneTasks,
}

/// Tasks of a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum DoneTasks {
    /// This many, from the first one on.
    First(u32),
    /// A bit each, the lowest one of the first byte for the first task.
    Bits(Vec<u8>),
}

/// Encodes a job's progress, in the compact form if it is too large otherwise. Checkpoints are
/// left out, those of the last tasks first, if the row is too large with them: the tasks then
/// start anew after a change of the holder.
pub fn encode_progress(progress: &Progress) -> Vec<u8> {
    if count_entries(progress) <= MAX_PROGRESS_BYTES / MIN_TASK_BYTES {
        let bytes = encode(&ProgressRow::from(progress));
        if bytes.len() <= MAX_PROGRESS_BYTES {
            return bytes;
        }
    }
    let mut compact = ProgressRow::compact(progress);
    let bytes = encode(&compact);
    match bytes.len().checked_sub(MAX_PROGRESS_BYTES) {
        None | Some(0) => bytes,
        Some(excess) => {
            compact.drop_checkpoints(excess);
            encode(&compact)
        }
    }
}

/// Returns the number of tasks that the form for earlier releases has an entry for.
fn count_entries(progress: &Progress) -> usize {
    progress.tasks.len() + progress.done_tasks.values().map(Ranges::len).sum::<usize>()
}

impl ProgressRow {
    /// Creates the compact form.
    fn compact(progress: &Progress) -> ProgressRow {
        let Progress { tasks, mut done_tasks, done_occurrences, servers } =
            progress.clone().compacted();
        let is_open = |occurrence| !done_occurrences.contains(occurrence);
        done_tasks.retain(|(occurrence, _), _| is_open(*occurrence));
        let tasks = tasks.iter().filter(|(position, _)| is_open(position.occurrence));
        let done_row = |((occurrence, step), indices)| DoneRow {
            occurrence,
            step,
            tasks: DoneTasks::new(&indices),
        };
        ProgressRow {
            tasks: tasks.map(|(position, task)| TaskRow::new(position, task)).collect(),
            servers: servers.iter().map(ToString::to_string).collect(),
            done_steps: done_tasks.into_iter().map(done_row).collect(),
            done_occurrences: done_occurrences.iter().map(first_and_count).collect(),
        }
    }

    /// Removes checkpoints, the last ones first, until the row is smaller by this many bytes
    /// or has none. A task without failed runs is left out then.
    fn drop_checkpoints(&mut self, excess: usize) {
        let mut saved = 0;
        let mut kept = Vec::with_capacity(self.tasks.len());
        for mut task in std::mem::take(&mut self.tasks).into_iter().rev() {
            let has_failed = !task.failed_runs.is_empty();
            match () {
                () if saved >= excess => {}
                () if has_failed => {
                    saved += task.checkpoint.len();
                    task.checkpoint.clear();
                }
                () => {
                    // Without the version byte.
                    saved += encode(&task).len() - 1;
                    continue;
                }
            }
            kept.push(task);
        }
        kept.reverse();
        self.tasks = kept;
    }
}

impl DoneTasks {
    /// Creates the shorter form of some tasks of a step.
    fn new(indices: &Ranges) -> DoneTasks {
        let last = indices.iter().last().unwrap_or_default();
        if indices.first_absent(0) == last.end {
            return DoneTasks::First(last.end);
        }
        let mut bits = vec![0; index(last.end).div_ceil(BYTE_BITS)];
        for index in indices.iter().flatten().map(index) {
            bits[index / BYTE_BITS] |= 1 << (index % BYTE_BITS);
        }
        DoneTasks::Bits(bits)
    }

    /// Returns the indices of the tasks in their step.
    fn indices(&self) -> Ranges {
        let mut indices = Ranges::default();
        match self {
            DoneTasks::First(count) => indices.insert_range(0..*count),
            DoneTasks::Bits(bits) => {
                let bit_of = |number: u32| bits.get(index(number) / BYTE_BITS);
                for (number, byte) in (0_u32..).map_while(|number| Some((number, bit_of(number)?)))
                {
                    if byte >> (index(number) % BYTE_BITS) & 1 > 0 {
                        indices.insert(number);
                    }
                }
            }
        }
        indices
    }
}

/// Returns a range of successive numbers as the first one and how many there are.
fn first_and_count(range: Range<u32>) -> (u32, u32) {
    (range.start, range.end - range.start)
}

/// Returns the number of a task as an index.
fn index(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

impl From<&Progress> for ProgressRow {
    /// Creates the form with an entry for each task, also for those that have succeeded, but not
    /// for those of occurrences that are done.
    fn from(progress: &Progress) -> ProgressRow {
        let mut tasks = progress.tasks.clone();
        for (&(occurrence, step), done) in &progress.done_tasks {
            for index in done.iter().flatten().map(index) {
                let position = TaskPosition { occurrence, step, index };
                tasks.entry(position).or_default().is_done = true;
            }
        }
        ProgressRow {
            tasks: tasks.iter().map(|(position, task)| TaskRow::new(position, task)).collect(),
            servers: progress.servers.iter().map(ToString::to_string).collect(),
            done_occurrences: progress.done_occurrences.iter().map(first_and_count).collect(),
            ..ProgressRow::default()
        }
    }
}

impl TaskRow {
    /// Creates the row of a task.
    fn new(position: &TaskPosition, task: &TaskProgress) -> TaskRow {
        TaskRow {
            position: (position.occurrence, position.step, position.index),
            is_done: task.is_done,
            failed_runs: task.failed_runs.iter().map(|run| run.0).collect(),
            last_ended_run: task.last_ended_run.0,
            checkpoint: task.checkpoint.to_string(),
        }
    }
}

impl From<TaskRow> for (TaskPosition, TaskProgress) {
    fn from(row: TaskRow) -> (TaskPosition, TaskProgress) {
        let (occurrence, step, index) = row.position;
        let task = TaskProgress {
            is_done: row.is_done,
            failed_runs: row.failed_runs.into_iter().map(RunId).collect(),
            last_ended_run: RunId(row.last_ended_run),
            checkpoint: Arc::from(row.checkpoint),
        };
        (TaskPosition { occurrence, step, index }, task)
    }
}

impl TryFrom<ProgressRow> for Progress {
    type Error = job::Error;

    /// Fails if the row names more tasks or occurrences than a job may have: a damaged row may
    /// decode, and all that it names would be allocated.
    fn try_from(row: ProgressRow) -> Result<Progress, job::Error> {
        let mut progress = Progress {
            tasks: row.tasks.into_iter().map(<(TaskPosition, TaskProgress)>::from).collect(),
            servers: row.servers.into_iter().map(Arc::from).collect(),
            ..Progress::default()
        };
        for DoneRow { occurrence, step, tasks } in row.done_steps {
            if matches!(tasks, DoneTasks::First(count) if count > job::MAX_TASKS) {
                return Err(job::Error::Count(step));
            }
            progress.done_tasks.entry((occurrence, step)).or_default().extend(&tasks.indices());
        }
        for (first, count) in row.done_occurrences {
            let end = first.saturating_add(count);
            if end > job::MAX_OCCURRENCES {
                return Err(job::Error::Occurrences);
            }
            progress.done_occurrences.insert_range(first..end);
        }
        Ok(progress)
    }
}
