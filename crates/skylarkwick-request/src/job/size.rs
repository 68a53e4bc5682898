//! Memory that a holder keeps for a job, by estimate, whatever becomes of its tasks. See
//! `docs/DESIGN.md`, section "Memory of a holder".

use super::{Job, Step};

/// Bytes of a job without steps: its state, its entries in maps, and a first occurrence.
const JOB_BYTES: usize = 1_500;
/// Bytes of a step: its definition, and its state in open occurrences.
const STEP_BYTES: usize = size_of::<Step>() + 150;
/// Bytes of a task that may be listed as ready in a decision.
const LISTED_BYTES: usize = size_of::<usize>();
/// Most tasks of a job that are counted as listed.
const MAX_LISTED: u64 = 2_000;

impl Job {
    /// Returns the estimate, in bytes, without tasks that have begun.
    pub fn kept_bytes(&self) -> usize {
        let listed = usize::try_from(self.tasks().min(MAX_LISTED)).unwrap_or(usize::MAX);
        let steps: usize = self.steps.iter().map(step_bytes).sum();
        JOB_BYTES + self.spec.len() + steps + listed * LISTED_BYTES
    }
}

/// Returns the estimate for a step, in bytes.
fn step_bytes(step: &Step) -> usize {
    let texts = [&step.required_label, &step.preferred_rack, &step.image];
    let text_bytes: usize = texts.into_iter().flatten().map(|text| text.len()).sum();
    STEP_BYTES + step.depends_on.len() * size_of::<usize>() + text_bytes
}
