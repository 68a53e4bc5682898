//! A gang with checkpoints that loses the worker of one member.

use std::{path::Path, thread, time::Duration};

use super::{Outcome, Setup, configure, job_id, step};
use crate::site::Work;

const POOL: &str = "batch";
const MEMBERS: u64 = 4;
/// `contact_ms` of the site file.
const CONTACT: Duration = Duration::from_secs(3);
/// Begin of the checkpoint after 3 s of work.
const CHECKPOINT: &str = "00000bb8";
/// Pause between two looks at the members.
const STEP: Duration = Duration::from_millis(200);
const WATCH: Duration = Duration::from_secs(45);

pub fn run(mut setup: Setup, folder: &Path) -> Outcome {
    let site = setup.site.clone();
    configure(&site, &[POOL], 3);
    for number in 0..8 {
        site.add_machine(&format!("m{number}"), POOL, &["a", "r1"], 64_000);
    }
    if !setup.start_hosts(3, folder) {
        return Outcome::NotRun;
    }
    let id = job_id(5, 1);
    let mut work = Work::new(40_000, 9000);
    work.gang = MEMBERS as usize;
    work.has_checkpoints = true;
    let steps = [step(MEMBERS, &work, ",\"gang\":true,\"checkpointing\":true")];
    if !setup.submit(POOL, &id, &steps) {
        return Outcome::NotRun;
    }
    // A while after the gang has begun, a machine is lost whose member has saved a checkpoint
    // since it was listed last.
    let begin = site.now();
    let members: Vec<String> = (0..MEMBERS).map(|index| format!("{id}.0.0.{index}")).collect();
    let found = loop {
        let mut known = members.iter().filter_map(|member| site.checkpoints(member));
        let stale = known.find(|(_, saved, shown)| saved.starts_with(CHECKPOINT) && saved != shown);
        match stale {
            Some(stale) => break Some(stale),
            None if site.now() > begin + Duration::from_secs(20) => break None,
            None => thread::sleep(STEP),
        }
    };
    let Some((machine, saved, shown)) = found else {
        site.note("the gang did not begin");
        return Outcome::NotRun;
    };
    site.note(&format!("the member on {machine}: saved {saved}, last listed {shown:?}"));
    let mut disrupted = site.now();
    if setup.has_trouble {
        site.crash_worker(&machine, true);
        disrupted = site.now();
    }
    let is_completed = setup.wait_state(POOL, &id, "completed", WATCH);
    site.note(&format!("processes alive: {}; completed: {is_completed}", setup.are_hosts_alive()));
    let mut alone = 0;
    for event in site.events_of(&id) {
        alone += usize::from(event.what == "alone" && event.at > disrupted + CONTACT * 2);
    }
    site.note(&format!("runs that ended alone, with no disruption near: {alone}"));
    if alone > 0 {
        Outcome::Broken
    } else if is_completed {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
