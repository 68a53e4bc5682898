//! Incarnations of servers, each with the time after which no call by the clock of an earlier
//! one is carried out there, as one holder hands it on to the next.
//!
//! A server that starts again under its name may carry out a call that was made by its earlier
//! clock, and then grants a lease that no holder knows of, the longest of the platform. A new
//! holder can't tell a new server from one that has started again, so it would have to count that
//! lease for each server that started recently. A holder that a server has answered can tell:
//!
//! - The server rejects all earlier holders from then on, so their calls are over.
//! - The holder makes calls by an earlier clock only if it has had an answer of an earlier
//!   incarnation. It then learns of the restart, and its calls are over
//!   [`LATE_CALL_TIME`] later.
//!
//! What is true of an incarnation by this stays true: a later holder has had no answer of an
//! incarnation that ended before its term. So the next holder may use what is stored however old
//! it is, also if holders of an earlier release, which neither read nor store it, came between.
//! A restart that no holder knew of shows as another incarnation in the list than in the row.
//!
//! See `docs/DESIGN.md`, section "Jobs".

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{Shard, input::ServerId, server::Server};

/// Time after a call by the clock of an earlier incarnation was sent in which a later one may
/// still carry it out.
pub(super) const LATE_CALL_TIME: Duration = Duration::from_secs(12);
/// Time for which a removed server is remembered; longer than a call to it may be under way.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// An incarnation (start of the server process) and until when calls by the clock of an earlier
/// one may be carried out there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Start of the incarnation, in Unix milliseconds; tells it from others.
    pub started_ms: u64,
    /// After this, none is carried out.
    pub late_calls_until: Moment,
}

/// Incarnations that earlier holders have handed on, and servers that this holder has removed.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    inherited: BTreeMap<ServerId, Incarnation>,
    /// When each removed server was still known.
    removed: BTreeMap<ServerId, Moment>,
}

impl Incarnations {
    /// Returns the time that an earlier holder has handed on for an incarnation or a later one,
    /// since the platform's list may lag behind.
    fn inherited(&self, id: &ServerId, started_ms: u64) -> Option<Moment> {
        let known = self.inherited.get(id).filter(|known| known.started_ms >= started_ms);
        known.map(|known| known.late_calls_until)
    }

    /// Returns the time that an earlier holder has handed on for a server that is not listed.
    pub(super) fn inherited_unlisted(&self, id: &ServerId) -> Option<Moment> {
        self.inherited(id, 0)
    }

    /// Returns whether earlier holders have handed on nothing, as those of an earlier release.
    pub(super) fn is_empty(&self) -> bool {
        self.inherited.is_empty()
    }

    /// Remembers a server that is no longer known after `now`.
    pub(super) fn record_removed(&mut self, now: Moment, id: &ServerId) {
        self.removed.insert(id.clone(), now);
    }

    /// Forgets the servers to which no call is under way any more.
    pub(super) fn forget_removed(&mut self, now: Moment) {
        self.removed.retain(|_, known| now.since(*known) < REMOVAL_RETENTION);
    }

    /// Returns until when a server that is first listed at `now` may carry out calls that this
    /// holder has made before it removed that server.
    pub(super) fn own_calls_until(&self, now: Moment, id: &ServerId) -> Moment {
        match self.removed.contains_key(id) {
            true => now + LATE_CALL_TIME,
            false => Moment::ZERO,
        }
    }
}

impl Shard {
    /// Sets the incarnations that earlier holders have handed on.
    pub fn set_known_incarnations(&mut self, known: BTreeMap<ServerId, Incarnation>) {
        self.incarnations.inherited = known;
    }

    /// Returns the incarnations for the next holder: of the servers that are known, those that
    /// have answered this holder and those that were handed on to it, and of those that have left
    /// the list, those that jobs still wait for; before the first list, all that were handed on.
    pub fn known_incarnations(&self) -> BTreeMap<ServerId, Incarnation> {
        if !self.are_servers_listed {
            return self.incarnations.inherited.clone();
        }
        let known = self.servers.values().filter_map(|server| {
            let started_ms = server.info.incarnation_ms;
            let late_calls_until = self.late_calls_until(server)?;
            Some((server.id().clone(), Incarnation { started_ms, late_calls_until }))
        });
        let mut known: BTreeMap<ServerId, Incarnation> = known.collect();
        for id in self.jobs.values().flat_map(|active| &active.unverified_servers) {
            if let Some(inherited) = self.incarnations.inherited.get(id)
                && !self.servers.contains_key(id)
            {
                known.insert(id.clone(), *inherited);
            }
        }
        known
    }

    /// Returns until when a server may carry out calls by the clock of an earlier incarnation, of
    /// this holder or an earlier one; `None` if that is unknown.
    pub(super) fn late_calls_until(&self, server: &Server) -> Option<Moment> {
        let inherited = self.incarnations.inherited(server.id(), server.info.incarnation_ms);
        let earlier = [inherited, server.identified_at].into_iter().flatten().min()?;
        Some(earlier.max(server.own_calls_until))
    }
}
