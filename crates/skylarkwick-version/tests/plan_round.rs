//! Planning rounds: capacity, waves, drains and failures.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use skylarkwick_version::{
    budget::Budget,
    document::{self, Options},
    host::{Cause, Epoch, Ownership, Phase, Report},
    name,
    plan::{HostState, Input, Step, WaveState},
    source::Source,
    wave::{self, State},
};

fn document(service: &str, hosts: u32, down: u32, spare: bool) -> Arc<document::Settings> {
    let text = format!(
        "service = \"{service}\"\nteam = \"t\"\npool = \"{service}\"\nspare = {spare}\n\
         [capacity]\nhosts = {hosts}\ndown-at-once = {down}\n\
         [work]\nrepeatable = true\nrun-time = \"10ms\"\ndeadline = \"1s\"\n\
         [stop]\nmethod = \"drain\"\ngrace = \"5s\"\n"
    );
    Arc::new(Options::load(&Source::new("test", &text)).unwrap())
}

/// A data centre whose hosts all answer.
struct Place {
    name: name::DataCentre,
    documents: Vec<Arc<document::Settings>>,
    hosts: BTreeMap<name::Host, HostState>,
    budgets: BTreeMap<name::Service, Budget>,
    silent: BTreeMap<name::Pool, BTreeSet<name::Host>>,
    waves: Vec<WaveState>,
}

impl Place {
    fn new(documents: Vec<Arc<document::Settings>>) -> Place {
        Place {
            name: name::DataCentre::try_from("here").unwrap(),
            documents,
            hosts: BTreeMap::new(),
            budgets: BTreeMap::new(),
            silent: BTreeMap::new(),
            waves: Vec::new(),
        }
    }

    fn host(&mut self, host: &str, rack: &str, ownership: Option<Ownership>) -> &mut HostState {
        let known = HostState {
            rack: name::Rack::try_from(rack).unwrap(),
            report: Some(Report { epoch: Epoch(9), running: 0, boot: 1 }),
            ownership,
            is_stopping: false,
            is_drained: false,
        };
        self.hosts.entry(name::Host::try_from(host).unwrap()).or_insert(known)
    }

    fn steps(&self) -> Vec<Step> {
        let facts = Input {
            data_centre: &self.name,
            data_centres: std::slice::from_ref(&self.name),
            documents: &self.documents,
            hosts: &self.hosts,
            budgets: &self.budgets,
            unreachable_hosts: &self.silent,
            waves: &self.waves,
        };
        facts.plan()
    }

    fn start_wave(&mut self) {
        let name = name::Wave::try_from("w").unwrap();
        let wave = wave::Wave { name, state: State::Running, pool: None };
        self.waves = vec![WaveState { wave, progress: wave::Progress::default() }];
    }
}

fn owned(pool: &str) -> Option<Ownership> {
    let pool = name::Pool::try_from(pool).unwrap();
    Some(Ownership { epoch: Epoch(1), phase: Phase::Active { pool } })
}

fn free() -> Option<Ownership> {
    Some(Ownership { epoch: Epoch(2), phase: Phase::Free })
}

fn assigned(steps: &[Step]) -> Vec<(String, String)> {
    steps
        .iter()
        .filter_map(|step| match step {
            Step::Assign(host, pool) => Some((host.to_string(), pool.to_string())),
            _ => None,
        })
        .collect()
}

fn left(steps: &[Step]) -> Vec<(Vec<String>, Cause)> {
    steps
        .iter()
        .filter_map(|step| match step {
            Step::Leave { hosts, cause, .. } => {
                Some((hosts.iter().map(ToString::to_string).collect(), cause.clone()))
            }
            _ => None,
        })
        .collect()
}

#[test]
fn racks_spread() {
    let mut place = Place::new(vec![document("a", 2, 1, false), document("s", 0, 0, true)]);
    for (host, rack) in [("h1", "r1"), ("h2", "r1"), ("h3", "r2")] {
        place.host(host, rack, free());
    }
    let steps = assigned(&place.steps());
    let of_a: Vec<&str> =
        steps.iter().filter(|(_, pool)| pool == "a").map(|(host, _)| host.as_str()).collect();
    assert_eq!(of_a, ["h1", "h3"]);
    assert!(steps.contains(&("h2".to_owned(), "s".to_owned())));
}

#[test]
fn spare_gives_first() {
    let mut place = Place::new(vec![
        document("a", 2, 1, false),
        document("b", 1, 1, false),
        document("s", 0, 0, true),
    ]);
    place.host("h1", "r1", owned("a"));
    place.host("h2", "r1", owned("b"));
    place.host("h3", "r2", owned("b"));
    place.host("h4", "r2", owned("s"));
    assert_eq!(left(&place.steps()), [(vec!["h4".to_owned()], Cause::Move)]);
}

#[test]
fn coming_host_counts() {
    let mut place = Place::new(vec![document("a", 2, 1, false), document("s", 0, 0, true)]);
    place.host("h1", "r1", owned("a"));
    let leaving = owned("s").unwrap().begin_leave(Cause::Move);
    place.host("h2", "r1", leaving).report = None;
    place.host("h3", "r1", owned("s"));
    assert_eq!(left(&place.steps()), []);
}

#[test]
fn silent_host_replaced() {
    let mut place = Place::new(vec![document("a", 2, 1, false), document("s", 0, 0, true)]);
    place.host("h1", "r1", owned("a"));
    place.host("h2", "r1", owned("a")).report = None;
    place.host("h3", "r2", free());
    let steps = place.steps();
    assert_eq!(assigned(&steps), [("h3".to_owned(), "a".to_owned())]);
    let down = BTreeSet::from([name::Host::try_from("h2").unwrap()]);
    assert!(steps.contains(&Step::Report(name::Service::try_from("a").unwrap(), down)));
}

#[test]
fn wave_within_budget() {
    let mut place = Place::new(vec![document("a", 4, 2, false)]);
    for host in ["h1", "h2", "h3", "h4"] {
        place.host(host, "r1", owned("a"));
    }
    place.start_wave();
    let started: usize = left(&place.steps()).iter().map(|(hosts, _)| hosts.len()).sum();
    assert_eq!(started, 2);
}

#[test]
fn whole_racks_first() {
    let mut place = Place::new(vec![document("a", 3, 2, false)]);
    place.host("h1", "r1", owned("a")).report =
        Some(Report { epoch: Epoch(1), running: 5, boot: 1 });
    place.host("h2", "r2", owned("a"));
    place.host("h3", "r2", owned("a"));
    place.start_wave();
    let steps = left(&place.steps());
    assert_eq!(steps[0].0, ["h2", "h3"]);
    assert_eq!(steps.len(), 1);
}

#[test]
fn failure_stops_wave() {
    let mut place = Place::new(vec![document("a", 3, 1, false)]);
    place.host("h1", "r1", owned("a"));
    place.host("h2", "r1", owned("a"));
    place.start_wave();
    let service = name::Service::try_from("a").unwrap();
    let down = BTreeSet::from([name::Host::try_from("h9").unwrap()]);
    let there = name::DataCentre::try_from("there").unwrap();
    place.budgets.insert(service, Budget::default().set_down(&there, down.clone()));
    assert_eq!(left(&place.steps()), []);
    place.budgets.clear();
    place.silent.insert(name::Pool::try_from("a").unwrap(), down);
    assert_eq!(left(&place.steps()), []);
}

#[test]
fn paused_wave_rests() {
    let mut place = Place::new(vec![document("a", 2, 1, false)]);
    place.host("h1", "r1", owned("a"));
    place.start_wave();
    place.waves[0].wave.state = State::Paused;
    assert_eq!(left(&place.steps()), []);
}

#[test]
fn done_hosts_skipped() {
    let mut place = Place::new(vec![document("a", 2, 2, false)]);
    place.host("h1", "r1", owned("a"));
    place.host("h2", "r2", owned("a"));
    place.start_wave();
    place.waves[0].progress.done.insert(name::Host::try_from("h1").unwrap());
    assert_eq!(left(&place.steps()).into_iter().map(|l| l.0).collect::<Vec<_>>(), [["h2"]]);
}

#[test]
fn drained_host_stays_out() {
    let mut place = Place::new(vec![document("a", 1, 1, false), document("s", 0, 0, true)]);
    place.host("h1", "r1", owned("a")).is_drained = true;
    assert_eq!(left(&place.steps()), [(vec!["h1".to_owned()], Cause::Drain)]);
    place.hosts.clear();
    place.host("h1", "r1", free()).is_drained = true;
    assert_eq!(assigned(&place.steps()), []);
}

#[test]
fn settled_site_rests() {
    let mut place = Place::new(vec![document("a", 1, 1, false), document("s", 0, 0, true)]);
    place.host("h1", "r1", owned("a"));
    place.host("h2", "r1", owned("s"));
    assert_eq!(place.steps(), []);
}
