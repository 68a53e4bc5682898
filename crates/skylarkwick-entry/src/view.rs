//! The view duty: keeps the view of documents and hosts up to date.
//!
//! Each poll reads all rows that changed since the last one in a single range
//! read, so a poll without changes costs the platform one read. While the
//! platform is unreachable, the peers duty supplies rows of other entry hosts.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::RngExt;
use skylarkwick_connection::platform::{
    HostRecord, Hosts, Key, Row, Table,
    row::{self, VIEW},
};
use skylarkwick_process::{
    duty::StopSignal,
    ring::{self, ReceiveError},
    view::{Handle, View},
};
use skylarkwick_version::{name, revision::Revision};
use slog::{Logger, info, warn};

use crate::event::DispatchEvent;

/// Mean pause between polls of the platform; each pause varies by up to 25 per cent.
const POLL_PERIOD: Duration = Duration::from_millis(400);
/// Number of polls of the view for each read of the list of hosts.
const POLLS_PER_HOST_LIST: u32 = 2;

/// Newest known version of each row of the view, encoded, to serve to peers. Clones share
/// the rows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rows {
    rows: Arc<RwLock<BTreeMap<Key, Row>>>,
}

impl Rows {
    /// Returns the rows whose revision is above `after`, sorted by key.
    pub(crate) fn after(&self, after: Revision) -> Vec<Row> {
        let rows = self.rows.read().unwrap_or_else(PoisonError::into_inner);
        rows.values().filter(|row| row.revision > after).cloned().collect()
    }

    /// Stores a row unless the known version is as new or newer.
    fn insert_newer(&self, row: Row) {
        let mut rows = self.rows.write().unwrap_or_else(PoisonError::into_inner);
        let known = rows.get(&row.key).map_or(Revision::ABSENT, |known| known.revision);
        if row.revision > known {
            rows.insert(row.key.clone(), row);
        }
    }
}

/// Rows of the view received from a peer, complete from this entry host's revision up to the
/// revision `through`.
#[derive(Debug)]
pub(crate) struct PeerRows {
    pub(crate) rows: Vec<Row>,
    pub(crate) through: Revision,
}

/// State of the view duty: the platform that it polls, and where it publishes the view, its
/// encoded rows and whether the platform is unreachable.
pub(crate) struct Duty<P> {
    pub(crate) platform: P,
    pub(crate) data_centre: name::DataCentre,
    pub(crate) view_handle: Handle,
    pub(crate) rows: Rows,
    pub(crate) is_platform_unreachable: Arc<AtomicBool>,
    pub(crate) dispatch: ring::Sender<DispatchEvent>,
    pub(crate) log: Logger,
}

impl<P: Table + Hosts> Duty<P> {
    /// Polls the platform and applies rows of peers until `stop` is requested. Rows of a peer
    /// cut the pause before the next poll short.
    pub(crate) fn run(self, input: &ring::Receiver<PeerRows>, stop: &StopSignal) {
        let mut view = View::default();
        let mut hosts = BTreeMap::new();
        let mut polls = 0;
        while !stop.is_requested() {
            self.poll(&mut view);
            if polls % POLLS_PER_HOST_LIST == 0 {
                self.refresh_hosts(&mut hosts);
            }
            polls += 1;
            let pause = POLL_PERIOD.mul_f64(rand::rng().random_range(0.75..1.25));
            match input.receive_timeout(pause) {
                Ok(peer_rows) => self.apply(&mut view, peer_rows.rows, peer_rows.through),
                Err(ReceiveError::TimedOut) => {}
                Err(ReceiveError::Closed) => return,
            }
        }
    }

    /// Reads the rows that changed since the view's revision and applies them. Records and
    /// logs when the platform becomes unreachable or reachable.
    fn poll(&self, view: &mut View) {
        match self.platform.scan(VIEW, view.revision) {
            Ok(scan) => {
                if self.is_platform_unreachable.swap(false, Ordering::AcqRel) {
                    info!(self.log, "platform reachable again");
                }
                self.apply(view, scan.rows, scan.complete_through);
            }
            Err(error) => {
                if !self.is_platform_unreachable.swap(true, Ordering::AcqRel) {
                    warn!(self.log, "serving from the last view"; "cause" => %error);
                }
            }
        }
    }

    /// Reads the list of the data centre's hosts, and sends it to the dispatch duty if it has
    /// changed. Keeps the old list if the platform does not respond.
    fn refresh_hosts(&self, hosts: &mut BTreeMap<name::Host, HostRecord>) {
        let Ok(listed) = self.platform.hosts(Some(&self.data_centre)) else { return };
        let listed: BTreeMap<_, _> =
            listed.into_iter().map(|listed| (listed.host.clone(), listed)).collect();
        if listed != *hosts {
            *hosts = listed;
            // Sending fails only while the process stops.
            let _ = self.dispatch.send(DispatchEvent::HostsChanged(Arc::new(hosts.clone())));
        }
    }

    /// Applies rows that are complete up to the revision `through`, and stores them for peers.
    /// Publishes the view and sends it to the dispatch duty if it has changed. Rows that
    /// cannot be decoded are logged and skipped.
    fn apply(&self, view: &mut View, rows: Vec<Row>, through: Revision) {
        let mut known = Vec::new();
        for row in rows {
            match row::view_row(&row) {
                Ok(Some(known_row)) => known.push(known_row),
                Ok(None) => {}
                Err(error) => warn!(self.log, "invalid row skipped"; "cause" => %error),
            }
            self.rows.insert_newer(row);
        }
        if view.apply(known, through) {
            let published = Arc::new(view.clone());
            self.view_handle.set(Arc::clone(&published));
            // Sending fails only while the process stops.
            let _ = self.dispatch.send(DispatchEvent::ViewChanged(published));
        }
    }
}
