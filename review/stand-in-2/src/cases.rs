//! The cases: each sets up a small site, sends jobs, disturbs it and judges by what clients,
//! workers and the platform have seen.

mod gang;
mod label;
mod large_job;
mod late_write;
mod new_machine;
mod old_lease;

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::Json,
    process::Host,
    site::{Site, Work},
};

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

/// A site with its entry hosts.
pub struct Setup {
    pub site: Arc<Site>,
    pub hosts: Vec<Host>,
    pub has_trouble: bool,
    /// Last answer to each request of a client.
    answers: Mutex<BTreeMap<String, String>>,
}

/// Name of the host header of all queues.
const HOST: &str = "site.example";
/// Time for which a client waits for a response.
pub const DEADLINE: Duration = Duration::from_millis(3000);

pub fn run(case: &str, record: &Path, folder: &Path, has_trouble: bool) -> Outcome {
    let site = Site::start(record);
    site.note(&format!("case {case}, with the disruption: {has_trouble}"));
    let setup = Setup {
        site: Arc::clone(&site),
        hosts: Vec::new(),
        has_trouble,
        answers: Mutex::default(),
    };
    let outcome = match case {
        "large-job" => large_job::run(setup, folder),
        "label" => label::run(setup, folder),
        "late-write" => late_write::run(setup, folder),
        "gang" => gang::run(setup, folder),
        "new-machine" => new_machine::run(setup, folder),
        "old-lease" => old_lease::run(setup, folder),
        _ => Outcome::NotRun,
    };
    site.note_events();
    site.note(&format!("outcome: {outcome:?}"));
    outcome
}

/// Writes a configuration with a queue for each pool, named after it.
pub fn configure(site: &Site, pools: &[&str], max_attempts: u64) {
    let route = |pool: &&str| {
        Json::map([
            ("name", Json::from(format!("q-{pool}"))),
            ("host", Json::from(HOST)),
            ("path_prefix", Json::from(format!("/{pool}/"))),
            ("service", Json::from(*pool)),
            ("kind", Json::from("unsafe")),
            ("timeout_ms", Json::from(3000)),
            ("priority", Json::from(0)),
            ("max_attempts", Json::from(max_attempts)),
            ("stretch", Json::Float(1.5)),
            ("target_duration_ms", Json::from(600)),
        ])
    };
    let service = |pool: &&str| {
        Json::map([
            ("name", Json::from(*pool)),
            ("admission_check", Json::from(true)),
            ("spare", Json::from(false)),
        ])
    };
    let config = Json::map([
        ("version", Json::from(7)),
        ("routes", Json::List(pools.iter().map(route).collect())),
        ("services", Json::List(pools.iter().map(service).collect())),
        ("limits", Json::map([("max_body_bytes", Json::from(262_144))])),
    ]);
    site.store.put("op", "config", &config);
}

impl Setup {
    /// Starts entry hosts and waits until they are ready.
    pub fn start_hosts(&mut self, count: usize, folder: &Path) -> bool {
        let machines = self.site.serve_machines();
        for number in 1..=count {
            let name = format!("front-{number}");
            self.hosts.push(Host::start(&name, folder, self.site.store.address, machines));
        }
        let is_ready = self.hosts.iter().all(Host::wait_ready);
        self.site.note(&format!("entry hosts ready: {is_ready}"));
        is_ready
    }

    /// Returns whether all processes of the system still run.
    pub fn are_hosts_alive(&mut self) -> bool {
        self.hosts.iter_mut().all(Host::is_alive)
    }

    /// Sends a request of a client; returns the status and the body, if there is an answer.
    pub fn call(&self, host: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [("Host", HOST), ("X-Deadline-Ms", &*deadline)];
        let answer = http::call(self.hosts[host].callers, method, path, &headers, body, DEADLINE);
        self.note_call(method, path, body, &answer);
        answer
    }

    /// Records a request of a client; of a job's states only the changes.
    fn note_call(&self, method: &str, path: &str, body: &str, answer: &Option<(u16, String)>) {
        let text = match answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        let key = format!("{method} {path}");
        let earlier = self.answers.lock().unwrap().insert(key.clone(), text.clone());
        if method != "GET" || earlier.as_ref() != Some(&text) {
            self.site.note(&format!("client: {key} {body} -> {text}"));
        }
    }

    /// Submits a job until it is accepted, at one entry host after the other; false if none
    /// accepts it within the tries of a client.
    pub fn submit(&self, pool: &str, id: &str, steps: &[(String, Work)]) -> bool {
        for (step, (_, work)) in steps.iter().enumerate() {
            self.site.works.lock().unwrap().insert((id.to_owned(), step), work.clone());
        }
        let steps: Vec<&str> = steps.iter().map(|(text, _)| &**text).collect();
        let body = format!("{{\"spec\":\"{id}\",\"steps\":[{}]}}", steps.join(","));
        for attempt in 0..5 {
            let answer =
                self.call(attempt % self.hosts.len(), "POST", &format!("/{pool}/{id}"), &body);
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Returns the state of a job, or the status of an answer without one.
    pub fn state(&self, pool: &str, id: &str) -> String {
        match self.call(0, "GET", &format!("/{pool}/{id}"), "") {
            None => "no answer".to_owned(),
            Some((200, body)) => {
                Json::parse(&body).unwrap_or(Json::Null).get("state").text().to_owned()
            }
            Some((status, _)) => status.to_string(),
        }
    }

    /// Waits until a job is in this state; false if it is not in time.
    pub fn wait_state(&self, pool: &str, id: &str, state: &str, timeout: Duration) -> bool {
        let begin = Instant::now();
        while begin.elapsed() < timeout {
            if self.state(pool, id) == state {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Returns a job's identifier of 16 hexadecimal digits.
pub fn job_id(group: u64, number: u64) -> String {
    format!("{:016x}", (group << 32 | number).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Returns a step as the client sends it.
pub fn step(count: u64, work: &Work, more: &str) -> (String, Work) {
    let estimate = work.time.as_millis();
    let text = format!(
        "{{\"count\":{count},\"cpu\":{},\"mem_mb\":16,\"estimate_ms\":{estimate}{more}}}",
        work.cpu
    );
    (text, work.clone())
}
