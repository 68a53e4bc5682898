//! Time of a maintenance wave against the bound and against simple ways.
//!
//! The product's planning rounds run in virtual time over the hosts of one
//! site. Every host takes a drain and a reboot; 5% fail their reboot and are
//! repaired later, holding their grant until then.

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

/// Seconds that a reboot takes.
const REBOOT_S: f64 = 300.0;
/// Mean seconds that a drain takes.
const DRAIN_S: f64 = 60.0;
/// Seconds that a host which failed its reboot takes to be repaired.
const REPAIR_S: f64 = 600.0;
/// Share of hosts that fail their reboot.
const FAILING: f64 = 0.05;
/// Seconds between rounds.
const ROUND_S: f64 = 1.0;
/// Hosts and how many may be down, of each service of a site.
const PAMET: [(&str, u32, u32); 5] = [
    ("door-notices", 12, 2),
    ("newspaper", 9, 2),
    ("anniversaries", 6, 1),
    ("church-pages", 6, 1),
    ("office", 19, 3),
];
const CARONI: [(&str, u32, u32); 5] = [
    ("retail", 12, 2),
    ("wholesale", 9, 2),
    ("credit-notes", 6, 1),
    ("billing-desk", 6, 1),
    ("audit-exports", 19, 3),
];

pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    let mut rows = Vec::new();
    for (site, services) in [("pamet", PAMET), ("caroni", CARONI)] {
        let runs: Vec<Run> = seeds.iter().map(|&seed| Run::new(&services, seed).finish()).collect();
        let time = mean(&runs.iter().map(|run| run.now).collect::<Vec<_>>());
        let breaches: u32 = runs.iter().map(|run| run.breaches).sum();
        let one_host = DRAIN_S + REBOOT_S;
        let hosts: u32 = services.iter().map(|(_, hosts, _)| hosts).sum();
        // Services are maintained beside each other, so the slowest decides.
        let bound = services
            .iter()
            .map(|(_, hosts, down)| (f64::from(*hosts) / f64::from(*down)).ceil() * one_host)
            .fold(0.0, f64::max);
        let single = f64::from(hosts) * one_host;
        let tenths = 10.0 * one_host;
        let most = services.iter().map(|(_, hosts, down)| hosts.div_ceil(10).saturating_sub(*down));
        rows.extend([
            Row::new(format!("{site}: bound"), bound, "s"),
            Row::new(format!("{site}: product"), time, "s"),
            Row::new(format!("{site}: product, over the bound"), time / bound, "ratio")
                .at_most(1.25),
            Row::new(format!("{site}: product, budget breaches"), f64::from(breaches), "count")
                .at_most(0.0),
            Row::new(format!("{site}: one host at a time"), single, "s"),
            Row::new(format!("{site}: a tenth of each pool at a time"), tenths, "s"),
            Row::new(
                format!("{site}: a tenth at a time, hosts beyond a budget"),
                f64::from(most.sum::<u32>()),
                "count",
            ),
        ]);
    }
    rows
}

/// One wave over one data centre that holds the whole site.
struct Run {
    place: name::DataCentre,
    documents: Vec<Arc<document::Settings>>,
    hosts: BTreeMap<name::Host, HostView>,
    budgets: BTreeMap<name::Service, Budget>,
    waves: Vec<WaveState>,
    drained_at: BTreeMap<name::Host, f64>,
    booted_at: BTreeMap<name::Host, f64>,
    random: Pcg64Mcg,
    now: f64,
    breaches: u32,
}

impl Run {
    fn new(services: &[(&str, u32, u32)], seed: u64) -> Run {
        let mut hosts = BTreeMap::new();
        for (service, count, _) in services {
            let pool = name::Pool::try_from(*service).expect("the name is valid");
            for number in 0..*count {
                let ownership =
                    Ownership { epoch: Epoch(1), phase: Phase::Active { pool: pool.clone() } };
                let known = HostView {
                    rack: name::Rack::try_from(format!("r{}", number % 13))
                        .expect("the name is valid"),
                    ownership: Some(ownership),
                    report: Some(Report { epoch: Epoch(1), running: 4, boot: 1 }),
                    is_stopping: false,
                    is_drained: false,
                };
                let host = name::Host::try_from(format!("{service}-{number}"));
                hosts.insert(host.expect("the name is valid"), known);
            }
        }
        let name = name::Wave::try_from("measured").expect("the name is valid");
        let wave = wave::Wave { name, state: State::Running, pool: None };
        Run {
            place: name::DataCentre::try_from("here").expect("the name is valid"),
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

    fn finish(mut self) -> Run {
        while self.waves[0].progress.done.len() < self.hosts.len() {
            self.hear();
            let steps = self.steps();
            for step in &steps {
                self.take(step);
            }
            self.count_breaches();
            self.now += ROUND_S;
        }
        self
    }

    fn steps(&self) -> Vec<Step> {
        let facts = Input {
            data_centre: &self.place,
            data_centres: std::slice::from_ref(&self.place),
            documents: &self.documents,
            hosts: &self.hosts,
            budgets: &self.budgets,
            unreachable_hosts: &BTreeMap::new(),
            waves: &self.waves,
        };
        facts.plan()
    }

    /// Lets hosts say what they would say now.
    fn hear(&mut self) {
        for (host, known) in &mut self.hosts {
            let Some(ownership) = &known.ownership else { continue };
            let has_drained = self.drained_at.get(host).is_some_and(|at| *at <= self.now);
            let has_booted = self.booted_at.get(host).is_some_and(|at| *at <= self.now);
            known.report = match &ownership.phase {
                Phase::Leaving { .. } => Some(Report {
                    epoch: ownership.epoch,
                    running: u32::from(!has_drained),
                    boot: 1,
                }),
                Phase::Maintenance { .. } => {
                    has_booted.then_some(Report { epoch: ownership.epoch, running: 0, boot: 2 })
                }
                _ => known.report,
            };
        }
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Leave { hosts, cause, granted } => {
                for (service, hosts) in granted {
                    self.grant(service, hosts, cause);
                }
                for host in hosts {
                    let drain = self.random.random_range(0.0..2.0 * DRAIN_S);
                    self.drained_at.insert(host.clone(), self.now + drain);
                    self.change(host, |ownership, _| ownership.begin_leave(cause.clone()));
                }
            }
            Step::Depart(host) => {
                let fails = self.random.random_bool(FAILING);
                let boot = REBOOT_S + if fails { REPAIR_S } else { 0.0 };
                self.booted_at.insert(host.clone(), self.now + boot);
                self.change(host, |ownership, said| {
                    ownership.finish_leave::<host::AllChecks>(said)
                });
            }
            Step::Recover(host) => {
                self.change(host, |ownership, said| ownership.finish_maintenance(said?));
                for budget in self.budgets.values_mut() {
                    *budget = budget.release(host);
                }
                self.waves[0].progress.done.insert(host.clone());
            }
            Step::Report(service, down) => {
                let budget = self.budgets.entry(service.clone()).or_default();
                *budget = budget.set_down(&self.place, down.clone());
            }
            Step::Register(_) | Step::Assign(..) => {}
        }
    }

    fn grant(&mut self, service: &name::Service, hosts: &[name::Host], cause: &Cause) {
        let allowed = self
            .documents
            .iter()
            .find(|document| document.service == *service)
            .map_or(0, |document| document.max_unavailable);
        let budget = self.budgets.entry(service.clone()).or_default();
        match budget.grant::<AllChecks>(hosts, cause, &BTreeSet::new(), allowed) {
            Decision::Granted(next) => *budget = next,
            Decision::Refused { .. } => self.breaches += 1,
        }
    }

    fn change(
        &mut self,
        host: &name::Host,
        next: impl FnOnce(&Ownership, Option<Report>) -> Option<Ownership>,
    ) {
        if let Some(known) = self.hosts.get_mut(host) {
            let changed =
                known.ownership.as_ref().and_then(|ownership| next(ownership, known.report));
            known.ownership = changed.or(known.ownership.take());
        }
    }

    /// Counts services with more hosts out than their documents allow.
    fn count_breaches(&mut self) {
        for document in &self.documents {
            let out = self.hosts.values().filter(|known| match &known.ownership {
                Some(ownership) => {
                    ownership.pool() == Some(&document.pool) && !ownership.serves(&document.pool)
                }
                None => false,
            });
            self.breaches += u32::from(out.count() as u32 > document.max_unavailable);
        }
    }
}

fn document((service, hosts, down): &(&str, u32, u32)) -> Arc<document::Settings> {
    let text = format!(
        "service = \"{service}\"\nteam = \"t\"\npool = \"{service}\"\n\
         [capacity]\nhosts = {hosts}\ndown-at-once = {down}\n\
         [work]\nrepeatable = true\nrun-time = \"60ms\"\ndeadline = \"5s\"\n\
         [stop]\nmethod = \"drain\"\ngrace = \"30s\"\n"
    );
    Arc::new(Options::load(&Source::new("measured", &text)).expect("the document is valid"))
}
