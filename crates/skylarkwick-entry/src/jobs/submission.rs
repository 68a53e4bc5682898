//! Submissions: stored by this entry host, or by a neighbour while the store refuses it here. See
//! `docs/design/submissions.md`.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use skylarkwick_connection::{
    neighbour::{Answer, Neighbour, Submission},
    store::{
        self, Commit, Key, Row, Store, Transaction,
        keyspace::Keyspace,
        row::{self, JobBody, JobRow, QueueSettings},
    },
};
use skylarkwick_process::clock::{Boot, Clock};
use skylarkwick_request::{
    job::{self, Job},
    submission::{Action, Attempts, Failure, Gate},
};
use skylarkwick_version::{moment::Moment, revision::Revision};
use slog::{info, warn};

use super::{
    Api, Reference, SubmitOutcome, group::Written, intake::is_refused, is_taken,
    neighbours::Choice, withdrawal::Withdrawal,
};

/// End of a caller's deadline that is kept free of retries, for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Part of the caller's remaining time that a neighbour doesn't get, for the way there and back.
const HOP_MARGIN: Duration = Duration::from_millis(50);

/// Whether this entry host writes to each partition by itself; partitions whose writes are not
/// refused are missing.
#[derive(Debug, Default)]
pub(super) struct Gates {
    refusing: Mutex<BTreeMap<Arc<str>, Gate>>,
}

impl Gates {
    /// Applies an operation to the gate of a partition.
    fn with<T>(&self, key: &Key, operation: impl FnOnce(&mut Gate) -> T) -> T {
        let mut gates = self.refusing.lock().unwrap_or_else(PoisonError::into_inner);
        let mut gate = gates.remove(&key.part).unwrap_or(Gate::of_own_writes());
        let result = operation(&mut gate);
        if gate.is_refusing() {
            gates.insert(Arc::clone(&key.part), gate);
        }
        result
    }
}

/// A submission that is not settled: the job, its row's key, and what of it is in doubt.
pub(super) struct Pending<'a> {
    pub(super) reference: Reference<'a>,
    pub(super) key: Key,
    body: JobBody,
    settings: Option<QueueSettings>,
    /// When it arrived; `None` if a neighbour has handed it over, which knows.
    pub(super) arrived: Option<Moment>,
    may_be_stored: bool,
}

impl<S: Store> Api<S> {
    /// Validates a job and stores it as active, and returns whether it was accepted.
    /// `deadline` is the time for which the caller still waits; until shortly before, or before a
    /// process that stops has to have answered, failed writes are repeated, or handed over to
    /// neighbours.
    pub fn submit(&self, reference: Reference<'_>, job: &Job, deadline: Duration) -> SubmitOutcome {
        let arrived = Boot.now();
        let Reference { queue, id, workspace, settings } = reference;
        let validated = job.validate_submission().and_then(|()| self.check_quota(workspace, job));
        if let Err(error) = validated {
            return SubmitOutcome::Invalid(error);
        }
        let Some(sharding) = self.sharding() else {
            info!(self.log, "refused"; "job" => id.as_str(), "queue" => queue,
                "because" => "the site is not divided into shards yet");
            return SubmitOutcome::InDoubt;
        };
        let keyspace = Keyspace::of_job(sharding, id.as_str());
        let key = keyspace.job(queue, id.as_str());
        let body = JobBody::from(job);
        let settings = settings.map(QueueSettings::from);
        let arrived = Some(arrived);
        let mut pending = Pending { reference, key, body, settings, arrived, may_be_stored: false };
        if !self.has_room(keyspace, job) {
            return self.refuse(&pending);
        }
        let timeout = self.time_left(deadline).saturating_sub(RESPONSE_MARGIN);
        let outcome = self.settle(&mut pending, timeout);
        info!(self.log, "submitted"; "job" => id.as_str(), "queue" => queue,
            "workspace" => workspace.map(|name| &**name), "outcome" => ?outcome,
            "steps" => job.steps.len());
        outcome
    }

    /// Checks that no task or gang of a job needs more than its workspace may have running, so
    /// that it could never start.
    ///
    /// # Errors
    ///
    /// Returns the first step that does.
    fn check_quota(&self, workspace: Option<&Arc<str>>, job: &Job) -> Result<(), job::Error> {
        let configuration = self.configuration();
        let workspaces = configuration.as_ref().map(|configuration| &configuration.workspaces);
        let workspace = workspace.and_then(|name| workspaces?.get(name));
        workspace.map_or(Ok(()), |workspace| job.validate_quota(&workspace.quota.ceiling()))
    }

    /// Stores a submission, by this entry host or by a neighbour, until it is settled or `timeout`
    /// has passed.
    ///
    /// Without neighbours, a write that the store refuses first ends the attempts, so that the
    /// caller can try another entry host.
    fn settle(&self, pending: &mut Pending<'_>, timeout: Duration) -> SubmitOutcome {
        let mut attempts = Attempts::new(Boot.now() + timeout, rand::random());
        let mut asked = 0;
        let is_alone = self.neighbours.is_empty();
        loop {
            let now = Boot.now();
            let has_neighbours = !is_alone;
            let action = match self.is_store_responding() {
                // There is nobody else to write it.
                true if is_alone => attempts.next(now, &mut Gate::of_own_writes(), false),
                true => {
                    self.gates.with(&pending.key, |gate| attempts.next(now, gate, has_neighbours))
                }
                false if is_alone && !pending.may_be_stored => Action::GiveUp,
                false => {
                    let mut closed = Gate::of_own_writes();
                    closed.record_refusal(now);
                    attempts.next(now, &mut closed, has_neighbours)
                }
            };
            let failure = match action {
                Action::GiveUp => return SubmitOutcome::InDoubt,
                Action::Wait(_) if is_alone && !pending.may_be_stored => {
                    return SubmitOutcome::InDoubt;
                }
                Action::Wait(pause) => {
                    asked = 0;
                    thread::sleep(pause);
                    continue;
                }
                Action::Write => self.write(pending),
                Action::HandOver => {
                    let time_left = attempts.time_left(Boot.now()).saturating_sub(HOP_MARGIN);
                    asked += 1;
                    match self.neighbours.choose(&pending.key.part, asked - 1) {
                        Some(Choice::Own) if self.is_store_responding() => {
                            self.write_with_others(pending, time_left)
                        }
                        Some(Choice::Other(neighbour)) => {
                            self.hand_over(pending, &neighbour, time_left)
                        }
                        Some(Choice::Own) | None => Err(Failure::Refused),
                    }
                }
            };
            match failure {
                Ok(outcome) => return outcome,
                Err(failure) => {
                    pending.may_be_stored |= failure == Failure::Unanswered;
                    attempts.record(failure);
                }
            }
        }
    }

    /// Writes a submission's row.
    ///
    /// A conflict means that the row exists already, from an earlier attempt or from another
    /// entry host, so the job counts as accepted, also if its caller has cancelled it meanwhile.
    ///
    /// # Errors
    ///
    /// Returns how the write failed if that does not settle the submission.
    fn write(&self, pending: &Pending<'_>) -> Result<SubmitOutcome, Failure> {
        let row = self.row(pending);
        let sent = Boot.now();
        let change = Transaction::default().replace(pending.key.clone(), Revision::ABSENT, row);
        let written = match self.store.commit(&change) {
            Ok(Commit::Applied(_)) => Written::Stored,
            Ok(Commit::Conflict(rows)) => match rows.into_iter().next() {
                Some(row) => Written::Exists(row),
                None => Written::Refused,
            },
            Err(store::Error::Unknown(error)) => {
                warn!(self.log, "no answer to store write"; "error" => error);
                Written::Unanswered
            }
            Err(error @ store::Error::TooLarge { .. }) => {
                warn!(self.log, "job not stored"; "error" => %error);
                Written::Rejected
            }
            Err(store::Error::NotDone(error) | store::Error::Rejected(error)) => {
                warn!(self.log, "store refused"; "error" => error);
                Written::Refused
            }
        };
        let now = Boot.now();
        self.gates.with(&pending.key, |gate| match written {
            Written::Refused | Written::Unanswered => gate.record_refusal(now),
            Written::Stored | Written::Exists(_) | Written::Rejected => {
                gate.record_answer(now, now.since(sent));
            }
        });
        self.settle_written(pending, written)
    }

    /// Returns the encoded row of a submission.
    fn row(&self, pending: &Pending<'_>) -> Vec<u8> {
        row::encode(&JobRow::Active {
            accepted_ms: self.store.clock_ms(),
            body: pending.body.clone(),
            workspace: pending.reference.workspace.cloned(),
            settings: pending.settings.clone(),
        })
    }

    /// Returns the outcome of a submission by the result of a write.
    ///
    /// # Errors
    ///
    /// Returns how the write failed if that does not settle the submission.
    fn settle_written(
        &self,
        pending: &Pending<'_>,
        written: Written,
    ) -> Result<SubmitOutcome, Failure> {
        match written {
            Written::Stored => Ok(SubmitOutcome::Accepted),
            Written::Exists(row) => self.settle_existing(pending, row),
            Written::Rejected => Ok(SubmitOutcome::Invalid(job::Error::Size)),
            Written::Refused => Err(Failure::Refused),
            Written::Unanswered => Err(Failure::Unanswered),
        }
    }

    /// Returns the outcome of a submission that met a row. One that was refused for want of room
    /// before is stored now, as is one whose withdrawal is over.
    ///
    /// # Errors
    ///
    /// Returns how that failed if the row is of a withdrawn or refused job and could not be
    /// replaced.
    pub(super) fn settle_existing(
        &self,
        pending: &Pending<'_>,
        row: Row,
    ) -> Result<SubmitOutcome, Failure> {
        if is_refused(&row) {
            return self.replace(pending, &row);
        }
        if Withdrawal::of(&row).is_some() {
            return self.settle_withdrawn(pending);
        }
        match is_taken(pending.reference, &row) {
            true => Ok(SubmitOutcome::Taken),
            false => Ok(SubmitOutcome::Accepted),
        }
    }

    /// Stores a submission in place of a row that denies the job.
    ///
    /// # Errors
    ///
    /// Returns how that failed.
    pub(super) fn replace(
        &self,
        pending: &Pending<'_>,
        denial: &Row,
    ) -> Result<SubmitOutcome, Failure> {
        let key = pending.key.clone();
        let change = Transaction::default().replace(key, denial.revision, self.row(pending));
        match store::commit_with_retry(&self.store, &change) {
            store::Outcome::Applied(_) => Ok(SubmitOutcome::Accepted),
            store::Outcome::Conflict(_) => Err(Failure::Refused),
            _ => Err(Failure::Unanswered),
        }
    }

    /// Hands a submission over to a neighbour, which has `time_left` for it.
    ///
    /// # Errors
    ///
    /// Returns how that failed if it does not settle the submission.
    fn hand_over(
        &self,
        pending: &Pending<'_>,
        neighbour: &Neighbour,
        time_left: Duration,
    ) -> Result<SubmitOutcome, Failure> {
        let Reference { queue, id, workspace, .. } = pending.reference;
        let submission = Submission {
            queue: Arc::from(queue),
            id: id.clone(),
            workspace: workspace.cloned(),
            body: pending.body.clone(),
            time_left,
            settings: pending.settings.clone(),
        };
        let sent = Boot.now();
        let answer = self.neighbour_client.hand_over(neighbour, &submission);
        // One that has tried for all of the time is no worse than others.
        let has_tried = Boot.now().since(sent) >= time_left;
        info!(self.log, "handed over"; "job" => id.as_str(), "queue" => queue,
            "neighbour" => &*neighbour.entry, "answer" => ?answer);
        match answer {
            Answer::Stored => Ok(SubmitOutcome::Accepted),
            Answer::Taken => Ok(SubmitOutcome::Taken),
            Answer::TooLarge => Ok(SubmitOutcome::Invalid(job::Error::Size)),
            Answer::NotStored => {
                if !has_tried {
                    self.neighbours.avoid(&neighbour.entry);
                }
                Err(Failure::Refused)
            }
            Answer::InDoubt => {
                self.neighbours.avoid(&neighbour.entry);
                Err(Failure::Unanswered)
            }
        }
    }

    /// Writes a submission's row together with those of others, for which it may wait for up to
    /// `time_left`.
    ///
    /// # Errors
    ///
    /// Returns how that failed if it does not settle the submission.
    fn write_with_others(
        &self,
        pending: &Pending<'_>,
        time_left: Duration,
    ) -> Result<SubmitOutcome, Failure> {
        let written = self.writer.write(pending.key.clone(), self.row(pending), time_left);
        self.settle_written(pending, written)
    }

    /// Stores a submission that another entry host has handed over, together with others of the
    /// same partition; never hands it on.
    pub fn store_for_neighbour(&self, submission: &Submission) -> Answer {
        let Submission { queue, id, workspace, body, time_left, settings } = submission;
        let Some(sharding) = self.sharding().filter(|_| self.is_store_responding()) else {
            return Answer::NotStored;
        };
        let workspace = workspace.as_ref();
        let reference = Reference { queue, id, workspace, settings: None };
        let key = Keyspace::of_job(sharding, id.as_str()).job(queue, id.as_str());
        let (body, settings) = (body.clone(), settings.clone());
        let arrived = None;
        let pending = Pending { reference, key, body, settings, arrived, may_be_stored: false };
        match self.write_with_others(&pending, *time_left) {
            Ok(SubmitOutcome::Accepted) => Answer::Stored,
            Ok(SubmitOutcome::Taken) => Answer::Taken,
            Ok(SubmitOutcome::Invalid(_)) => Answer::TooLarge,
            Ok(SubmitOutcome::Full | SubmitOutcome::Withdrawn(_)) => Answer::NotStored,
            Ok(SubmitOutcome::InDoubt) | Err(Failure::Unanswered) => Answer::InDoubt,
            Err(Failure::Refused) => Answer::NotStored,
        }
    }
}
