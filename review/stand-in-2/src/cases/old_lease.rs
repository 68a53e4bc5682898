//! A worker that starts again under its id accepts starts by its earlier clock, and the next
//! holder takes their lease for shorter than it is.

use std::{collections::BTreeMap, path::Path, thread, time::Duration};

use super::{Outcome, Setup, configure, job_id, step};
use crate::site::{Cut, Event, Work};

const POOL: &str = "batch";
const MACHINES: usize = 8;
/// Time until the crash, in which the worker's clock goes on.
const BEFORE: Duration = Duration::from_secs(14);
/// Pause between two jobs around the crash.
const JOB_PAUSE: Duration = Duration::from_millis(25);
const JOBS: u64 = 20;
/// Time for which the crashed worker, and then the planner, is down.
const WORKER_DOWN: Duration = Duration::from_millis(500);
const PLANNER_DOWN: Duration = Duration::from_millis(300);
/// `for_s` of `node_cut` with `how = "servers"` in the site file.
const CUT: Duration = Duration::from_millis(5500);

pub fn run(mut setup: Setup, folder: &Path) -> Outcome {
    let site = setup.site.clone();
    configure(&site, &[POOL], 3);
    for number in 0..MACHINES {
        site.add_machine(&format!("m{number}"), POOL, &["a", "r1"], 64_000);
    }
    if !setup.start_hosts(3, folder) {
        return Outcome::NotRun;
    }
    // The fullest worker gets the next tasks, so that one worker gets them all.
    let work = Work::new(500, 30_000);
    if !setup.submit(POOL, &job_id(6, 0), &[step(2, &work, "")]) {
        return Outcome::NotRun;
    }
    thread::sleep(BEFORE);
    let events = site.events_of(&job_id(6, 0));
    let Some(worker) = events.iter().find(|event| event.what == "start") else {
        return Outcome::NotRun;
    };
    let name = {
        let machines = site.machines.lock().unwrap();
        let found = machines.iter().find(|(_, machine)| {
            machine.worker.as_ref().is_some_and(|known| known.id == worker.worker)
        });
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    };
    if setup.has_trouble {
        site.restart_worker(&name, WORKER_DOWN);
    }
    for number in 1..=JOBS {
        if !setup.submit(POOL, &job_id(6, number), &[step(1, &work, "")]) {
            return Outcome::NotRun;
        }
        thread::sleep(JOB_PAUSE);
    }
    if setup.has_trouble {
        let above = site.fence(&name);
        site.cuts.lock().unwrap().insert(name.clone(), Cut { above, time: CUT, until: None });
        for host in &mut setup.hosts {
            let log = format!("planner of {} is killed", host.name);
            if host.holds_shard() {
                site.note(&log);
                host.restart_planner(PLANNER_DOWN);
            }
        }
    }
    thread::sleep(Duration::from_secs(14));
    site.note(&format!("processes alive: {}", setup.are_hosts_alive()));
    let mut twice = 0;
    for number in 0..=JOBS {
        twice += count_overlaps(&setup, &job_id(6, number));
    }
    site.note(&format!("tasks with two runs at the same time: {twice}"));
    if twice > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Counts the tasks of a job that ran twice at the same time, on workers that are up.
fn count_overlaps(setup: &Setup, id: &str) -> usize {
    let mut tasks: BTreeMap<String, Vec<Event>> = BTreeMap::new();
    for event in setup.site.events_of(id) {
        tasks.entry(event.task.clone()).or_default().push(event);
    }
    let mut count = 0;
    for events in tasks.values() {
        let mut runs: Vec<(&Event, Duration)> = Vec::new();
        for start in events.iter().filter(|event| event.what == "start") {
            let is_end = |event: &&Event| {
                event.what != "start" && event.run == start.run && event.at >= start.at
            };
            let end = events.iter().find(is_end).map_or(Duration::MAX, |event| event.at);
            runs.push((start, end));
        }
        let is_twice = runs.windows(2).any(|pair| pair[1].0.at < pair[0].1);
        if runs.len() > 1 {
            for (start, end) in &runs {
                setup.site.note(&format!(
                    "{} run {} on worker {}: from {:.3} to {}{}",
                    start.task,
                    start.run,
                    start.worker,
                    start.at.as_secs_f64(),
                    if *end == Duration::MAX {
                        "the end".to_owned()
                    } else {
                        format!("{:.3}", end.as_secs_f64())
                    },
                    if is_twice { " (twice)" } else { "" }
                ));
            }
        }
        count += usize::from(is_twice);
    }
    count
}
