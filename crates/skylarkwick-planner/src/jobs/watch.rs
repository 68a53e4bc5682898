//! Duties that follow the store and the platform's lists, and renew the lease.

use std::{collections::BTreeMap, io, time::Duration};

use skylarkwick_connection::{
    control::{Hosts, Registry},
    store::{
        self, Feed, Page, Store, TableReader,
        keyspace::{self, Keyspace},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::shard::input::{ServerId, ServerInfo};
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
/// Number of shards up to which the lists are read at their full rate.
const FULL_RATE_SHARDS: u32 = 4;
/// Factor by which the pauses between two lists grow at most.
const MAX_PERIOD_FACTOR: u32 = 4;
/// Number of lists after an error that may lack a server in a row before it counts as gone;
/// they take two seconds, within which entries that expired during an outage are back.
const MAX_LACKING_LISTS: u32 = 8;
/// Pause between two listings of the hosts.
const HOST_PERIOD: Duration = Duration::from_millis(500);
/// Pause before each renewal of the lease, counted from the end of the previous one.
const RENEWAL_PERIOD: Duration = Duration::from_millis(500);

/// Starts the duty that follows changes of the shard's jobs after `revision`, and sends an
/// [`Event::JobAdded`] or [`Event::JobRemoved`] for each changed row until the stop signal.
/// Invalid rows are skipped. If the store has compacted the changes, all rows are read and
/// sent again.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn jobs<S: Store>(
    store: S,
    keyspace: Keyspace,
    mut revision: Revision,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("jobs", move || {
        let mut reader = None;
        while !stop.is_requested() {
            let page = match next_jobs(&store, keyspace, revision, &mut reader) {
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
                let event = match load::decode_job(row, keyspace, page.now_ms, &log) {
                    Some(StoredJob::Active(accepted)) => Event::JobAdded(accepted),
                    Some(StoredJob::Finished(key)) => Event::JobRemoved(key),
                    Some(StoredJob::Removed(key)) => Event::JobForgotten(key),
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
    keyspace: Keyspace,
    revision: Revision,
    reader: &mut Option<TableReader>,
) -> Result<Page, store::Error> {
    let mut begun = match reader.take() {
        Some(begun) => begun,
        None => match store.feed(keyspace::JOBS, revision, MAX_WAIT)? {
            Feed::Changed(page) => return Ok(page),
            Feed::Compacted => {
                TableReader::with_part_suffix(keyspace::JOBS, &keyspace.part_suffix())
            }
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

/// Starts the duty that lists the backend servers, with a pause of [`SERVER_PERIOD`] in
/// between (longer on a divided site, see [`list_period`]), and sends those of the shard to
/// `events`, until the stop signal. The first list after an error is completed from the earlier
/// ones, see [`ServerList::complete`].
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn servers<D: Registry>(
    registry: D,
    keyspace: Keyspace,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("servers", move || {
        let mut list = ServerList::default();
        let mut has_failed = false;
        loop {
            match registry.servers() {
                Ok(mut servers) => {
                    servers.retain(|info| keyspace.owns(owned_name(info)));
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
            if stop.sleep(list_period(SERVER_PERIOD, keyspace)) {
                return;
            }
        }
    })
}

/// Returns the pause between two lists of the whole site: longer the more shards read them,
/// because all share the platform's limit of readings.
fn list_period(period: Duration, keyspace: Keyspace) -> Duration {
    let factor = keyspace.sharding().count().div_ceil(FULL_RATE_SHARDS);
    period * factor.min(MAX_PERIOD_FACTOR)
}

/// Returns the name that decides to which shard a server belongs: its host's, which it shares
/// with earlier and later servers there, or its own if the platform names no host.
pub(super) fn owned_name(info: &ServerInfo) -> &str {
    info.host.as_ref().map_or(&info.id.0, |host| &host.0)
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

/// Starts the duty that lists the hosts, with a pause of [`HOST_PERIOD`] in between (longer
/// on a divided site, see [`list_period`]), and sends those of the shard to `events`, until the
/// stop signal. A failed listing is only logged.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn hosts<H: Hosts>(
    hosts: H,
    keyspace: Keyspace,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("hosts", move || {
        while !stop.is_requested() {
            let requested = Boot.now();
            let is_closed = match hosts.hosts() {
                Ok(mut list) => {
                    list.retain(|host| keyspace.owns(&host.id.0));
                    !send(&events, Event::HostsListed(list, requested))
                }
                Err(error) => {
                    warn!(log, "hosts not listed"; "error" => %error);
                    false
                }
            };
            if is_closed || stop.sleep(list_period(HOST_PERIOD, keyspace)) {
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
