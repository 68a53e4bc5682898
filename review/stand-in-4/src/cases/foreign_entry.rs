//! Another writer puts an entry of a service that the configuration doesn't name under the id of
//! a worker at work.

use std::{io, thread, time::Duration};

use crate::{
    Outcome,
    json::{Json, object},
    site::{Program, Route, Site, job, step},
    worker::unix_ms,
};

/// Time between two writes of the other writer, as of the workers.
const PERIOD: Duration = Duration::from_millis(1500);
const ID: &str = "5c0e7a21d94b36f8";

/// Plays the case. With `is_copy`, the entry is the worker's own but for another service and the
/// address of another worker, and it has no later `born`.
pub fn play(has_trouble: bool, is_copy: bool) -> Outcome {
    let mut site = Site::new(&[Route::open("q", "svc-a")], &[])?;
    for _ in 0..3 {
        site.start_worker("svc-a", 4000, 4096)?;
    }
    site.start_program(Program::Entry, "front-1")?;
    site.start_program(Program::Planner, "front-1")?;
    site.wait_until_served("q", "")?;
    let work = job("ms=8000 cpu=2000 mem=64", vec![step(1, 2000, 64, [])]);
    if !site.submit("q", ID, "", &work) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let task = format!("{ID}.0.0.0");
    if !site.wait(15, |site| !site.workers_of(&task).is_empty()) {
        return Err(io::Error::other("the task did not start"));
    }
    thread::sleep(Duration::from_millis(1500));
    if has_trouble {
        let id = site.workers_of(&task)[0].identity.id.clone();
        let machine = site.workers_of(&task)[0].identity.machine.clone();
        let known = site.workers_of(&task)[0].clone();
        let other = site.workers.iter().find(|worker| worker.address != known.address);
        let other = other.map(|worker| worker.address.to_string()).unwrap_or_default();
        let (address, born_ms) = match is_copy {
            true => (other, known.born_ms),
            false => ("127.0.0.1:9".to_owned(), unix_ms()),
        };
        let capacity =
            object([("cpu", 8000_u64.into()), ("mem_mb", 8192_u64.into()), ("gpu", 0_u64.into())]);
        let labels: Vec<Json> = vec!["a".into()];
        let entry = object([
            ("service", "ledger-backup".into()),
            ("address", address.into()),
            ("zone", "z1".into()),
            ("version", "v3".into()),
            ("slots", 4_u64.into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0_u64.into()),
            ("machine", machine.into()),
            ("capacity", capacity),
            ("labels", labels.into()),
            ("born", born_ms.into()),
            ("sequence", 1_u64.into()),
        ]);
        // It writes as often as workers do, between the worker's own writes.
        for _ in 0..4 {
            site.record.add(format!("another writer puts servers/{id}: {entry}"));
            site.store.put("servers", &id, &entry.to_string());
            thread::sleep(PERIOD);
        }
    }
    site.wait(12, |site| site.state("q", ID, "") == "completed");
    let mut spans: Vec<_> = site.workers.iter().flat_map(|worker| worker.spans()).collect();
    spans.sort_by_key(|span| span.from_ms);
    let mut is_broken = false;
    for (index, span) in spans.iter().enumerate() {
        site.record.add(format!("run: {span:?}"));
        let before = &spans[..index];
        is_broken |= before.iter().any(|earlier| {
            earlier.task == span.task && earlier.until_ms.is_none_or(|until| until > span.from_ms)
        });
    }
    Ok((site, is_broken))
}
