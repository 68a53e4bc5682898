//! Duties that follow the store and the platform's lists, and renew the lease.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    control::{Hosts, Registry},
    store::{
        self, Feed, Page, Store, TableReader,
        row::{self, WaveRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::shard::input::{HostId, MaintenanceWave, ServerId, ServerInfo};
use skylarkwick_version::revision::Revision;
use slog::{Logger, info, warn};

use super::{
    event::{Event, send},
    lease::{Lease, Renewal},
    load::{self, StoredJob},
};

/// Longest time that the store holds back a response until something changes; short, so
/// that a dead connection is soon detected.
const MAX_WAIT: Duration = Duration::from_millis(1500);
/// Pause after a failed read, before it is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Pause after changes of jobs, so that the next read returns several.
const BATCH_WINDOW: Duration = Duration::from_millis(40);
/// Pause between two listings of the backend servers.
const SERVER_PERIOD: Duration = Duration::from_millis(250);
/// Number of lists after an error that may lack a server in a row before it counts as gone;
/// they take two seconds, within which entries that expired during an outage are back.
const MAX_LACKING_LISTS: u32 = 8;
/// Pause between two listings of the hosts.
const HOST_PERIOD: Duration = Duration::from_millis(500);
/// Pause before each renewal of the lease, counted from the end of the previous one.
const RENEWAL_PERIOD: Duration = Duration::from_millis(500);

/// Starts the duty that follows changes of jobs after `revision`, and sends an
/// [`Event::JobAdded`] or [`Event::JobRemoved`] for each changed row until the stop signal.
/// Invalid rows are skipped. If the store has compacted the changes, all rows are read and
/// sent again.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn jobs<S: Store>(
    store: S,
    mut revision: Revision,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("jobs", move || {
        let mut reader = None;
        while !stop.is_requested() {
            let page = match next_jobs(&store, revision, &mut reader) {
                Ok(page) => page,
                Err(error) => {
                    warn!(log, "waiting for job changes failed"; "error" => %error);
                    stop.sleep(RETRY_DELAY);
                    continue;
                }
            };
            revision = page.revision;
            let is_empty = page.rows.is_empty();
            for row in &page.rows {
                let event = match load::decode_job(row, page.now_ms, &log) {
                    Some(StoredJob::Active(accepted)) => Event::JobAdded(accepted),
                    Some(StoredJob::Finished(id)) => Event::JobRemoved(id),
                    None => continue,
                };
                if !send(&events, event) {
                    return;
                }
            }
            if !is_empty {
                stop.sleep(BATCH_WINDOW);
            }
        }
    })
}

/// Returns the changes of jobs after `revision` once there are any, or all jobs if the store
/// has compacted those changes. `reader` holds a read of all jobs that has begun; after an
/// error, the next call continues it.
///
/// # Errors
///
/// Returns an error if the store gave no usable response.
fn next_jobs<S: Store>(
    store: &S,
    revision: Revision,
    reader: &mut Option<TableReader>,
) -> Result<Page, store::Error> {
    let mut begun = match reader.take() {
        Some(begun) => begun,
        None => match store.feed(row::JOBS, revision, MAX_WAIT)? {
            Feed::Changed(page) => return Ok(page),
            Feed::Compacted => TableReader::new(row::JOBS),
        },
    };
    match begun.read(store) {
        Ok(()) => Ok(begun.into_page()),
        Err(error) => {
            *reader = Some(begun);
            Err(error)
        }
    }
}

/// Starts the duty that follows the configuration and the maintenance waves that operators
/// write, and sends each change to `events` until the stop signal. Everything is read
/// first. Waves are sent with their stored progress; if that of one can't be read, only the
/// configuration is sent, without which the holder starts nothing, and the changes are read
/// again.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn operator_changes<S: Store, D: Registry>(
    store: S,
    registry: D,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("notices", move || {
        let mut revision = None;
        while !stop.is_requested() {
            let changes = match registry.operator_changes(revision, MAX_WAIT) {
                Ok(changes) => changes,
                Err(error) => {
                    warn!(log, "waiting for operator changes failed"; "error" => %error);
                    stop.sleep(RETRY_DELAY);
                    continue;
                }
            };
            let configured =
                changes.configuration.map(|next| Event::ConfigurationChanged(Box::new(next)));
            if configured.is_some_and(|event| !send(&events, event)) {
                return;
            }
            let waves: Option<Vec<MaintenanceWave>> = changes
                .waves
                .into_iter()
                .map(|wave| with_stored_progress(&store, wave, &log))
                .collect();
            let Some(waves) = waves else {
                stop.sleep(RETRY_DELAY);
                continue;
            };
            revision = Some(changes.revision);
            for wave in waves {
                if !send(&events, Event::WaveRequested(wave)) {
                    return;
                }
            }
        }
    })
}

/// Returns the wave with its stored progress, the hosts that have started and the time
/// left, or as it is if the row is missing or invalid; returns `None` if the store can't
/// be read.
fn with_stored_progress<S: Store>(
    store: &S,
    mut wave: MaintenanceWave,
    log: &Logger,
) -> Option<MaintenanceWave> {
    let (row, _) = store::read_one(store, &row::wave_key(wave.number))
        .inspect_err(|error| warn!(log, "wave not read"; "error" => %error))
        .ok()?;
    if let Some(value) = row.value {
        match row::decode::<WaveRow>(&value) {
            Ok(row) => {
                wave.started = row.started.iter().map(|id| HostId(Arc::from(&**id))).collect();
                let left = row.due_ms.saturating_sub(store.clock_ms());
                wave.time_left = Duration::from_millis(left);
            }
            Err(error) => warn!(log, "wave row not decoded"; "error" => %error),
        }
    }
    Some(wave)
}

/// Starts the duty that lists the backend servers, with a pause of [`SERVER_PERIOD`] in
/// between, and sends each list to `events`, until the stop signal. The first list after an
/// error is completed from the earlier ones, see [`ServerList::complete`].
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn servers<D: Registry>(
    registry: D,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("servers", move || {
        let mut list = ServerList::default();
        let mut has_failed = false;
        loop {
            match registry.servers() {
                Ok(servers) => {
                    match has_failed {
                        true => list.complete(servers),
                        false => list.replace(servers),
                    }
                    has_failed = false;
                    if !send(&events, Event::ServersListed(list.servers())) {
                        return;
                    }
                }
                Err(error) => {
                    has_failed = true;
                    warn!(log, "servers not listed"; "error" => %error);
                }
            }
            if stop.sleep(SERVER_PERIOD) {
                return;
            }
        }
    })
}

/// The servers that count as listed, each with the number of lists in a row that lacked it.
#[derive(Debug, Default)]
struct ServerList {
    servers: BTreeMap<ServerId, (ServerInfo, u32)>,
}

impl ServerList {
    /// Takes a list as it is.
    fn replace(&mut self, servers: Vec<ServerInfo>) {
        self.servers = servers.into_iter().map(|info| (info.id.clone(), (info, 0))).collect();
    }

    /// Takes a list that was read after an error, and keeps the servers that it lacks,
    /// because their entries may have expired meanwhile and not be back yet. A server that
    /// [`MAX_LACKING_LISTS`] lists have lacked is gone.
    fn complete(&mut self, servers: Vec<ServerInfo>) {
        let earlier = std::mem::take(&mut self.servers);
        self.replace(servers);
        for (id, (info, lacking)) in earlier {
            if lacking < MAX_LACKING_LISTS {
                self.servers.entry(id).or_insert((info, lacking + 1));
            }
        }
    }

    /// Returns the servers.
    fn servers(&self) -> Vec<ServerInfo> {
        self.servers.values().map(|(info, _)| info.clone()).collect()
    }
}

/// Starts the duty that lists the hosts, with a pause of [`HOST_PERIOD`] in between, and
/// sends each list to `events`, until the stop signal. A failed listing is only logged.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn hosts<H: Hosts>(
    hosts: H,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("hosts", move || {
        while !stop.is_requested() {
            let is_closed = match hosts.hosts() {
                Ok(list) => !send(&events, Event::HostsListed(list)),
                Err(error) => {
                    warn!(log, "hosts not listed"; "error" => %error);
                    false
                }
            };
            if is_closed || stop.sleep(HOST_PERIOD) {
                return;
            }
        }
    })
}

/// Starts the duty that renews the lease, after a pause of [`RENEWAL_PERIOD`] each time,
/// until it is lost, the stop signal, or the end of the holder, and sends each result to
/// `events`. A lost lease requests the stop signal, because it ends the term, also while the
/// holder still reads its jobs. The returned receiver gets the lease in its last state when
/// the duty ends.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn renewals<S: Store>(
    mut lease: Lease<S>,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<(Duty, ring::Receiver<Lease<S>>)> {
    let (lease_sender, returned_lease) = ring::bounded(1);
    let duty = Duty::spawn("renewals", move || {
        while !stop.sleep(RENEWAL_PERIOD) {
            let sent = Boot.now();
            let renewal = lease.renew();
            let is_sent = send(&events, Event::LeaseRenewal(renewal, sent));
            if renewal == Renewal::Lost {
                stop.request();
            }
            if !is_sent {
                break;
            }
        }
        info!(log, "lease renewal stopped");
        // The holder may have stopped waiting for the lease.
        let _ = lease_sender.try_send(lease);
    })?;
    Ok((duty, returned_lease))
}
