//! The cases.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    site::{Route, Site},
    workers::{Kind, Worker},
};

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
}

type Outcome = Result<Verdict, String>;

/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// `visible_ms` and the two seconds that a count may be old.
const VISIBLE: Duration = Duration::from_millis(3000 + 2000);

/// Runs a case.
pub fn run(case: &str, record: &Record, has_trouble: bool) -> Outcome {
    match case {
        "handover" => handover(record, has_trouble),
        "dropped-route" => dropped_route(record, has_trouble),
        "waiting" => waiting(record, has_trouble),
        "moved-job" => moved_job(record, has_trouble),
        "schedule" => schedule(record, has_trouble),
        "late-acknowledgement" => late_acknowledgement(record, has_trouble),
        "foreign-cancel" => foreign_cancel(record, has_trouble, false),
        "foreign-cancel-tenants" => foreign_cancel(record, has_trouble, true),
        _ => Err(format!("no case {case:?}")),
    }
}

/// Adds machines of a service, half of them in each zone.
fn add_machines(site: &Site, service: &str, count: usize, millicores: u64) -> Vec<String> {
    let names = (1..=count).map(|number| format!("m-{service}-{number}"));
    let names: Vec<String> = names.collect();
    for (index, machine) in names.iter().enumerate() {
        site.platform.add(Kind {
            machine: machine.clone(),
            service: service.to_owned(),
            zone: ["a", "b"][index % 2].to_owned(),
            rack: format!("r{}", index / 4),
            millicores,
            memory_mb: 131_072,
        });
    }
    names
}

/// Waits until a condition holds; returns whether it did in time.
fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// A wave with one machine at a time on a platform whose calls take a while, and a planned restart
/// of the entry host that has just ordered an upkeep.
fn handover(record: &Record, has_trouble: bool) -> Outcome {
    let delay = if has_trouble { 1200 } else { 20 };
    let delay = std::env::var("DELAY_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(delay);
    let site = Site::new(record, Duration::from_millis(delay));
    let machines = add_machines(&site, "press", 8, 64_000);
    site.configure(1, &[Route::new("press-a", "press")], &["press"], 3000);
    site.start()?;
    site.platform.request_wave(1, &machines, 60, 1);
    let end = Instant::now() + Duration::from_secs(75);
    let (mut seen, mut restarts) = (0, 0);
    let mut last_restart = Instant::now();
    while Instant::now() < end && site.platform.begun(1) < machines.len() {
        thread::sleep(Duration::from_millis(10));
        let orders = site.platform.upkeep_orders();
        let is_calm = restarts == 0 || last_restart.elapsed() > Duration::from_secs(12);
        if has_trouble && is_calm && orders.len() > seen {
            site.restart(&orders[orders.len() - 1].0);
            (restarts, last_restart) = (restarts + 1, Instant::now());
        }
        seen = orders.len();
    }
    thread::sleep(Duration::from_secs(3));
    let (begun, violations) = (site.platform.begun(1), site.platform.violations());
    site.stop();
    match violations.first() {
        Some(first) => Ok(Verdict::Broken(format!(
            "LIMIT, {} times in {restarts} restarts; first: {first}",
            violations.len()
        ))),
        None if begun < 2 => Err(format!("only {begun} upkeeps began")),
        None => Ok(Verdict::Held(format!("{begun} upkeeps, {restarts} restarts"))),
    }
}

/// A job is accepted, and its route is removed while its first step runs.
fn dropped_route(record: &Record, has_trouble: bool) -> Outcome {
    let site = Site::new(record, Duration::from_millis(20));
    add_machines(&site, "press", 4, 64_000);
    let routes = [Route::new("press-a", "press"), Route::new("press-b", "press")];
    site.configure(3, &routes, &["press"], 3000);
    site.start()?;
    let id = "5c0e7a21d94b36f8";
    let step = |after: &str| {
        format!("{{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":3000{after}}}")
    };
    let steps = format!("[{},{}]", step(""), step(",\"after\":[0]"));
    let job = format!("{{\"spec\":\"3000:1000,1000:1000\",\"steps\":{steps}}}");
    if !site.submit(&format!("/press-a/{id}"), &job) {
        return Err("the job was not accepted".to_owned());
    }
    let running = || -> BTreeSet<String> {
        site.platform.workers().iter().flat_map(|worker| worker.running()).collect()
    };
    let is_running = |task: &str| running().contains(task);
    let first = format!("{id}.0.0.0");
    if !wait_until(Duration::from_secs(5), || is_running(&first)) {
        return Err("the first step did not start".to_owned());
    }
    match has_trouble {
        true => site.configure(8, &routes[1..], &["press"], 3000),
        false => site.configure(8, &routes, &["press"], 2500),
    }
    let second = format!("{id}.0.1.0");
    if !wait_until(Duration::from_secs(8), || !is_running(&first)) {
        return Err("the first step did not end".to_owned());
    }
    record.line("the first step has ended; the turn of the second one has come");
    let has_started = wait_until(FINISH, || is_running(&second));
    let used: u64 = site.platform.workers().iter().map(|worker| worker.used_millicores()).sum();
    record.line(&format!("processor time in use: {used} of 256000 thousandths"));
    // Another queue of the same service shows that there is capacity.
    let other = "00000000000000b1";
    let other_job = "{\"spec\":\"300:1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":300}]}";
    site.submit(&format!("/press-b/{other}"), other_job);
    let path = format!("/press-b/{other}");
    let is_other_done =
        wait_until(Duration::from_secs(6), || site.look(&path, "state").as_str() == "completed");
    if !is_other_done {
        return Err("the job of the other queue did not run".to_owned());
    }
    site.call(0, "GET", &format!("/press-a/{id}"), "");
    site.stop();
    match has_started {
        true => Ok(Verdict::Held("the second step ran".to_owned())),
        false => Ok(Verdict::Broken(
            "LOST, nothing of the accepted job ran for 14 s while its second step was due and the service idle"
                .to_owned(),
        )),
    }
}

/// Many jobs wait in one queue, and a few in many others.
fn waiting(record: &Record, has_trouble: bool) -> Outcome {
    const JOBS: u64 = 200;
    let queues = if has_trouble { 40 } else { 4 };
    let site = Site::new(record, Duration::from_millis(20));
    add_machines(&site, "press", 1, 4000);
    let routes: Vec<Route> =
        (0..queues).map(|number| Route::new(&format!("queue-{number}"), "press")).collect();
    site.configure(1, &routes, &["press"], 3000);
    site.start()?;
    // A task that lasts takes all of the service's room.
    let lasting = "{\"spec\":\"lasts:4000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":256,\"estimate_ms\":500,\"long_running\":true}]}";
    if !site.submit("/queue-0/00000000000000aa", lasting) {
        return Err("the first job was not accepted".to_owned());
    }
    let is_full = || site.platform.workers().iter().all(|worker| worker.used_millicores() == 4000);
    if !wait_until(Duration::from_secs(5), is_full) {
        return Err("the first job did not start".to_owned());
    }
    let job = "{\"spec\":\"500:1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500}]}";
    let submit = |queue: u64, number: u64| {
        site.submit(&format!("/queue-{queue}/{:016x}", (queue << 32) + number + 1), job)
    };
    // Twenty a second, as in a turn of high demand.
    let mut accepted = 0_u64;
    for number in 0..JOBS {
        accepted += u64::from(submit(0, number));
        thread::sleep(Duration::from_millis(50));
    }
    for queue in 1..queues {
        submit(queue, 0);
    }
    thread::sleep(VISIBLE + Duration::from_secs(1));
    let mut lowest = u64::MAX;
    for _ in 0..5 {
        let told = site.look("/queue-0/", "waiting").as_u64();
        lowest = lowest.min(told.ok_or("the count was not told")?);
        thread::sleep(Duration::from_millis(700));
    }
    let is_still_full = is_full();
    site.stop();
    if !is_still_full || accepted < JOBS {
        return Err(format!("{accepted} of {JOBS} jobs accepted, service full: {is_still_full}"));
    }
    match lowest * 2 < accepted {
        true => Ok(Verdict::Broken(format!(
            "MIXED, {lowest} jobs are told as waiting, {accepted} wait in the queue ({queues} queues)"
        ))),
        false => {
            Ok(Verdict::Held(format!("{lowest} of {accepted} told as waiting ({queues} queues)")))
        }
    }
}

/// A scheduled job whose first time lies in the past.
fn schedule(record: &Record, has_trouble: bool) -> Outcome {
    let memory_kb = 260 * 1024;
    let site = Site::new(record, Duration::from_millis(20));
    add_machines(&site, "press", 4, 64_000);
    add_machines(&site, "proof", 4, 64_000);
    let routes = [Route::new("press-a", "press"), Route::new("proof-a", "proof")];
    site.configure(1, &routes, &["press", "proof"], 3000);
    site.start()?;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now_ms = now.unwrap_or_default().as_millis();
    let first = if has_trouble { String::new() } else { format!(",\"first_ms\":{now_ms}") };
    let hourly = format!(
        "{{\"spec\":\"500:1000\",\"steps\":[{{\"count\":32,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500}}],\
         \"repeat_count\":100000,\"interval_ms\":3600000{first}}}"
    );
    if !site.submit("/press-a/00000000000000aa", &hourly) {
        return Err("the scheduled job was not accepted".to_owned());
    }
    let end = Instant::now() + Duration::from_secs(60);
    let job = "{\"spec\":\"300:1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":300}]}";
    let (mut number, mut kills, mut jobs) = (0_u64, 0, Vec::new());
    let mut next_job = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        for front in 0..2 {
            let pid = site.planner_pid(front);
            if let Some(kb) = pid.and_then(resident_kb).filter(|kb| *kb > memory_kb) {
                record
                    .line(&format!("planner {front} uses {kb} KB, more than {memory_kb}: killed"));
                site.kill_planner(front);
                kills += 1;
            }
        }
        if Instant::now() > next_job && jobs.len() < 8 {
            number += 1;
            let path = format!("/proof-a/{number:016x}");
            if site.submit(&path, job) {
                jobs.push(path);
            }
            next_job = Instant::now() + Duration::from_secs(3);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let open: Vec<String> = jobs
        .iter()
        .filter(|path| site.look(path, "state").as_str() != "completed")
        .cloned()
        .collect();
    site.stop();
    let what = format!(
        "{} of {} other jobs not completed, {kills} kills for memory",
        open.len(),
        jobs.len()
    );
    match open.is_empty() && kills < 3 {
        true => Ok(Verdict::Held(what)),
        false => Ok(Verdict::Broken(format!("LOST, {what}"))),
    }
}

/// Returns the resident memory of a process.
fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// A client asks another queue to cancel a job that this queue doesn't have, under the identifier
/// of an accepted job. With tenants, that client and its queue belong to another one.
fn foreign_cancel(record: &Record, has_trouble: bool, has_tenants: bool) -> Outcome {
    let mut site = Site::new(record, Duration::from_millis(20));
    site.has_tenants = has_tenants;
    add_machines(&site, "press", 4, 64_000);
    add_machines(&site, "proof", 4, 64_000);
    let routes = [Route::new("press-a", "press"), Route::new("proof-a", "proof")];
    site.configure(1, &routes, &["press", "proof"], 3000);
    site.start()?;
    let id = "5c0e7a21d94b36f8";
    let path = format!("/press-a/{id}");
    let step = |after: &str| {
        format!("{{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":2000{after}}}")
    };
    let steps = format!("[{},{}]", step(""), step(",\"after\":[0]"));
    let job = format!("{{\"spec\":\"2000:1000,1000:1000\",\"steps\":{steps}}}");
    if !site.submit(&path, &job) {
        return Err("the job was not accepted".to_owned());
    }
    let is_running = || site.platform.workers().iter().any(|worker| !worker.running().is_empty());
    if !wait_until(Duration::from_secs(5), is_running) {
        return Err("the job did not start".to_owned());
    }
    let other = if has_trouble { id } else { "00000000000000b1" };
    let answer = site.call(0, "DELETE", &format!("/proof-a/{other}"), "");
    if answer.as_ref().map(|(status, _)| *status) != Some(410) {
        return Err(format!("the other queue answered {answer:?}, not 410"));
    }
    let is_completed = || site.look(&path, "state").as_str() == "completed";
    wait_until(FINISH + Duration::from_secs(6), || {
        thread::sleep(Duration::from_millis(500));
        is_completed()
    });
    let (is_completed, is_idle) = (is_completed(), !is_running());
    site.stop();
    match is_completed {
        true => Ok(Verdict::Held("the job was completed".to_owned())),
        false => Ok(Verdict::Broken(format!(
            "LOST, the accepted job that nobody has cancelled is not completed after 20 s; nothing of it runs: {is_idle}"
        ))),
    }
}

/// A poll that acknowledges ends gets no answer; its worker crashes and starts again under its id,
/// and the poll is carried out there, seconds late.
fn late_acknowledgement(record: &Record, has_trouble: bool) -> Outcome {
    let site = Site::new(record, Duration::from_millis(20));
    add_machines(&site, "proof", 7, 64_000);
    // The jobs need this one's rack.
    site.platform.add(Kind {
        machine: "m-proof-8".to_owned(),
        service: "proof".to_owned(),
        zone: "b".to_owned(),
        rack: "r9".to_owned(),
        millicores: 64_000,
        memory_mb: 131_072,
    });
    site.configure(1, &[Route::new("proof-a", "proof")], &["proof"], 3000);
    site.start()?;
    let workers = site.platform.workers();
    let worker = workers.iter().find(|worker| worker.kind.rack == "r9").ok_or("no worker")?;
    let job = |number: u64| {
        let length = 100 + number * 37 % 300;
        let step = format!(
            "{{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":{length},\"constraints\":\"r9\"}}"
        );
        format!("{{\"spec\":\"{length}:1000\",\"steps\":[{step}]}}")
    };
    let (mut number, mut accepted) = (0_u64, Vec::new());
    let mut submit_for = |seconds: u64, is_over: &dyn Fn() -> bool| {
        let end = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < end && !is_over() {
            number += 1;
            let path = format!("/proof-a/{number:016x}");
            if site.submit(&path, &job(number)) {
                accepted.push(path);
            }
            thread::sleep(Duration::from_millis(60));
        }
    };
    submit_for(10, &|| false);
    if has_trouble {
        worker.delay_hold(20);
        submit_for(8, &|| worker.has_late_hold());
        if !worker.has_late_hold() {
            return Err("no poll acknowledged an end".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
        Worker::crash(worker, &site.store, Duration::from_millis(500));
    }
    submit_for(16, &|| !worker.repeated().is_empty());
    thread::sleep(Duration::from_secs(6));
    let is_completed = |path: &&String| site.look(path, "state").as_str() == "completed";
    let open = accepted.iter().filter(|path| !is_completed(path)).count();
    let (repeated, was_late) = (worker.repeated(), has_trouble && !worker.has_late_hold());
    site.stop();
    match repeated.first() {
        Some(first) => {
            Ok(Verdict::Broken(format!("TWICE, {} starts; first: {first}", repeated.len())))
        }
        None if has_trouble && !was_late => Err("no end was unread in time".to_owned()),
        None => Ok(Verdict::Held(format!("{} jobs, {open} open", accepted.len()))),
    }
}

/// A client cancels its job in one queue, hands it in to another one under the same identifier,
/// and the holder's entry host is restarted as planned.
fn moved_job(record: &Record, has_trouble: bool) -> Outcome {
    let site = Site::new(record, Duration::from_millis(20));
    add_machines(&site, "press", 4, 64_000);
    add_machines(&site, "proof", 4, 64_000);
    let routes = [Route::new("press-a", "press"), Route::new("proof-a", "proof")];
    site.configure(1, &routes, &["press", "proof"], 3000);
    site.start()?;
    let step = |after: &str| {
        format!("{{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500{after}}}")
    };
    let steps = format!("[{},{}]", step(""), step(",\"after\":[0]"));
    let job = format!("{{\"spec\":\"500:1000,6000:1000\",\"steps\":{steps}}}");
    let first = "/press-a/5c0e7a21d94b36f8";
    if !site.submit(first, &job) {
        return Err("the job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let cancelled = site.call(0, "DELETE", first, "");
    if cancelled.map(|(status, _)| status) != Some(200) {
        return Err("the job was not cancelled".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let id = if has_trouble { "5c0e7a21d94b36f8" } else { "5c0e7a21d94b36f9" };
    let path = format!("/proof-a/{id}");
    if !site.submit(&path, &job) {
        return Err("the job was not accepted in the other queue".to_owned());
    }
    thread::sleep(Duration::from_millis(300));
    // Both entry hosts in turn, so that the holder's is among them.
    site.restart("front-a-1");
    thread::sleep(Duration::from_secs(9));
    site.restart("front-b-1");
    thread::sleep(Duration::from_secs(20));
    let is_completed = site.look(&path, "state").as_str() == "completed";
    let workers = site.platform.workers();
    let of_service = workers.iter().filter(|worker| worker.kind.service == "proof");
    let has_begun =
        of_service.filter(|worker| worker.has_begun(&format!("{id}.0.0.0"))).count() > 0;
    site.stop();
    match (is_completed, has_begun) {
        (true, false) => Ok(Verdict::Broken(
            "MIXED, the job is shown as completed, and no task of its first step was started"
                .to_owned(),
        )),
        (true, true) => Ok(Verdict::Held("the job ran and was completed".to_owned())),
        (false, _) => Ok(Verdict::Broken("LOST, the accepted job is not completed".to_owned())),
    }
}
