//! The claims duty: at most one run behind a key or a ticket.
//!
//! It owns the register and never waits for the platform; the writer does. While
//! the writer is busy, claims gather for the next batch.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cadence::{Counted, StatsdClient};
use skylarkwick_connection::{backend::Answer, caller::Guard};
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
    event::{Claims, Dispatch, Ended, Keyed, Reply, Verdict, Written},
    identity::Identity,
    writer::Batch,
};

/// How often an idle duty looks for the stop.
const STOP_PERIOD: Duration = Duration::from_millis(100);
/// Most claims in one transaction.
const MAX_BATCH: usize = 512;
/// Most claims that wait for the next transaction.
const MAX_PENDING: usize = 4096;
/// Time after which a refused caller is asked to come back.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// State of the claims duty.
pub(crate) struct Duty {
    identity: Identity,
    register: Registry<Answer, Box<Keyed>>,
    issuer: Issuer,
    starters: BTreeMap<Key, ring::Sender<Verdict>>,
    pending: Batch,
    writer_is_idle: bool,
    writer: ring::Sender<Batch>,
    dispatch: ring::Sender<Dispatch>,
    metrics: Arc<StatsdClient>,
}

impl Duty {
    pub(crate) fn new(
        identity: Identity,
        writer: ring::Sender<Batch>,
        dispatch: ring::Sender<Dispatch>,
        metrics: Arc<StatsdClient>,
    ) -> Duty {
        let issuer = Issuer::new(identity.entry.clone(), identity.incarnation);
        Duty {
            identity,
            register: Registry::default(),
            issuer,
            starters: BTreeMap::new(),
            pending: Batch::new(),
            writer_is_idle: true,
            writer,
            dispatch,
            metrics,
        }
    }

    /// Runs until the stop.
    pub(crate) fn run(mut self, input: &ring::Receiver<Claims>, stop: &StopSignal) {
        while !stop.is_requested() {
            match input.receive_timeout(STOP_PERIOD) {
                Ok(event) => self.handle(event),
                Err(ReceiveError::TimedOut) => {}
                Err(ReceiveError::Closed) => return,
            }
            while let Some(event) = input.try_receive() {
                self.handle(event);
            }
            self.write();
        }
    }

    fn handle(&mut self, event: Claims) {
        match event {
            Claims::Submit(keyed) => self.submit(keyed),
            Claims::Redeem(keyed) => self.redeem(keyed),
            // The caller may have gone away.
            Claims::Issue(reply) => drop(reply.try_send(self.issuer.issue().to_string())),
            Claims::Written(written) => {
                self.writer_is_idle = true;
                for (key, written) in written {
                    self.written(key, written);
                }
            }
            Claims::Finished(key, outcome) => self.finished(key, &outcome),
        }
    }

    fn submit(&mut self, keyed: Box<Keyed>) {
        let call = &keyed.submission.call;
        let (Some(key), digest) = (call.key(), call.digest()) else { return };
        match &call.guard {
            Guard::Ticket(ticket) => match self.issuer.redemption(ticket) {
                Redemption::Local => {
                    let is_first = self.issuer.redeem(ticket);
                    let step = self.register.submit_ticket(key, digest, keyed, is_first);
                    self.step(key, step);
                }
                Redemption::AtIssuer => {
                    let (entry, incarnation) = (ticket.entry.clone(), ticket.incarnation);
                    tell(&keyed, Verdict::Forward { entry, incarnation });
                }
                Redemption::Expired => {
                    tell(&keyed, Verdict::Ended(Outcome::Unknown(UnknownReason::OwnerGone)))
                }
                Redemption::NeverIssued => {
                    let refusal = Refusal::Invalid("the ticket was never issued".to_owned());
                    tell(&keyed, Verdict::Ended(Outcome::NotRun(refusal)));
                }
            },
            _ if self.pending.len() >= MAX_PENDING => {
                tell(&keyed, Verdict::Ended(Outcome::NotRun(Refusal::PlatformOut)));
            }
            _ => {
                let step = self.register.submit(key, digest, keyed);
                if let Action::WriteClaim = step {
                    let claim = Claim {
                        entry: self.identity.entry.clone(),
                        incarnation: self.identity.incarnation,
                        digest,
                    };
                    self.pending.insert(key, claim);
                }
                self.step(key, step);
            }
        }
    }

    fn redeem(&mut self, keyed: Box<Keyed>) {
        let call = &keyed.submission.call;
        match (&call.guard, call.key()) {
            (Guard::Ticket(_), _) => self.submit(keyed),
            (_, Some(key)) => {
                let digest = call.digest();
                let step = self.register.submit_forwarded(key, digest, keyed);
                self.step(key, step);
            }
            (_, None) => {}
        }
    }

    fn step(&mut self, key: Key, step: Action<Answer, Box<Keyed>>) {
        match step {
            Action::WriteClaim | Action::Wait => {}
            Action::Start(keyed) => self.start(key, *keyed),
            Action::Answer(keyed, outcome) => tell(&keyed, Verdict::Ended(outcome)),
        }
    }

    /// Has the dispatch run the work; the end comes back for all who wait.
    fn start(&mut self, key: Key, keyed: Keyed) {
        let Keyed { mut submission, verdict } = keyed;
        submission.reply = Reply::Claims(key);
        self.starters.insert(key, verdict);
        let offered = self.dispatch.try_send(Dispatch::Submit(Box::new(submission)));
        if let Err(SendError::Full(_) | SendError::Closed(_)) = offered {
            self.finished(key, &Outcome::NotRun(Refusal::QueueFull { retry_after: RETRY_AFTER }));
        }
    }

    fn written(&mut self, key: Key, written: Written) {
        let _ = self
            .metrics
            .count_with_tags("claims", 1)
            .with_tag("written", code(&written))
            .try_send();
        match written {
            Written::Ours => self.claimed(key),
            Written::Held(claim) if claim.incarnation == self.identity.incarnation => {
                match self.register.is_write_in_doubt(key) {
                    true => self.claimed(key),
                    false => self.give_up(key, &Outcome::Unknown(UnknownReason::Forgotten)),
                }
            }
            Written::Held(claim) => {
                for keyed in self.register.claim_lost(key) {
                    let verdict = match keyed.submission.call.digest() == claim.digest {
                        true => Verdict::Forward {
                            entry: claim.entry.clone(),
                            incarnation: claim.incarnation,
                        },
                        false => Verdict::Ended(Outcome::NotRun(Refusal::KeyReused)),
                    };
                    tell(&keyed, verdict);
                }
            }
            Written::Absent | Written::InDoubt => {
                for keyed in self.register.claim_uncertain(key) {
                    tell(&keyed, Verdict::Ended(Outcome::NotRun(Refusal::PlatformOut)));
                }
            }
        }
    }

    fn claimed(&mut self, key: Key) {
        if let Some(keyed) = self.register.claim_written(key) {
            self.start(key, *keyed);
        }
    }

    fn give_up(&mut self, key: Key, outcome: &Ended) {
        for keyed in self.register.claim_lost(key) {
            tell(&keyed, Verdict::Ended(outcome.clone()));
        }
    }

    fn finished(&mut self, key: Key, outcome: &Ended) {
        let bytes = match outcome {
            Outcome::Done(answer) => answer.body.len(),
            _ => 0,
        };
        if let Some(starter) = self.starters.remove(&key) {
            // The caller may have gone away.
            let _ = starter.try_send(Verdict::Ended(outcome.clone()));
        }
        for keyed in self.register.finish(key, outcome.clone(), bytes) {
            tell(&keyed, Verdict::Ended(outcome.clone()));
        }
    }

    fn write(&mut self) {
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

fn tell(keyed: &Keyed, verdict: Verdict) {
    // The caller may have gone away.
    let _ = keyed.verdict.try_send(verdict);
}

fn code(written: &Written) -> &'static str {
    match written {
        Written::Ours => "ours",
        Written::Held(_) => "held",
        Written::Absent => "not-written",
        Written::InDoubt => "in-doubt",
    }
}
