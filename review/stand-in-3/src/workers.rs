//! Workers that run tasks as the users' pages describe. A task's length is in the spec of its
//! job: one entry a step, separated by commas, in milliseconds, or `lasts`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Response},
    json::{Json, number, object, text},
    record::Record,
    store::Store,
};

/// Time between two entries of a worker in the store (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time between two looks at what has ended.
const TICK: Duration = Duration::from_millis(10);
/// Longest lease (`max_hold_ms`).
const MAX_HOLD_MS: u64 = 10_000;
/// Start of a worker's clock.
const CLOCK_START_MS: u64 = 100_000;

/// What a worker is, as its entry in the store tells.
#[derive(Clone, Debug)]
pub struct Kind {
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub millicores: u64,
    pub memory_mb: u64,
}

#[derive(Clone, Debug)]
struct Run {
    run: u64,
    millicores: u64,
    /// Time of its end on the worker's clock; none for a task that lasts.
    ends_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    is_down: bool,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Number, task, run and how it ended, of the ends that are not acknowledged.
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest run of each task that was stopped or ended here.
    over: BTreeMap<String, u64>,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub kind: Kind,
    born_ms: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

impl Worker {
    /// Starts a worker, which registers in the store.
    pub fn start(id: &str, kind: Kind, store: &Arc<Store>, record: &Record) -> Arc<Worker> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            kind,
            born_ms: u64::try_from(born.as_millis()).unwrap_or(0),
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let served = Arc::clone(&worker);
        let address = http::serve(move |request| served.answer(&request));
        let (beating, store) = (Arc::clone(&worker), Arc::clone(store));
        thread::spawn(move || beating.beat(&store, address));
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            while !ticking.state.lock().expect("not poisoned").is_down {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        worker
    }

    /// Ends the worker and all that runs on it; its entry leaves the store.
    pub fn end(&self, store: &Store) {
        let mut state = self.state.lock().expect("not poisoned");
        state.is_down = true;
        for (task, run) in std::mem::take(&mut state.running) {
            self.record
                .line(&format!("worker {} ends: task {task} run {} is lost", self.id, run.run));
        }
        drop(state);
        self.changed.notify_all();
        store.put("servers", &self.id, None);
    }

    /// Returns the tasks that run now.
    pub fn running(&self) -> Vec<String> {
        self.state.lock().expect("not poisoned").running.keys().cloned().collect()
    }

    /// Returns the processor time in use, in thousandths of a core.
    pub fn used_millicores(&self) -> u64 {
        let state = self.state.lock().expect("not poisoned");
        state.running.values().map(|run| run.millicores).sum()
    }

    fn clock_ms(&self) -> u64 {
        CLOCK_START_MS + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    fn beat(&self, store: &Store, address: SocketAddr) {
        let mut sequence = 0;
        loop {
            // The lock keeps an entry from following the removal.
            let state = self.state.lock().expect("not poisoned");
            if state.is_down {
                return;
            }
            sequence += 1;
            let Kind { machine, service, zone, rack, millicores, memory_mb } = &self.kind;
            let entry = object([
                ("service", text(service)),
                ("address", text(&address.to_string())),
                ("zone", text(zone)),
                ("version", text("v1")),
                ("slots", number(8)),
                ("state", text("ready")),
                ("cold_remaining_ms", number(0)),
                ("machine", text(machine)),
                ("born", number(self.born_ms)),
                ("capacity", capacity(*millicores, *memory_mb)),
                ("labels", Json::List(vec![text("a"), text(rack)])),
                ("clock_ms", number(self.clock_ms())),
                ("sequence", number(sequence)),
            ]);
            store.put("servers", &self.id, Some(&entry));
            drop(state);
            thread::sleep(HEARTBEAT);
        }
    }

    fn tick(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.state.lock().expect("not poisoned");
        let is_lapsed = now_ms >= state.lease_until_ms;
        let over: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| match run.ends_ms {
                Some(ends_ms) if ends_ms <= now_ms => Some((task.clone(), "done")),
                _ if is_lapsed => Some((task.clone(), "lapsed")),
                _ => None,
            })
            .collect();
        for (task, how) in over {
            self.finish(&mut state, &task, how);
        }
    }

    fn finish(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.ends += 1;
        let number = state.ends;
        state.ended.push((number, task.to_owned(), run.run, how));
        state.over.insert(task.to_owned(), run.run);
        self.record.line(&format!("worker {}: task {task} run {} ended {how}", self.id, run.run));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        let expected = request.header("x-expect-instance");
        let body = request.json();
        let mut state = self.state.lock().expect("not poisoned");
        if state.is_down {
            return None;
        }
        if !expected.is_empty() && expected != self.id {
            return Some((421, object([("clock_ms", number(self.clock_ms()))]).encode()));
        }
        let fence = body.get("fencing_token").as_u64().unwrap_or(0);
        if fence < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = fence;
        let (task, run) = (body.get("task").as_str(), body.get("run").as_u64().unwrap_or(0));
        let until_ms = body.get("until_ms").as_u64();
        let answer = match request.path.as_str() {
            "/run-start" => self.start_run(&mut state, &body, task, run, until_ms),
            "/run-stop" => {
                let over = state.over.entry(task.to_owned()).or_default();
                *over = run.max(*over);
                if state.running.get(task).is_some_and(|known| known.run <= run) {
                    self.finish(&mut state, task, "stopped");
                }
                self.accept()
            }
            "/pace" => self.accept(),
            "/hold" => {
                self.extend(&mut state, until_ms);
                let cursor = body.get("ack_cursor").as_u64().unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > cursor);
                let wait = Duration::from_millis(body.get("wait_ms").as_u64().unwrap_or(0));
                let deadline = Instant::now() + wait;
                while state.ended.is_empty() && !state.is_down && Instant::now() < deadline {
                    let left = deadline.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).expect("not poisoned").0;
                }
                if state.is_down {
                    return None;
                }
                self.report(&state)
            }
            _ => (404, "{}".to_owned()),
        };
        Some(answer)
    }

    fn start_run(
        &self,
        state: &mut State,
        body: &Json,
        task: &str,
        run: u64,
        until_ms: Option<u64>,
    ) -> Response {
        let now_ms = self.clock_ms();
        if until_ms.is_some_and(|until_ms| until_ms <= now_ms) {
            return self.refuse("late");
        }
        if state.running.get(task).is_some_and(|known| known.run == run) {
            return self.accept();
        }
        self.extend(state, until_ms);
        if state.over.get(task).is_some_and(|over| run <= *over) || state.running.contains_key(task)
        {
            return self.refuse("old");
        }
        let (length, millicores) = length_and_size(body.get("spec").as_str(), task);
        let used: u64 = state.running.values().map(|run| run.millicores).sum();
        if used + millicores > self.kind.millicores {
            return self.refuse("room");
        }
        let ends_ms = length.map(|length| now_ms + length);
        state.running.insert(task.to_owned(), Run { run, millicores, ends_ms });
        self.record.line(&format!("worker {}: task {task} run {run} started", self.id));
        self.accept()
    }

    fn extend(&self, state: &mut State, until_ms: Option<u64>) {
        let until_ms = until_ms.unwrap_or(0).min(self.clock_ms() + MAX_HOLD_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    fn accept(&self) -> Response {
        (
            200,
            object([("clock_ms", number(self.clock_ms())), ("born", number(self.born_ms))])
                .encode(),
        )
    }

    fn refuse(&self, reason: &str) -> Response {
        let clock = ("clock_ms", number(self.clock_ms()));
        (409, object([clock, ("reason", text(reason))]).encode())
    }

    fn report(&self, state: &State) -> Response {
        let running = state.running.iter().map(|(task, run)| {
            let percent = number(if run.ends_ms.is_none() { 100 } else { 50 });
            let cpu = number(run.millicores);
            Json::List(vec![text(task), number(run.run), text(""), percent, cpu])
        });
        let ended = state.ended.iter().take(500).map(|(end, task, run, how)| {
            Json::List(vec![number(*end), text(task), number(*run), text(how), text("")])
        });
        let report = object([
            ("clock_ms", number(self.clock_ms())),
            ("born", number(self.born_ms)),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ]);
        (200, report.encode())
    }
}

/// Returns the fields of a capacity.
pub fn capacity(millicores: u64, memory_mb: u64) -> Json {
    object([("cpu", number(millicores)), ("mem_mb", number(memory_mb)), ("gpu", number(0))])
}

/// Returns the length of a task in milliseconds, none if it lasts, and its processor time, from
/// the spec of its job: `LENGTH:MILLICORES` for each step.
fn length_and_size(spec: &str, task: &str) -> (Option<u64>, u64) {
    let step = task.rsplit('.').nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
    let entry = spec.split(',').nth(step).unwrap_or("lasts:0");
    let (length, millicores) = entry.split_once(':').unwrap_or((entry, "0"));
    (length.parse().ok(), millicores.parse().unwrap_or(0))
}
