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
    /// Returns whether half of the processor time or more is reserved.
    pub(super) fn is_half_used(&self) -> bool {
        self.reserved.millicores() >= self.capacity.millicores / 2
    }

    /// Returns how many of its waiting tasks a step beyond the weight may start here, so that the
    /// reserve stays free. A gang starts as a whole or not at all.
    ///
    /// While less than half of the step's pool is used, only room for one more of its size is
    /// reserved: a few servers with a label may be full beside many free ones.
    pub(super) fn admit_excess(&self, ready: &ReadyStep, is_pool_half_used: bool) -> usize {
        let tasks = ready.tasks.len();
        let step = &ready.job.steps[ready.step];
        let each = step.reservation().millicores();
        let unit = each.saturating_mul(if step.is_gang { u64::from(step.count) } else { 1 });
        let reserve = match is_pool_half_used {
            true => self.reserve_millicores(),
            false => self.reserve_millicores().min(unit),
        };
        let open = self.for_finite_millicores().saturating_sub(reserve);
        if unit > open {
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

    /// Returns the processor time to keep free, in thousandths of a core.
    fn reserve_millicores(&self) -> u64 {
        let most = self.for_finite_millicores() / MAX_FINITE_RESERVE;
        most.min(self.capacity.millicores / EXCESS_RESERVE)
    }

    /// Returns the processor time that long-running tasks leave, in thousandths of a core.
    fn for_finite_millicores(&self) -> u64 {
        self.capacity.millicores.saturating_sub(self.long_running.millicores())
    }

    /// Returns the processor time that finite tasks reserve, in thousandths of a core.
    fn finite_millicores(&self) -> u64 {
        self.reserved.millicores().saturating_sub(self.long_running.millicores())
    }
}
