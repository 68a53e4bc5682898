//! Duration of a maintenance wave, compared with its lower bound and with two simple
//! strategies.
//!
//! The product's planning rounds run in virtual time over the hosts of one site.
//! Every host is drained and rebooted. 5% fail their reboot and hold their grant until
//! they are repaired.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkwick_version::{
    budget::{AllChecks, Budget, Decision},
    document::{self, Options},
    host::{self, Cause, Epoch, Ownership, Phase, Report},
    name,
    plan::{HostView, Input, Step, WaveState},
    source::Source,
    wave::{self, State},
};

use crate::rows::{Row, mean};

/// Duration of a reboot that does not fail, in seconds.
const REBOOT_S: f64 = 300.0;
/// Mean duration of a drain, in seconds.
const DRAIN_S: f64 = 60.0;
/// Time by which a failed reboot takes longer, until the host is repaired, in seconds.
const REPAIR_S: f64 = 600.0;
/// Share of hosts that fail their reboot.
const REBOOT_FAILURE_SHARE: f64 = 0.05;
/// Time between two planning rounds, in seconds.
const ROUND_INTERVAL_S: f64 = 1.0;
/// The services of site `pamet`: name, hosts, and hosts that may be unavailable at once.
const PAMET: [(&str, u32, u32); 5] = [
    ("door-notices", 12, 2),
    ("newspaper", 9, 2),
    ("anniversaries", 6, 1),
    ("church-pages", 6, 1),
    ("office", 19, 3),
];
/// The services of site `caroni`: name, hosts, and hosts that may be unavailable at
/// once.
const CARONI: [(&str, u32, u32); 5] = [
    ("retail", 12, 2),
    ("wholesale", 9, 2),
    ("credit-notes", 6, 1),
    ("billing-desk", 6, 1),
    ("audit-exports", 19, 3),
];

/// Measures for each site the duration of a wave and its budget breaches, and computes
/// the lower bound and the two simple strategies.
pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    let mut rows = Vec::new();
    for (site, services) in [("pamet", PAMET), ("caroni", CARONI)] {
        let simulations: Vec<Simulation> =
            seeds.iter().map(|&seed| Simulation::new(&services, seed).run_to_end()).collect();
        let duration =
            mean(&simulations.iter().map(|simulation| simulation.now).collect::<Vec<_>>());
        let breaches: u32 = simulations.iter().map(|simulation| simulation.breaches).sum();
        let host_time = DRAIN_S + REBOOT_S;
        let hosts: u32 = services.iter().map(|(_, hosts, _)| hosts).sum();
        // Services are maintained in parallel, so the slowest sets the bound.
        let bound = services
            .iter()
            .map(|(_, hosts, max_unavailable)| {
                (f64::from(*hosts) / f64::from(*max_unavailable)).ceil() * host_time
            })
            .fold(0.0, f64::max);
        let one_by_one = f64::from(hosts) * host_time;
        let by_tenths = 10.0 * host_time;
        let excess = services
            .iter()
            .map(|(_, hosts, max_unavailable)| hosts.div_ceil(10).saturating_sub(*max_unavailable));
        rows.extend([
            Row::new(format!("{site}: bound"), bound, "s"),
            Row::new(format!("{site}: product"), duration, "s"),
            Row::new(format!("{site}: product, over the bound"), duration / bound, "ratio")
                .at_most(1.25),
            Row::new(format!("{site}: product, budget breaches"), f64::from(breaches), "count")
                .at_most(0.0),
            Row::new(format!("{site}: one host at a time"), one_by_one, "s"),
            Row::new(format!("{site}: a tenth of each pool at a time"), by_tenths, "s"),
            Row::new(
                format!("{site}: a tenth at a time, hosts beyond a budget"),
                f64::from(excess.sum::<u32>()),
                "count",
            ),
        ]);
    }
    rows
}

/// Simulation of one wave over a single data centre that holds the whole site: the
/// planner's input, the times at which drains and reboots end, and the breaches so far.
struct Simulation {
    data_centre: name::DataCentre,
    documents: Vec<Arc<document::Settings>>,
    hosts: BTreeMap<name::Host, HostView>,
    budgets: BTreeMap<name::Service, Budget>,
    waves: Vec<WaveState>,
    /// When each leaving host has finished its drain, in seconds.
    drained_at: BTreeMap<name::Host, f64>,
    /// When each host in maintenance has booted, in seconds.
    booted_at: BTreeMap<name::Host, f64>,
    random: Pcg64Mcg,
    /// Virtual time since the start, in seconds.
    now: f64,
    /// Number of budget breaches: refused grants, and services with too many hosts out
    /// in a round.
    breaches: u32,
}

impl Simulation {
    /// Creates a site of active hosts with one running wave; `services` has the name,
    /// hosts and budget of each.
    fn new(services: &[(&str, u32, u32)], seed: u64) -> Simulation {
        let mut hosts = BTreeMap::new();
        for (service, count, _) in services {
            let pool = name::Pool::try_from(*service).expect("the name is valid");
            for number in 0..*count {
                let ownership =
                    Ownership { epoch: Epoch(1), phase: Phase::Active { pool: pool.clone() } };
                let view = HostView {
                    rack: name::Rack::try_from(format!("r{}", number % 13))
                        .expect("the name is valid"),
                    ownership: Some(ownership),
                    report: Some(Report { epoch: Epoch(1), running: 4, boot: 1 }),
                    is_stopping: false,
                    is_drained: false,
                };
                let host = name::Host::try_from(format!("{service}-{number}"));
                hosts.insert(host.expect("the name is valid"), view);
            }
        }
        let name = name::Wave::try_from("measured").expect("the name is valid");
        let wave = wave::Wave { name, state: State::Running, pool: None };
        Simulation {
            data_centre: name::DataCentre::try_from("here").expect("the name is valid"),
            documents: services.iter().map(document).collect(),
            hosts,
            budgets: BTreeMap::new(),
            waves: vec![WaveState { wave, progress: wave::Progress::default() }],
            drained_at: BTreeMap::new(),
            booted_at: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            breaches: 0,
        }
    }

    /// Plans a round every [`ROUND_INTERVAL_S`] and carries it out, until the wave has
    /// maintained every host.
    fn run_to_end(mut self) -> Simulation {
        while self.waves[0].progress.done.len() < self.hosts.len() {
            self.update_reports();
            let steps = self.plan();
            for step in &steps {
                self.apply(step);
            }
            self.count_breaches();
            self.now += ROUND_INTERVAL_S;
        }
        self
    }

    /// Returns the steps that the product's planner takes in the current state.
    fn plan(&self) -> Vec<Step> {
        let input = Input {
            data_centre: &self.data_centre,
            data_centres: std::slice::from_ref(&self.data_centre),
            documents: &self.documents,
            hosts: &self.hosts,
            budgets: &self.budgets,
            unreachable_hosts: &BTreeMap::new(),
            waves: &self.waves,
        };
        input.plan()
    }

    /// Sets the report of each host to its state at the current time; a host in
    /// maintenance reports nothing until it has booted.
    fn update_reports(&mut self) {
        for (host, view) in &mut self.hosts {
            let Some(ownership) = &view.ownership else { continue };
            let has_drained = self.drained_at.get(host).is_some_and(|at| *at <= self.now);
            let has_booted = self.booted_at.get(host).is_some_and(|at| *at <= self.now);
            view.report = match &ownership.phase {
                Phase::Leaving { .. } => Some(Report {
                    epoch: ownership.epoch,
                    running: u32::from(!has_drained),
                    boot: 1,
                }),
                Phase::Maintenance { .. } => {
                    has_booted.then_some(Report { epoch: ownership.epoch, running: 0, boot: 2 })
                }
                _ => view.report,
            };
        }
    }

    /// Carries out a step of the plan; draws the duration of a drain or a reboot at
    /// random.
    fn apply(&mut self, step: &Step) {
        match step {
            Step::Leave { hosts, cause, granted } => {
                for (service, hosts) in granted {
                    self.grant(service, hosts, cause);
                }
                for host in hosts {
                    let drain_time = self.random.random_range(0.0..2.0 * DRAIN_S);
                    self.drained_at.insert(host.clone(), self.now + drain_time);
                    self.update_ownership(host, |ownership, _| {
                        ownership.begin_leave(cause.clone())
                    });
                }
            }
            Step::Depart(host) => {
                let has_failed = self.random.random_bool(REBOOT_FAILURE_SHARE);
                let reboot_time = REBOOT_S + if has_failed { REPAIR_S } else { 0.0 };
                self.booted_at.insert(host.clone(), self.now + reboot_time);
                self.update_ownership(host, |ownership, report| {
                    ownership.finish_leave::<host::AllChecks>(report)
                });
            }
            Step::Recover(host) => {
                self.update_ownership(host, |ownership, report| {
                    ownership.finish_maintenance(report?)
                });
                for budget in self.budgets.values_mut() {
                    *budget = budget.release(host);
                }
                self.waves[0].progress.done.insert(host.clone());
            }
            Step::Report(service, down) => {
                let budget = self.budgets.entry(service.clone()).or_default();
                *budget = budget.set_down(&self.data_centre, down.clone());
            }
            Step::Register(_) | Step::Assign(..) => {}
        }
    }

    /// Takes a grant for `hosts` from a service's budget; counts a breach if the budget
    /// refuses.
    fn grant(&mut self, service: &name::Service, hosts: &[name::Host], cause: &Cause) {
        let max_unavailable = self
            .documents
            .iter()
            .find(|document| document.service == *service)
            .map_or(0, |document| document.max_unavailable);
        let budget = self.budgets.entry(service.clone()).or_default();
        match budget.grant::<AllChecks>(hosts, cause, &BTreeSet::new(), max_unavailable) {
            Decision::Granted(next) => *budget = next,
            Decision::Refused { .. } => self.breaches += 1,
        }
    }

    /// Replaces the ownership of a host by that which `next` returns for its ownership
    /// and report; keeps it if `next` returns `None` or the host is unknown.
    fn update_ownership(
        &mut self,
        host: &name::Host,
        next: impl FnOnce(&Ownership, Option<Report>) -> Option<Ownership>,
    ) {
        if let Some(view) = self.hosts.get_mut(host) {
            let changed =
                view.ownership.as_ref().and_then(|ownership| next(ownership, view.report));
            view.ownership = changed.or(view.ownership.take());
        }
    }

    /// Counts the services with more hosts unavailable than their documents allow.
    fn count_breaches(&mut self) {
        for document in &self.documents {
            let unavailable = self.hosts.values().filter(|view| match &view.ownership {
                Some(ownership) => {
                    ownership.pool() == Some(&document.pool) && !ownership.serves(&document.pool)
                }
                None => false,
            });
            self.breaches += u32::from(unavailable.count() as u32 > document.max_unavailable);
        }
    }
}

/// Returns the document of a service, given its name, hosts, and hosts that may be
/// unavailable at once.
fn document((service, hosts, max_unavailable): &(&str, u32, u32)) -> Arc<document::Settings> {
    let text = format!(
        "service = \"{service}\"\nteam = \"t\"\npool = \"{service}\"\n\
         [capacity]\nhosts = {hosts}\ndown-at-once = {max_unavailable}\n\
         [work]\nrepeatable = true\nrun-time = \"60ms\"\ndeadline = \"5s\"\n\
         [stop]\nmethod = \"drain\"\ngrace = \"30s\"\n"
    );
    Arc::new(Options::load(&Source::new("measured", &text)).expect("the document is valid"))
}
