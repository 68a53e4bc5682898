//! The writer duty: writes claims to the platform in batches.
//!
//! Each batch is one transaction that only creates rows. On a conflict, the keys
//! whose rows exist are reported and the rest is written again.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_connection::platform::{
    Row, Table, Transaction,
    retry::{self, commit_with_retry},
    row::{self, CLAIM},
};
use skylarkwick_process::ring;
use skylarkwick_request::{claim::Claim, id::Key};
use skylarkwick_version::revision::Revision;

use crate::{
    event::{ClaimsEvent, WriteOutcome},
    identity::new_token,
};

/// Claims to write, by key.
pub(crate) type Batch = BTreeMap<Key, Claim>;

/// Pause after each batch; it limits the entry host to its share of the
/// platform's write capacity.
const BATCH_PAUSE: Duration = Duration::from_millis(10);

/// Writes batches and sends the results of each to the claims duty, in one event per batch,
/// until that duty has ended.
pub(crate) fn run<T: Table>(
    table: &T,
    input: &ring::Receiver<Batch>,
    claims: &ring::Sender<ClaimsEvent>,
) {
    while let Some(batch) = input.receive() {
        if claims.send(ClaimsEvent::BatchWritten(write_batch(table, batch))).is_err() {
            return;
        }
        std::thread::sleep(BATCH_PAUSE);
    }
}

/// Writes the claims of a batch and returns the result for each key. Writes again without
/// the keys whose rows exist until a transaction is not in conflict; its result counts for
/// all keys left.
fn write_batch<T: Table>(table: &T, mut batch: Batch) -> Vec<(Key, WriteOutcome)> {
    let mut outcomes = Vec::new();
    while !batch.is_empty() {
        let transaction =
            batch.iter().fold(Transaction::new(new_token()), |transaction, (key, claim)| {
                let value = row::encode(&row::Claim::from(claim));
                transaction.replace(row_key(*key), Revision::ABSENT, value)
            });
        let rest_outcome = match commit_with_retry(table, &transaction) {
            retry::Outcome::Applied(_) => Some(WriteOutcome::Claimed),
            retry::Outcome::NotWritten(_) => Some(WriteOutcome::NotWritten),
            retry::Outcome::InDoubt => Some(WriteOutcome::InDoubt),
            retry::Outcome::Conflict(rows) => {
                let conflicting_claims = conflicting_claims(&batch, &rows);
                match conflicting_claims.is_empty() {
                    true => Some(WriteOutcome::NotWritten),
                    false => {
                        for (key, outcome) in conflicting_claims {
                            batch.remove(&key);
                            outcomes.push((key, outcome));
                        }
                        None
                    }
                }
            }
        };
        if let Some(outcome) = rest_outcome {
            outcomes
                .extend(std::mem::take(&mut batch).into_keys().map(|key| (key, outcome.clone())));
        }
    }
    outcomes
}

/// Returns the result for each key of the batch that has a row in `rows`: the claim in that
/// row, or `InDoubt` if it cannot be decoded.
fn conflicting_claims(batch: &Batch, rows: &[Row]) -> Vec<(Key, WriteOutcome)> {
    let by_key: BTreeMap<_, _> = rows.iter().map(|row| (row.key.clone(), row)).collect();
    batch
        .keys()
        .filter_map(|key| {
            let row = by_key.get(&row_key(*key))?;
            let outcome = match row::decode::<row::Claim, Claim>(row) {
                Ok(Some(claim)) => WriteOutcome::AlreadyClaimed(claim),
                _ => WriteOutcome::InDoubt,
            };
            Some((*key, outcome))
        })
        .collect()
}

/// Returns the key of the platform row for a claim.
fn row_key(key: Key) -> skylarkwick_connection::platform::Key {
    row::key(CLAIM, &key.to_string())
}
