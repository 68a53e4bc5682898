//! Run times, learned from the ends of each queue's tasks.
//!
//! Callers' estimates are rough for some queues and good for others. Each queue
//! keeps the error of its callers' estimates beside the error of what was
//! learned, and the better of the two is used.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{estimate::LogMean, job::Step};

/// Weight of one observation in the two errors.
const WEIGHT: f64 = 0.1;
/// Shortest run time that is told apart.
const SHORTEST: Duration = Duration::from_millis(1);

/// What was learned of one queue.
#[derive(Clone, Copy, Debug)]
struct Learned {
    typical: LogMean,
    /// Mean error of the callers' estimates, as a logarithm.
    declared_error: f64,
    /// Mean error of the learned run time, as a logarithm.
    typical_error: f64,
}

/// Run times of the tasks of queues.
#[derive(Clone, Debug, Default)]
pub(super) struct Learning {
    queues: BTreeMap<Arc<str>, Learned>,
}

impl Learning {
    /// Adds the run time of a task that ended well.
    pub(super) fn observe(&mut self, queue: &Arc<str>, declared: Duration, run_time: Duration) {
        let start = Learned {
            typical: LogMean::from_declared(declared.max(SHORTEST)),
            declared_error: 0.0,
            typical_error: 0.0,
        };
        let learned = self.queues.entry(Arc::clone(queue)).or_insert(start);
        let declared_error = distance(declared, run_time);
        let typical_error = distance(learned.typical.run_time(), run_time);
        learned.declared_error += WEIGHT * (declared_error - learned.declared_error);
        learned.typical_error += WEIGHT * (typical_error - learned.typical_error);
        learned.typical.observe(run_time.max(SHORTEST));
    }

    /// Returns the run time to expect of a step's tasks.
    pub(super) fn run_time(&self, queue: &str, step: &Step) -> Duration {
        match self.queues.get(queue) {
            Some(learned) if learned.typical_error < learned.declared_error => {
                learned.typical.run_time()
            }
            _ => step.run_time_estimate,
        }
    }
}

/// Returns how far two run times are apart, as the logarithm of their ratio.
fn distance(left: Duration, right: Duration) -> f64 {
    let ratio = left.max(SHORTEST).as_secs_f64() / right.max(SHORTEST).as_secs_f64();
    ratio.ln().abs()
}
