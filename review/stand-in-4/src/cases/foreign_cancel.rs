//! A client cancels a job that doesn't exist: one queue has a job under the identifier, and the
//! cancelling names another queue.

use std::{io, thread, time::Duration};

use crate::{
    Outcome,
    site::{Program, Route, Site, Tenant, job, step},
};

const ID: &str = "5c0e7a21d94b36f8";
/// `finish_s`, after which the job has to be over.
const FINISH_S: u64 = 14;
const WORK_S: u64 = 6;

pub fn play(has_trouble: bool) -> Outcome {
    let keyed = |name: &str| Route { needs_key: true, ..Route::open(name, "svc-a") };
    let tenant = |name: &str| Tenant { name: name.to_owned(), weight: 100 };
    let mut site =
        Site::new(&[keyed("orders"), keyed("menus")], &[tenant("shop"), tenant("other")])?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_program(Program::Entry, "front-1")?;
    site.start_program(Program::Planner, "front-1")?;
    site.wait_until_served("orders", "shop-key")?;
    let spec = format!("ms={} cpu=500 mem=64", WORK_S * 1000);
    if !site.submit("orders", ID, "shop-key", &job(&spec, vec![step(2, 500, 64, [])])) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let tasks = [0, 1].map(|index| format!("{ID}.0.0.{index}"));
    let runs = |site: &Site, task: &String| !site.workers_of(task).is_empty();
    if !site.wait(15, |site| tasks.iter().all(|task| runs(site, task))) {
        return Err(io::Error::other("the tasks did not start"));
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        let answer = site.send("DELETE", &format!("/menus/{ID}"), "other-key", "");
        let status = answer.map_or(0, |answer| answer.status);
        site.record.add(format!("the other tenant: DELETE /menus/{ID} -> {status}"));
    }
    let is_done = |site: &Site| site.state("orders", ID, "shop-key") == "completed";
    let is_completed = site.wait(WORK_S + FINISH_S, |site| {
        thread::sleep(Duration::from_millis(500));
        is_done(site)
    });
    let starts: Vec<usize> = tasks.iter().map(|task| site.starts(task)).collect();
    let running = tasks.iter().filter(|task| runs(&site, task)).count();
    site.record.add(format!(
        "completed: {is_completed}; starts of the tasks {starts:?}; {running} of them run"
    ));
    Ok((site, !is_completed && running == 0))
}
