//! A shard under load, in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_request::{
    job::{Step, task},
    shard::input::AcceptedJob,
};
use skylarkwick_version::workspace::{Quota, Workspace, Workspaces};

use super::{Harness, finished_run};

/// Run time of a task, in ticks of 50 ms.
pub(crate) const RUN_TICKS: u64 = 10;

/// A job: when it was submitted, and whether its tasks run until it is cancelled.
struct Submission {
    tick: u64,
    is_long_running: bool,
}

/// A shard, its running tasks, and how long each workspace's jobs waited.
pub(crate) struct Load {
    pub(crate) harness: Harness,
    servers: Vec<&'static str>,
    pub(crate) tick: u64,
    submitted: BTreeMap<String, Submission>,
    running: Vec<(String, task::Id, task::RunId, u64)>,
    ended: BTreeMap<String, u64>,
    pub(crate) waits: BTreeMap<String, Vec<u64>>,
}

pub(crate) fn weighted(weights: &[(&str, f64)]) -> Workspaces {
    let workspace = |weight| Workspace { weight, quota: Quota::default() };
    weights.iter().map(|(name, weight)| (Arc::from(*name), workspace(*weight))).collect()
}

impl Load {
    /// Creates a shard of two servers.
    pub(crate) fn new(workspaces: Workspaces) -> Load {
        Load::with_servers(&["a", "b"], workspaces)
    }

    pub(crate) fn with_servers(names: &[&'static str], workspaces: Workspaces) -> Load {
        let mut harness = Harness::with_servers(names);
        harness.shard.set_workspaces(workspaces);
        Load {
            harness,
            servers: names.to_vec(),
            tick: 0,
            submitted: BTreeMap::new(),
            running: Vec::new(),
            ended: BTreeMap::new(),
            waits: BTreeMap::new(),
        }
    }

    pub(crate) fn submit(&mut self, workspace: &str, step: Step) {
        let number = self.submitted.len();
        let id = format!("{workspace}/{number:04}");
        let is_long_running = step.is_long_running;
        self.submitted.insert(id.clone(), Submission { tick: self.tick, is_long_running });
        let workspace = Some(Arc::from(workspace));
        let accepted = AcceptedJob { workspace, ..Harness::accepted_job(&id, vec![step]) };
        self.harness.shard.add_job(self.harness.now, accepted);
    }

    /// Lets a tick pass: tasks end, and others start.
    pub(crate) fn step(&mut self) {
        self.tick += 1;
        for server in self.servers.clone() {
            let mut ends = Vec::new();
            let mut left = Vec::new();
            for (place, task, run, until) in std::mem::take(&mut self.running) {
                match place == server && until <= self.tick {
                    true => ends.push((task, run)),
                    false => left.push((place, task, run, until)),
                }
            }
            self.running = left;
            let number = self.ended.entry(server.to_owned()).or_default();
            let mut finished = Vec::new();
            for (task, run) in ends {
                *number += 1;
                finished.push(finished_run(*number, task, run, task::RunOutcome::Done));
            }
            let here = self.running.iter().filter(|(place, ..)| place == server);
            let running: Vec<_> = here.map(|(_, task, run, _)| (task.clone(), *run, 50)).collect();
            self.harness.report(server, &running, &finished);
        }
        let effects = self.harness.decide();
        for (server, start) in self.harness.confirm_starts(&effects) {
            let job = start.task.job.as_str().to_owned();
            let (workspace, _) = job.split_once('/').expect("a workspace");
            let submission = &self.submitted[&job];
            let waited = self.tick - submission.tick;
            self.waits.entry(workspace.to_owned()).or_default().push(waited);
            let until = match submission.is_long_running {
                true => u64::MAX,
                false => self.tick + RUN_TICKS,
            };
            self.running.push((server.0.to_string(), start.task, start.run, until));
        }
    }

    /// Gives the first servers of the list a label.
    pub(crate) fn label_servers(&mut self, count: usize, label: &str) {
        for server in self.harness.servers.iter_mut().take(count) {
            server.labels.insert(Arc::from(label));
        }
        self.harness.shard.set_servers(self.harness.now, self.harness.servers.clone());
    }

    /// Returns how many tasks of a workspace have started.
    pub(crate) fn started(&self, workspace: &str) -> usize {
        self.waits.get(workspace).map_or(0, Vec::len)
    }

    /// Returns the wait in ticks that 99 of 100 jobs of these workspaces did not exceed.
    pub(crate) fn p99(&self, is_counted: impl Fn(&str) -> bool) -> u64 {
        let counted = self.waits.iter().filter(|(name, _)| is_counted(name));
        let mut waits: Vec<u64> = counted.flat_map(|(_, waits)| waits.iter().copied()).collect();
        waits.sort_unstable();
        waits[waits.len() * 99 / 100]
    }
}
