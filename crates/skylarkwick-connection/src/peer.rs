//! Peers: the other entry hosts of the site, reached over JSON-RPC.

pub mod client;
pub mod server;
pub mod wire;

use std::sync::Arc;

use skylarkwick_request::outcome::Outcome;
use skylarkwick_version::{host::Epoch, lease::Incarnation, name, revision::Revision};

use crate::{backend::Answer, caller::Call};

/// A heartbeat of an entry host: its name and incarnation, the revision of its view,
/// whether it is stopping, and the hosts that it excludes.
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

/// Handles the calls that arrive from peers.
pub trait Handler: Send + Sync + 'static {
    /// Processes a peer's heartbeat and returns the own one. Runs on the server's only
    /// thread, so it must not block.
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat;

    /// Returns the rows of this process's view that changed after a revision, deleted ones
    /// included.
    fn rows_after(&self, after: Revision) -> Vec<crate::platform::Row>;

    /// Runs a forwarded call and waits for its outcome; `owner` is the incarnation that
    /// owns the key or ticket. The outcome is unknown if this process is another
    /// incarnation, because the owner has ended and may have run the call.
    fn redeem(&self, call: Call, owner: Incarnation) -> Outcome<Arc<Answer>>;
}
