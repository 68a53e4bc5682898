//! The view duty: adopts rows from the platform or from peers.
//!
//! One range read asks for everything that changed since the last one, so a
//! poll that finds nothing costs the platform one read. While the platform is
//! out of reach, the peers duty hands over what other entry hosts know.

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

use crate::event::Dispatch;

/// Mean pause between polls of the platform.
const POLL_PERIOD: Duration = Duration::from_millis(400);
/// Polls between two reads of the list of hosts.
const POLLS_PER_LIST: u32 = 2;

/// Rows of the view as the platform holds them, for peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rows {
    rows: Arc<RwLock<BTreeMap<Key, Row>>>,
}

impl Rows {
    /// Returns the rows after a revision.
    pub(crate) fn after(&self, after: Revision) -> Vec<Row> {
        let rows = self.rows.read().unwrap_or_else(PoisonError::into_inner);
        rows.values().filter(|row| row.revision > after).cloned().collect()
    }

    fn keep(&self, row: Row) {
        let mut rows = self.rows.write().unwrap_or_else(PoisonError::into_inner);
        let known = rows.get(&row.key).map_or(Revision::ABSENT, |known| known.revision);
        if row.revision > known {
            rows.insert(row.key.clone(), row);
        }
    }
}

/// Rows that a peer handed over.
#[derive(Debug)]
pub(crate) struct Handed {
    pub(crate) rows: Vec<Row>,
    pub(crate) through: Revision,
}

/// State of the view duty.
pub(crate) struct Duty<P> {
    pub(crate) platform: P,
    pub(crate) data_centre: name::DataCentre,
    pub(crate) shared: Handle,
    pub(crate) rows: Rows,
    pub(crate) platform_is_out: Arc<AtomicBool>,
    pub(crate) dispatch: ring::Sender<Dispatch>,
    pub(crate) log: Logger,
}

impl<P: Table + Hosts> Duty<P> {
    /// Runs until the stop.
    pub(crate) fn run(self, input: &ring::Receiver<Handed>, stop: &StopSignal) {
        let mut view = View::default();
        let mut hosts = BTreeMap::new();
        let mut polls = 0;
        while !stop.is_requested() {
            self.poll(&mut view);
            if polls % POLLS_PER_LIST == 0 {
                self.list(&mut hosts);
            }
            polls += 1;
            let pause = POLL_PERIOD.mul_f64(rand::rng().random_range(0.75..1.25));
            match input.receive_timeout(pause) {
                Ok(handed) => self.adopt(&mut view, handed.rows, handed.through),
                Err(ReceiveError::TimedOut) => {}
                Err(ReceiveError::Closed) => return,
            }
        }
    }

    fn poll(&self, view: &mut View) {
        match self.platform.scan(VIEW, view.revision) {
            Ok(scan) => {
                if self.platform_is_out.swap(false, Ordering::AcqRel) {
                    info!(self.log, "the platform answers again");
                }
                self.adopt(view, scan.rows, scan.complete_through);
            }
            Err(fault) => {
                if !self.platform_is_out.swap(true, Ordering::AcqRel) {
                    warn!(self.log, "serving from the last view"; "cause" => %fault);
                }
            }
        }
    }

    fn list(&self, hosts: &mut BTreeMap<name::Host, HostRecord>) {
        let Ok(listed) = self.platform.hosts(Some(&self.data_centre)) else { return };
        let listed: BTreeMap<_, _> =
            listed.into_iter().map(|listed| (listed.host.clone(), listed)).collect();
        if listed != *hosts {
            *hosts = listed;
            // The dispatch is gone only when the process ends.
            let _ = self.dispatch.send(Dispatch::Hosts(Arc::new(hosts.clone())));
        }
    }

    fn adopt(&self, view: &mut View, rows: Vec<Row>, through: Revision) {
        let mut known = Vec::new();
        for row in rows {
            match row::view_row(&row) {
                Ok(Some(known_row)) => known.push(known_row),
                Ok(None) => {}
                Err(error) => warn!(self.log, "row skipped"; "cause" => %error),
            }
            self.rows.keep(row);
        }
        if view.apply(known, through) {
            let published = Arc::new(view.clone());
            self.shared.set(Arc::clone(&published));
            // The dispatch is gone only when the process ends.
            let _ = self.dispatch.send(Dispatch::View(published));
        }
    }
}
