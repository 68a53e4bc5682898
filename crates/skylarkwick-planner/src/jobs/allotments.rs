//! The duty that agrees with the other shards on the parts of the workspaces' quotas.
//!
//! It follows the rows of all workspaces, decides by them and by the holder's needs, writes the
//! shard's own entries, and tells the holder what limits to go by. See `docs/design/quotas.md`.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    self, Commit, Feed, Key, Page, Store, Transaction,
    keyspace::{self, Keyspace},
    row::{self, AllotmentRow},
};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_version::{
    allotment::{self, Allotments, Need},
    resources::Resources,
    revision::Revision,
    workspace::{Quota, Workspaces},
};
use slog::{Logger, info, warn};

use super::event::{Event, send};

/// Reports of the holder that wait for the duty; only the last one counts.
const RING_CAPACITY: usize = 4;
/// Longest time for which the store holds back a response until an entry changes.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Longest wait for a first report of the holder before the stop signal is looked at.
const IDLE_WAIT: Duration = Duration::from_secs(1);
/// Pause after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What the holder reports: the workspaces of the configuration, and what those with a quota
/// have and need in the shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    /// Number of the change of the limits that was in force when the needs were counted.
    pub(super) limits_version: u64,
    pub(super) workspaces: Workspaces,
    pub(super) needs: BTreeMap<Arc<str>, Need>,
}

/// A workspace's row as it was last read.
#[derive(Clone, Debug, Default)]
struct Stored {
    revision: Revision,
    entries: Allotments,
    /// Highest limit while a write without an answer may still be carried out: the grant that it
    /// would store, and the revision that it is conditional on.
    unanswered: Option<(Revision, Resources)>,
}

/// State of the duty.
struct Allotter<S> {
    store: S,
    keyspace: Keyspace,
    /// Revision of the fence row, which the next holder replaces.
    fence: Revision,
    rows: BTreeMap<Arc<str>, Stored>,
    /// Revision from which changes are read; `None` before the first read.
    revision: Option<Revision>,
    report: Report,
    limits: BTreeMap<Arc<str>, Resources>,
    /// Number of the last change of the limits.
    limits_version: u64,
    log: Logger,
}

/// Starts the duty for a shard of a divided site; it runs until the stop signal or until the
/// holder has ended. Returns the ring for the holder's reports.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn start<S: Store>(
    store: S,
    keyspace: Keyspace,
    fence: Revision,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<ring::Sender<Report>> {
    let (reports, input) = ring::bounded(RING_CAPACITY);
    let mut allotter = Allotter {
        store,
        keyspace,
        fence,
        rows: BTreeMap::new(),
        revision: None,
        report: Report::default(),
        limits: BTreeMap::new(),
        limits_version: 0,
        log,
    };
    Duty::spawn("allotments", move || {
        while !stop.is_requested() {
            // Until there is a report, no workspace has a quota.
            let has_quotas = !allotter.report.needs.is_empty();
            let mut wait = if has_quotas { Duration::ZERO } else { IDLE_WAIT };
            loop {
                match input.receive_timeout(wait) {
                    Ok(report) => allotter.report = report,
                    Err(ring::ReceiveError::TimedOut) => break,
                    Err(ring::ReceiveError::Closed) => return,
                }
                wait = Duration::ZERO;
            }
            if allotter.report.needs.is_empty() {
                continue;
            }
            if let Err(error) = allotter.follow() {
                warn!(allotter.log, "allotments not read"; "error" => %error);
                stop.sleep(RETRY_DELAY);
                continue;
            }
            let limits = allotter.decide();
            if limits == allotter.limits {
                continue;
            }
            allotter.limits.clone_from(&limits);
            allotter.limits_version += 1;
            let version = allotter.limits_version;
            if !send(&events, Event::QuotaLimits { version, limits }) {
                return;
            }
        }
    })?;
    Ok(reports)
}

impl<S: Store> Allotter<S> {
    /// Reads all rows, or waits for changes of them for up to [`MAX_WAIT`].
    ///
    /// # Errors
    ///
    /// Returns the store's error if it gave no usable response.
    fn follow(&mut self) -> Result<(), store::Error> {
        let page = match self.revision {
            None => self.read_all()?,
            Some(revision) => match self.store.feed(keyspace::ALLOTMENTS, revision, MAX_WAIT)? {
                Feed::Changed(page) => page,
                Feed::Compacted => self.read_all()?,
            },
        };
        self.revision = Some(page.revision);
        for row in page.rows {
            let decoded = row.value.as_deref().map(row::decode::<AllotmentRow>).transpose();
            let decoded = decoded
                .inspect_err(|error| warn!(self.log, "allotment not decoded"; "error" => %error));
            let Ok(entries) = decoded else {
                continue;
            };
            let stored = self.rows.entry(Arc::clone(&row.key.name)).or_default();
            if row.revision >= stored.revision {
                stored.revision = row.revision;
                stored.entries = entries.map(Allotments::from).unwrap_or_default();
            }
        }
        Ok(())
    }

    fn read_all(&self) -> Result<Page, store::Error> {
        store::read_partition(&self.store, keyspace::ALLOTMENTS, "")
    }

    /// Decides about each workspace with a quota, writes the entries that change, and returns
    /// the limits that the holder has to go by.
    fn decide(&mut self) -> BTreeMap<Arc<str>, Resources> {
        let mut limits = BTreeMap::new();
        let needs = std::mem::take(&mut self.report.needs);
        // Until the holder has confirmed the last change, it may go by any earlier limit.
        let is_confirmed = self.report.limits_version == self.limits_version;
        for (name, need) in &needs {
            let need = match is_confirmed {
                true => *need,
                false => Need { limit: Quota::default().ceiling(), ..*need },
            };
            let Some(workspace) = self.report.workspaces.get(name) else {
                continue;
            };
            let limit = self.decide_workspace(name, &need, workspace.quota);
            limits.insert(Arc::clone(name), limit);
        }
        self.report.needs = needs;
        limits
    }

    /// Decides about one workspace, and writes the shard's entry if it changes.
    fn decide_workspace(&mut self, name: &Arc<str>, need: &Need, quota: Quota) -> Resources {
        let shard = self.keyspace.shard();
        let shards = self.keyspace.sharding().count();
        let now_ms = self.store.clock_ms();
        let mut stored = self.rows.remove(name).unwrap_or_default();
        // Its condition has failed for good once the row has changed.
        stored.unanswered = stored.unanswered.filter(|(revision, _)| *revision == stored.revision);
        let step = allotment::next(&stored.entries, shard, need, quota, shards, now_ms);
        let mut limit = step.limit;
        // A write without an answer is settled by another one on the same condition: only one of
        // them is carried out.
        let current = stored.entries.get(&shard).copied().unwrap_or_default();
        let entry = step.entry.or(stored.unanswered.map(|_| current));
        if let Some(entry) = entry {
            let mut entries = stored.entries.clone();
            entries.insert(shard, entry);
            match self.write(name, stored.revision, &entries) {
                Ok(Commit::Applied(revision)) => {
                    stored = Stored { revision, entries, unanswered: None };
                    let need = Need { limit, ..*need };
                    let entries = &stored.entries;
                    limit = allotment::next(entries, shard, &need, quota, shards, now_ms).limit;
                }
                // The feed brings the row that it met.
                Ok(Commit::Conflict(_)) | Err(store::Error::NotDone(_)) => {}
                Err(error) => {
                    warn!(self.log, "allotment in doubt"; "workspace" => &**name,
                        "error" => %error);
                    let earlier = stored.unanswered.map_or(entry.granted, |(_, granted)| granted);
                    stored.unanswered = Some((stored.revision, lower(earlier, entry.granted)));
                }
            }
        }
        if let Some((_, granted)) = stored.unanswered {
            // Components that are not granted are not limited.
            limit = lower(limit, limited(granted, quota));
        }
        self.rows.insert(Arc::clone(name), stored);
        limit
    }

    /// Writes the row of a workspace on condition that it is the one that was read, and that no
    /// later holder has the shard.
    fn write(
        &self,
        name: &Arc<str>,
        revision: Revision,
        entries: &Allotments,
    ) -> Result<Commit, store::Error> {
        let key = Key::new(keyspace::ALLOTMENTS, "", name);
        let value = row::encode(&AllotmentRow::from(entries));
        let transaction = Transaction::default()
            .replace(key, revision, value)
            .require(self.keyspace.fence(), self.fence);
        let result = self.store.commit(&transaction);
        if let (Ok(Commit::Applied(_)), Some(entry)) =
            (&result, entries.get(&self.keyspace.shard()))
        {
            info!(self.log, "allotment stored"; "workspace" => &**name,
                "millicores" => entry.granted.millicores, "memory_mib" => entry.granted.memory_mib,
                "accelerators" => entry.granted.accelerators, "lacks" => entry.is_short());
        }
        result
    }
}

/// Returns a grant with [`u64::MAX`] for the components that a quota does not limit.
fn limited(granted: Resources, quota: Quota) -> Resources {
    let components = granted.components().into_iter().zip(quota.ceiling().components());
    let mut limits = [u64::MAX; 3];
    for (limit, (granted, ceiling)) in limits.iter_mut().zip(components) {
        if ceiling != u64::MAX {
            *limit = granted;
        }
    }
    Resources::from_components(limits)
}

/// Returns the lower of each component.
fn lower(left: Resources, right: Resources) -> Resources {
    left - (left - right)
}
