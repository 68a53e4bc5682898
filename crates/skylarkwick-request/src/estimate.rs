//! Estimates run times by service and kind of work.
//!
//! Declared run times are inaccurate, so the run time in a document is only a
//! prior. The estimate is a moving average of the logarithm of observed run
//! times, which limits the effect of stragglers: if one task in 50 runs 50 times
//! longer, it rises by less than 10 per cent on average, while an arithmetic mean
//! would double.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::name;

/// Minimum weight of an observation in a moving average, so that old observations decay.
const MIN_WEIGHT: f64 = 0.05;
/// Number of observations that the declared run time counts for.
const PRIOR_OBSERVATIONS: u32 = 4;
/// A kind is long if its mean run time exceeds this multiple of the pool's.
const LONG_FACTOR: f64 = 8.0;
/// A short task is reclassified as long after this multiple of its estimated run time.
const OVERRUN_FACTOR: f64 = 6.0;
/// Maximum number of kinds tracked for one pool, which are the first ones observed; the others
/// get the estimate of the pool. Bounds the memory, as callers choose the names.
const MAX_KINDS: usize = 1024;

/// Class of work: short, or long if its run time is many times that of the pool's typical
/// work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Estimated run time is at most eight times the average of the pool.
    Short,
    /// Estimated run time is more than eight times the average of the pool, or the task has
    /// exceeded its overrun limit.
    Long,
}

/// Moving average of the logarithms of run times, and the number of observations in it,
/// which includes those that the prior counts for.
#[derive(Clone, Copy, Debug)]
pub struct LogMean {
    mean_log_seconds: f64,
    observations: u32,
}

impl LogMean {
    /// Creates an average with a declared run time as the prior, which counts as four
    /// observations.
    pub fn from_declared(run_time: Duration) -> LogMean {
        LogMean { mean_log_seconds: log_seconds(run_time), observations: PRIOR_OBSERVATIONS }
    }

    /// Adds an observed run time, with a weight that falls with the number of observations
    /// but not below 5 per cent.
    pub fn observe(&mut self, run_time: Duration) {
        self.observations = self.observations.saturating_add(1);
        let weight = (1.0 / f64::from(self.observations)).max(MIN_WEIGHT);
        self.mean_log_seconds += weight * (log_seconds(run_time) - self.mean_log_seconds);
    }

    /// Returns the average run time, which is a geometric mean.
    pub fn run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_log_seconds.exp())
    }
}

/// Returns the natural logarithm of a run time in seconds; shorter times count as one
/// microsecond.
fn log_seconds(run_time: Duration) -> f64 {
    run_time.max(Duration::from_micros(1)).as_secs_f64().ln()
}

/// Estimates the run times of the work of one pool: the averages of the pool and of each kind
/// of work of a service, with the declared run time as the prior of each.
#[derive(Clone, Debug)]
pub struct Estimator {
    declared: Duration,
    pool_mean: LogMean,
    kind_means: BTreeMap<(name::Service, name::Kind), LogMean>,
}

impl Estimator {
    /// Creates an estimator with the run time declared in the pool's document as the
    /// prior.
    pub fn from_declared(run_time: Duration) -> Estimator {
        Estimator {
            declared: run_time,
            pool_mean: LogMean::from_declared(run_time),
            kind_means: BTreeMap::new(),
        }
    }

    /// Adds the run time of a task that has ended to the average of the pool and to that of
    /// its kind, if the kind is tracked or fewer than `MAX_KINDS` are.
    pub fn observe(&mut self, service: &name::Service, kind: &name::Kind, run_time: Duration) {
        self.pool_mean.observe(run_time);
        self.observe_kind(service, kind, run_time);
    }

    /// Adds the time that a task has run so far to the average of its kind, as if it had
    /// ended.
    ///
    /// A long kind is thus detected before its first task ends. The average of the pool is not
    /// updated, because a higher average would hide other long kinds.
    pub fn observe_overrun(
        &mut self,
        service: &name::Service,
        kind: &name::Kind,
        elapsed: Duration,
    ) {
        self.observe_kind(service, kind, elapsed);
    }

    /// Adds a run time to the average of a kind; does nothing for a new kind if
    /// [`MAX_KINDS`] are tracked already.
    fn observe_kind(&mut self, service: &name::Service, kind: &name::Kind, run_time: Duration) {
        let key = (service.clone(), kind.clone());
        if self.kind_means.len() < MAX_KINDS || self.kind_means.contains_key(&key) {
            let declared = LogMean::from_declared(self.declared);
            self.kind_means.entry(key).or_insert(declared).observe(run_time);
        }
    }

    /// Returns the estimated run time of a kind of work; that of the pool if the kind is not
    /// tracked.
    pub fn run_time(&self, service: &name::Service, kind: &name::Kind) -> Duration {
        self.kind_means.get(&(service.clone(), kind.clone())).unwrap_or(&self.pool_mean).run_time()
    }

    /// Classifies a kind of work by its estimated run time.
    pub fn class(&self, service: &name::Service, kind: &name::Kind) -> Class {
        self.classify(self.run_time(service, kind))
    }

    /// Classifies a run time: it is long above eight times the average of the pool.
    pub fn classify(&self, run_time: Duration) -> Class {
        match run_time.as_secs_f64() > LONG_FACTOR * self.pool_mean.run_time().as_secs_f64() {
            true => Class::Long,
            false => Class::Short,
        }
    }

    /// Returns the time from the start of a task after which it is reclassified as long if it
    /// is short: six times the present estimate of its kind's run time.
    pub fn overrun_limit(&self, service: &name::Service, kind: &name::Kind) -> Duration {
        self.run_time(service, kind).mul_f64(OVERRUN_FACTOR)
    }
}
