//! A tenant sends five times its usual for some seconds, more than its weight. Tasks of another
//! tenant fill beside, so almost all room is free.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    site::{Program, Route, Site, Tenant, job, step},
};

/// Jobs a second, the weight of the tenant.
const WEIGHT: u64 = 4;
/// Time for which it sends, and how many times its usual it sends with trouble.
const SEND_S: u64 = 6;
const HOT: u64 = 5;
/// `finish_s`, after which every job has to be over.
const FINISH_S: u64 = 14;

fn id(number: u64) -> String {
    format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub fn play(has_trouble: bool) -> Outcome {
    let keyed = |name: &str| Route { needs_key: true, ..Route::open(name, "svc-a") };
    let tenant = |name: &str, weight| Tenant { name: name.to_owned(), weight };
    let mut site =
        Site::new(&[keyed("fill"), keyed("q")], &[tenant("archive", 100), tenant("shop", WEIGHT)])?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_program(Program::Entry, "front-1")?;
    site.start_program(Program::Planner, "front-1")?;
    site.wait_until_served("q", "shop-key")?;
    let more =
        [("long_running", true.into()), ("fills", true.into()), ("anti_affinity", 1_u64.into())];
    let filling = job("lasts fills cpu=4000 mem=64", vec![step(2, 4000, 64, more)]);
    let running =
        |site: &Site| site.workers.iter().map(|worker| worker.running().len()).sum::<usize>();
    if !site.submit("fill", "00000000000000f1", "archive-key", &filling)
        || !site.wait(15, |site| running(site) == 2)
    {
        return Err(io::Error::other("the filling tasks do not run"));
    }
    let small = job("ms=300 cpu=500 mem=16", vec![step(1, 500, 16, [])]);
    let start = Instant::now();
    let rate = if has_trouble { WEIGHT * HOT } else { WEIGHT };
    let mut accepted = Vec::new();
    for number in 0..rate * SEND_S {
        let due = Duration::from_millis(number * 1000 / rate);
        thread::sleep(due.saturating_sub(start.elapsed()));
        if site.submit("q", &id(number), "shop-key", &small) {
            accepted.push(id(number));
        }
    }
    site.wait(FINISH_S, |site| accepted.iter().all(|id| site.starts(&format!("{id}.0.0.0")) > 0));
    thread::sleep(Duration::from_secs(2));
    let mut open = 0;
    for id in &accepted {
        let state = site.state("q", id, "shop-key");
        open += usize::from(state != "completed");
    }
    let never = accepted.iter().filter(|id| site.starts(&format!("{id}.0.0.0")) == 0).count();
    site.record.add(format!(
        "{} jobs accepted, {open} not completed, {never} of them never began; on the workers run {:?}",
        accepted.len(),
        site.workers.iter().map(|worker| worker.running()).collect::<Vec<_>>()
    ));
    Ok((site, never > 0))
}
