//! Peers: the other entry hosts of the site, reached over JSON-RPC.

pub mod client;
pub mod server;
pub mod wire;

use std::sync::Arc;

use skylarkwick_request::outcome::Outcome;
use skylarkwick_version::{host::Epoch, lease::Incarnation, name, revision::Revision};

use crate::{backend::Answer, caller::Call};

/// A heartbeat, which also carries the revision of the sender's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub entry: name::Entry,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Revision up to which the sender's view is complete.
    pub revision: Revision,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// Hosts that the sender excludes because they are leaving or have a newer epoch,
    /// each with the epoch up to which it is excluded.
    pub leaving: Vec<(name::Host, Epoch)>,
}

/// Handles the calls of peers.
pub trait Handler: Send + Sync + 'static {
    /// Processes a heartbeat and returns one.
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat;

    /// Returns the rows of the view that changed after a revision.
    fn rows_after(&self, after: Revision) -> Vec<crate::platform::Row>;

    /// Runs a call whose key or ticket belongs to the incarnation `owner` of this
    /// process. The outcome is unknown if that incarnation has ended.
    fn redeem(&self, call: Call, owner: Incarnation) -> Outcome<Arc<Answer>>;
}
