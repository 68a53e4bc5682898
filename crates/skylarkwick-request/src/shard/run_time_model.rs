//! Run times, learned from the finished runs of each queue.
//!
//! Callers' estimates are rough for some queues and good for others. The errors
//! of the callers' estimates and of the learned run time are tracked for each
//! queue, and the more accurate of the two is used.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{estimate::LogMean, job::Step};

/// Weight of the latest run in the moving mean errors of the callers' estimates
/// and of the learned run time.
const ERROR_WEIGHT: f64 = 0.1;
/// Longest run time that is expected of a task, whatever its caller estimates, so that sums
/// and multiples of run times stay in range.
const MAX_RUN_TIME: Duration = Duration::from_secs(30 * 24 * 60 * 60);
/// Run times and estimates below this count as this, so that their logarithms
/// stay finite.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// Run times learned for one queue: their mean, and how far it and the callers'
/// estimates have been off.
#[derive(Clone, Copy, Debug)]
struct QueueRunTimes {
    /// Geometric moving mean of the run times, which starts from the caller's
    /// estimate for the first run.
    mean: LogMean,
    /// The run time that this mean stands for.
    run_time: Duration,
    /// Moving mean error of the callers' estimates, as a natural logarithm.
    estimate_error: f64,
    /// Moving mean error of the learned run time, as a natural logarithm.
    learned_error: f64,
}

/// Learned run times of all queues; a queue has none until its first run has
/// succeeded.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimeModel {
    /// Run times by the name of the queue.
    queues: BTreeMap<Arc<str>, QueueRunTimes>,
}

impl RunTimeModel {
    /// Adds the run time of a run that succeeded to those of its queue, and
    /// updates the moving errors of the callers' estimates and of the mean
    /// learned before this run.
    pub(super) fn observe(
        &mut self,
        queue: &Arc<str>,
        run_time_estimate: Duration,
        run_time: Duration,
    ) {
        let mean = LogMean::from_declared(run_time_estimate.max(MIN_RUN_TIME));
        let initial = QueueRunTimes {
            mean,
            run_time: mean.run_time(),
            estimate_error: 0.0,
            learned_error: 0.0,
        };
        let learned = self.queues.entry(Arc::clone(queue)).or_insert(initial);
        let estimate_error = log_error(run_time_estimate, run_time);
        let learned_error = log_error(learned.run_time, run_time);
        learned.estimate_error += ERROR_WEIGHT * (estimate_error - learned.estimate_error);
        learned.learned_error += ERROR_WEIGHT * (learned_error - learned.learned_error);
        learned.mean.observe(run_time.max(MIN_RUN_TIME));
        learned.run_time = learned.mean.run_time();
    }

    /// Returns the expected run times of a queue's tasks: the mean learned for
    /// the queue if its moving error is lower than that of the callers'
    /// estimates, else the estimates.
    pub(super) fn estimate(&self, queue: &str) -> Estimate {
        let learned = self.queues.get(queue);
        let accurate = learned.filter(|learned| learned.learned_error < learned.estimate_error);
        Estimate { learned: accurate.map(|learned| learned.run_time) }
    }
}

/// Expected run times of a queue's tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Run time learned for the queue; `None` if the callers' estimates are at
    /// least as accurate.
    learned: Option<Duration>,
}

impl Estimate {
    /// Returns the expected run time of a step's tasks, at most `MAX_RUN_TIME`.
    pub(super) fn run_time(self, step: &Step) -> Duration {
        self.learned.unwrap_or(step.run_time_estimate).min(MAX_RUN_TIME)
    }
}

/// Returns the absolute natural logarithm of the ratio of two run times, each
/// at least `MIN_RUN_TIME`; 0 if they are equal.
fn log_error(left: Duration, right: Duration) -> f64 {
    let ratio = left.max(MIN_RUN_TIME).as_secs_f64() / right.max(MIN_RUN_TIME).as_secs_f64();
    ratio.ln().abs()
}
