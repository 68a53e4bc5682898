//! A worker and the holder's machine are lost for good at the same time; another planner and
//! other workers stay.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    json::Json,
    site::{Program, Route, Site, job, step},
};

const ID: &str = "5c0e7a21d94b36f8";
/// Time after its last run for which a task that lasts may be away, by LOST: 6 s and 3 s.
const MAX_AWAY: Duration = Duration::from_secs(9);
/// Time for which it is watched.
const WATCHED_S: u64 = 20;

pub fn play(has_trouble: bool) -> Outcome {
    let mut site = Site::new(&[Route::open("keep", "svc-a")], &[])?;
    for _ in 0..3 {
        site.start_worker("svc-a", 4000, 4096)?;
    }
    site.start_program(Program::Entry, "front-2")?;
    site.start_program(Program::Planner, "front-1")?;
    site.wait_until_served("keep", "")?;
    let more: [(&str, Json); 3] = [
        ("long_running", true.into()),
        ("may_miss", 1_u64.into()),
        ("anti_affinity", 1_u64.into()),
    ];
    let lasting = job("lasts cpu=500 mem=64", vec![step(2, 500, 64, more)]);
    if !site.submit("keep", ID, "", &lasting) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let tasks = [0, 1].map(|index| format!("{ID}.0.0.{index}"));
    let runs = |site: &Site, task: &str| !site.workers_of(task).is_empty();
    if !site.wait(15, |site| tasks.iter().all(|task| runs(site, task))) {
        return Err(io::Error::other("the tasks did not start"));
    }
    // The planner of the first entry host is the holder, as there was no other.
    site.start_program(Program::Planner, "front-2")?;
    thread::sleep(Duration::from_secs(4));
    let lost = Instant::now();
    site.workers_of(&tasks[0])[0].crash();
    if has_trouble {
        site.kill_first(Program::Planner);
    }
    let is_back = site.wait(WATCHED_S, |site| runs(site, &tasks[0]));
    let away = lost.elapsed();
    site.record.add(format!("back: {is_back}, after {} ms", away.as_millis()));
    Ok((site, away > MAX_AWAY))
}
