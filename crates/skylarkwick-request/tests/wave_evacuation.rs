//! A maintenance wave over hosts with long-running tasks that may leave only one after
//! another: the steps with the most tasks decide when the wave is over.

mod harness;

use std::collections::BTreeSet;

use harness::{Harness, POOL, host, host_up, ms, step, stops};
use skylarkwick_request::{
    job::{Id, Step, task},
    shard::input::{MaintenanceWave, ServerId},
};

/// Hosts of the wave; a task fills most of one.
const HOSTS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
/// Idle hosts to which tasks can move.
const OTHERS: [&str; 3] = ["x", "y", "z"];
const JOBS: [&str; 3] = ["one", "two", "three"];
/// Time after a takeover in which no long-running task is stopped, and a little more.
const SETTLING_MS: u64 = 3000;

/// A shard whose jobs' long-running tasks run on the hosts of the wave.
struct Site {
    harness: Harness,
    running: Vec<(ServerId, task::Id, task::RunId)>,
}

impl Site {
    fn new() -> Site {
        let mut harness = Harness::with_servers(&HOSTS);
        let long_running = Step { is_long_running: true, max_unavailable: 1, ..step(4, 40) };
        for job in JOBS {
            harness.submit(job, vec![long_running.clone()]);
        }
        let effects = harness.decide();
        let started = harness.confirm_starts(&effects).into_iter();
        let running: Vec<_> =
            started.map(|(server, start)| (server, start.task, start.run)).collect();
        assert_eq!(running.len(), HOSTS.len());
        let all: Vec<&str> = HOSTS.into_iter().chain(OTHERS).collect();
        harness.set_servers(&all);
        let hosts = all.iter().map(|name| host_up(name, POOL, Some(name))).collect();
        harness.shard.set_hosts(harness.now, hosts);
        harness.decide();
        let mut site = Site { harness, running };
        site.harness.advance(SETTLING_MS);
        site.report(&all);
        site
    }

    /// Reports that every task is available.
    fn report(&mut self, names: &[&str]) {
        for name in names {
            let runs = self.running.iter().filter(|(server, ..)| &*server.0 == *name);
            let runs: Vec<_> = runs.map(|(_, task, run)| (task.clone(), *run, 100)).collect();
            self.harness.report(name, &runs, &[]);
        }
    }

    /// Adds a wave over these hosts.
    fn add_wave(&mut self, names: &[&str], time_left: u64) {
        let wave = MaintenanceWave {
            number: 1,
            hosts: names.iter().map(|name| host(name)).collect(),
            time_left: ms(time_left),
            max_unavailable: 6,
            started: BTreeSet::new(),
        };
        self.harness.shard.add_wave(self.harness.now, wave);
    }

    /// Adds a wave over the hosts with long-running tasks, and returns the jobs whose tasks
    /// are stopped at once.
    fn stopped_jobs(&mut self, time_left: u64) -> BTreeSet<Id> {
        self.add_wave(&HOSTS, time_left);
        let mut effects = self.harness.decide();
        effects.extend(self.harness.decide());
        stops(&effects).into_iter().map(|(_, task, _)| task.job).collect()
    }
}

/// Four tasks that leave one after another need more than half of the time.
#[test]
fn urgent_steps_begin() {
    assert_eq!(Site::new().stopped_jobs(10_000).len(), JOBS.len());
}

/// Hosts without long-running tasks drain beside those of urgent steps.
#[test]
fn others_drain_too() {
    let mut site = Site::new();
    site.harness.submit("finite", vec![step(2, 60)]);
    let effects = site.harness.decide();
    assert_eq!(site.harness.confirm_starts(&effects).len(), 2, "they run on idle hosts");
    let finite_hosts = ["x", "y", "z"];
    let usable = |site: &Site| site.harness.shard.pool_loads(site.harness.now)[POOL].usable;
    let before = usable(&site);
    site.add_wave(&[&HOSTS[..], &finite_hosts].concat(), 10_000);
    site.harness.decide();
    site.harness.decide();
    // One host was idle and is maintained at once, and two drain beside the urgent steps'.
    assert_eq!(before - usable(&site), 1 + JOBS.len() + 2);
}

/// With much time left, no more than two hosts drain at once.
#[test]
fn early_wave_waits() {
    assert!(Site::new().stopped_jobs(60_000).len() <= 2);
}
