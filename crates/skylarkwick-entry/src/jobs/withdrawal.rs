//! Submissions of jobs that were cancelled before they were stored.
//!
//! The row of a withdrawal keeps late writes of earlier attempts out. An attempt that arrives soon
//! after it may be one that its caller made before cancelling, and is not stored; any later one is
//! a new job. See `docs/design/submissions.md`.

use std::{sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    self, Outcome, Row, Store, Transaction,
    row::{self, FinalState, JobRow},
};
use skylarkwick_process::clock::{Boot, Clock};
use skylarkwick_request::submission::Failure;
use skylarkwick_version::moment::millis;
use slog::{info, warn};

use super::{Api, SubmitOutcome, submission::Pending};

/// Time after a withdrawal within which attempts that a caller made before it arrive.
const HOLD: Duration = Duration::from_secs(6);

/// A job that was cancelled before it was stored, as its row tells.
#[derive(Clone, Debug)]
pub(super) struct Withdrawal {
    /// Time of the withdrawal on the store's clock, in milliseconds.
    ended_ms: u64,
    workspace: Option<Arc<str>>,
}

impl Withdrawal {
    /// Returns the withdrawal that a row tells of; `None` for any other row.
    pub(super) fn of(row: &Row) -> Option<Withdrawal> {
        match row.value.as_deref().map(row::decode::<JobRow>) {
            Some(Ok(JobRow::Finished { state: FinalState::Withdrawn, ended_ms, workspace })) => {
                Some(Withdrawal { ended_ms, workspace })
            }
            _ => None,
        }
    }

    /// Returns for how long an attempt that arrived at a time on the store's clock was too early
    /// to be a new job; zero if it is one.
    fn hold_left(&self, arrived_ms: u64) -> Duration {
        let end_ms = self.ended_ms.saturating_add(millis(HOLD));
        Duration::from_millis(end_ms.saturating_sub(arrived_ms))
    }
}

impl<S: Store> Api<S> {
    /// Settles a submission that met the row of a withdrawal: stores it in place of that row if it
    /// arrived after the hold.
    ///
    /// # Errors
    ///
    /// Returns how that failed. One that a neighbour has handed over is refused, because only the
    /// neighbour knows when it arrived.
    pub(super) fn settle_withdrawn(&self, pending: &Pending<'_>) -> Result<SubmitOutcome, Failure> {
        let arrived = pending.arrived.ok_or(Failure::Refused)?;
        let id = pending.reference.id.as_str();
        // The row that was met does not tell the store's time.
        let (row, now_ms) = store::read_one(&self.store, &pending.key).map_err(|error| {
            warn!(self.log, "withdrawal not read"; "job" => id, "error" => %error);
            Failure::Refused
        })?;
        let withdrawal = Withdrawal::of(&row).ok_or(Failure::Refused)?;
        let arrived_ms = now_ms.saturating_sub(millis(Boot.now().since(arrived)));
        match withdrawal.hold_left(arrived_ms) {
            Duration::ZERO => self.replace(pending, &row),
            left => {
                info!(self.log, "withdrawn before"; "job" => id, "hold_ms" => millis(left));
                Ok(SubmitOutcome::Withdrawn(left))
            }
        }
    }

    /// Refuses a submission for want of room that met the row of a withdrawal. The row is written
    /// anew, so that an attempt in between can't replace it, and holds as long as before.
    pub(super) fn refuse_withdrawn(
        &self,
        pending: &Pending<'_>,
        row: &Row,
        withdrawal: Withdrawal,
    ) -> SubmitOutcome {
        let Withdrawal { ended_ms, workspace } = withdrawal;
        let renewed = JobRow::Finished { state: FinalState::Withdrawn, ended_ms, workspace };
        let key = pending.key.clone();
        let change = Transaction::default().replace(key, row.revision, row::encode(&renewed));
        match store::commit_with_retry(&self.store, &change) {
            Outcome::Applied(_) => SubmitOutcome::Full,
            _ => SubmitOutcome::InDoubt,
        }
    }
}
