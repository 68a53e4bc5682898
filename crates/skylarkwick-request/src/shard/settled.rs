//! Servers that have left, across a planned change of the holder.
//!
//! A new holder waits for the servers that the rows of its jobs name, since earlier holders
//! may have started tasks there, and a server that has left never answers. A holder that
//! releases the shard knows until when anything can run there, and hands that on with the
//! lease. See `docs/DESIGN.md`, section "Shards".

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{Shard, input::ServerId};

impl Shard {
    /// Sets the servers that the holder before has handed on, each with the time from the
    /// start of the term until nothing runs there that an earlier holder has started.
    pub fn set_settled_servers(&mut self, settled: BTreeMap<ServerId, Duration>) {
        let since = self.term.since;
        self.settled_servers = settled.into_iter().map(|(id, time)| (id, since + time)).collect();
    }

    /// Returns, at the end of the term, the servers that the next holder may find gone, each
    /// with the time from `now` until nothing runs there that this holder or an earlier one
    /// has started: those that have answered this holder, by their leases, and those that
    /// were gone before.
    pub fn settled_servers(&self, now: Moment) -> BTreeMap<ServerId, Duration> {
        let answered = self.servers.values().filter(|server| server.is_fenced);
        let leases =
            answered.filter_map(|server| Some((server.id().clone(), server.lease_left(now)?)));
        let mut settled: BTreeMap<ServerId, Duration> = leases.collect();
        for id in self.jobs.values().flat_map(|active| &active.unverified_servers) {
            if !self.servers.contains_key(id) {
                settled.insert(id.clone(), self.unlisted_end(id).since(now));
            }
        }
        settled
    }
}
