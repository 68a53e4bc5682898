//! The writer duty: claims in groups, many keys a transaction.
//!
//! Each batch is one transaction that writes only rows which did not exist. On
//! a conflict, the keys in the way are answered and the others written again.

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
    event::{Claims, Written},
    identity::token,
};

/// Claims to write.
pub(crate) type Batch = BTreeMap<Key, Claim>;

/// Pause after a batch, which keeps an entry host's claims within its part of
/// the platform's writes.
const PAUSE: Duration = Duration::from_millis(10);

/// Runs until the claims duty is gone.
pub(crate) fn run<T: Table>(
    table: &T,
    input: &ring::Receiver<Batch>,
    claims: &ring::Sender<Claims>,
) {
    while let Some(batch) = input.receive() {
        if claims.send(Claims::Written(write(table, batch))).is_err() {
            return;
        }
        std::thread::sleep(PAUSE);
    }
}

fn write<T: Table>(table: &T, mut batch: Batch) -> Vec<(Key, Written)> {
    let mut written = Vec::new();
    while !batch.is_empty() {
        let transaction =
            batch.iter().fold(Transaction::new(token()), |transaction, (key, claim)| {
                let value = row::encode(&row::Claim::from(claim));
                transaction.replace(row_key(*key), Revision::ABSENT, value)
            });
        let rest = match commit_with_retry(table, &transaction) {
            retry::Outcome::Applied(_) => Some(Written::Ours),
            retry::Outcome::NotWritten(_) => Some(Written::Absent),
            retry::Outcome::InDoubt => Some(Written::InDoubt),
            retry::Outcome::Conflict(rows) => {
                let held = held(&batch, &rows);
                match held.is_empty() {
                    true => Some(Written::Absent),
                    false => {
                        for (key, claim) in held {
                            batch.remove(&key);
                            written.push((key, claim));
                        }
                        None
                    }
                }
            }
        };
        if let Some(rest) = rest {
            written.extend(std::mem::take(&mut batch).into_keys().map(|key| (key, rest.clone())));
        }
    }
    written
}

fn held(batch: &Batch, rows: &[Row]) -> Vec<(Key, Written)> {
    let by_key: BTreeMap<_, _> = rows.iter().map(|row| (row.key.clone(), row)).collect();
    batch
        .keys()
        .filter_map(|key| {
            let row = by_key.get(&row_key(*key))?;
            let written = match row::decode::<row::Claim, Claim>(row) {
                Ok(Some(claim)) => Written::Held(claim),
                _ => Written::InDoubt,
            };
            Some((*key, written))
        })
        .collect()
}

fn row_key(key: Key) -> skylarkwick_connection::platform::Key {
    row::key(CLAIM, &key.to_string())
}
