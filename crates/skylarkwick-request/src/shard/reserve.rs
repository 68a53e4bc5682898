//! Room that jobs beyond the weight of their workspace leave free for others. See
//! `docs/design/shares.md`.

use super::{ranking::ReadyStep, usage::Usage};

/// Part of a group of servers that is kept free of jobs beyond their workspace's weight: one in
/// this many cores.
const EXCESS_RESERVE: u64 = 4;
/// Part of what long-running tasks leave of a group of servers that is kept free at the most: one
/// in this many cores. Tasks that never end take the rest for good.
const MAX_FINITE_RESERVE: u64 = 2;

impl Usage {
    /// Returns how many of its waiting tasks a step beyond the weight may start here, so that the
    /// reserve stays free. A gang starts as a whole or not at all.
    pub(super) fn admit_excess(&self, ready: &ReadyStep) -> usize {
        let tasks = ready.tasks.len();
        let step = &ready.job.steps[ready.step];
        let unit = if step.is_gang { u64::from(step.count) } else { 1 };
        let each = step.reservation().millicores();
        let open = self.open_millicores();
        if each.saturating_mul(unit) > open {
            // It would never start.
            return tasks;
        }
        let fitting = open.saturating_sub(self.finite_millicores()).checked_div(each);
        let fitting = fitting.and_then(|fitting| usize::try_from(fitting).ok()).unwrap_or(tasks);
        match step.is_gang && fitting < tasks {
            true => 0,
            false => fitting.min(tasks),
        }
    }

    /// Returns the processor time up to which finite tasks leave the reserve free, in thousandths of
    /// a core.
    fn open_millicores(&self) -> u64 {
        let capacity = self.capacity.millicores;
        let for_finite = capacity.saturating_sub(self.long_running.millicores());
        let reserve = (capacity / EXCESS_RESERVE).min(for_finite / MAX_FINITE_RESERVE);
        for_finite.saturating_sub(reserve)
    }

    /// Returns the processor time that finite tasks reserve, in thousandths of a core.
    fn finite_millicores(&self) -> u64 {
        self.reserved.millicores().saturating_sub(self.long_running.millicores())
    }
}
