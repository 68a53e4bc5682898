//! A client asks to cancel a job that doesn't exist, is told so, and then hands it in.

use std::{io, thread, time::Duration};

use crate::{
    Outcome,
    site::{Program, Route, Site, job, step},
};

const ID: &str = "5c0e7a21d94b36f8";
/// Time between the two requests, longer than `cancel_ms`, `ack_ms` and a late write.
const PAUSE: Duration = Duration::from_secs(8);
/// `finish_s`, after which the job has to be over.
const FINISH_S: u64 = 14;

pub fn play(has_trouble: bool) -> Outcome {
    let mut site = Site::new(&[Route::open("q", "svc-a")], &[])?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_worker("svc-a", 4000, 4096)?;
    site.start_program(Program::Entry, "front-1")?;
    site.start_program(Program::Planner, "front-1")?;
    site.wait_until_served("q", "")?;
    if has_trouble {
        let answer = site.send("DELETE", &format!("/q/{ID}"), "", "");
        let status = answer.map_or(0, |answer| answer.status);
        site.record.add(format!("DELETE /q/{ID} -> {status}"));
        if status != 410 {
            return Err(io::Error::other("the job that doesn't exist was not answered 410"));
        }
    }
    site.state("q", ID, "");
    thread::sleep(PAUSE);
    site.state("q", ID, "");
    if !site.submit("q", ID, "", &job("ms=300 cpu=500 mem=16", vec![step(2, 500, 16, [])])) {
        site.record.add("the job was not accepted, and so isn't lost");
        return Ok((site, false));
    }
    let is_done = |site: &Site| site.starts(&format!("{ID}.0.0.0")) > 0;
    let has_begun = site.wait(FINISH_S, is_done);
    thread::sleep(Duration::from_secs(1));
    let state = site.state("q", ID, "");
    site.record.add(format!("begun: {has_begun}; shown as {state}"));
    Ok((site, !has_begun))
}
