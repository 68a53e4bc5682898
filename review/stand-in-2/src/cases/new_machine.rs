//! A maintenance wave for machines that were added while the list of machines was not to be had.

use std::{path::Path, thread, time::Duration};

use super::{Outcome, Setup, configure, job_id, step};
use crate::{json::Json, site::Work};

const POOL: &str = "batch";
/// How long the platform's interface for machines is down.
const DOWN: Duration = Duration::from_secs(5);
const WAVE: u64 = 1;
const WAVE_TIME: Duration = Duration::from_secs(26);

pub fn run(mut setup: Setup, folder: &Path) -> Outcome {
    let site = setup.site.clone();
    configure(&site, &[POOL], 3);
    for number in 0..12 {
        site.add_machine(&format!("m{number}"), POOL, &["a", "r1"], 64_000);
    }
    if !setup.start_hosts(3, folder) {
        return Outcome::NotRun;
    }
    let probe = job_id(1, 0);
    if !setup.submit(POOL, &probe, &[step(4, &Work::new(1000, 300), "")])
        || !setup.wait_state(POOL, &probe, "completed", Duration::from_secs(15))
    {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    *site.are_machines_down.lock().unwrap() = setup.has_trouble;
    site.note(&format!("list of machines down: {}", setup.has_trouble));
    let added = ["n1", "n2"];
    for name in added {
        site.add_machine(name, POOL, &["a", "r2"], 64_000);
        site.note(&format!("machine {name} is added"));
    }
    thread::sleep(Duration::from_secs(2));
    let wave = Json::map([
        ("wave", Json::from(WAVE)),
        ("machines", Json::List(added.map(Json::from).to_vec())),
        ("duration_s", Json::from(WAVE_TIME.as_secs())),
        ("maximum", Json::from(1)),
    ]);
    site.store.put("op", &format!("wave/{WAVE}"), &wave);
    site.note(&format!("operator: op/wave/{WAVE} = {wave}"));
    thread::sleep(DOWN - Duration::from_secs(2));
    *site.are_machines_down.lock().unwrap() = false;
    site.note("list of machines up");
    let mut is_broken = false;
    let begin = site.now();
    let mut last = String::new();
    while site.now() < begin + WAVE_TIME {
        let status = site.store.get("status", &format!("wave/{WAVE}")).unwrap_or(Json::Null);
        let state = status.get("state").text().to_owned();
        let machines = site.machines.lock().unwrap();
        let left: Vec<&str> =
            added.into_iter().filter(|name| !machines[*name].upkeeps.contains(&WAVE)).collect();
        let line = format!("status/wave/{WAVE}: {state:?}; upkeep not begun: {left:?}");
        if line != last {
            site.note(&line);
            last = line;
        }
        is_broken |= state == "completed" && !left.is_empty();
        drop(machines);
        thread::sleep(Duration::from_millis(100));
    }
    site.note(&format!("processes alive: {}", setup.are_hosts_alive()));
    if is_broken { Outcome::Broken } else { Outcome::Held }
}
