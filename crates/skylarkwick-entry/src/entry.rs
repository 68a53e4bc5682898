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
    claims, dispatch,
    door::{DOOR_THREADS, Door},
    identity::Identity,
    membership::Membership,
    peers, sender, view, writer,
};

/// Events that wait for the dispatch or the claims duty.
const RING_CAPACITY: usize = 1024;
/// Most attempts in progress at once.
const MAX_SENDERS: usize = 512;
/// Senders beyond the slots of the data centre, for attempts that end slowly.
const EXTRA_SENDERS: usize = 16;
/// How often a stopping entry host looks whether every request was replied to.
const DRAIN_PERIOD: Duration = Duration::from_millis(20);
/// Time for which a stopping entry host stays up after its last request, so
/// that the balancer has seen its readiness go off.
const LINGER: Duration = Duration::from_millis(300);

/// Where an entry host really listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
}

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    /// Its name.
    pub name: name::Entry,
    /// Where it listens.
    pub addresses: Addresses,
    /// Its view.
    pub view: Handle,
    is_stopping: Arc<AtomicBool>,
    in_progress: Arc<AtomicUsize>,
    stop: StopSignal,
    duties: Vec<Duty>,
    log: Logger,
}

impl EntryHost {
    /// Starts the duties of an entry host.
    ///
    /// # Errors
    ///
    /// Returns which part could not be started, and why.
    pub fn start(settings: &Settings, log: &Logger) -> Result<EntryHost, StartError> {
        let fail = |part| move |error| StartError::new("entry", &settings.entry, part, error);
        let site = &settings.site;
        let Some(host) = site.entries.get(&settings.entry) else {
            unreachable!("settings name an entry host of their site");
        };
        let stop = StopSignal::default();
        let clock = Monotonic::default();
        let identity = Identity::new(settings.entry.clone(), host.data_centre.clone());
        let statsd = metrics::client(settings.statsd, settings.entry.as_str());
        let statsd = statsd.map_err(fail("metrics"))?;
        let platform = Platform::new(site.platform, host.data_centre.clone());

        let shared = Handle::default();
        let rows = view::Rows::default();
        let leaving = dispatch::Leaving::default();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let platform_is_out = Arc::new(AtomicBool::new(false));
        let (dispatch_ring, dispatch_input) = ring::bounded(RING_CAPACITY);
        let (claims_ring, claims_input) = ring::bounded(RING_CAPACITY);
        let (writer_ring, writer_input) = ring::bounded(1);
        let (view_ring, view_input) = ring::bounded(4);
        let mut duties = Vec::new();

        let senders = sender::start(senders(site, host), &Backend::default(), &dispatch_ring)
            .map_err(fail("senders"))?;
        let dispatching = dispatch::Duty::new(
            clock,
            host.data_centre.clone(),
            senders,
            claims_ring.clone(),
            Arc::clone(&leaving),
            statsd.clone(),
        );
        let dispatch_stop = stop.clone();
        let dispatching =
            Duty::spawn("dispatch", move || dispatching.run(&dispatch_input, &dispatch_stop));
        duties.push(dispatching.map_err(fail("dispatch"))?);

        let claiming =
            claims::Duty::new(identity.clone(), writer_ring, dispatch_ring.clone(), statsd.clone());
        let claims_stop = stop.clone();
        let claiming = Duty::spawn("claims", move || claiming.run(&claims_input, &claims_stop));
        duties.push(claiming.map_err(fail("claims"))?);
        let (table, written) = (platform.clone(), claims_ring.clone());
        let writing = Duty::spawn("writer", move || writer::run(&table, &writer_input, &written));
        duties.push(writing.map_err(fail("writer"))?);

        let viewing = view::Duty {
            platform,
            data_centre: host.data_centre.clone(),
            shared: shared.clone(),
            rows: rows.clone(),
            platform_is_out: Arc::clone(&platform_is_out),
            dispatch: dispatch_ring.clone(),
            log: log.clone(),
        };
        let view_stop = stop.clone();
        let viewing = Duty::spawn("view", move || viewing.run(&view_input, &view_stop));
        duties.push(viewing.map_err(fail("view"))?);

        let handler = Arc::new(peers::Handler {
            identity: identity.clone(),
            clock,
            shared: shared.clone(),
            rows,
            membership: Arc::new(Mutex::new(Membership::default())),
            leaving,
            is_stopping: Arc::clone(&is_stopping),
            claims: claims_ring.clone(),
            dispatch: dispatch_ring.clone(),
        });
        let (peer_address, peer_server) =
            peer::server::listen(host.peer_address, Arc::clone(&handler), stop.clone())
                .map_err(fail("peer server"))?;
        duties.push(peer_server);
        let peering =
            peers::Duty { handler, peers: site.entries.clone(), platform_is_out, view: view_ring };
        let peers_stop = stop.clone();
        let peering = Duty::spawn("peers", move || peering.run(&peers_stop));
        duties.push(peering.map_err(fail("peers"))?);

        let in_progress = Arc::new(AtomicUsize::new(0));
        let door = Door {
            identity,
            shared: shared.clone(),
            dispatch: dispatch_ring,
            claims: claims_ring,
            peers: Arc::new(peer_addresses(site)),
            is_stopping: Arc::clone(&is_stopping),
            in_progress: Arc::clone(&in_progress),
            metrics: statsd,
        };
        let (caller_address, door) = listen(
            "door",
            host.caller_address,
            DOOR_THREADS,
            move |request| door.handle(request),
            stop.clone(),
        )
        .map_err(fail("door"))?;
        duties.push(door);

        let addresses = Addresses { caller: caller_address, peer: peer_address };
        info!(log, "entry host is up"; "entry" => %settings.entry,
            "caller" => %addresses.caller, "peer" => %addresses.peer);
        Ok(EntryHost {
            name: settings.entry.clone(),
            addresses,
            view: shared,
            is_stopping,
            in_progress,
            stop,
            duties,
            log: log.clone(),
        })
    }

    /// Stops the entry host after every request in progress was replied to.
    pub fn stop(self) {
        self.is_stopping.store(true, Ordering::Release);
        info!(self.log, "entry host is stopping"; "entry" => %self.name,
            "in-progress" => self.in_progress.load(Ordering::Acquire));
        std::thread::sleep(LINGER);
        while self.in_progress.load(Ordering::Acquire) > 0 {
            std::thread::sleep(DRAIN_PERIOD);
        }
        self.abort();
    }

    /// Ends the duties without waiting for requests in progress.
    pub fn abort(self) {
        self.is_stopping.store(true, Ordering::Release);
        self.stop.request();
        for duty in self.duties {
            duty.join();
        }
    }
}

fn senders(site: &site::Settings, host: &site::EntryHost) -> usize {
    let near = site.workers.values().filter(|worker| worker.data_centre == host.data_centre);
    (near.count() * site.slots_per_worker as usize + EXTRA_SENDERS).min(MAX_SENDERS)
}

fn peer_addresses(site: &site::Settings) -> BTreeMap<name::Entry, SocketAddr> {
    site.entries.iter().map(|(entry, host)| (entry.clone(), host.peer_address)).collect()
}
