//! Run times, learned by service and kind.
//!
//! Declared run times are far from the truth, so a document's run time is only
//! a prior. The estimate follows the logarithm of the observed times: a
//! straggler that runs fifty times longer moves it by a few per cent, where it
//! would double a plain mean.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::name;

/// Weight of one observation once enough of them were made.
const WEIGHT: f64 = 0.05;
/// Observations that the declared run time is worth.
const PRIOR_OBSERVATIONS: u32 = 4;
/// A kind is long when it typically runs this many times longer than the pool's
/// work does.
const LONG_FACTOR: f64 = 8.0;
/// A task that has run this many times its estimate is treated as long.
const OVERRUN_FACTOR: f64 = 6.0;
/// Most kinds that are learned for one pool; callers choose the names.
const MAX_KINDS: usize = 1024;

/// Whether work holds a slot for a short or for a long time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Runs about as long as most work of its pool.
    Short,
    /// Runs many times longer.
    Long,
}

/// LogMean run time of one stream of work.
#[derive(Clone, Copy, Debug)]
pub struct LogMean {
    log_seconds: f64,
    observations: u32,
}

impl LogMean {
    /// Starts from a declared run time.
    pub fn from_declared(run_time: Duration) -> LogMean {
        LogMean { log_seconds: log_seconds(run_time), observations: PRIOR_OBSERVATIONS }
    }

    /// Adds one observed run time.
    pub fn observe(&mut self, run_time: Duration) {
        self.observations = self.observations.saturating_add(1);
        let weight = (1.0 / f64::from(self.observations)).max(WEIGHT);
        self.log_seconds += weight * (log_seconds(run_time) - self.log_seconds);
    }

    /// Returns the typical run time.
    pub fn run_time(&self) -> Duration {
        Duration::from_secs_f64(self.log_seconds.exp())
    }
}

fn log_seconds(run_time: Duration) -> f64 {
    run_time.max(Duration::from_micros(1)).as_secs_f64().ln()
}

/// Run times of the work of one pool.
#[derive(Clone, Debug)]
pub struct Estimator {
    declared: Duration,
    pool: LogMean,
    kinds: BTreeMap<(name::Service, name::Kind), LogMean>,
}

impl Estimator {
    /// Starts from the run time that the pool's document declares.
    pub fn from_declared(run_time: Duration) -> Estimator {
        Estimator {
            declared: run_time,
            pool: LogMean::from_declared(run_time),
            kinds: BTreeMap::new(),
        }
    }

    /// Adds one observed run time.
    pub fn observe(&mut self, service: &name::Service, kind: &name::Kind, run_time: Duration) {
        self.pool.observe(run_time);
        self.observe_kind(service, kind, run_time);
    }

    /// Adds that a task of a kind still runs after `elapsed`.
    ///
    /// A kind that runs long is known from its first overruns, not only once
    /// its first tasks have ended. The pool's typical run time stays as it is,
    /// because tasks that end late must not make others look short.
    pub fn observe_overrun(
        &mut self,
        service: &name::Service,
        kind: &name::Kind,
        elapsed: Duration,
    ) {
        self.observe_kind(service, kind, elapsed);
    }

    fn observe_kind(&mut self, service: &name::Service, kind: &name::Kind, run_time: Duration) {
        let key = (service.clone(), kind.clone());
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&key) {
            let declared = LogMean::from_declared(self.declared);
            self.kinds.entry(key).or_insert(declared).observe(run_time);
        }
    }

    /// Returns the run time to expect of a kind of work.
    pub fn run_time(&self, service: &name::Service, kind: &name::Kind) -> Duration {
        self.kinds.get(&(service.clone(), kind.clone())).unwrap_or(&self.pool).run_time()
    }

    /// Tells whether a kind of work is long for its pool.
    pub fn class(&self, service: &name::Service, kind: &name::Kind) -> Class {
        self.classify(self.run_time(service, kind))
    }

    /// Tells whether a run time is long for the pool.
    pub fn classify(&self, run_time: Duration) -> Class {
        match run_time.as_secs_f64() > LONG_FACTOR * self.pool.run_time().as_secs_f64() {
            true => Class::Long,
            false => Class::Short,
        }
    }

    /// Returns how long a task may run before it is treated as long.
    pub fn overrun_limit(&self, service: &name::Service, kind: &name::Kind) -> Duration {
        self.run_time(service, kind).mul_f64(OVERRUN_FACTOR)
    }
}
