//! Live entry hosts of the data centre, and how they share the workers.
//!
//! Each live entry host uses an equal share of every worker's slots; the
//! remainder rotates from worker to worker. Each entry host computes its share
//! from the heartbeats, without negotiation. While their results differ, for a
//! few heartbeats, a worker refuses excess attempts as not run.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::{lease::Incarnation, moment::Moment, name};

/// Pause between rounds of heartbeats.
pub(crate) const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Time since the last heartbeat of a peer after which it no longer counts as live.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Minimum time, from the start of an attempt, after which a backend server that has not
/// answered is asked for its status.
pub(crate) const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns how many slots of a worker an entry host may use.
///
/// `index` is the position of the worker in its data centre, and `rank` that of
/// the entry host among the `entry_count` live ones of the data centre, both from 0.
pub(crate) fn slot_share(slots: u32, index: u32, rank: u32, entry_count: u32) -> u32 {
    let entry_count = entry_count.max(1);
    let gets_more = (index + rank) % entry_count < slots % entry_count;
    slots / entry_count + u32::from(gets_more)
}

/// Incarnation and time of the last heartbeat of each peer; a peer may no longer be live.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    last_heartbeats: BTreeMap<name::Entry, (Incarnation, Moment)>,
}

impl Membership {
    /// Records a heartbeat of a peer that was received at `now`.
    pub(crate) fn record_heartbeat(
        &mut self,
        entry: &name::Entry,
        incarnation: Incarnation,
        now: Moment,
    ) {
        self.last_heartbeats.insert(entry.clone(), (incarnation, now));
    }

    /// Removes a peer that is stopping.
    pub(crate) fn remove(&mut self, entry: &name::Entry) {
        self.last_heartbeats.remove(entry);
    }

    /// Returns the position of `me` among the live entry hosts of `entries`, from 0 and in
    /// their order, and their number. `me` always counts as live.
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
