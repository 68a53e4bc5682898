//! Run times, learned from the ends of each queue's tasks.
//!
//! Callers' estimates are rough for some queues and good for others. Each queue
//! keeps the error of its callers' estimates beside the error of what was
//! learned, and the better of the two is used.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{estimate::Typical, job::Step};

/// Weight of one observation in the two errors.
const ERROR_WEIGHT: f64 = 0.1;
/// Shortest run time that is told apart.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// What was learned of one queue.
#[derive(Clone, Copy, Debug)]
struct QueueRunTimes {
    typical: Typical,
    /// Mean error of the callers' estimates, as a logarithm.
    estimate_error: f64,
    /// Mean error of the learned run time, as a logarithm.
    learned_error: f64,
}

/// Run times of the tasks of queues.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimeModel {
    queues: BTreeMap<Arc<str>, QueueRunTimes>,
}

impl RunTimeModel {
    /// Adds the run time of a task that ended well.
    pub(super) fn observe(
        &mut self,
        queue: &Arc<str>,
        run_time_estimate: Duration,
        run_time: Duration,
    ) {
        let initial = QueueRunTimes {
            typical: Typical::declared(run_time_estimate.max(MIN_RUN_TIME)),
            estimate_error: 0.0,
            learned_error: 0.0,
        };
        let learned = self.queues.entry(Arc::clone(queue)).or_insert(initial);
        let estimate_error = log_error(run_time_estimate, run_time);
        let learned_error = log_error(learned.typical.run_time(), run_time);
        learned.estimate_error += ERROR_WEIGHT * (estimate_error - learned.estimate_error);
        learned.learned_error += ERROR_WEIGHT * (learned_error - learned.learned_error);
        learned.typical.observe(run_time.max(MIN_RUN_TIME));
    }

    /// Returns the run time to expect of a step's tasks.
    pub(super) fn run_time(&self, queue: &str, step: &Step) -> Duration {
        match self.queues.get(queue) {
            Some(learned) if learned.learned_error < learned.estimate_error => {
                learned.typical.run_time()
            }
            _ => step.estimate,
        }
    }
}

/// Returns how far two run times are apart, as the logarithm of their ratio.
fn log_error(left: Duration, right: Duration) -> f64 {
    let ratio = left.max(MIN_RUN_TIME).as_secs_f64() / right.max(MIN_RUN_TIME).as_secs_f64();
    ratio.ln().abs()
}
