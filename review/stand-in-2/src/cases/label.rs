//! Jobs that require a label which machines of one shard have lost.

use std::{collections::BTreeSet, path::Path, thread, time::Duration};

use super::{Outcome, Setup, configure, job_id, step};
use crate::site::Work;

const POOL: &str = "batch";
/// Machines of the site, in racks of four; a site with as many is divided into two shards.
const MACHINES: usize = 180;
const RACK: usize = 4;
const CPU: u64 = 64_000;
const JOBS: u64 = 16;
/// Time at which the search for a rack is given up.
const SEARCH_END: Duration = Duration::from_secs(60);
/// `finish_s` of the site file and further time without a run.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(10);

pub fn run(mut setup: Setup, folder: &Path) -> Outcome {
    let site = setup.site.clone();
    configure(&site, &[POOL], 3);
    for number in 0..MACHINES {
        let rack = format!("r{}", number / RACK);
        site.add_machine(&machine_name(number), POOL, &["a", &rack], CPU);
    }
    if !setup.start_hosts(3, folder) {
        return Outcome::NotRun;
    }
    // A job of four tasks that each fill a machine shows which machines of a rack it can use.
    let Some((rack, lost)) = find_divided_rack(&setup) else {
        site.note("no rack whose machines are used by jobs in part");
        return Outcome::NotRun;
    };
    site.note(&format!("rack {rack}: some jobs use only {lost:?}"));
    if setup.has_trouble {
        for name in &lost {
            site.crash_worker(name, true);
        }
    }
    thread::sleep(Duration::from_secs(6));
    let ids: Vec<String> = (0..JOBS).map(|number| job_id(9, number)).collect();
    for id in &ids {
        let more = format!(",\"constraints\":\"r{rack}\"");
        let is_accepted = setup.submit(POOL, id, &[step(1, &Work::new(1000, 300), &more)]);
        if !is_accepted {
            site.note(&format!("job {id}: not accepted"));
            return Outcome::NotRun;
        }
    }
    thread::sleep(FINISH + IDLE);
    site.note(&format!("processes alive: {}", setup.are_hosts_alive()));
    let mut waiting = 0;
    for id in &ids {
        let state = setup.state(POOL, id);
        let starts = site.events_of(id).iter().filter(|event| event.what == "start").count();
        site.note(&format!("job {id}: {state}, {starts} starts"));
        waiting += usize::from(starts == 0);
    }
    let left = RACK - if setup.has_trouble { lost.len() } else { 0 };
    let runs = site.counts().0;
    site.note(&format!("{waiting} of {JOBS} jobs never started; {left} machines of the rack are up, {runs} runs on all machines"));
    if waiting > 0 { Outcome::Broken } else { Outcome::Held }
}

fn machine_name(number: usize) -> String {
    format!("pb-{number:03}")
}

/// Returns a rack and the machines that some job used of it, if those are not all.
fn find_divided_rack(setup: &Setup) -> Option<(usize, Vec<String>)> {
    for rack in 0..6 {
        for attempt in 0..6 {
            if setup.site.now() > SEARCH_END {
                return None;
            }
            let id = job_id(3, (rack * 10 + attempt) as u64);
            let more = format!(",\"constraints\":\"r{rack}\"");
            let steps = [step(RACK as u64, &Work::new(CPU, 500), &more)];
            if !setup.submit(POOL, &id, &steps)
                || !setup.wait_state(POOL, &id, "completed", Duration::from_secs(12))
            {
                setup.site.note(&format!("job {id} for rack {rack}: {}", setup.state(POOL, &id)));
                continue;
            }
            let used = machines_of(setup, &id);
            setup.site.note(&format!("job {id} for rack {rack} ran on {used:?}"));
            if used.len() < RACK {
                return Some((rack, used.into_iter().collect()));
            }
        }
    }
    None
}

fn machines_of(setup: &Setup, id: &str) -> BTreeSet<String> {
    let machines = setup.site.machines.lock().unwrap();
    let events = setup.site.events_of(id);
    let started = events.iter().filter(|event| event.what == "start");
    let machine = |worker: &str| {
        let found = machines
            .iter()
            .find(|(_, machine)| machine.worker.as_ref().is_some_and(|known| known.id == worker));
        found.map(|(name, _)| name.clone())
    };
    started.filter_map(|event| machine(&event.worker)).collect()
}
