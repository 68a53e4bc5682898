//! Orders for one host by successive holders of a shard.
//!
//! The platform need not check fencing tokens, so two holders keep their orders for a host
//! apart by time: a holder sends an order only shortly after it was recorded, and the next
//! one waits for longer than that. See `docs/DESIGN.md`, section "Hosts and waves".

use std::time::Duration;

use crate::moment::Moment;

/// Longest time from the start of recording an order to its call. An order that is older by
/// then is not sent, because the next holder relies on its never being sent.
pub const MAX_AGE: Duration = Duration::from_millis(800);

/// Why a holder may not order a host now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Withheld {
    /// A later holder has recorded an order.
    #[error("a later holder has issued orders")]
    LaterHolder,
    /// An order of an earlier holder may still be on its way.
    #[error("an order of the previous holder may still arrive")]
    Handover,
}

/// The last order that was recorded for a host: the fencing token of its holder, and the time
/// since then on the store's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastOrder {
    /// Fencing token of the holder for its shard.
    pub fencing_token: u64,
    /// Time since it was recorded.
    pub age: Duration,
}

impl LastOrder {
    /// Decides whether the holder with this fencing token may record another order for the
    /// host; `handover_delay` is the shortest time between the orders of two holders.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn allows(self, fencing_token: u64, handover_delay: Duration) -> Result<(), Withheld> {
        match () {
            () if self.fencing_token > fencing_token => Err(Withheld::LaterHolder),
            () if self.fencing_token < fencing_token && self.age < handover_delay => {
                Err(Withheld::Handover)
            }
            () => Ok(()),
        }
    }
}

/// Returns whether an order whose recording began at `recording_began` may still be sent. The
/// times are of a clock that counts suspension, and `now` is read right before the call.
pub fn may_send(recording_began: Moment, now: Moment) -> bool {
    now.since(recording_began) < MAX_AGE
}
