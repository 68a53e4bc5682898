//! Room that jobs beyond the weight of their workspace leave free for others. See
//! `docs/design/shares.md`.

use super::{ranking::ReadyStep, usage::Usage};

/// Part of a group of servers that is kept free of jobs beyond their workspace's weight: one in
/// this many cores.
const EXCESS_RESERVE: u64 = 4;

impl Usage {
    /// Returns how many of its waiting tasks a step beyond the weight may start here, so that the
    /// reserve stays free. A gang starts as a whole or not at all.
    pub(super) fn admit_excess(&self, ready: &ReadyStep) -> usize {
        let tasks = ready.tasks.len();
        let step = &ready.job.steps[ready.step];
        let unit = if step.is_gang { u64::from(step.count) } else { 1 };
        let each = step.reservation().millicores();
        let capacity = self.capacity.millicores;
        let open = capacity.saturating_sub(capacity / EXCESS_RESERVE);
        if each.saturating_mul(unit) > open {
            // It would never start.
            return tasks;
        }
        let left = open.saturating_sub(self.reserved.millicores()).checked_div(each);
        let fitting = left.and_then(|fitting| usize::try_from(fitting).ok()).unwrap_or(tasks);
        match step.is_gang && fitting < tasks {
            true => 0,
            false => fitting.min(tasks),
        }
    }
}
