//! Planning rounds: steps for capacity, waves, drains and failures.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use skylarkwick_version::{
    budget::Budget,
    document::{self, Options},
    host::{Cause, Epoch, Ownership, Phase, Report},
    name,
    plan::{HostView, Input, Step, WaveState},
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

/// A data centre in which every host responds, unless a test changes that.
struct Fixture {
    name: name::DataCentre,
    documents: Vec<Arc<document::Settings>>,
    hosts: BTreeMap<name::Host, HostView>,
    budgets: BTreeMap<name::Service, Budget>,
    unreachable_hosts: BTreeMap<name::Pool, BTreeSet<name::Host>>,
    waves: Vec<WaveState>,
}

impl Fixture {
    fn new(documents: Vec<Arc<document::Settings>>) -> Fixture {
        Fixture {
            name: name::DataCentre::try_from("local").unwrap(),
            documents,
            hosts: BTreeMap::new(),
            budgets: BTreeMap::new(),
            unreachable_hosts: BTreeMap::new(),
            waves: Vec::new(),
        }
    }

    fn host(&mut self, host: &str, rack: &str, ownership: Option<Ownership>) -> &mut HostView {
        let state = HostView {
            rack: name::Rack::try_from(rack).unwrap(),
            report: Some(Report { epoch: Epoch(9), running: 0, boot: 1 }),
            ownership,
            is_stopping: false,
            is_drained: false,
        };
        self.hosts.entry(name::Host::try_from(host).unwrap()).or_insert(state)
    }

    fn steps(&self) -> Vec<Step> {
        let input = Input {
            data_centre: &self.name,
            data_centres: std::slice::from_ref(&self.name),
            documents: &self.documents,
            hosts: &self.hosts,
            budgets: &self.budgets,
            unreachable_hosts: &self.unreachable_hosts,
            waves: &self.waves,
        };
        input.plan()
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

fn leave_steps(steps: &[Step]) -> Vec<(Vec<String>, Cause)> {
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
    let mut fixture = Fixture::new(vec![document("a", 2, 1, false), document("s", 0, 0, true)]);
    for (host, rack) in [("h1", "r1"), ("h2", "r1"), ("h3", "r2")] {
        fixture.host(host, rack, free());
    }
    let steps = assigned(&fixture.steps());
    let assigned_to_a: Vec<&str> =
        steps.iter().filter(|(_, pool)| pool == "a").map(|(host, _)| host.as_str()).collect();
    assert_eq!(assigned_to_a, ["h1", "h3"]);
    assert!(steps.contains(&("h2".to_owned(), "s".to_owned())));
}

#[test]
fn spare_withdrawn_first() {
    let mut fixture = Fixture::new(vec![
        document("a", 2, 1, false),
        document("b", 1, 1, false),
        document("s", 0, 0, true),
    ]);
    fixture.host("h1", "r1", owned("a"));
    fixture.host("h2", "r1", owned("b"));
    fixture.host("h3", "r2", owned("b"));
    fixture.host("h4", "r2", owned("s"));
    assert_eq!(leave_steps(&fixture.steps()), [(vec!["h4".to_owned()], Cause::Move)]);
}

#[test]
fn arriving_host_counts() {
    let mut fixture = Fixture::new(vec![document("a", 2, 1, false), document("s", 0, 0, true)]);
    fixture.host("h1", "r1", owned("a"));
    let leaving = owned("s").unwrap().begin_leave(Cause::Move);
    fixture.host("h2", "r1", leaving).report = None;
    fixture.host("h3", "r1", owned("s"));
    assert_eq!(leave_steps(&fixture.steps()), []);
}

#[test]
fn unresponsive_host_replaced() {
    let mut fixture = Fixture::new(vec![document("a", 2, 1, false), document("s", 0, 0, true)]);
    fixture.host("h1", "r1", owned("a"));
    fixture.host("h2", "r1", owned("a")).report = None;
    fixture.host("h3", "r2", free());
    let steps = fixture.steps();
    assert_eq!(assigned(&steps), [("h3".to_owned(), "a".to_owned())]);
    let down = BTreeSet::from([name::Host::try_from("h2").unwrap()]);
    assert!(steps.contains(&Step::Report(name::Service::try_from("a").unwrap(), down)));
}

#[test]
fn wave_within_budget() {
    let mut fixture = Fixture::new(vec![document("a", 4, 2, false)]);
    for host in ["h1", "h2", "h3", "h4"] {
        fixture.host(host, "r1", owned("a"));
    }
    fixture.start_wave();
    let started: usize = leave_steps(&fixture.steps()).iter().map(|(hosts, _)| hosts.len()).sum();
    assert_eq!(started, 2);
}

#[test]
fn whole_racks_first() {
    let mut fixture = Fixture::new(vec![document("a", 3, 2, false)]);
    fixture.host("h1", "r1", owned("a")).report =
        Some(Report { epoch: Epoch(1), running: 5, boot: 1 });
    fixture.host("h2", "r2", owned("a"));
    fixture.host("h3", "r2", owned("a"));
    fixture.start_wave();
    let steps = leave_steps(&fixture.steps());
    assert_eq!(steps[0].0, ["h2", "h3"]);
    assert_eq!(steps.len(), 1);
}

#[test]
fn failure_stops_wave() {
    let mut fixture = Fixture::new(vec![document("a", 3, 1, false)]);
    fixture.host("h1", "r1", owned("a"));
    fixture.host("h2", "r1", owned("a"));
    fixture.start_wave();
    let service = name::Service::try_from("a").unwrap();
    let down = BTreeSet::from([name::Host::try_from("h9").unwrap()]);
    let remote = name::DataCentre::try_from("remote").unwrap();
    fixture.budgets.insert(service, Budget::default().set_down(&remote, down.clone()));
    assert_eq!(leave_steps(&fixture.steps()), []);
    fixture.budgets.clear();
    fixture.unreachable_hosts.insert(name::Pool::try_from("a").unwrap(), down);
    assert_eq!(leave_steps(&fixture.steps()), []);
}

#[test]
fn paused_wave_idle() {
    let mut fixture = Fixture::new(vec![document("a", 2, 1, false)]);
    fixture.host("h1", "r1", owned("a"));
    fixture.start_wave();
    fixture.waves[0].wave.state = State::Paused;
    assert_eq!(leave_steps(&fixture.steps()), []);
}

#[test]
fn done_hosts_skipped() {
    let mut fixture = Fixture::new(vec![document("a", 2, 2, false)]);
    fixture.host("h1", "r1", owned("a"));
    fixture.host("h2", "r2", owned("a"));
    fixture.start_wave();
    fixture.waves[0].progress.done.insert(name::Host::try_from("h1").unwrap());
    assert_eq!(
        leave_steps(&fixture.steps()).into_iter().map(|step| step.0).collect::<Vec<_>>(),
        [["h2"]]
    );
}

#[test]
fn drained_host_stays_out() {
    let mut fixture = Fixture::new(vec![document("a", 1, 1, false), document("s", 0, 0, true)]);
    fixture.host("h1", "r1", owned("a")).is_drained = true;
    assert_eq!(leave_steps(&fixture.steps()), [(vec!["h1".to_owned()], Cause::Drain)]);
    fixture.hosts.clear();
    fixture.host("h1", "r1", free()).is_drained = true;
    assert_eq!(assigned(&fixture.steps()), []);
}

#[test]
fn steady_state_idle() {
    let mut fixture = Fixture::new(vec![document("a", 1, 1, false), document("s", 0, 0, true)]);
    fixture.host("h1", "r1", owned("a"));
    fixture.host("h2", "r1", owned("s"));
    assert_eq!(fixture.steps(), []);
}
