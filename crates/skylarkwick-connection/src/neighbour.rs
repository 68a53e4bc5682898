//! Submissions that one entry host hands over to another, which may reach the store.
//!
//! A hand-over is one HTTP call, and the entry host that gets it never hands it on. See
//! `docs/design/submissions.md`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use skylarkwick_request::job::Id;
use skylarkwick_version::moment::millis;

use crate::{
    agent::{Agents, is_timeout, was_not_sent},
    store::row::{self, JobBody, QueueSettings},
};

/// Path of hand-overs.
pub const PATH: &str = "/neighbour/submissions";
/// Header with the token that only entry hosts can read, see [`Neighbour::token`].
pub const TOKEN_HEADER: &str = "X-Neighbour-Token";
/// Idle connections that are kept to each neighbour.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Time for which a hand-over takes longer than its neighbour may, for the way there and back.
const CALL_MARGIN: Duration = Duration::from_millis(30);

/// Another entry host, as it has registered itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Its name.
    pub entry: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Address at which it takes hand-overs.
    pub address: SocketAddr,
    /// Token that it expects; whoever has it can read the store, and so is an entry host.
    pub token: Arc<str>,
}

/// A job that is handed over: its queue and identifier, the workspace of its caller, what was
/// submitted, and for how long the caller still waits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Identifier of the job.
    pub id: Id,
    /// Workspace of the caller, if the queue needs a key.
    pub workspace: Option<Arc<str>>,
    /// The job as submitted.
    pub body: JobBody,
    /// Time for which the caller still waits.
    pub time_left: Duration,
    /// Settings of the queue; `None` if an entry host of an earlier release hands it over.
    pub settings: Option<QueueSettings>,
}

/// What became of a submission at the entry host that it was handed over to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Stored,
    /// Another workspace has a job with this identifier.
    Taken,
    /// The job does not fit in a row of the store.
    TooLarge,
    /// Nothing was stored.
    NotStored,
    /// The job may be stored, now or later.
    InDoubt,
}

/// Encoded form of a [`Submission`], by position.
#[derive(Debug, Serialize, Deserialize)]
struct EncodedSubmission {
    queue: String,
    id: String,
    workspace: Option<String>,
    body: JobBody,
    left_ms: u64,
    #[serde(deserialize_with = "row::decode_later_field")]
    settings: Option<QueueSettings>,
}

impl Submission {
    /// Encodes the submission for a hand-over.
    pub fn encode(&self) -> Vec<u8> {
        row::encode(&EncodedSubmission {
            queue: self.queue.to_string(),
            id: self.id.as_str().to_owned(),
            workspace: self.workspace.as_deref().map(str::to_owned),
            body: self.body.clone(),
            left_ms: millis(self.time_left),
            settings: self.settings.clone(),
        })
    }

    /// Decodes a submission that was handed over.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no submission of this release.
    pub fn decode(bytes: &[u8]) -> Result<Submission, row::DecodeError> {
        let encoded: EncodedSubmission = row::decode(bytes)?;
        Ok(Submission {
            queue: Arc::from(encoded.queue),
            id: Id::new(&encoded.id),
            workspace: encoded.workspace.map(Arc::from),
            body: encoded.body,
            time_left: Duration::from_millis(encoded.left_ms),
            settings: encoded.settings,
        })
    }
}

impl Answer {
    /// Returns the HTTP status of the answer.
    pub const fn status(self) -> u16 {
        match self {
            Answer::Stored => 200,
            Answer::Taken => 409,
            Answer::TooLarge => 413,
            Answer::NotStored => 503,
            Answer::InDoubt => 504,
        }
    }

    /// Returns the answer with an HTTP status. Only those that say so leave no doubt; a refusal
    /// before the request was handled has stored nothing.
    const fn of_status(status: u16) -> Answer {
        match status {
            200 => Answer::Stored,
            409 => Answer::Taken,
            413 => Answer::TooLarge,
            401 | 404 | 408 | 429 | 431 | 503 => Answer::NotStored,
            _ => Answer::InDoubt,
        }
    }
}

/// Hands submissions over to other entry hosts; clones share the connections.
#[derive(Clone, Debug)]
pub struct Client {
    agents: Agents,
}

impl Default for Client {
    fn default() -> Client {
        Client { agents: Agents::new(MAX_IDLE_CONNECTIONS) }
    }
}

impl Client {
    /// Hands a submission over, and waits for the answer for as long as its caller does.
    pub fn hand_over(&self, neighbour: &Neighbour, submission: &Submission) -> Answer {
        let (generation, agent) = self.agents.get(neighbour.address);
        let request = agent
            .post(format!("http://{}{PATH}", neighbour.address))
            .header(TOKEN_HEADER, &*neighbour.token)
            .config()
            .timeout_global(Some(submission.time_left + CALL_MARGIN))
            .build();
        match request.send(&submission.encode()[..]) {
            Ok(response) => Answer::of_status(response.status().as_u16()),
            Err(error) => {
                if is_timeout(&error) {
                    self.agents.drop_connections(neighbour.address, generation);
                }
                match was_not_sent(&error) {
                    true => Answer::NotStored,
                    false => Answer::InDoubt,
                }
            }
        }
    }
}
