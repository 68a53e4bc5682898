//! What a new holder has waited for, for its log. See `docs/OPERATIONS.md`, section "Long-running
//! tasks without a run".

use std::collections::BTreeSet;

use skylarkwick_version::moment::Moment;

use super::{Shard, input::ServerId};

/// Servers on which earlier holders may have started tasks and that have not answered this holder
/// in time, and the jobs that waited for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unanswered {
    /// Servers.
    pub servers: usize,
    /// Jobs; one that waited for two servers of different ends counts twice.
    pub jobs: usize,
}

/// How far a takeover has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// Whether the takeover grace is over.
    pub is_grace_over: bool,
    /// What was given up.
    pub given_up: Unanswered,
    /// What is still waited for: servers that may have longer leases.
    pub awaited: Unanswered,
}

impl Shard {
    /// Returns how far the takeover has come.
    pub fn takeover(&self, now: Moment) -> Takeover {
        let mut servers: BTreeSet<&ServerId> = BTreeSet::new();
        let mut jobs = 0;
        for active in self.jobs.values() {
            let unsettled = active.unverified_servers.iter();
            let mut unsettled =
                unsettled.filter(|id| !self.are_earlier_runs_settled(now, id)).peekable();
            jobs += usize::from(unsettled.peek().is_some());
            servers.extend(unsettled);
        }
        Takeover {
            is_grace_over: self.is_takeover_grace_over(now),
            given_up: self.unanswered,
            awaited: Unanswered { servers: servers.len(), jobs },
        }
    }
}
