//! A job with many tasks, and small jobs of the same queue after it.

use std::{path::Path, thread, time::Duration};

use super::{Outcome, Setup, configure, job_id, step};
use crate::site::Work;

const POOL: &str = "batch";
const MACHINES: usize = 8;
/// Tasks of the first step of the large job, with and without the disruption; its second step
/// has two, which take longer than the case.
const TASKS: u64 = 8_000;
const FEW_TASKS: u64 = 800;
const TAIL_MS: u64 = 600_000;
const SMALL_JOBS: u64 = 10;
/// Time given to the large job before the small ones come.
const HEAD_START: Duration = Duration::from_secs(12);
/// `finish_s` of the site file, in which the small jobs have room all the while.
const FINISH: Duration = Duration::from_secs(14);
/// Further time without a run of a task whose turn has come.
const IDLE: Duration = Duration::from_secs(10);

pub fn run(mut setup: Setup, folder: &Path) -> Outcome {
    let site = setup.site.clone();
    configure(&site, &[POOL], 3);
    for number in 0..MACHINES {
        site.add_machine(&format!("m{number}"), POOL, &["a", "r1"], 64_000);
    }
    if !setup.start_hosts(3, folder) {
        return Outcome::NotRun;
    }
    let probe = job_id(1, 0);
    let work = Work::new(500, 40);
    if !setup.submit(POOL, &probe, &[step(4, &work, "")])
        || !setup.wait_state(POOL, &probe, "completed", Duration::from_secs(15))
    {
        return Outcome::NotRun;
    }
    let large = job_id(1, 1);
    let tasks = if setup.has_trouble { TASKS } else { FEW_TASKS };
    let tail = Work::new(500, TAIL_MS);
    let steps = [step(tasks, &work, ""), step(2, &tail, ",\"after\":[0]")];
    let is_accepted = setup.submit(POOL, &large, &steps);
    site.note(&format!(
        "large job {large} with {tasks} tasks and two long ones: accepted {is_accepted}"
    ));
    if !is_accepted {
        return Outcome::Held;
    }
    for _ in 0..HEAD_START.as_secs() / 2 {
        thread::sleep(Duration::from_secs(2));
        let done = site.events_of(&large).iter().filter(|event| event.what == "done").count();
        let (runs, ends) = site.counts();
        site.note(&format!(
            "large job: {done} tasks done; {runs} runs, {ends} ends not taken note of"
        ));
        if setup.state(POOL, &large) == "completed" {
            break;
        }
    }
    let small: Vec<String> = (0..SMALL_JOBS).map(|number| job_id(2, number)).collect();
    for id in &small {
        let is_accepted = setup.submit(POOL, id, &[step(2, &Work::new(500, 300), "")]);
        site.note(&format!("small job {id}: accepted {is_accepted}"));
        if !is_accepted {
            return Outcome::NotRun;
        }
    }
    thread::sleep(FINISH + IDLE);
    let alive = setup.are_hosts_alive();
    let (runs, ends) = site.counts();
    site.note(&format!("processes alive: {alive}; {runs} runs, {ends} ends not taken note of"));
    let mut lost = 0;
    for id in small.iter().chain([&large]) {
        let state = setup.state(POOL, id);
        let events = site.events_of(id);
        let starts = events.iter().filter(|event| event.what == "start").count();
        let done = events.iter().filter(|event| event.what == "done").count();
        let last = events.iter().map(|event| event.at).max().unwrap_or_default();
        site.note(&format!(
            "job {id}: {state}, {starts} starts, {done} done, last event at {last:?}"
        ));
        let is_idle = site.now().saturating_sub(last) >= IDLE;
        lost += usize::from(state != "completed" && is_idle && *id != large);
    }
    site.note(&format!("small jobs with nothing running and room for {IDLE:?}: {lost}"));
    if lost > 0 { Outcome::Broken } else { Outcome::Held }
}
