//! Holding the lease of a data centre.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_connection::platform::{
    Key, Table, Transaction,
    row::{self, LEASE},
    settle::{Settled, settle},
};
use skylarkwick_version::{
    lease::{Action, Incarnation, Lease, Observation},
    moment::Moment,
    name,
    revision::{Revision, Token},
};

use crate::mirror::Mirror;

/// Time after which an unchanged lease may be taken over.
pub(crate) const LEASE_TIME: Duration = Duration::from_secs(2);
/// Pause between renewals.
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);
/// Time after which a data centre whose lease is not renewed counts as silent.
const SILENCE: Duration = Duration::from_secs(10);

/// The leases as one planner sees them.
#[derive(Debug)]
pub(crate) struct Leases {
    me: Incarnation,
    entry: name::Entry,
    shard: Key,
    mirror: Mirror,
    sights: BTreeMap<Key, Observation>,
    held: Option<Held>,
    looked: Option<Moment>,
}

/// The lease while it is held.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) revision: Revision,
    renewed: Moment,
}

impl Leases {
    pub(crate) fn new(
        me: Incarnation,
        entry: name::Entry,
        data_centre: &name::DataCentre,
    ) -> Leases {
        Leases {
            me,
            entry,
            shard: row::key(LEASE, data_centre.as_str()),
            mirror: Mirror::new(LEASE),
            sights: BTreeMap::new(),
            held: None,
            looked: None,
        }
    }

    /// Returns the key of the lease and its revision while it is held.
    ///
    /// Every write for the data centre has to carry them as a condition.
    pub(crate) fn fence(&self) -> Option<(Key, Revision)> {
        self.held.map(|held| (self.shard.clone(), held.revision))
    }

    /// Reads the leases and takes or renews this planner's.
    ///
    /// While the platform gives no answer, the planner stays as it is: it can
    /// write nothing anyway, and a write that it tries meets the condition.
    pub(crate) fn step<T: Table>(&mut self, table: &T, now: Moment) {
        // Those who do not hold the lease look no more often than it is renewed.
        let last = self.held.map(|held| held.renewed).or(self.looked);
        if last.is_some_and(|last| now.since(last) < RENEWAL_PERIOD) {
            return;
        }
        self.looked = Some(now);
        if self.mirror.refresh(table).is_err() {
            return;
        }
        self.look(now);
        let row = self.mirror.get(&self.shard);
        let lease = row::decode::<row::Lease, Lease>(&row).ok().flatten().unwrap_or(Lease::VACANT);
        let has_lapsed =
            self.sights.get(&self.shard).is_some_and(|sight| sight.has_lapsed(LEASE_TIME, now));
        self.held = match lease.next_action(self.me, &self.entry, has_lapsed, true) {
            Action::Wait => None,
            Action::Write(next) => self.write(table, row.revision, &next, now),
        };
    }

    /// Gives the lease up, so that another planner need not wait for its end.
    pub(crate) fn release<T: Table>(&mut self, table: &T) {
        let Some(held) = self.held.take() else { return };
        let row = self.mirror.get(&self.shard);
        let lease = row::decode::<row::Lease, Lease>(&row).ok().flatten().unwrap_or(Lease::VACANT);
        if let Some(vacant) = lease.release(self.me) {
            // Without an answer the lease lapses by itself.
            self.write(table, held.revision, &vacant, Moment::ZERO);
            self.held = None;
        }
    }

    /// Returns the data centres whose leases have not been renewed for long.
    pub(crate) fn silent(&self, now: Moment) -> Vec<name::DataCentre> {
        self.sights
            .iter()
            .filter(|(_, sight)| sight.has_lapsed(SILENCE, now))
            .filter_map(|(key, _)| name::DataCentre::try_from(key.after(LEASE)?).ok())
            .collect()
    }

    fn look(&mut self, now: Moment) {
        for (_, row) in self.mirror.under(LEASE) {
            let fresh = Observation { revision: row.revision, first_seen: now };
            let sight = self.sights.entry(row.key.clone()).or_insert(fresh);
            *sight = sight.update(row.revision, now);
        }
    }

    fn write<T: Table>(
        &self,
        table: &T,
        revision: Revision,
        lease: &Lease,
        now: Moment,
    ) -> Option<Held> {
        let value = row::encode(&row::Lease::from(lease));
        let transaction =
            Transaction::new(Token(rand::random())).replace(self.shard.clone(), revision, value);
        match settle(table, &transaction) {
            Settled::Applied(revision) => Some(Held { revision, renewed: now }),
            Settled::Conflict(_) => None,
            // The lease may still be ours; its next writes will tell.
            Settled::NotWritten(_) | Settled::InDoubt => self.held,
        }
    }
}
