//! How much work an entry host may accept for a shard before it asks again whether there is room.
//!
//! The holder of a shard publishes how much more it can keep. Each entry host may accept its part
//! of that without asking, for a limited time, and gets no second part from one publication. So
//! what all of them accept stays bounded, also while the store is slow, while the shard has no
//! holder, and for submissions that come at once. See `docs/DESIGN.md`, section "Memory of a
//! holder".

use std::time::Duration;

use skylarkwick_version::moment::Moment;

/// What an entry host may accept before a holder has published anything, in bytes.
const FIRST_CREDIT: u64 = 1 << 20;
/// What an entry host may accept of a shard with much room at the least, in bytes: enough for the
/// largest job.
const MIN_CREDIT: u64 = 512 << 10;
/// Part of the room that is granted to one entry host at the most: one in this many bytes.
const MIN_CREDIT_DIVISOR: u64 = 8;
/// Part of the room that is granted to all entry hosts together: one in this many bytes. A later
/// publication may be read by some of them while others still use an earlier one.
const GRANTED_DIVISOR: u64 = 2;
/// Time for which a credit is used without asking whether there is still as much room.
const CREDIT_TIME: Duration = Duration::from_secs(60);

/// What the holder of a shard has published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Publication {
    /// Time of the publication on the store's clock, in milliseconds.
    pub written_ms: u64,
    /// Memory for further jobs, in bytes; `None` if no holder has told it.
    pub room: Option<u64>,
}

/// What an entry host may still accept for a shard, in bytes of kept memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Credit {
    left: u64,
    /// The publication that it was granted by.
    written_ms: Option<u64>,
    until: Moment,
}

impl Credit {
    /// Takes a job that needs this much memory out of the credit; returns whether it may be
    /// accepted. If not, the credit has to be renewed first.
    pub fn spend(&mut self, now: Moment, bytes: usize) -> bool {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        match now < self.until && bytes <= self.left {
            true => {
                self.left -= bytes;
                true
            }
            false => false,
        }
    }

    /// Grants a part of the room that was published, in place of what is left, if that was not
    /// done before; `None` stands for a publication that can't be read, which grants nothing more.
    /// `entries` is the number of entry hosts.
    pub fn renew(&mut self, now: Moment, published: Option<Publication>, entries: usize) {
        self.until = now + CREDIT_TIME;
        let published = match published {
            None if self.written_ms.is_some() => return,
            Some(known) if self.written_ms == Some(known.written_ms) => return,
            published => published.unwrap_or_default(),
        };
        self.written_ms = Some(published.written_ms);
        let entries = u64::try_from(entries.max(1)).unwrap_or(u64::MAX);
        self.left = published.room.map_or(FIRST_CREDIT, |room| {
            let least = MIN_CREDIT.min(room / MIN_CREDIT_DIVISOR);
            (room / GRANTED_DIVISOR / entries).max(least)
        });
    }
}
