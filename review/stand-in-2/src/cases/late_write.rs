//! A job whose write to the store gets no answer and is done late, cancelled meanwhile.

use std::{path::Path, thread, time::Duration};

use super::{Outcome, Setup, configure, job_id, step};
use crate::{json::Json, site::Work, store::Fate};

const POOL: &str = "batch";
/// Steps of the job, one after the other.
const STEPS: usize = 6;
/// How much later a write without an answer is done: 1 to 6 s.
const LATE: Duration = Duration::from_millis(5900);
/// `cancel_ms` and `contact_ms` of the site file.
const CANCEL: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(3);

pub fn run(mut setup: Setup, folder: &Path) -> Outcome {
    let site = setup.site.clone();
    configure(&site, &[POOL], 3);
    for number in 0..6 {
        site.add_machine(&format!("m{number}"), POOL, &["a", "r1"], 64_000);
    }
    if !setup.start_hosts(3, folder) {
        return Outcome::NotRun;
    }
    let probe = job_id(1, 0);
    let work = Work::new(1000, 300);
    if !setup.submit(POOL, &probe, &[step(4, &work, "")])
        || !setup.wait_state(POOL, &probe, "completed", Duration::from_secs(15))
    {
        return Outcome::NotRun;
    }
    let id = job_id(4, 1);
    let work = Work::new(1000, 500);
    for number in 0..STEPS {
        site.works.lock().unwrap().insert((id.clone(), number), work.clone());
    }
    if setup.has_trouble {
        let lost = id.clone();
        site.store.set_rule(Some(Box::new(move |transaction: &Json| {
            let writes = transaction.get("writes").list();
            match writes.iter().any(|entry| entry.get("key").text() == lost) {
                true => Fate::Late(LATE),
                false => Fate::Normal,
            }
        })));
    }
    let after = |number: usize| match number {
        0 => String::new(),
        _ => format!(",\"after\":[{}]", number - 1),
    };
    let steps: Vec<String> = (0..STEPS).map(|number| step(2, &work, &after(number)).0).collect();
    let body = format!("{{\"spec\":\"{id}\",\"steps\":[{}]}}", steps.join(","));
    let path = format!("/{POOL}/{id}");
    setup.call(0, "POST", &path, &body);
    site.store.set_rule(None);
    let disrupted_until = site.now();
    // The client gives the job up.
    let mut cancelled = None;
    while cancelled.is_none() && site.now() < disrupted_until + Duration::from_secs(4) {
        let answer = setup.call(1, "DELETE", &path, "").map(|(status, _)| status);
        cancelled = answer.filter(|status| (200..300).contains(status) || *status == 410);
    }
    if cancelled.is_none() {
        return Outcome::NotRun;
    }
    let acknowledged = site.now();
    thread::sleep(Duration::from_secs(14));
    site.note(&format!(
        "processes alive: {}; state of the job: {}",
        setup.are_hosts_alive(),
        setup.state(POOL, &id)
    ));
    let mut late = 0;
    for event in site.events_of(&id) {
        let is_after = event.at > acknowledged + CANCEL && event.at > disrupted_until + CONTACT;
        late += usize::from(event.what == "start" && is_after);
    }
    site.note(&format!("starts later than {CANCEL:?} after the cancelling was acknowledged, {CONTACT:?} after the disruption: {late}"));
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}
