//! Samples the running site: budget breaches, reverted documents, host moves and
//! idle capacity.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use skylarkwick_connection::platform::row::{self, DOCUMENT, HOST};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    view::Handle,
};
use skylarkwick_version::{
    document,
    host::{Cause, Ownership, Phase},
    name,
    revision::Revision,
};

use crate::site::RunningSite;

/// Interval between two samples of the site.
const PERIOD: Duration = Duration::from_millis(20);
/// Time from a host's failure within which planners must detect that it is down; until
/// then it does not count as unavailable.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Totals over all samples: budget breaches, reverted documents, host moves, and the
/// slots of the non-spare pools with the idle ones among them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples {
    pub(crate) budget_breaches: u64,
    pub(crate) reverted_documents: u64,
    pub(crate) host_moves: u64,
    idle_slots: f64,
    owned_slots: f64,
}

impl Samples {
    /// Returns the idle share of the non-spare pools' slots over all samples, or 0
    /// before the first.
    pub(crate) fn buffer_cost(&self) -> f64 {
        if self.owned_slots == 0.0 { 0.0 } else { self.idle_slots / self.owned_slots }
    }
}

/// Totals so far, and what the last sample found for comparison with the next:
/// disrupted hosts, revisions of documents, pools of hosts, and since when hosts are
/// down.
#[derive(Default)]
struct State {
    samples: Samples,
    /// Hosts of each service's pool that a wave or a drain disrupts.
    disrupted: BTreeMap<name::Service, BTreeSet<name::Host>>,
    /// Revision of each service's document in each entry host's view.
    revisions: BTreeMap<(usize, name::Service), Revision>,
    /// Pool in which each host was last active.
    pools: BTreeMap<name::Host, name::Pool>,
    /// Since when each host that is down was seen down.
    down_since: BTreeMap<name::Host, Instant>,
}

/// Handle to the sampler thread; holds the totals so far.
pub(crate) struct Sampler {
    samples: Arc<Mutex<Samples>>,
    stop: StopSignal,
    duty: Duty,
}

impl Sampler {
    /// Starts the sampler thread, which samples the site until it is stopped.
    pub(crate) fn start(site: &Arc<RunningSite>) -> std::io::Result<Sampler> {
        let samples = Arc::new(Mutex::new(Samples::default()));
        let stop = StopSignal::default();
        let (site, shared, stopped) = (Arc::clone(site), Arc::clone(&samples), stop.clone());
        let duty = Duty::spawn("sampler", move || {
            let mut state = State::default();
            while !stopped.sleep(PERIOD) {
                state.sample(&site);
                *shared.lock().unwrap_or_else(PoisonError::into_inner) = state.samples.clone();
            }
        })?;
        Ok(Sampler { samples, stop, duty })
    }

    /// Stops the sampler; returns the totals.
    pub(crate) fn stop(self) -> Samples {
        self.stop.request();
        self.duty.join();
        self.samples.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl State {
    /// Takes one sample: reads documents and hosts regardless of injected platform
    /// faults, and adds what it finds to the totals.
    fn sample(&mut self, site: &RunningSite) {
        let table = &site.stand_ins.platform.table;
        let documents: Vec<document::Settings> = table
            .peek(DOCUMENT)
            .iter()
            .filter_map(|row| row::decode::<row::Document, document::Settings>(row).ok().flatten())
            .collect();
        let hosts: BTreeMap<name::Host, Ownership> = table
            .peek(HOST)
            .iter()
            .filter_map(|row| {
                let host = name::Host::try_from(row.key.after(HOST)?).ok()?;
                Some((host, row::decode::<row::Host, Ownership>(row).ok()??))
            })
            .collect();
        self.track_down_hosts(site);
        for document in &documents {
            self.check_budget(document, &hosts);
        }
        self.count_moves(&hosts);
        self.measure_capacity(site, &documents, &hosts);
        for (index, (_, _, view)) in site.entries().iter().enumerate() {
            self.check_revisions(index, view);
        }
    }

    /// Records since when each host is down, and drops the hosts that are up again.
    fn track_down_hosts(&mut self, site: &RunningSite) {
        for (host, worker) in &site.stand_ins.workers {
            match worker.boot_state().0 {
                true => drop(self.down_since.remove(host)),
                false => drop(self.down_since.entry(host.clone()).or_insert_with(Instant::now)),
            }
        }
    }

    /// Counts a breach if a host of the service's pool is newly disrupted by a wave or
    /// a drain, and more hosts are then unavailable than the document allows. Hosts
    /// known to be down count as unavailable.
    fn check_budget(
        &mut self,
        document: &document::Settings,
        hosts: &BTreeMap<name::Host, Ownership>,
    ) {
        let pool_hosts = hosts.iter().filter(|(_, host)| host.pool() == Some(&document.pool));
        let mut disrupted = BTreeSet::new();
        let mut unavailable = BTreeSet::new();
        for (host, ownership) in pool_hosts {
            let is_disrupted = matches!(
                ownership.phase,
                Phase::Maintenance { .. }
                    | Phase::Leaving { cause: Cause::Wave(_) | Cause::Drain, .. }
            );
            let is_known_down =
                self.down_since.get(host).is_some_and(|since| since.elapsed() > DETECTION_TIME);
            if is_disrupted {
                disrupted.insert(host.clone());
            }
            if is_disrupted || is_known_down {
                unavailable.insert(host.clone());
            }
        }
        let before = self.disrupted.insert(document.service.clone(), disrupted.clone());
        let is_new = !disrupted.is_subset(&before.unwrap_or_default());
        if is_new && unavailable.len() as u32 > document.max_unavailable {
            self.samples.budget_breaches += 1;
        }
    }

    /// Counts the hosts that are active in another pool than the last pool they were
    /// active in.
    fn count_moves(&mut self, hosts: &BTreeMap<name::Host, Ownership>) {
        for (host, ownership) in hosts {
            let Phase::Active { pool } = &ownership.phase else { continue };
            let before = self.pools.insert(host.clone(), pool.clone());
            if before.is_some_and(|before| before != *pool) {
                self.samples.host_moves += 1;
            }
        }
    }

    /// Adds the slots of the hosts that non-spare pools own, and the idle ones among
    /// them, to the totals.
    fn measure_capacity(
        &mut self,
        site: &RunningSite,
        documents: &[document::Settings],
        hosts: &BTreeMap<name::Host, Ownership>,
    ) {
        let serving: BTreeSet<&name::Pool> =
            documents.iter().filter(|document| !document.is_spare).map(|d| &d.pool).collect();
        for (host, worker) in &site.stand_ins.workers {
            let pool = hosts.get(host).and_then(Ownership::pool);
            if pool.is_some_and(|pool| serving.contains(pool)) {
                let slots = site.settings.slots_per_worker;
                self.samples.owned_slots += f64::from(slots);
                self.samples.idle_slots += f64::from(slots.saturating_sub(worker.running_count()));
            }
        }
    }

    /// Counts the documents that have an older revision in an entry host's view than
    /// before; `index` is the position of the entry host among those that run.
    fn check_revisions(&mut self, index: usize, view: &Handle) {
        for (service, document) in &view.get().documents {
            let before = self.revisions.insert((index, service.clone()), document.revision);
            if before.is_some_and(|before| before > document.revision) {
                self.samples.reverted_documents += 1;
            }
        }
    }
}
