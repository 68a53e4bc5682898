//! Peers: the entry hosts of the site, which talk to each other in JSON-RPC.

pub mod client;
pub mod server;
pub mod wire;

use std::sync::Arc;

use skylarkwick_request::outcome::Outcome;
use skylarkwick_version::{host::Epoch, lease::Incarnation, name, revision::Revision};

use crate::{backend::Answer, caller::Call};

/// A heartbeat, which also says how far a peer's view goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub entry: name::Entry,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// Revision up to which the sender's view is complete.
    pub revision: Revision,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// Hosts that the sender knows to be leaving, and since which epoch.
    pub leaving: Vec<(name::Host, Epoch)>,
}

/// What an entry host does for its peers.
pub trait Handler: Send + Sync + 'static {
    /// Takes a heartbeat and returns one.
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat;

    /// Returns the rows of the view after a revision.
    fn rows_after(&self, after: Revision) -> Vec<crate::platform::Row>;

    /// Runs a call whose key or ticket belongs to this run of the process.
    fn redeem(&self, call: Call, owner: Incarnation) -> Outcome<Arc<Answer>>;
}
