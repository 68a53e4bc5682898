//! Tasks: one piece of a step, run on one backend server at a time.

use std::{fmt, str::FromStr};

use super::Id as JobId;

/// Identity of a task.
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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// A text that is not the identity of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the identity of a task")]
pub struct ParseError;

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Id, ParseError> {
        let mut parts = text.rsplitn(4, '.');
        let index = number(parts.next())?;
        let step = number(parts.next())?;
        let occurrence = number(parts.next())?;
        let job = JobId::new(parts.next().ok_or(ParseError)?);
        Ok(Id { job, occurrence, step, index })
    }
}

fn number<T: FromStr>(part: Option<&str>) -> Result<T, ParseError> {
    part.and_then(|part| part.parse().ok()).ok_or(ParseError)
}

/// Number of an attempt at a task; it rises with every start, over all holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

impl RunId {
    /// Attempts that one holder may number before the next holder's begin.
    const PER_TERM: u64 = 1 << 24;

    /// Returns the first run of a holder that is the `term`th of its shard.
    ///
    /// Every run of a later holder is above every run of an earlier one, so a
    /// holder need not know which runs its predecessors gave.
    pub const fn first_of_term(term: u64) -> RunId {
        RunId(term.saturating_mul(RunId::PER_TERM) + 1)
    }

    /// Returns the run after this one.
    pub const fn next(self) -> RunId {
        RunId(self.0 + 1)
    }
}

/// How a run ended, in the word of its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task has done its work.
    Done,
    /// The task failed, through its own fault or its host's.
    Failed,
    /// The run was stopped, its lease lapsed, or its gang broke up.
    Stopped,
}
