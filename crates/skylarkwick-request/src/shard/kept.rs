//! What a holder keeps in memory for the jobs of its shard. See `docs/DESIGN.md`, section "Memory
//! of a holder".

use super::{Shard, active::ActiveJob, occurrence::Occurrence};

/// Bytes of a task that has begun, with its run, its progress and its place in maps.
const BEGUN_TASK_BYTES: usize = 500;
/// Bytes of an open occurrence of a schedule, for each step.
const OPEN_STEP_BYTES: usize = 100;

/// Unfinished jobs of a shard, their tasks that have begun and are not done, and the memory for
/// both by estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// Jobs.
    pub jobs: usize,
    /// Tasks of them that have begun and are not done.
    pub tasks: usize,
    /// Memory for them, in bytes.
    pub bytes: usize,
}

impl Kept {
    /// Adds a job.
    fn add(&mut self, active: &ActiveJob) {
        let tasks = active.occurrences.values().flat_map(Occurrence::all_touched).count();
        let open_steps = active.occurrences.len() * active.job.steps.len();
        self.jobs += 1;
        self.tasks += tasks;
        self.bytes += active.job.kept_bytes();
        self.bytes += tasks * BEGUN_TASK_BYTES + open_steps * OPEN_STEP_BYTES;
    }
}

impl Shard {
    /// Returns what is kept for the jobs of the shard.
    pub fn kept(&self) -> Kept {
        let mut kept = Kept::default();
        self.jobs.values().for_each(|active| kept.add(active));
        kept
    }
}
