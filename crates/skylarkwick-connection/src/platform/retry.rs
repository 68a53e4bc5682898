//! Commits whose answer may be lost.
//!
//! A lost answer is not a failure: the write may have taken effect. The same
//! transaction is sent again. If the first one took effect, the second meets a
//! conflict with rows that carry its own token, and so is known as applied.

use skylarkwick_version::revision::Revision;

use super::{Commit, Error, Row, Table, Transaction};

/// Attempts at one transaction before its outcome is left in doubt.
const MAX_ATTEMPTS: u32 = 4;

/// What is known of a transaction in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The writes are in force.
    Applied(Revision),
    /// Nothing was written, because these rows did not meet their conditions.
    Conflict(Vec<Row>),
    /// Nothing was written, because the platform can't be reached or refused.
    NotWritten(Error),
    /// The writes may or may not be in force.
    InDoubt,
}

/// Commits a transaction, telling its own writes from those of others.
///
/// The transaction has to write at least one of the rows it sets a condition
/// on; otherwise a repeat could take effect twice.
pub fn commit_with_retry<T: Table>(table: &T, transaction: &Transaction) -> Outcome {
    let mut was_lost = false;
    for _ in 0..MAX_ATTEMPTS {
        match table.commit(transaction) {
            Ok(Commit::Applied(revision)) => return Outcome::Applied(revision),
            Ok(Commit::Conflict(rows)) => return conflict(rows, transaction, was_lost),
            Err(Error::Lost) => was_lost = true,
            Err(fault) if !was_lost => return Outcome::NotWritten(fault),
            Err(_) => {}
        }
    }
    Outcome::InDoubt
}

fn conflict(rows: Vec<Row>, transaction: &Transaction, was_lost: bool) -> Outcome {
    let own = rows.iter().find(|row| row.token == Some(transaction.token));
    match own {
        Some(row) if was_lost => Outcome::Applied(row.revision),
        _ => Outcome::Conflict(rows),
    }
}
