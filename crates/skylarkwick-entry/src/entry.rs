//! Starts and stops the duties of an entry host.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::{
    backend::http::Backend, listen::listen, peer, platform::http::Platform,
};
use skylarkwick_process::{
    clock::Monotonic,
    duty::{Duty, StopSignal},
    metrics,
    program::StartError,
    ring,
    settings::{process::Settings, site},
    view::Handle,
};
use skylarkwick_version::name;
use slog::{Logger, info};

use crate::{
    api::{API_THREADS, Api},
    claims, dispatch, executor,
    identity::Identity,
    membership::Membership,
    peers, view, writer,
};

/// Capacity of the rings of the dispatch and claims duties, in events.
const RING_CAPACITY: usize = 1024;
/// Maximum number of executors, and so of attempts in progress at this entry host.
const MAX_EXECUTORS: usize = 512;
/// Executors beyond the slots of the data centre, for attempts whose slot the worker
/// has already freed while the executor still waits for the answer.
const EXTRA_EXECUTORS: usize = 16;
/// Interval at which a stopping entry host checks whether requests are still in progress.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Minimum time for which a stopping entry host keeps answering, counted from the request
/// to stop, so that the platform sees that it is no longer ready.
const READINESS_DELAY: Duration = Duration::from_millis(300);

/// Addresses that an entry host listens on for callers and for peers, with the ports actually
/// bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// A running entry host: its duties, its addresses and its view. Dropping it does not stop
/// the duties; call [`EntryHost::stop`] or [`EntryHost::abort`].
#[derive(Debug)]
pub struct EntryHost {
    /// Name of the entry host.
    pub name: name::Entry,
    /// Addresses that it listens on.
    pub addresses: Addresses,
    /// Handle to its current view of documents and hosts.
    pub view: Handle,
    is_stopping: Arc<AtomicBool>,
    in_progress: Arc<AtomicUsize>,
    stop: StopSignal,
    duties: Vec<Duty>,
    log: Logger,
}

impl EntryHost {
    /// Starts the duties of an entry host and its servers for callers and peers. It is not
    /// ready until the view duty has read documents.
    ///
    /// # Errors
    ///
    /// Returns an error that names the part which could not be started, such as a server
    /// whose address is in use.
    ///
    /// # Panics
    ///
    /// Panics if the site does not list the entry host of the settings.
    pub fn start(settings: &Settings, log: &Logger) -> Result<EntryHost, StartError> {
        let fail = |part| move |error| StartError::new("entry", &settings.entry, part, error);
        let site = &settings.site;
        let Some(host) = site.entries.get(&settings.entry) else {
            unreachable!("process settings name an entry host that their site lists");
        };
        let stop = StopSignal::default();
        let clock = Monotonic::default();
        let identity = Identity::new(settings.entry.clone(), host.data_centre.clone());
        let statsd = metrics::client(settings.statsd, settings.entry.as_str());
        let statsd = statsd.map_err(fail("metrics"))?;
        let platform = Platform::new(site.platform, host.data_centre.clone());

        let view_handle = Handle::default();
        let rows = view::Rows::default();
        let excluded_hosts = dispatch::ExcludedHosts::default();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let is_platform_unreachable = Arc::new(AtomicBool::new(false));
        let (dispatch_ring, dispatch_input) = ring::bounded(RING_CAPACITY);
        let (claims_ring, claims_input) = ring::bounded(RING_CAPACITY);
        let (writer_ring, writer_input) = ring::bounded(1);
        let (peer_rows_ring, peer_rows_input) = ring::bounded(4);
        let mut duties = Vec::new();

        let executors =
            executor::start(executor_count(site, host), &Backend::default(), &dispatch_ring)
                .map_err(fail("executors"))?;
        let dispatcher = dispatch::Duty::new(
            clock,
            host.data_centre.clone(),
            executors,
            claims_ring.clone(),
            Arc::clone(&excluded_hosts),
            statsd.clone(),
        );
        let dispatch_stop = stop.clone();
        let dispatcher =
            Duty::spawn("dispatch", move || dispatcher.run(&dispatch_input, &dispatch_stop));
        duties.push(dispatcher.map_err(fail("dispatch"))?);

        let claims =
            claims::Duty::new(identity.clone(), writer_ring, dispatch_ring.clone(), statsd.clone());
        let claims_stop = stop.clone();
        let claims = Duty::spawn("claims", move || claims.run(&claims_input, &claims_stop));
        duties.push(claims.map_err(fail("claims"))?);
        let (table, writer_results) = (platform.clone(), claims_ring.clone());
        let writer_duty =
            Duty::spawn("writer", move || writer::run(&table, &writer_input, &writer_results));
        duties.push(writer_duty.map_err(fail("writer"))?);

        let view_duty = view::Duty {
            platform,
            data_centre: host.data_centre.clone(),
            view_handle: view_handle.clone(),
            rows: rows.clone(),
            is_platform_unreachable: Arc::clone(&is_platform_unreachable),
            dispatch: dispatch_ring.clone(),
            log: log.clone(),
        };
        let view_stop = stop.clone();
        let view_duty = Duty::spawn("view", move || view_duty.run(&peer_rows_input, &view_stop));
        duties.push(view_duty.map_err(fail("view"))?);

        let handler = Arc::new(peers::Handler {
            identity: identity.clone(),
            clock,
            view_handle: view_handle.clone(),
            rows,
            membership: Arc::new(Mutex::new(Membership::default())),
            excluded_hosts,
            is_stopping: Arc::clone(&is_stopping),
            claims: claims_ring.clone(),
            dispatch: dispatch_ring.clone(),
        });
        let (peer_address, peer_server) =
            peer::server::listen(host.peer_address, Arc::clone(&handler), stop.clone())
                .map_err(fail("peer server"))?;
        duties.push(peer_server);
        let peers_duty = peers::Duty {
            handler,
            peers: site.entries.clone(),
            is_platform_unreachable,
            peer_rows: peer_rows_ring,
        };
        let peers_stop = stop.clone();
        let peers_duty = Duty::spawn("peers", move || peers_duty.run(&peers_stop));
        duties.push(peers_duty.map_err(fail("peers"))?);

        let in_progress = Arc::new(AtomicUsize::new(0));
        let api = Api {
            identity,
            view_handle: view_handle.clone(),
            dispatch: dispatch_ring,
            claims: claims_ring,
            peer_addresses: Arc::new(peer_addresses(site)),
            is_stopping: Arc::clone(&is_stopping),
            in_progress: Arc::clone(&in_progress),
            metrics: statsd,
        };
        let (caller_address, caller_server) = listen(
            "door",
            host.caller_address,
            API_THREADS,
            move |request| api.handle(request),
            log,
            stop.clone(),
        )
        .map_err(fail("caller API"))?;
        duties.push(caller_server);

        let addresses = Addresses { caller: caller_address, peer: peer_address };
        info!(log, "entry host up"; "entry" => %settings.entry,
            "caller" => %addresses.caller, "peer" => %addresses.peer);
        Ok(EntryHost {
            name: settings.entry.clone(),
            addresses,
            view: view_handle,
            is_stopping,
            in_progress,
            stop,
            duties,
            log: log.clone(),
        })
    }

    /// Refuses new requests, waits without a limit for those in progress, and stops the
    /// duties. Takes at least 300 milliseconds.
    pub fn stop(self) {
        self.is_stopping.store(true, Ordering::Release);
        info!(self.log, "entry host stopping"; "entry" => %self.name,
            "in-progress" => self.in_progress.load(Ordering::Acquire));
        std::thread::sleep(READINESS_DELAY);
        while self.in_progress.load(Ordering::Acquire) > 0 {
            std::thread::sleep(DRAIN_POLL_PERIOD);
        }
        self.abort();
    }

    /// Stops the duties without letting requests in progress complete, and waits until their
    /// threads have ended.
    pub fn abort(self) {
        self.is_stopping.store(true, Ordering::Release);
        self.stop.request();
        for duty in self.duties {
            duty.join();
        }
    }
}

/// Returns the number of executors to start: the slots of the data centre's workers and
/// [`EXTRA_EXECUTORS`], up to [`MAX_EXECUTORS`].
fn executor_count(site: &site::Settings, host: &site::EntryHost) -> usize {
    let local_workers =
        site.workers.values().filter(|worker| worker.data_centre == host.data_centre);
    (local_workers.count() * site.slots_per_worker as usize + EXTRA_EXECUTORS).min(MAX_EXECUTORS)
}

/// Returns the peer address of each entry host of the site, including this one.
fn peer_addresses(site: &site::Settings) -> BTreeMap<name::Entry, SocketAddr> {
    site.entries.iter().map(|(entry, host)| (entry.clone(), host.peer_address)).collect()
}
