//! Acquires, renews and releases the lease of a data centre.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_connection::platform::{
    Key, Table, Transaction,
    retry::{self, commit_with_retry},
    row::{self, LEASE},
};
use skylarkwick_version::{
    lease::{Action, Incarnation, Lease, Observation},
    moment::Moment,
    name,
    revision::{Revision, Token},
};

use crate::row_cache::RowCache;

/// Time for which a planner must have seen the lease row at one revision, on its own clock,
/// before it may take the lease over from another holder.
pub(crate) const LEASE_DURATION: Duration = Duration::from_secs(2);
/// Minimum time between two renewals by the holder, and between two reads of the
/// leases by a planner that holds none.
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);
/// Time from when this planner first sees a data centre's lease row at a revision, after
/// which the data centre counts as unreachable if the row is unchanged.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(10);

/// Acquires, renews and releases the lease of this planner's data centre, and observes the
/// leases of all data centres to tell which are unreachable. It holds the cached lease
/// rows, since when each is unchanged, and this planner's lease while it is held.
#[derive(Debug)]
pub(crate) struct LeaseTracker {
    incarnation: Incarnation,
    entry: name::Entry,
    key: Key,
    rows: RowCache,
    observations: BTreeMap<Key, Observation>,
    /// The lease as last written; none while this planner doesn't hold it.
    held: Option<Held>,
    last_read: Option<Moment>,
}

/// The lease while this planner holds it: the row's revision, and when the last
/// confirmed renewal started, on this planner's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) revision: Revision,
    renewed_at: Moment,
}

impl LeaseTracker {
    /// Creates a tracker that holds no lease. `incarnation` identifies this process in the
    /// row, and `entry` names its entry host there.
    pub(crate) fn new(
        incarnation: Incarnation,
        entry: name::Entry,
        data_centre: &name::DataCentre,
    ) -> LeaseTracker {
        LeaseTracker {
            incarnation,
            entry,
            key: row::key(LEASE, data_centre.as_str()),
            rows: RowCache::new(LEASE),
            observations: BTreeMap::new(),
            held: None,
            last_read: None,
        }
    }

    /// Returns the key and revision of the lease row, or none if this planner does not
    /// hold the lease.
    ///
    /// Every write for the data centre must be conditional on them.
    pub(crate) fn held_lease(&self) -> Option<(Key, Revision)> {
        self.held.map(|held| (self.key.clone(), held.revision))
    }

    /// Reads all leases, and renews the data centre's, or acquires it if it is vacant or
    /// has expired; an invalid row counts as vacant. Does nothing within [`RENEWAL_PERIOD`]
    /// of the last renewal or, if the lease is not held, of the last read. The lease is
    /// lost once its row names another holder or a write conflicts.
    ///
    /// Nothing changes while the platform does not respond: no write succeeds then, and a
    /// later one is checked against the lease's revision.
    pub(crate) fn acquire_or_renew<T: Table>(&mut self, table: &T, now: Moment) {
        // Other planners read the lease no more often than it is renewed.
        let last = self.held.map(|held| held.renewed_at).or(self.last_read);
        if last.is_some_and(|last| now.since(last) < RENEWAL_PERIOD) {
            return;
        }
        self.last_read = Some(now);
        if self.rows.refresh(table).is_err() {
            return;
        }
        self.update_observations(now);
        let row = self.rows.get(&self.key);
        let lease = row::decode::<row::Lease, Lease>(&row).ok().flatten().unwrap_or(Lease::VACANT);
        let has_lapsed = self
            .observations
            .get(&self.key)
            .is_some_and(|observation| observation.has_lapsed(LEASE_DURATION, now));
        self.held = match lease.next_action(self.incarnation, &self.entry, has_lapsed, true) {
            Action::Wait => None,
            Action::Write(next) => self.write(table, row.revision, &next, now),
        };
    }

    /// Releases the lease by writing it as vacant, so that another planner need not wait
    /// until it expires. Does nothing if the lease is not held; a failed write is ignored.
    pub(crate) fn release<T: Table>(&mut self, table: &T) {
        let Some(held) = self.held.take() else { return };
        let row = self.rows.get(&self.key);
        let lease = row::decode::<row::Lease, Lease>(&row).ok().flatten().unwrap_or(Lease::VACANT);
        if let Some(vacant) = lease.release(self.incarnation) {
            // If the write fails, the lease expires.
            self.write(table, held.revision, &vacant, Moment::ZERO);
            self.held = None;
        }
    }

    /// Returns the data centres whose lease rows this planner has seen unchanged for longer
    /// than [`UNREACHABLE_AFTER`]; one whose row it has never seen is left out.
    pub(crate) fn unreachable_data_centres(&self, now: Moment) -> Vec<name::DataCentre> {
        self.observations
            .iter()
            .filter(|(_, observation)| observation.has_lapsed(UNREACHABLE_AFTER, now))
            .filter_map(|(key, _)| name::DataCentre::try_from(key.after(LEASE)?).ok())
            .collect()
    }

    /// Records that the cached lease rows were read at `now`: a row with a new revision
    /// counts as unchanged from then on.
    fn update_observations(&mut self, now: Moment) {
        for (_, row) in self.rows.with_prefix(LEASE) {
            let first = Observation { revision: row.revision, first_seen: now };
            let observation = self.observations.entry(row.key.clone()).or_insert(first);
            *observation = observation.update(row.revision, now);
        }
    }

    /// Writes the lease row if its revision is still `revision`, and returns the lease as
    /// held from then on, renewed at `now`. Returns none after a conflict, and what was
    /// held before if the platform was unreachable, refused the write or lost the response.
    fn write<T: Table>(
        &self,
        table: &T,
        revision: Revision,
        lease: &Lease,
        now: Moment,
    ) -> Option<Held> {
        let value = row::encode(&row::Lease::from(lease));
        let transaction =
            Transaction::new(Token(rand::random())).replace(self.key.clone(), revision, value);
        match commit_with_retry(table, &transaction) {
            retry::Outcome::Applied(revision) => Some(Held { revision, renewed_at: now }),
            retry::Outcome::Conflict(_) => None,
            // The lease may still be held; conflicts of later writes show if it isn't.
            retry::Outcome::NotWritten(_) | retry::Outcome::InDoubt => self.held,
        }
    }
}
