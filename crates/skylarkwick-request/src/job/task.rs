//! Tasks: the units of a step. A run of a task is on one backend server.

use std::{fmt, str::FromStr};

use super::Id as JobId;

/// Identifier of a task; its text form is `job.occurrence.step.index`, where the job's
/// identifier may contain dots.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from zero.
    pub occurrence: u32,
    /// Number of the step, from zero.
    pub step: usize,
    /// Number of the task in its step, from zero.
    pub index: usize,
}

impl fmt::Display for Id {
    /// Writes the text form of an [`Id`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Error for text that is not a task identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed task identifier; expected job.occurrence.step.index")]
pub struct ParseError;

impl FromStr for Id {
    type Err = ParseError;

    /// Parses the text form of an [`Id`]; fails if a part is missing or a number malformed.
    fn from_str(text: &str) -> Result<Id, ParseError> {
        let mut parts = text.rsplitn(4, '.');
        let index = parse_part(parts.next())?;
        let step = parse_part(parts.next())?;
        let occurrence = parse_part(parts.next())?;
        let job = JobId::new(parts.next().ok_or(ParseError)?);
        Ok(Id { job, occurrence, step, index })
    }
}

/// Parses a number of a task identifier; fails if the part is missing or malformed.
fn parse_part<T: FromStr>(part: Option<&str>) -> Result<T, ParseError> {
    part.and_then(|part| part.parse().ok()).ok_or(ParseError)
}

/// Identifier of a run, which is one attempt at a task. It increases with every start in a
/// shard, also across the shard's holders; zero stands for no run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

impl RunId {
    /// Number of run identifiers reserved for each term of a holder; it is not enforced.
    const RUNS_PER_TERM: u64 = 1 << 24;

    /// Returns the first run of a term, the time for which one process holds a shard; `term`
    /// is the number of the shard's holders so far.
    ///
    /// Every run of a later holder is above every run of an earlier one that started at most
    /// 2^24 runs, so a holder need not know which runs its predecessors started.
    pub const fn first_of_term(term: u64) -> RunId {
        RunId(term.saturating_mul(RunId::RUNS_PER_TERM).saturating_add(1))
    }

    /// Returns the run identifier after this one.
    pub const fn next(self) -> RunId {
        RunId(self.0.saturating_add(1))
    }
}

/// How a run ended, as its backend server reported it: done, failed or stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task succeeded.
    Done,
    /// The run failed, because of the task or of its host.
    Failed,
    /// The run was stopped, its lease expired, or its gang was stopped.
    Stopped,
}
