//! Row of the incarnations of servers that a holder hands on to the next.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use skylarkwick_request::shard::{Incarnation, input::ServerId};

use crate::store::clock::Reading;

/// Largest size of the entries of a row, in bytes; below what the platform accepts for a row.
const MAX_ENTRIES_BYTES: usize = 60_000;
/// Size of an entry beside the name of its server, in bytes, at most.
const ENTRY_BYTES: usize = 23;

/// Row of the incarnations of a shard's servers, each with the time on the store's clock after
/// which no call by the clock of an earlier one is carried out there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationsRow {
    servers: Vec<Entry>,
}

/// Stored form of an [`Incarnation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    server: String,
    /// Start of the incarnation, in Unix milliseconds.
    started_ms: u64,
    /// Time on the store's clock, in milliseconds.
    late_calls_until_ms: u64,
}

impl IncarnationsRow {
    /// Lists as many incarnations as a row can hold; of a server that is left out, the next
    /// holder knows nothing. `clock` is a reading of the store's clock.
    pub fn new(known: &BTreeMap<ServerId, Incarnation>, clock: Reading) -> IncarnationsRow {
        let mut left = MAX_ENTRIES_BYTES;
        let fits = |entry: &Entry| {
            let bytes = entry.server.len() + ENTRY_BYTES;
            let has_room = bytes <= left;
            left = left.saturating_sub(bytes);
            has_room
        };
        let entry = |(server, incarnation): (&ServerId, &Incarnation)| Entry {
            server: server.to_string(),
            started_ms: incarnation.started_ms,
            late_calls_until_ms: clock.store_ms(incarnation.late_calls_until),
        };
        IncarnationsRow { servers: known.iter().map(entry).take_while(fits).collect() }
    }

    /// Returns the incarnations; `clock` is a reading of the store's clock.
    pub fn incarnations(self, clock: Reading) -> BTreeMap<ServerId, Incarnation> {
        let incarnation = |entry: Entry| {
            let Entry { server, started_ms, late_calls_until_ms } = entry;
            let late_calls_until = clock.moment(late_calls_until_ms);
            (ServerId(Arc::from(server)), Incarnation { started_ms, late_calls_until })
        };
        self.servers.into_iter().map(incarnation).collect()
    }
}
