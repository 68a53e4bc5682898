//! A task that lasts ends by itself: first one as `failed`, then, with trouble, one as `done`.

use std::{io, thread, time::Duration};

use crate::{
    Outcome,
    site::{Program, Route, Site, job, step},
};

const ID: &str = "5c0e7a21d94b36f8";
/// Time after its last run for which a task that lasts may be away, by LOST: 6 s and 3 s.
const MAX_AWAY: Duration = Duration::from_secs(9);

pub fn play(has_trouble: bool) -> Outcome {
    let mut site = Site::new(&[Route::open("keep", "svc-a")], &[])?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_program(Program::Entry, "front-1")?;
    site.start_program(Program::Planner, "front-1")?;
    site.wait_until_served("keep", "")?;
    let lasting = step(2, 500, 64, [("long_running", true.into()), ("may_miss", 1_u64.into())]);
    if !site.submit("keep", ID, "", &job("lasts cpu=500 mem=64", vec![lasting])) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let tasks = [0, 1].map(|index| format!("{ID}.0.0.{index}"));
    let runs = |site: &Site, task: &str| !site.workers_of(task).is_empty();
    if !site.wait(15, |site| tasks.iter().all(|task| runs(site, task))) {
        return Err(io::Error::other("the tasks did not start"));
    }
    thread::sleep(Duration::from_secs(2));
    site.workers_of(&tasks[0])[0].end(&tasks[0], "failed");
    if !site.wait(9, |site| runs(site, &tasks[0])) {
        return Err(io::Error::other("not even a task that has failed was started again"));
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        site.workers_of(&tasks[1])[0].end(&tasks[1], "done");
    }
    let is_back = site.wait(MAX_AWAY.as_secs(), |site| runs(site, &tasks[1]));
    thread::sleep(Duration::from_secs(1));
    let state = site.state("keep", ID, "");
    site.record.add(format!(
        "the second task was started {} times; runs: {is_back}; the job is told as {state:?}",
        site.starts(&tasks[1])
    ));
    Ok((site, !is_back))
}
