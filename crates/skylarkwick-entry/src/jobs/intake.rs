//! Refusals of submissions for which a shard has no room. See `docs/DESIGN.md`, section "Memory of a
//! holder".

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use skylarkwick_connection::store::{
    self, Outcome, Store, Transaction,
    keyspace::Keyspace,
    row::{self, FinalState, JobRow},
};
use skylarkwick_process::clock::{Boot, Clock};
use skylarkwick_request::{
    intake::{Credit, Publication},
    job::Job,
};
use skylarkwick_version::{revision::Revision, sharding::ShardId};
use slog::{info, warn};

use super::{Api, SubmitOutcome, submission::Pending, withdrawal::Withdrawal};

/// What this entry host may accept for each shard, and how many submissions it has refused.
#[derive(Debug, Default)]
pub(super) struct Intake {
    credits: Mutex<BTreeMap<ShardId, Credit>>,
    refused: AtomicU64,
}

impl Intake {
    /// Applies an operation to the credit of a shard.
    fn with<T>(&self, keyspace: Keyspace, operation: impl FnOnce(&mut Credit) -> T) -> T {
        let mut credits = self.credits.lock().unwrap_or_else(PoisonError::into_inner);
        operation(credits.entry(keyspace.shard()).or_default())
    }
}

impl<S: Store> Api<S> {
    /// Returns whether a shard has room for a job, by what its holder has published.
    pub(super) fn has_room(&self, keyspace: Keyspace, job: &Job) -> bool {
        let bytes = job.kept_bytes();
        if self.intake.with(keyspace, |credit| credit.spend(Boot.now(), bytes)) {
            return true;
        }
        // A store that doesn't respond is not waited for, so that the submission can be handed over.
        let published = match self.is_store_responding() {
            true => self.publication(keyspace),
            false => None,
        };
        let entries = self.neighbours.len() + 1;
        self.intake.with(keyspace, |credit| {
            credit.renew(Boot.now(), published, entries);
            credit.spend(Boot.now(), bytes)
        })
    }

    /// Returns what the holder of a shard has published of its room; `None` if it can't be read,
    /// which is logged.
    fn publication(&self, keyspace: Keyspace) -> Option<Publication> {
        let published = self.backlog.publication(&self.store, keyspace);
        let log_error = |error: &store::Error| {
            warn!(self.log, "room of a shard unknown"; "error" => %error);
        };
        published.inspect_err(log_error).ok()
    }

    /// Refuses a submission for which there is no room. Says so only once a row keeps out a late
    /// write of an earlier attempt; if that attempt was stored meanwhile, the job is accepted.
    pub(super) fn refuse(&self, pending: &Pending<'_>) -> SubmitOutcome {
        let outcome = match self.write_refusal(pending, Revision::ABSENT) {
            Outcome::Applied(_) => SubmitOutcome::Full,
            Outcome::Conflict(rows) => self.refuse_existing(pending, rows),
            _ => SubmitOutcome::InDoubt,
        };
        let total = match outcome {
            SubmitOutcome::Full => self.intake.refused.fetch_add(1, Ordering::Relaxed) + 1,
            _ => self.intake.refused.load(Ordering::Relaxed),
        };
        info!(self.log, "no room for a job"; "job" => pending.reference.id.as_str(),
            "queue" => pending.reference.queue, "outcome" => ?outcome, "refused" => total);
        outcome
    }

    /// Writes the row of a refusal on condition that the job's row has this revision.
    fn write_refusal(&self, pending: &Pending<'_>, revision: Revision) -> Outcome {
        let workspace = pending.reference.workspace.cloned();
        let ended_ms = self.store.clock_ms();
        let refused = JobRow::Finished { state: FinalState::Refused, ended_ms, workspace };
        let key = pending.key.clone();
        let change = Transaction::default().replace(key, revision, row::encode(&refused));
        store::commit_with_retry(&self.store, &change)
    }

    /// Returns the outcome of a refusal that met a row. One of an earlier refusal is written anew:
    /// an attempt in between may have had room, and its late write is conditional on that row.
    fn refuse_existing(&self, pending: &Pending<'_>, rows: Vec<store::Row>) -> SubmitOutcome {
        let Some(row) = rows.into_iter().next() else {
            return SubmitOutcome::InDoubt;
        };
        match Withdrawal::of(&row) {
            Some(withdrawal) => self.refuse_withdrawn(pending, &row, withdrawal),
            None if is_refused(&row) => match self.write_refusal(pending, row.revision) {
                Outcome::Applied(_) => SubmitOutcome::Full,
                _ => SubmitOutcome::InDoubt,
            },
            None => self.settle_existing(pending, row).unwrap_or(SubmitOutcome::InDoubt),
        }
    }
}

/// Returns whether a row tells of a submission that was refused.
pub(super) fn is_refused(row: &store::Row) -> bool {
    let decoded = row.value.as_deref().map(row::decode::<JobRow>);
    matches!(decoded, Some(Ok(JobRow::Finished { state: FinalState::Refused, .. })))
}
