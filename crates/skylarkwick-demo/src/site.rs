//! Runs all processes of a site as threads of one process.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use skylarkwick_entry::EntryHost;
use skylarkwick_planner::Planner;
use skylarkwick_process::{
    duty::StopSignal,
    log::Format,
    program::StartError,
    settings::{self, process, read_source, site},
    view::Handle,
};
use skylarkwick_stand_in::{
    relay::Relay,
    site::{Addresses, Site, StartOptions},
    worker::Faults,
};
use skylarkwick_version::{
    document::{self, Options},
    name,
    source::{Diagnostic, Source},
};
use slog::Logger;

/// Simulated reboot time of a worker.
const REBOOT_TIME: Duration = Duration::from_millis(400);
/// Number of hosts affected by faults of single workers.
const FAULTY_HOST_COUNT: usize = 2;

/// Error that ends the demo without a report.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Settings(#[from] settings::Error),
    #[error(transparent)]
    Diagnostic(#[from] Diagnostic),
    #[error(
        "cannot read {path}: {error}; run in the parent directory of `examples`, or pass its path with --examples"
    )]
    Directory {
        path: PathBuf,
        #[source]
        error: std::io::Error,
    },
    #[error("cannot start the fake platform and workers: {0}")]
    StandIns(#[from] std::io::Error),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("{0}")]
    Run(String),
}

/// A site's settings, and its documents with their sources.
#[derive(Debug)]
pub(crate) struct Config {
    pub(crate) settings: site::Settings,
    pub(crate) documents: Vec<(Source, Arc<document::Settings>)>,
}

impl Config {
    /// Reads and validates the settings of a site and all documents in its directory.
    pub(crate) fn load(directory: &Path) -> Result<Config, Error> {
        let settings = site::Settings::load(&read_source(&directory.join("site.toml"))?)?;
        let read_error = |error| Error::Directory { path: directory.to_owned(), error };
        let mut paths = Vec::new();
        for file in fs::read_dir(directory).map_err(read_error)? {
            let path = file.map_err(read_error)?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if name.ends_with(".toml") && !["site.toml", "entry.toml"].contains(&name) {
                paths.push(path);
            }
        }
        paths.sort();
        let documents = paths.iter().map(|path| {
            let source = read_source(path)?;
            let document = Arc::new(Options::load(&source)?);
            Ok((source, document))
        });
        Ok(Config { settings, documents: documents.collect::<Result<_, Error>>()? })
    }

    /// Returns the documents, highest priority first, then by service.
    pub(crate) fn services(&self) -> Vec<Arc<document::Settings>> {
        let mut services: Vec<_> =
            self.documents.iter().map(|(_, document)| Arc::clone(document)).collect();
        services.sort_by_key(|document| (document.priority, document.service.clone()));
        services
    }
}

/// A running site: its settings, the fake platform and workers, its entry hosts and
/// planners, and the relays through which entry hosts reach each other and planners
/// reach the platform.
pub(crate) struct RunningSite {
    pub(crate) settings: site::Settings,
    pub(crate) stand_ins: Site,
    pub(crate) peer_relays: BTreeMap<name::Entry, Relay>,
    pub(crate) maintained_pool: name::Pool,
    platform_relays: BTreeMap<name::Entry, Relay>,
    entries: Mutex<BTreeMap<name::Entry, EntryHost>>,
    planners: Mutex<BTreeMap<name::Entry, Planner>>,
    stop: StopSignal,
    log: Logger,
}

impl RunningSite {
    /// Starts the fake platform and workers, the entry hosts and the planners of a
    /// site. `has_relays` places a relay in front of each worker as well.
    pub(crate) fn start(
        settings: &site::Settings,
        maintained_pool: name::Pool,
        has_relays: bool,
        log: &Logger,
    ) -> Result<RunningSite, Error> {
        let options =
            StartOptions { addresses: Addresses::Ephemeral, reboot_time: REBOOT_TIME, has_relays };
        let stand_ins = Site::start(settings, options)?;
        let stop = StopSignal::default();
        let mut settings = settings.clone();
        let mut peer_relays = BTreeMap::new();
        let mut platform_relays = BTreeMap::new();
        for (entry, host) in &mut settings.entries {
            let relay = Relay::start(settings.latency_between_data_centres, stop.clone())?;
            host.peer_address = relay.address;
            peer_relays.insert(entry.clone(), relay);
            let relay = Relay::start(Duration::ZERO, stop.clone())?;
            relay.set_target(stand_ins.platform_address);
            platform_relays.insert(entry.clone(), relay);
        }
        let running = RunningSite {
            settings,
            stand_ins,
            peer_relays,
            maintained_pool,
            platform_relays,
            entries: Mutex::default(),
            planners: Mutex::default(),
            stop,
            log: log.clone(),
        };
        for entry in running.settings.entries.keys() {
            running.start_entry(entry)?;
            running.start_planner(entry)?;
        }
        Ok(running)
    }

    /// Returns the name, caller address and view of each entry host.
    pub(crate) fn entries(&self) -> Vec<(name::Entry, SocketAddr, Handle)> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let describe = |(name, entry): (&name::Entry, &EntryHost)| {
            (name.clone(), entry.addresses.caller, entry.view.clone())
        };
        entries.iter().map(describe).collect()
    }

    /// Applies a change to the faults of the workers on `hosts`, one after the other.
    pub(crate) fn update_worker_faults(
        &self,
        hosts: &BTreeSet<name::Host>,
        change: impl Fn(&mut Faults),
    ) {
        for (_, worker) in self.stand_ins.workers.iter().filter(|(host, _)| hosts.contains(*host)) {
            worker.update_faults(&change);
        }
    }

    /// Sets whether the workers on `hosts` report that they are leaving; leaving ones
    /// reject new tasks.
    pub(crate) fn set_leaving(&self, hosts: &BTreeSet<name::Host>, is_leaving: bool) {
        for (_, worker) in self.stand_ins.workers.iter().filter(|(host, _)| hosts.contains(*host)) {
            worker.set_leaving(is_leaving);
        }
    }

    /// Returns the hosts affected by faults of single workers: the first by name.
    pub(crate) fn faulty_hosts(&self) -> BTreeSet<name::Host> {
        self.stand_ins.workers.keys().take(FAULTY_HOST_COUNT).cloned().collect()
    }

    /// Returns the hosts in the rack of the first host by name.
    pub(crate) fn first_rack(&self) -> BTreeSet<name::Host> {
        let workers = &self.settings.workers;
        let rack = workers.values().next().map(|worker| worker.rack.clone());
        let is_in_rack = |worker: &site::Worker| Some(&worker.rack) == rack.as_ref();
        workers.iter().filter(|(_, w)| is_in_rack(w)).map(|(host, _)| host.clone()).collect()
    }

    /// Returns the first data centre of the site by name.
    pub(crate) fn first_data_centre(&self) -> name::DataCentre {
        self.settings.data_centres().remove(0)
    }

    /// Returns the last host by name that serves the maintained pool in the first entry
    /// host's view, or an empty set if there is none.
    pub(crate) fn maintained_host(&self) -> BTreeSet<name::Host> {
        let entries = self.entries();
        let Some((_, _, view)) = entries.first() else { return BTreeSet::new() };
        let view = view.get();
        let mut pool_hosts =
            view.hosts.iter().filter(|(_, host)| host.ownership.serves(&self.maintained_pool));
        pool_hosts.next_back().map(|(host, _)| host.clone()).into_iter().collect()
    }

    /// Stops the first entry host gracefully and starts a new one under its name, at
    /// another address for callers. If the restart fails, the entry host stays missing.
    pub(crate) fn replace_entry(&self) {
        let replaced = {
            let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
            entries.pop_first()
        };
        if let Some((name, entry)) = replaced {
            entry.stop();
            // If the restart fails, the entry host stays missing.
            let _ = self.start_entry(&name);
        }
    }

    /// Stops the planners of the first data centre without releasing their lease, which
    /// has to expire, and starts new ones under their names.
    pub(crate) fn replace_planner(&self) {
        let data_centre = self.first_data_centre();
        let is_local =
            |entry: &name::Entry| self.settings.entries[entry].data_centre == data_centre;
        let names: Vec<name::Entry> =
            self.settings.entries.keys().filter(|entry| is_local(entry)).cloned().collect();
        for name in names {
            let planner = {
                let mut planners = self.planners.lock().unwrap_or_else(PoisonError::into_inner);
                planners.remove(&name)
            };
            if let Some(planner) = planner {
                planner.abort();
                // If the restart fails, the planner stays missing.
                let _ = self.start_planner(&name);
            }
        }
    }

    /// Freezes or resumes the connections of the first planner to the platform, so that
    /// its writes arrive late.
    pub(crate) fn pause_planner(&self, is_paused: bool) {
        if let Some(relay) = self.platform_relays.values().next() {
            match is_paused {
                true => relay.freeze(),
                false => relay.resume(),
            }
        }
    }

    /// Stops the planners, aborts the entry hosts, and stops the relays and the fakes.
    pub(crate) fn stop(self) {
        let planners = self.planners.into_inner().unwrap_or_else(PoisonError::into_inner);
        for planner in planners.into_values() {
            planner.stop();
        }
        let entries = self.entries.into_inner().unwrap_or_else(PoisonError::into_inner);
        for entry in entries.into_values() {
            entry.abort();
        }
        self.stop.request();
        self.stand_ins.stop();
    }

    /// Starts the entry host `name` on free ports and points its peer relay to it.
    fn start_entry(&self, name: &name::Entry) -> Result<(), Error> {
        let mut settings = self.process_settings(name, self.stand_ins.platform_address);
        if let Some(host) = settings.site.entries.get_mut(name) {
            host.caller_address = SocketAddr::from(([127, 0, 0, 1], 0));
            host.peer_address = SocketAddr::from(([127, 0, 0, 1], 0));
        }
        let entry = EntryHost::start(&settings, &self.log)?;
        if let Some(relay) = self.peer_relays.get(name) {
            relay.set_target(entry.addresses.peer);
        }
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).insert(name.clone(), entry);
        Ok(())
    }

    /// Starts the planner of the entry host `name`, which reaches the platform through
    /// its relay.
    fn start_planner(&self, name: &name::Entry) -> Result<(), Error> {
        let platform = self.platform_relays.get(name).map(|relay| relay.address);
        let settings =
            self.process_settings(name, platform.unwrap_or(self.stand_ins.platform_address));
        let planner = Planner::start(&settings, &self.log)?;
        self.planners.lock().unwrap_or_else(PoisonError::into_inner).insert(name.clone(), planner);
        Ok(())
    }

    /// Returns the settings of a process of the entry host `name` that uses the
    /// platform at the given address.
    fn process_settings(&self, name: &name::Entry, platform: SocketAddr) -> process::Settings {
        let mut site = self.settings.clone();
        site.platform = platform;
        process::Settings {
            entry: name.clone(),
            site,
            log_format: Format::Human,
            log_level: slog::Level::Info,
            statsd: None,
        }
    }
}
