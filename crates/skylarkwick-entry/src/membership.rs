//! Which entry hosts of the data centre live, and how they share the workers.
//!
//! Each live entry host uses an equal share of every worker's slots, and the
//! remainder falls to another one from worker to worker. Nothing is negotiated:
//! all compute the same from the same heartbeats. Where they differ for a few
//! heartbeats, a worker refuses what is too much as not run.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::{lease::Incarnation, moment::Moment, name};

/// Pause between heartbeats to a peer.
pub(crate) const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Silence after which a peer counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Shortest time for which a backend server is waited for before it is asked.
pub(crate) const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the slots of a worker that an entry host may use.
///
/// `index` is the worker's place in its data centre, `rank` the entry host's
/// place among the `entries` that live there.
pub(crate) fn slot_share(slots: u32, index: u32, rank: u32, entries: u32) -> u32 {
    let entries = entries.max(1);
    let gets_more = (index + rank) % entries < slots % entries;
    slots / entries + u32::from(gets_more)
}

/// When each peer was last last_heartbeats from.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    last_heartbeats: BTreeMap<name::Entry, (Incarnation, Moment)>,
}

impl Membership {
    /// Notes a sign of life.
    pub(crate) fn record_heartbeat(
        &mut self,
        entry: &name::Entry,
        incarnation: Incarnation,
        now: Moment,
    ) {
        self.last_heartbeats.insert(entry.clone(), (incarnation, now));
    }

    /// Notes that a peer is stopping.
    pub(crate) fn remove(&mut self, entry: &name::Entry) {
        self.last_heartbeats.remove(entry);
    }

    /// Returns the place of `me` among the live ones of `entries`, and how many
    /// those are.
    pub(crate) fn rank_and_count<'a>(
        &self,
        me: &name::Entry,
        entries: impl Iterator<Item = &'a name::Entry>,
        now: Moment,
    ) -> (u32, u32) {
        let is_live = |entry: &name::Entry| {
            entry == me
                || self
                    .last_heartbeats
                    .get(entry)
                    .is_some_and(|(_, at)| now.since(*at) <= PEER_TIMEOUT)
        };
        let live: Vec<&name::Entry> = entries.filter(|entry| is_live(entry)).collect();
        let rank = live.iter().position(|entry| *entry == me).unwrap_or(0);
        (rank as u32, live.len() as u32)
    }
}
