//! Many jobs of one queue come at once while the pool is full; the other queues have a waiting
//! job each.

use std::{
    io,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    json::Json,
    site::{Program, Route, Site, job, step},
};

/// Queues of the site.
const QUEUES: usize = 8;
/// Jobs of the first queue, with and without the burst, which come within [`TRAFFIC`].
const BURST: usize = 900;
const USUAL: usize = 94;
const TRAFFIC: Duration = Duration::from_secs(4);
/// `visible_ms` and 2 s, after which a job has to be counted, and a little more.
const VISIBLE: Duration = Duration::from_millis(3000 + 2000 + 500);

pub fn play(has_trouble: bool) -> Outcome {
    let names: Vec<String> = (0..QUEUES).map(|number| format!("q{number}")).collect();
    let routes: Vec<Route> = names.iter().map(|name| Route::open(name, "svc-a")).collect();
    let mut site = Site::new(&routes, &[])?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_program(Program::Entry, "front-1")?;
    site.start_program(Program::Planner, "front-1")?;
    site.wait_until_served("q0", "")?;
    // Long work fills the pool.
    let full = job("ms=110000 cpu=4000 mem=64", vec![step(1, 4000, 64, [])]);
    let task = "ffffffffffffffff.0.0.0";
    if !site.submit("q0", "ffffffffffffffff", "", &full)
        || !site.wait(15, |site| !site.workers_of(task).is_empty())
    {
        return Err(io::Error::other("the pool is not full"));
    }
    let small = job("ms=200 cpu=500 mem=16", vec![step(1, 500, 16, [])]);
    for (number, name) in names.iter().enumerate().skip(1) {
        if !site.submit(name, &format!("{number:016x}"), "", &small) {
            return Err(io::Error::other("a job was not accepted"));
        }
    }
    let count = if has_trouble { BURST } else { USUAL };
    let start = Instant::now();
    let (next, accepted) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= count {
                        return;
                    }
                    let due = TRAFFIC * number as u32 / count as u32;
                    thread::sleep(due.saturating_sub(start.elapsed()));
                    let id = format!("{:016x}", 0xa000_0000_0000_0000_u64 + number as u64);
                    if site.submit("q0", &id, "", &small) {
                        accepted.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let accepted = accepted.into_inner();
    site.record.add(format!("{accepted} jobs of q0 accepted"));
    thread::sleep(VISIBLE);
    let mut told = Vec::new();
    for _ in 0..3 {
        let answer = site.send("GET", "/q0/", "", "");
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        let waiting = Json::parse(body.as_bytes()).and_then(|body| body.get("waiting").number());
        site.record.add(format!("GET /q0/ -> {body}"));
        told.extend(waiting);
        thread::sleep(Duration::from_millis(1000));
    }
    let started = site.workers.iter().flat_map(|worker| worker.spans()).count() - 1;
    site.record.add(format!("of them {started} have begun"));
    let waiting = accepted.saturating_sub(started) as u64;
    let is_broken = !told.is_empty() && told.iter().all(|told| told * 2 < waiting);
    Ok((site, is_broken))
}
