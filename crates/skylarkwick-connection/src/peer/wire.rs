//! Wire types of the messages between peers.
//!
//! Field and variant names of the encoded types are on the wire (JSON).

use std::{sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use skylarkwick_request::outcome::{BackendRefusal, Outcome, Refusal, UnknownReason};
use skylarkwick_version::{host::Epoch, lease::Incarnation, name, revision::Revision};

use super::Heartbeat as DecodedHeartbeat;
use crate::{
    backend::Answer,
    caller::{Call, Idempotency, wire::parse_idempotency},
    platform::wire::Error,
};

/// Method that receives a heartbeat and returns one.
pub const HEARTBEAT: &str = "heartbeat";
/// Method that returns the rows of the view that changed after a revision.
pub const ROWS_AFTER: &str = "rows_after";
/// Method that runs a forwarded call at the owner of its key or ticket.
pub const REDEEM: &str = "redeem";

/// A heartbeat on the wire; see [`super::Heartbeat`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    entry: String,
    incarnation: u64,
    revision: u64,
    stopping: bool,
    leaving: Vec<(String, u64)>,
}

impl From<DecodedHeartbeat> for Heartbeat {
    fn from(heartbeat: DecodedHeartbeat) -> Heartbeat {
        let leaving = heartbeat.leaving.into_iter();
        Heartbeat {
            entry: heartbeat.entry.into(),
            incarnation: heartbeat.incarnation.0,
            revision: heartbeat.revision.0,
            stopping: heartbeat.is_stopping,
            leaving: leaving.map(|(host, epoch)| (host.into(), epoch.0)).collect(),
        }
    }
}

impl TryFrom<Heartbeat> for DecodedHeartbeat {
    type Error = Error;

    /// Fails if the name of the entry host or of a leaving host is invalid.
    fn try_from(heartbeat: Heartbeat) -> Result<DecodedHeartbeat, Error> {
        let leaving = heartbeat.leaving.into_iter();
        Ok(DecodedHeartbeat {
            entry: heartbeat.entry.try_into()?,
            incarnation: Incarnation(heartbeat.incarnation),
            revision: Revision(heartbeat.revision),
            is_stopping: heartbeat.stopping,
            leaving: leaving
                .map(|(host, epoch)| Ok((name::Host::try_from(host)?, Epoch(epoch))))
                .collect::<Result<_, Error>>()?,
        })
    }
}

/// A call that is forwarded to the owner of its key or ticket, with the deadline in
/// milliseconds, the body in base64, and the owner's incarnation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redeem {
    service: String,
    kind: String,
    key: Option<String>,
    ticket: Option<String>,
    deadline_ms: Option<u64>,
    body: String,
    owner: u64,
}

impl Redeem {
    /// Creates the message for a call and the incarnation that owns its key or
    /// ticket.
    pub fn new(call: &Call, owner: Incarnation) -> Redeem {
        let (key, ticket) = match &call.idempotency {
            Idempotency::None => (None, None),
            Idempotency::Key(key) => (Some(key.as_ref().to_owned()), None),
            Idempotency::Ticket(ticket) => (None, Some(ticket.to_string())),
        };
        Redeem {
            service: call.service.to_string(),
            kind: call.kind.to_string(),
            key,
            ticket,
            deadline_ms: call.deadline.map(|deadline| deadline.as_millis() as u64),
            body: BASE64_STANDARD.encode(&call.body),
            owner: owner.0,
        }
    }

    /// Returns the incarnation of the entry host that owns the key or ticket.
    pub fn owner(&self) -> Incarnation {
        Incarnation(self.owner)
    }
}

impl TryFrom<Redeem> for Call {
    type Error = Error;

    /// Fails if a name, the key, the ticket or the body is invalid.
    fn try_from(redeem: Redeem) -> Result<Call, Error> {
        let body = BASE64_STANDARD.decode(&redeem.body);
        Ok(Call {
            service: redeem.service.try_into()?,
            kind: redeem.kind.try_into()?,
            idempotency: parse_idempotency(redeem.key.as_deref(), redeem.ticket.as_deref())
                .map_err(|refusal| Error(refusal.to_string()))?,
            deadline: redeem.deadline_ms.map(Duration::from_millis),
            body: Arc::from(body.map_err(|error| Error(error.to_string()))?),
        })
    }
}

/// The outcome of a forwarded call on the wire: the answer, a refusal of work that did
/// not run, or the reason why the outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Redeemed {
    /// The complete answer.
    Done {
        /// Media type of the body.
        content_type: String,
        /// The body in base64.
        body: String,
    },
    /// The work did not run.
    NotRun {
        /// Code of the refusal.
        code: String,
        /// Message of the refusal.
        detail: String,
        /// Time after which a new attempt may succeed, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The outcome is unknown.
    Unknown {
        /// Code of the reason.
        code: String,
    },
}

impl From<&Outcome<Arc<Answer>>> for Redeemed {
    fn from(outcome: &Outcome<Arc<Answer>>) -> Redeemed {
        match outcome {
            Outcome::Done(answer) => Redeemed::Done {
                content_type: answer.content_type.clone(),
                body: BASE64_STANDARD.encode(&answer.body),
            },
            Outcome::NotRun(refusal) => Redeemed::NotRun {
                code: refusal.code().to_owned(),
                detail: refusal.to_string(),
                retry_after_ms: refusal.retry_after().map(|wait| wait.as_millis() as u64),
            },
            Outcome::Unknown(reason) => Redeemed::Unknown { code: reason.code().to_owned() },
        }
    }
}

impl TryFrom<Redeemed> for Outcome<Arc<Answer>> {
    type Error = Error;

    /// Fails if the body is not base64 or a code is unknown, which a later release may
    /// have added. A missing time to retry becomes zero.
    fn try_from(redeemed: Redeemed) -> Result<Outcome<Arc<Answer>>, Error> {
        match redeemed {
            Redeemed::Done { content_type, body } => {
                let body = BASE64_STANDARD.decode(&body);
                let body = body.map_err(|error| Error(error.to_string()))?;
                Ok(Outcome::Done(Arc::new(Answer { content_type, body })))
            }
            Redeemed::NotRun { code, detail, retry_after_ms } => {
                let wait = Duration::from_millis(retry_after_ms.unwrap_or(0));
                parse_refusal(&code, detail, wait).map(Outcome::NotRun)
            }
            Redeemed::Unknown { code } => parse_reason(&code).map(Outcome::Unknown),
        }
    }
}

/// Returns the refusal with a code; the message and the time to retry are used only by
/// the refusals that have one. Fails for an unknown code.
fn parse_refusal(code: &str, detail: String, retry_after: Duration) -> Result<Refusal, Error> {
    let known = [
        Refusal::Invalid(detail),
        Refusal::NoService,
        Refusal::NoKey,
        Refusal::KeyReused,
        Refusal::NoHost,
        Refusal::QueueFull { retry_after },
        Refusal::TooLate { retry_after },
        Refusal::Cancelled,
        Refusal::Stopping,
        Refusal::PlatformOut,
        Refusal::Backend(BackendRefusal::StaleEpoch),
        Refusal::Backend(BackendRefusal::Leaving),
        Refusal::Backend(BackendRefusal::Full),
        Refusal::Backend(BackendRefusal::Forbidden),
        Refusal::Unreachable,
    ];
    known
        .into_iter()
        .find(|refusal| refusal.code() == code)
        .ok_or_else(|| Error(format!("refusal code {code:?} is unknown")))
}

/// Returns the reason with a code; fails for an unknown code.
fn parse_reason(code: &str) -> Result<UnknownReason, Error> {
    let known = [
        UnknownReason::Timeout,
        UnknownReason::BrokenConnection,
        UnknownReason::ForeignAnswer,
        UnknownReason::Failed,
        UnknownReason::OwnerGone,
        UnknownReason::Forgotten,
    ];
    known
        .into_iter()
        .find(|reason| reason.code() == code)
        .ok_or_else(|| Error(format!("reason code {code:?} is unknown")))
}
