//! Retries of commits whose response was lost.
//!
//! After a lost response, the write may have taken effect, so the same
//! transaction is sent again. If the first attempt took effect, the second is
//! refused with conflicting rows that carry the transaction's own token, and is
//! therefore reported as applied.

use skylarkwick_version::revision::Revision;

use super::{Commit, Error, Row, Table, Transaction};

/// Number of attempts at one transaction, without a delay between them, before its
/// outcome is reported as in doubt.
const MAX_ATTEMPTS: u32 = 4;

/// The outcome of a transaction after all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The writes took effect at this revision.
    Applied(Revision),
    /// Nothing was written, because these rows did not meet their conditions.
    Conflict(Vec<Row>),
    /// Nothing was written, because the platform was unreachable or refused the
    /// request.
    NotWritten(Error),
    /// The writes may have taken effect.
    InDoubt,
}

/// Commits a transaction, and retries it when a response is lost.
///
/// Any other error is returned without a retry, unless an earlier response was lost. The
/// outcome is in doubt once all attempts have failed.
///
/// The transaction must write at least one of the rows in its conditions;
/// otherwise a retry could take effect a second time.
pub fn commit_with_retry<T: Table>(table: &T, transaction: &Transaction) -> Outcome {
    let mut was_lost = false;
    for _ in 0..MAX_ATTEMPTS {
        match table.commit(transaction) {
            Ok(Commit::Applied(revision)) => return Outcome::Applied(revision),
            Ok(Commit::Conflict(rows)) => return resolve_conflict(rows, transaction, was_lost),
            Err(Error::Lost) => was_lost = true,
            Err(error) if !was_lost => return Outcome::NotWritten(error),
            Err(_) => {}
        }
    }
    Outcome::InDoubt
}

/// Returns the outcome of a conflict: applied if a response was lost earlier and a row
/// carries the transaction's own token, a conflict otherwise.
fn resolve_conflict(rows: Vec<Row>, transaction: &Transaction, was_lost: bool) -> Outcome {
    let own = rows.iter().find(|row| row.token == Some(transaction.token));
    match own {
        Some(row) if was_lost => Outcome::Applied(row.revision),
        _ => Outcome::Conflict(rows),
    }
}
