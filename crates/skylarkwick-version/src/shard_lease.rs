//! The holding of a shard: who may take it, and how long a holder may go on.
//!
//! Taking a shard over is safe at any time, because the next holder fences
//! every backend server before it gives an order; the times here only avoid
//! needless takeovers. All observers use the store's clock, which the store
//! sends with each answer. See `docs/DESIGN.md`, section "Shards".

use std::time::Duration;

use crate::{lease::Incarnation, moment::Moment, revision::Revision};

/// Time without a renewal, on the store's clock, after which others may take a
/// shard.
pub const LEASE_DURATION: Duration = Duration::from_millis(2300);
/// Time since a confirmed renewal was sent in which nobody can have taken the
/// shard; shorter than the lapse by what two clocks may differ.
pub const EXCLUSIVE_WINDOW: Duration = Duration::from_millis(1900);
/// Time for which an observer must have seen the same row, so that a holder can
/// renew first when the store comes back after an outage.
pub const MIN_OBSERVATION: Duration = Duration::from_millis(1000);
/// Longest time between two reads of one observation.
const READ_GAP: Duration = Duration::from_millis(1600);
/// Time since its last confirmed renewal for which a holder goes on; meanwhile
/// the store may be out for all, and then nobody can have taken over.
pub const MAX_RENEWAL_GAP: Duration = Duration::from_millis(7000);

/// The holder that a row names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its entry host; none when the shard was released.
    pub entry: Option<String>,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The store's clock at its last renewal, in milliseconds.
    pub renewed_ms: u64,
}

/// What a process does about a shard that it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Take it; the last holder may still be at work.
    TakeOver,
    /// Take it; the last holder has ended.
    Succeed,
    /// Leave it to its holder.
    Wait,
}

/// What a process has seen of a shard's row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    revision: Revision,
    first: Moment,
    last: Moment,
}

impl Observation {
    /// Notes a read of the row.
    pub fn update(self, revision: Revision, now: Moment) -> Observation {
        let goes_on = revision == self.revision && now.since(self.last) <= READ_GAP;
        Observation { revision, first: if goes_on { self.first } else { now }, last: now }
    }

    fn age(self) -> Duration {
        self.last.since(self.first)
    }
}

/// Decides what to do about a shard that another process held last.
pub fn decide(holder: Option<&Record>, sight: Observation, me: &str, now_ms: u64) -> Decision {
    let Some(holder) = holder else {
        return Decision::Succeed;
    };
    let silence = Duration::from_millis(now_ms.saturating_sub(holder.renewed_ms));
    match &holder.entry {
        None => Decision::Succeed,
        Some(entry) if entry == me => Decision::Succeed,
        Some(_) if silence >= LEASE_DURATION && sight.age() >= MIN_OBSERVATION => {
            Decision::TakeOver
        }
        Some(_) => Decision::Wait,
    }
}
