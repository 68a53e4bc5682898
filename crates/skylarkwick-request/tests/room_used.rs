//! Accepted work doesn't wait beside enough room, whatever else is charged, reserved or held back. A
//! property over generated servers, workspaces and jobs, by the terms of the users' rules: a job
//! begins if its workspace has no quota, there is room for it twice over, and less than half of the
//! pool is used; a long-running task also if more is. See `docs/design/shares.md`.

mod harness;

use std::{collections::BTreeMap, sync::Arc};

use harness::{Harness, server, step};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkwick_request::{
    job::{Step, task},
    shard::input::{AcceptedJob, ServerId},
};
use skylarkwick_version::workspace::{Quota, Workspace};

const SERVERS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Cores of a server of the harness.
const CORES: u64 = 64;
const LABEL: &str = "r1";
/// Workspaces with a small, a large and no weight.
const WORKSPACES: [(&str, f64); 3] = [(SMALL, 0.01), ("large", 100.0), ("unlimited", 0.0)];
const SMALL: &str = "small";
/// Jobs that it submits at once before further ones are beyond its weight.
const BURST_JOBS: usize = 4;
/// Decisions within which work has to begin.
const DECISIONS: usize = 20;

/// A job of one step.
#[derive(Clone, Debug)]
struct Work {
    workspace: Option<&'static str>,
    step: Step,
}

impl Arbitrary for Work {
    fn arbitrary(g: &mut Gen) -> Work {
        let names: Vec<_> =
            WORKSPACES.iter().map(|(name, _)| Some(*name)).chain([None, Some(SMALL)]).collect();
        let is_long_running = u8::arbitrary(g).is_multiple_of(4);
        Work {
            workspace: *g.choose(&names).expect("a name"),
            step: Step {
                is_long_running,
                is_best_effort: u8::arbitrary(g).is_multiple_of(4),
                is_gang: !is_long_running && u8::arbitrary(g).is_multiple_of(4),
                required_label: bool::arbitrary(g).then(|| Arc::from(LABEL)),
                ..step(u32::from(u8::arbitrary(g) % 6) + 1, u64::from(u8::arbitrary(g) % 40))
            },
        }
    }
}

/// Servers, of which some have a label, and jobs; the fullest server falls silent between the two
/// groups of jobs if `is_fullest_silent`.
#[derive(Clone, Debug)]
struct Case {
    servers: usize,
    labelled: usize,
    is_fullest_silent: bool,
    earlier: Vec<Work>,
    later: Vec<Work>,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let servers = 2 + usize::arbitrary(g) % (SERVERS.len() - 1);
        Case {
            servers,
            labelled: 1 + usize::arbitrary(g) % servers.min(2),
            is_fullest_silent: bool::arbitrary(g),
            earlier: (0..u8::arbitrary(g) % 4).map(|_| Work::arbitrary(g)).collect(),
            later: (0..u8::arbitrary(g) % 12).map(|_| Work::arbitrary(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Case>> {
        let case = self.clone();
        let jobs = (self.earlier.clone(), self.later.clone()).shrink();
        Box::new(jobs.map(move |(earlier, later)| Case { earlier, later, ..case.clone() }))
    }
}

/// A shard, and what its servers run. No task ends.
struct World {
    harness: Harness,
    labelled: Vec<ServerId>,
    /// Cores that are not reserved.
    free: BTreeMap<ServerId, u64>,
    jobs: BTreeMap<String, Step>,
    started: BTreeMap<String, u64>,
    running: Vec<(ServerId, task::Id, task::RunId)>,
}

impl World {
    fn new(case: &Case) -> World {
        let servers = &SERVERS[..case.servers];
        let mut harness = Harness::with_servers(servers);
        for info in harness.servers.iter_mut().take(case.labelled) {
            info.labels.insert(Arc::from(LABEL));
        }
        harness.shard.set_servers(harness.now, harness.servers.clone());
        let workspace = |weight| Workspace { weight, quota: Quota::default() };
        let workspaces = WORKSPACES.map(|(name, weight)| (Arc::from(name), workspace(weight)));
        harness.shard.set_workspaces(workspaces.into());
        World {
            harness,
            labelled: servers[..case.labelled].iter().map(|name| server(name)).collect(),
            free: servers.iter().map(|name| (server(name), CORES)).collect(),
            jobs: BTreeMap::new(),
            started: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    fn submit(&mut self, works: &[Work]) {
        for Work { workspace, step } in works {
            let id = format!("{:04}", self.jobs.len());
            let workspace = workspace.map(Arc::from);
            let accepted = Harness::accepted_job(&id, vec![step.clone()]);
            let accepted = AcceptedJob { workspace, ..accepted };
            self.harness.shard.add_job(self.harness.now, accepted);
            self.jobs.insert(id, step.clone());
        }
    }

    fn decide(&mut self) {
        let effects = self.harness.decide();
        for (server, start) in self.harness.confirm_starts(&effects) {
            let id = start.task.job.as_str().to_owned();
            let free = self.free.get_mut(&server).expect("a known server");
            *free = free.checked_sub(reserved_cores(&self.jobs[&id])).expect("room for the task");
            *self.started.entry(id).or_default() += 1;
            self.running.push((server, start.task, start.run));
        }
    }

    /// Lets the fullest server fall silent, for less long than its leases last.
    fn silence_fullest(&mut self) {
        let fullest = self.free.iter().min_by_key(|(_, free)| **free);
        let silent = fullest.map(|(id, _)| id.clone()).expect("a server");
        for _ in 0..6 {
            self.harness.advance(500);
            self.harness.fail_poll(&silent.0);
            for id in self.free.keys().filter(|id| **id != silent) {
                let here = self.running.iter().filter(|(place, ..)| place == id);
                let running: Vec<_> =
                    here.map(|(_, task, run)| (task.clone(), *run, 100)).collect();
                self.harness.report(&id.0, &running, &[]);
            }
        }
        self.free.remove(&silent);
    }

    /// Returns how many tasks of a step have room.
    fn room(&self, step: &Step) -> u64 {
        let has_label = |id: &ServerId| self.labelled.contains(id);
        let free = self
            .free
            .iter()
            .filter(|(id, _)| step.required_label.is_none() || has_label(id))
            .map(|(_, free)| free.checked_div(reserved_cores(step)).unwrap_or(CORES));
        free.sum()
    }

    fn is_half_used(&self) -> bool {
        let all = CORES * u64::try_from(self.free.len()).expect("few servers");
        self.free.values().sum::<u64>() * 2 <= all
    }

    /// Returns the jobs that wait although they have to begin.
    fn waiting(&self) -> Vec<&String> {
        let is_waiting = |(id, step): &(&String, &Step)| {
            let started = self.started.get(*id).copied().unwrap_or_default();
            let count = u64::from(step.count);
            match () {
                () if step.is_long_running => started < count && self.room(step) >= 2,
                () if started > 0 || self.is_half_used() => false,
                () if step.is_gang => self.room(step) >= 2 * count,
                () => self.room(step) >= 2,
            }
        };
        self.jobs.iter().filter(is_waiting).map(|(id, _)| id).collect()
    }
}

fn reserved_cores(step: &Step) -> u64 {
    match step.is_best_effort {
        true => 0,
        false => step.resources.millicores / 1000,
    }
}

fn begins(case: Case) -> bool {
    let mut world = World::new(&case);
    world.submit(&vec![Work { workspace: Some(SMALL), step: step(1, 0) }; BURST_JOBS]);
    if case.is_fullest_silent {
        world.submit(&[Work { workspace: None, step: step(1, CORES - 2) }]);
    }
    world.submit(&case.earlier);
    for _ in 0..DECISIONS {
        world.decide();
    }
    if case.is_fullest_silent {
        world.silence_fullest();
    }
    world.submit(&case.later);
    for _ in 0..DECISIONS {
        world.decide();
    }
    world.waiting().is_empty()
}

/// Finds work that waits for good beside free room: by a charge that is no reservation, by servers
/// that can't be used, by a reserve that holds back what it must not.
#[test]
fn accepted_work_begins() {
    let seed = std::env::var("ROOM_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(55);
    let tests = std::env::var("ROOM_TESTS").ok().and_then(|tests| tests.parse().ok());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, seed))
        .tests(tests.unwrap_or(500))
        .quickcheck(begins as fn(Case) -> bool);
}
