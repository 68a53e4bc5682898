//! The claims duty: runs the work of each key or ticket at most once.
//!
//! It owns the claim registry and never waits for the platform; the writer duty
//! does. While a batch is being written, new claims are collected for the next.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cadence::{Counted, StatsdClient};
use skylarkwick_connection::{backend::Answer, caller::Idempotency};
use skylarkwick_process::{
    duty::StopSignal,
    ring::{self, ReceiveError, SendError},
};
use skylarkwick_request::{
    claim::{Action, Claim, Registry},
    id::Key,
    outcome::{Outcome, Refusal, UnknownReason},
    ticket::{Issuer, Redemption},
};

use crate::{
    event::{
        ClaimsEvent, DispatchEvent, KeyedRequest, ReplyTo, RequestOutcome, Resolution, WriteOutcome,
    },
    identity::Identity,
    writer::Batch,
};

/// Interval at which the claims duty checks the stop signal while no event arrives.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of claims written in one transaction.
const MAX_BATCH: usize = 512;
/// Number of claims waiting for the writer duty at which requests that need a new claim
/// are refused.
const MAX_PENDING: usize = 4096;
/// `Retry-After` of requests that are refused because the dispatch ring is full
/// or closed.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// State of the claims duty: the registry of keys and tickets, the issuer of tickets, the
/// waiters of started work, and the claims that wait for the writer duty.
pub(crate) struct Duty {
    identity: Identity,
    registry: Registry<Answer, Box<KeyedRequest>>,
    issuer: Issuer,
    /// Waiters of the requests that started work, by key; the registry has the others.
    starter_waiters: BTreeMap<Key, ring::Sender<Resolution>>,
    /// Claims that were not sent to the writer duty yet.
    pending: Batch,
    /// Whether the writer duty has reported the results of the last batch.
    writer_is_idle: bool,
    writer: ring::Sender<Batch>,
    dispatch: ring::Sender<DispatchEvent>,
    metrics: Arc<StatsdClient>,
}

impl Duty {
    /// Creates the duty with an empty registry and no ticket issued.
    pub(crate) fn new(
        identity: Identity,
        writer: ring::Sender<Batch>,
        dispatch: ring::Sender<DispatchEvent>,
        metrics: Arc<StatsdClient>,
    ) -> Duty {
        let issuer = Issuer::new(identity.entry.clone(), identity.incarnation);
        Duty {
            identity,
            registry: Registry::default(),
            issuer,
            starter_waiters: BTreeMap::new(),
            pending: Batch::new(),
            writer_is_idle: true,
            writer,
            dispatch,
            metrics,
        }
    }

    /// Handles events and sends batches to the writer duty until `stop` is requested or the
    /// ring is closed.
    pub(crate) fn run(mut self, input: &ring::Receiver<ClaimsEvent>, stop: &StopSignal) {
        while !stop.is_requested() {
            match input.receive_timeout(STOP_CHECK_INTERVAL) {
                Ok(event) => self.handle(event),
                Err(ReceiveError::TimedOut) => {}
                Err(ReceiveError::Closed) => return,
            }
            while let Some(event) = input.try_receive() {
                self.handle(event);
            }
            self.write_batch();
        }
    }

    /// Handles one event; replies go to the waiting threads, work to the dispatch duty.
    fn handle(&mut self, event: ClaimsEvent) {
        match event {
            ClaimsEvent::Submit(keyed_request) => self.submit(keyed_request),
            ClaimsEvent::SubmitForwarded(keyed_request) => self.submit_forwarded(keyed_request),
            // A failed send means that the caller has stopped waiting.
            ClaimsEvent::IssueTicket(reply) => {
                drop(reply.try_send(self.issuer.issue().to_string()))
            }
            ClaimsEvent::BatchWritten(outcomes) => {
                self.writer_is_idle = true;
                for (key, outcome) in outcomes {
                    self.handle_written(key, outcome);
                }
            }
            ClaimsEvent::RequestFinished(key, outcome) => self.handle_finished(key, &outcome),
        }
    }

    /// Handles a request of a caller with a key or a ticket. A ticket of this process starts
    /// the work or joins it; that of another is answered with where to forward the request, as
    /// expired or as invalid. A new key is added to the pending claims.
    fn submit(&mut self, keyed_request: Box<KeyedRequest>) {
        let call = &keyed_request.submission.call;
        let (Some(key), digest) = (call.key(), call.digest()) else { return };
        match &call.idempotency {
            Idempotency::Ticket(ticket) => match self.issuer.redemption(ticket) {
                Redemption::Local => {
                    let is_first = self.issuer.redeem(ticket);
                    let action = self.registry.submit_ticket(key, digest, keyed_request, is_first);
                    self.perform(key, action);
                }
                Redemption::AtIssuer => {
                    let (entry, incarnation) = (ticket.entry.clone(), ticket.incarnation);
                    reply(&keyed_request, Resolution::Forward { entry, incarnation });
                }
                Redemption::Expired => reply(
                    &keyed_request,
                    Resolution::Completed(Outcome::Unknown(UnknownReason::OwnerGone)),
                ),
                Redemption::NeverIssued => {
                    let refusal = Refusal::Invalid("the ticket was never issued".to_owned());
                    reply(&keyed_request, Resolution::Completed(Outcome::NotRun(refusal)));
                }
            },
            _ if self.pending.len() >= MAX_PENDING => {
                reply(&keyed_request, Resolution::Completed(Outcome::NotRun(Refusal::PlatformOut)));
            }
            _ => {
                let action = self.registry.submit(key, digest, keyed_request);
                if let Action::WriteClaim = action {
                    let claim = Claim {
                        entry: self.identity.entry.clone(),
                        incarnation: self.identity.incarnation,
                        digest,
                    };
                    self.pending.insert(key, claim);
                }
                self.perform(key, action);
            }
        }
    }

    /// Handles a request that another entry host forwarded because this one owns its key or
    /// ticket. It never claims a key.
    fn submit_forwarded(&mut self, keyed_request: Box<KeyedRequest>) {
        let call = &keyed_request.submission.call;
        match (&call.idempotency, call.key()) {
            (Idempotency::Ticket(_), _) => self.submit(keyed_request),
            (_, Some(key)) => {
                let digest = call.digest();
                let action = self.registry.submit_forwarded(key, digest, keyed_request);
                self.perform(key, action);
            }
            (_, None) => {}
        }
    }

    /// Starts the work or answers the waiter, as the registry decided. Claims to write are
    /// added to the batch by the caller.
    fn perform(&mut self, key: Key, action: Action<Answer, Box<KeyedRequest>>) {
        match action {
            Action::WriteClaim | Action::Wait => {}
            Action::Start(keyed_request) => self.start(key, *keyed_request),
            Action::Answer(keyed_request, outcome) => {
                reply(&keyed_request, Resolution::Completed(outcome))
            }
        }
    }

    /// Sends the work to the dispatch duty, which reports its outcome to this
    /// duty as [`ClaimsEvent::RequestFinished`]. If the ring is full or closed, the work
    /// ends at once as refused.
    fn start(&mut self, key: Key, keyed_request: KeyedRequest) {
        let KeyedRequest { mut submission, waiter } = keyed_request;
        submission.reply_to = ReplyTo::Claims(key);
        self.starter_waiters.insert(key, waiter);
        let sent = self.dispatch.try_send(DispatchEvent::Submit(Box::new(submission)));
        if let Err(SendError::Full(_) | SendError::Closed(_)) = sent {
            self.handle_finished(
                key,
                &Outcome::NotRun(Refusal::QueueFull { retry_after: RETRY_AFTER }),
            );
        }
    }

    /// Handles the result of writing a claim, and counts it. The work starts if this process
    /// owns the key; waiters are forwarded to another owner, refused if its request differs,
    /// and refused with `PlatformOut` if the row may not have been written.
    fn handle_written(&mut self, key: Key, outcome: WriteOutcome) {
        let _ = self
            .metrics
            .count_with_tags("claims", 1)
            .with_tag("written", outcome_code(&outcome))
            .try_send();
        match outcome {
            WriteOutcome::Claimed => self.start_claimed(key),
            WriteOutcome::AlreadyClaimed(claim)
                if claim.incarnation == self.identity.incarnation =>
            {
                match self.registry.is_write_in_doubt(key) {
                    true => self.start_claimed(key),
                    false => {
                        self.complete_waiters(key, &Outcome::Unknown(UnknownReason::Forgotten))
                    }
                }
            }
            WriteOutcome::AlreadyClaimed(claim) => {
                for keyed_request in self.registry.claim_lost(key) {
                    let resolution = match keyed_request.submission.call.digest() == claim.digest {
                        true => Resolution::Forward {
                            entry: claim.entry.clone(),
                            incarnation: claim.incarnation,
                        },
                        false => Resolution::Completed(Outcome::NotRun(Refusal::KeyReused)),
                    };
                    reply(&keyed_request, resolution);
                }
            }
            WriteOutcome::NotWritten | WriteOutcome::InDoubt => {
                for keyed_request in self.registry.claim_uncertain(key) {
                    reply(
                        &keyed_request,
                        Resolution::Completed(Outcome::NotRun(Refusal::PlatformOut)),
                    );
                }
            }
        }
    }

    /// Starts the work of a key that this process now owns, with the first of its waiters.
    fn start_claimed(&mut self, key: Key) {
        if let Some(keyed_request) = self.registry.claim_written(key) {
            self.start(key, *keyed_request);
        }
    }

    /// Drops a key whose claim was not won, and answers all its waiters with `outcome`.
    fn complete_waiters(&mut self, key: Key, outcome: &RequestOutcome) {
        for keyed_request in self.registry.claim_lost(key) {
            reply(&keyed_request, Resolution::Completed(outcome.clone()));
        }
    }

    /// Records the outcome of the work of a key, and answers the waiter that started it and
    /// all others.
    fn handle_finished(&mut self, key: Key, outcome: &RequestOutcome) {
        let bytes = match outcome {
            Outcome::Done(answer) => answer.body.len(),
            _ => 0,
        };
        if let Some(waiter) = self.starter_waiters.remove(&key) {
            // A failed send means that the caller has stopped waiting.
            let _ = waiter.try_send(Resolution::Completed(outcome.clone()));
        }
        for keyed_request in self.registry.finish(key, outcome.clone(), bytes) {
            reply(&keyed_request, Resolution::Completed(outcome.clone()));
        }
    }

    /// Sends up to [`MAX_BATCH`] pending claims to the writer duty, in the order of their
    /// keys, if it is idle. The rest stay pending.
    fn write_batch(&mut self) {
        if !self.writer_is_idle || self.pending.is_empty() {
            return;
        }
        let rest = match self.pending.keys().nth(MAX_BATCH).copied() {
            Some(first) => self.pending.split_off(&first),
            None => Batch::new(),
        };
        let batch = std::mem::replace(&mut self.pending, rest);
        self.writer_is_idle = self.writer.try_send(batch).is_err();
    }
}

/// Sends a resolution to the thread that waits for a request.
fn reply(keyed_request: &KeyedRequest, resolution: Resolution) {
    // A failed send means that the caller has stopped waiting.
    let _ = keyed_request.waiter.try_send(resolution);
}

/// Returns the value of the metric tag `written` for the result of a write.
fn outcome_code(outcome: &WriteOutcome) -> &'static str {
    match outcome {
        WriteOutcome::Claimed => "ours",
        WriteOutcome::AlreadyClaimed(_) => "held",
        WriteOutcome::NotWritten => "not-written",
        WriteOutcome::InDoubt => "in-doubt",
    }
}
