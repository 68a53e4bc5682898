//! Looks at the site while it runs: budgets, reverted documents, idle capacity,
//! moves.

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

use crate::site::Running;

/// Pause between looks.
const PERIOD: Duration = Duration::from_millis(20);
/// Time after which a planner has to know that a host is down.
const DETECTION: Duration = Duration::from_secs(3);

/// What was seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    pub(crate) budget_breaches: u64,
    pub(crate) reverted_documents: u64,
    pub(crate) host_moves: u64,
    idle: f64,
    owned: f64,
}

impl Seen {
    /// Returns the share of the pools' capacity that was held idle.
    pub(crate) fn buffer_cost(&self) -> f64 {
        if self.owned == 0.0 { 0.0 } else { self.idle / self.owned }
    }
}

#[derive(Default)]
struct State {
    seen: Seen,
    disrupted: BTreeMap<name::Service, BTreeSet<name::Host>>,
    revisions: BTreeMap<(usize, name::Service), Revision>,
    pools: BTreeMap<name::Host, name::Pool>,
    down_since: BTreeMap<name::Host, Instant>,
}

/// A running sampler.
pub(crate) struct Sampler {
    seen: Arc<Mutex<Seen>>,
    stop: StopSignal,
    duty: Duty,
}

impl Sampler {
    /// Starts to look.
    pub(crate) fn start(site: &Arc<Running>) -> std::io::Result<Sampler> {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let stop = StopSignal::default();
        let (site, shared, stopped) = (Arc::clone(site), Arc::clone(&seen), stop.clone());
        let duty = Duty::spawn("sampler", move || {
            let mut state = State::default();
            while !stopped.sleep(PERIOD) {
                state.look(&site);
                *shared.lock().unwrap_or_else(PoisonError::into_inner) = state.seen.clone();
            }
        })?;
        Ok(Sampler { seen, stop, duty })
    }

    /// Stops looking; returns what was seen.
    pub(crate) fn stop(self) -> Seen {
        self.stop.request();
        self.duty.join();
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl State {
    fn look(&mut self, site: &Running) {
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
        self.look_at_down(site);
        for document in &documents {
            self.look_at_budget(document, &hosts);
        }
        self.look_at_moves(&hosts);
        self.look_at_capacity(site, &documents, &hosts);
        for (index, (_, _, view)) in site.entries().iter().enumerate() {
            self.look_at_view(index, view);
        }
    }

    fn look_at_down(&mut self, site: &Running) {
        for (host, worker) in &site.stand_ins.workers {
            match worker.boot_state().0 {
                true => drop(self.down_since.remove(host)),
                false => drop(self.down_since.entry(host.clone()).or_insert_with(Instant::now)),
            }
        }
    }

    /// A breach is a new voluntary disruption that leaves more hosts of the
    /// service unavailable than its document allows.
    fn look_at_budget(
        &mut self,
        document: &document::Settings,
        hosts: &BTreeMap<name::Host, Ownership>,
    ) {
        let of_pool = hosts.iter().filter(|(_, host)| host.pool() == Some(&document.pool));
        let mut disrupted = BTreeSet::new();
        let mut unavailable = BTreeSet::new();
        for (host, ownership) in of_pool {
            let is_disrupted = matches!(
                ownership.phase,
                Phase::Maintenance { .. }
                    | Phase::Leaving { cause: Cause::Wave(_) | Cause::Drain, .. }
            );
            let is_known_down =
                self.down_since.get(host).is_some_and(|since| since.elapsed() > DETECTION);
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
            self.seen.budget_breaches += 1;
        }
    }

    fn look_at_moves(&mut self, hosts: &BTreeMap<name::Host, Ownership>) {
        for (host, ownership) in hosts {
            let Phase::Active { pool } = &ownership.phase else { continue };
            let before = self.pools.insert(host.clone(), pool.clone());
            if before.is_some_and(|before| before != *pool) {
                self.seen.host_moves += 1;
            }
        }
    }

    fn look_at_capacity(
        &mut self,
        site: &Running,
        documents: &[document::Settings],
        hosts: &BTreeMap<name::Host, Ownership>,
    ) {
        let serving: BTreeSet<&name::Pool> =
            documents.iter().filter(|document| !document.is_spare).map(|d| &d.pool).collect();
        for (host, worker) in &site.stand_ins.workers {
            let pool = hosts.get(host).and_then(Ownership::pool);
            if pool.is_some_and(|pool| serving.contains(pool)) {
                let slots = site.settings.slots_per_worker;
                self.seen.owned += f64::from(slots);
                self.seen.idle += f64::from(slots.saturating_sub(worker.running_count()));
            }
        }
    }

    fn look_at_view(&mut self, index: usize, view: &Handle) {
        for (service, document) in &view.get().documents {
            let before = self.revisions.insert((index, service.clone()), document.revision);
            if before.is_some_and(|before| before > document.revision) {
                self.seen.reverted_documents += 1;
            }
        }
    }
}
