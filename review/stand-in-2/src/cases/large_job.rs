//! A job with many tasks, and small jobs of the same and of another queue after it.

use std::{path::Path, thread, time::Duration};

use super::{Outcome, Setup, configure, job_id, step};
use crate::site::Work;

/// Pool of the large job's queue, and the pool of another queue.
const BATCH: &str = "batch";
const DESK: &str = "desk";
const MACHINES: usize = 4;
/// Tasks of the steps of the large job, with and without the disruption.
const TASKS: [u64; 2] = [6_500, 9_000];
const FEW_TASKS: [u64; 2] = [650, 900];
const SMALL_JOBS: u64 = 8;
/// Time given to the large job before the small ones come.
const HEAD_START: Duration = Duration::from_secs(12);
/// `finish_s` of the site file, in which the small jobs have room all the while.
const FINISH: Duration = Duration::from_secs(14);
/// Further time without a run of a task whose turn has come.
const IDLE: Duration = Duration::from_secs(10);

pub fn run(mut setup: Setup, folder: &Path) -> Outcome {
    let site = setup.site.clone();
    configure(&site, &[BATCH, DESK], 3);
    for number in 0..MACHINES {
        site.add_machine(&format!("b{number}"), BATCH, &["a", "r1"], 64_000);
        site.add_machine(&format!("d{number}"), DESK, &["a", "r2"], 64_000);
    }
    if !setup.start_hosts(3, folder) {
        return Outcome::NotRun;
    }
    for (number, pool) in [BATCH, DESK].into_iter().enumerate() {
        let probe = job_id(1, 10 + number as u64);
        if !setup.submit(pool, &probe, &[step(4, &Work::new(500, 40), "")])
            || !setup.wait_state(pool, &probe, "completed", Duration::from_secs(15))
        {
            return Outcome::NotRun;
        }
    }
    let large = job_id(1, 1);
    let tasks = if setup.has_trouble { TASKS } else { FEW_TASKS };
    let (short, long) = (Work::new(100, 40), Work::new(10, 1000));
    let steps = [step(tasks[0], &short, ""), step(tasks[1], &long, ",\"after\":[0]")];
    if !setup.submit(BATCH, &large, &steps) {
        return Outcome::Held;
    }
    for _ in 0..HEAD_START.as_secs() / 2 {
        thread::sleep(Duration::from_secs(2));
        let done = site.events_of(&large).iter().filter(|event| event.what == "done").count();
        let (runs, ends) = site.counts();
        let state = setup.state(BATCH, &large);
        site.note(&format!(
            "large job: {state}, {done} of {} tasks done; {runs} runs, {ends} ends not taken note of",
            tasks.iter().sum::<u64>()
        ));
    }
    let mut small = Vec::new();
    for number in 0..SMALL_JOBS {
        for (group, pool) in [(2, BATCH), (3, DESK)] {
            let id = job_id(group, number);
            if !setup.submit(pool, &id, &[step(2, &Work::new(500, 300), "")]) {
                return Outcome::NotRun;
            }
            small.push((pool, id));
        }
    }
    thread::sleep(FINISH + IDLE);
    let alive = setup.are_hosts_alive();
    let (runs, ends) = site.counts();
    site.note(&format!("processes alive: {alive}; {runs} runs, {ends} ends not taken note of"));
    let mut lost = 0;
    small.push((BATCH, large.clone()));
    for (pool, id) in &small {
        let state = setup.state(pool, id);
        let events = site.events_of(id);
        let starts = events.iter().filter(|event| event.what == "start").count();
        let done = events.iter().filter(|event| event.what == "done").count();
        let last = events.iter().map(|event| event.at).max().unwrap_or_default();
        site.note(&format!(
            "queue {pool}, job {id}: {state}, {starts} starts, {done} done, last event at {:.1} s",
            last.as_secs_f64()
        ));
        let is_idle = site.now().saturating_sub(last) >= IDLE;
        lost += usize::from(state != "completed" && is_idle);
    }
    site.note(&format!(
        "jobs with nothing running and room for {IDLE:?}: {lost} of {}",
        small.len()
    ));
    if lost > 0 { Outcome::Broken } else { Outcome::Held }
}
