//! Workers that run tasks as the users' pages describe. A task's length is in the spec of its
//! job: one entry a step, separated by commas, in milliseconds, or `lasts`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock},
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
const TICK: Duration = Duration::from_millis(2);
/// Longest lease (`max_hold_ms`).
const MAX_HOLD_MS: u64 = 10_000;
/// Most ends in an answer.
const MAX_LISTED: usize = 500;
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

/// A call of `hold` that got no answer and is carried out later.
#[derive(Debug)]
struct LateHold {
    arrived: Instant,
    fence: u64,
    cursor: u64,
    until_ms: Option<u64>,
}

/// Shortest and longest time until a call without an answer is carried out.
const LATE: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(12)];
/// Time for which such a call stays silent.
const SILENCE: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct State {
    is_down: bool,
    /// Number of starts under this id.
    life: u64,
    born_ms: u64,
    started: Instant,
    /// Cursor from which on the next call of `hold` is carried out late.
    late_from: Option<u64>,
    late: Option<LateHold>,
    /// Calls of `hold` that wait for an end.
    waiting: usize,
    /// Highest number of an end that an answer has told.
    told: u64,
    /// Tasks whose end `done` was taken note of.
    noted: BTreeSet<String>,
    /// Starts of tasks whose end `done` had been taken note of.
    repeated: Vec<String>,
    /// Tasks that were started.
    begun: BTreeSet<String>,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Number, task, run and how it ended, of the ends that are not acknowledged.
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest run of each task that was stopped or ended here.
    over: BTreeMap<String, u64>,
}

impl State {
    fn new(life: u64) -> State {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        State {
            is_down: false,
            life,
            born_ms: u64::try_from(born.as_millis()).unwrap_or(0),
            started: Instant::now(),
            late_from: None,
            late: None,
            waiting: 0,
            told: 0,
            noted: BTreeSet::new(),
            repeated: Vec::new(),
            begun: BTreeSet::new(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            over: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        CLOCK_START_MS + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    /// Forgets the ends up to a cursor.
    fn acknowledge(&mut self, cursor: u64) {
        let noted =
            self.ended.iter().filter(|(number, .., how)| *number <= cursor && *how == "done");
        self.noted.extend(noted.map(|(_, task, ..)| task.clone()).collect::<Vec<_>>());
        self.ended.retain(|(number, ..)| *number > cursor);
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub kind: Kind,
    /// Address of all its lives.
    address: OnceLock<SocketAddr>,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

impl Worker {
    /// Starts a worker, which registers in the store.
    pub fn start(id: &str, kind: Kind, store: &Arc<Store>, record: &Record) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            kind,
            address: OnceLock::new(),
            state: Mutex::new(State::new(1)),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let served = Arc::clone(&worker);
        let address = http::serve(move |request| served.answer(&request));
        let _ = worker.address.set(address);
        Worker::live(&worker, store, address);
        worker
    }

    /// Starts the threads of a life.
    fn live(worker: &Arc<Worker>, store: &Arc<Store>, address: SocketAddr) {
        let (beating, store) = (Arc::clone(worker), Arc::clone(store));
        let life = worker.state().life;
        thread::spawn(move || beating.beat(life, &store, address));
        let ticking = Arc::clone(worker);
        thread::spawn(move || {
            while ticking.is_alive(life) {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    fn is_alive(&self, life: u64) -> bool {
        let state = self.state();
        state.life == life && !state.is_down
    }

    /// Has the next call of `hold` that acknowledges this end or a later one carried out late.
    pub fn delay_hold(&self, from: u64) {
        self.state().late_from = Some(from);
    }

    /// Returns whether a call waits to be carried out late.
    pub fn has_late_hold(&self) -> bool {
        self.state().late.is_some()
    }

    /// Returns the starts of tasks whose end `done` had been taken note of.
    pub fn repeated(&self) -> Vec<String> {
        self.state().repeated.clone()
    }

    /// Crashes the worker and starts it again under its id and address after a time; a call that
    /// is still under way stays so.
    pub fn crash(worker: &Arc<Worker>, store: &Arc<Store>, down: Duration) {
        let mut state = worker.state();
        state.is_down = true;
        worker.record.line(&format!("worker {} crashes", worker.id));
        drop(state);
        worker.changed.notify_all();
        thread::sleep(down);
        let mut state = worker.state();
        let mut next = State::new(state.life + 1);
        next.late = state.late.take();
        next.noted = std::mem::take(&mut state.noted);
        next.repeated = std::mem::take(&mut state.repeated);
        *state = next;
        drop(state);
        worker.record.line(&format!("worker {} starts again under its id", worker.id));
        if let Some(address) = worker.address.get() {
            Worker::live(worker, store, *address);
        }
    }

    /// Ends the worker and all that runs on it; its entry leaves the store.
    pub fn end(&self, store: &Store) {
        let mut state = self.state();
        state.is_down = true;
        for (task, run) in std::mem::take(&mut state.running) {
            self.record
                .line(&format!("worker {} ends: task {task} run {} is lost", self.id, run.run));
        }
        drop(state);
        self.changed.notify_all();
        store.put("servers", &self.id, None);
    }

    /// Returns whether a task was ever started in this life.
    pub fn has_begun(&self, task: &str) -> bool {
        self.state().begun.contains(task)
    }

    /// Returns the tasks that run now.
    pub fn running(&self) -> Vec<String> {
        self.state().running.keys().cloned().collect()
    }

    /// Returns the processor time in use, in thousandths of a core.
    pub fn used_millicores(&self) -> u64 {
        let state = self.state();
        state.running.values().map(|run| run.millicores).sum()
    }

    fn beat(&self, life: u64, store: &Store, address: SocketAddr) {
        let mut sequence = 0;
        loop {
            // The lock keeps an entry from following the removal.
            let state = self.state();
            if state.is_down || state.life != life {
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
                ("born", number(state.born_ms)),
                ("capacity", capacity(*millicores, *memory_mb)),
                ("labels", Json::List(vec![text("a"), text(rack)])),
                ("clock_ms", number(state.clock_ms())),
                ("sequence", number(sequence)),
            ]);
            store.put("servers", &self.id, Some(&entry));
            drop(state);
            thread::sleep(HEARTBEAT);
        }
    }

    fn tick(&self) {
        let mut state = self.state();
        let now_ms = state.clock_ms();
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
        self.carry_out_late(&mut state);
    }

    /// Carries the late call out, if it is time, at a moment at which an end is listed that no
    /// answer has told.
    fn carry_out_late(&self, state: &mut State) {
        let told = state.told;
        let is_due = state.late.as_ref().is_some_and(|late| {
            let age = late.arrived.elapsed();
            let is_unread =
                |(number, ..): &(u64, String, u64, &str)| *number > told && *number <= late.cursor;
            age >= LATE[0] && age <= LATE[1] && state.ended.iter().any(is_unread)
        });
        if !is_due || state.waiting > 0 {
            return;
        }
        if let Some(late) = state.late.take() {
            let seconds = late.arrived.elapsed().as_secs_f64();
            if late.fence < state.fence {
                self.record.line(&format!("worker {}: late hold refused", self.id));
                return;
            }
            self.extend(state, late.until_ms);
            let unread: Vec<String> = state
                .ended
                .iter()
                .filter(|(number, ..)| *number > told && *number <= late.cursor)
                .map(|(number, task, ..)| format!("{number} of {task}"))
                .collect();
            state.acknowledge(late.cursor);
            self.record.line(&format!(
                "worker {}: the hold with ack_cursor {} is carried out, {seconds:.1} s late; ends that no answer has told: {}",
                self.id,
                late.cursor,
                unread.join(", ")
            ));
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
        let mut state = self.state();
        if state.is_down {
            return None;
        }
        if !expected.is_empty() && expected != self.id {
            return Some((421, object([("clock_ms", number(state.clock_ms()))]).encode()));
        }
        let fence = body.get("fencing_token").as_u64().unwrap_or(0);
        if fence < state.fence {
            return Some(self.refuse(&state, "fence"));
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
                self.accept(&state)
            }
            "/pace" => self.accept(&state),
            "/hold" => {
                let cursor = body.get("ack_cursor").as_u64().unwrap_or(0);
                if state.late_from.is_some_and(|from| cursor >= from) {
                    state.late_from = None;
                    state.late =
                        Some(LateHold { arrived: Instant::now(), fence, cursor, until_ms });
                    self.record.line(&format!(
                        "worker {}: the hold with ack_cursor {cursor} gets no answer",
                        self.id
                    ));
                    drop(state);
                    thread::sleep(SILENCE);
                    return None;
                }
                self.extend(&mut state, until_ms);
                state.acknowledge(cursor);
                let life = state.life;
                state.waiting += 1;
                let wait = Duration::from_millis(body.get("wait_ms").as_u64().unwrap_or(0));
                let deadline = Instant::now() + wait;
                let is_same = |state: &State| !state.is_down && state.life == life;
                while state.ended.is_empty() && is_same(&state) && Instant::now() < deadline {
                    let left = deadline.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).expect("not poisoned").0;
                }
                if !is_same(&state) {
                    return None;
                }
                state.waiting -= 1;
                let listed = state.ended.iter().take(MAX_LISTED).map(|(number, ..)| *number).max();
                state.told = state.told.max(listed.unwrap_or(0));
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
        let now_ms = state.clock_ms();
        if until_ms.is_some_and(|until_ms| until_ms <= now_ms) {
            return self.refuse(state, "late");
        }
        if state.running.get(task).is_some_and(|known| known.run == run) {
            return self.accept(state);
        }
        self.extend(state, until_ms);
        if state.over.get(task).is_some_and(|over| run <= *over) || state.running.contains_key(task)
        {
            return self.refuse(state, "old");
        }
        let (length, millicores) = length_and_size(body.get("spec").as_str(), task);
        let used: u64 = state.running.values().map(|run| run.millicores).sum();
        if used + millicores > self.kind.millicores {
            return self.refuse(state, "room");
        }
        let ends_ms = length.map(|length| now_ms + length);
        state.running.insert(task.to_owned(), Run { run, millicores, ends_ms });
        self.record.line(&format!("worker {}: task {task} run {run} started", self.id));
        state.begun.insert(task.to_owned());
        if state.noted.contains(task) {
            let repeated = format!("task {task} run {run} on {}", self.id);
            self.record.line(&format!("TWICE broken: {repeated} after its end was taken note of"));
            state.repeated.push(repeated);
        }
        self.accept(state)
    }

    fn extend(&self, state: &mut State, until_ms: Option<u64>) {
        let until_ms = until_ms.unwrap_or(0).min(state.clock_ms() + MAX_HOLD_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    fn accept(&self, state: &State) -> Response {
        (
            200,
            object([("clock_ms", number(state.clock_ms())), ("born", number(state.born_ms))])
                .encode(),
        )
    }

    fn refuse(&self, state: &State, reason: &str) -> Response {
        let clock = ("clock_ms", number(state.clock_ms()));
        (409, object([clock, ("reason", text(reason))]).encode())
    }

    fn report(&self, state: &State) -> Response {
        let running = state.running.iter().map(|(task, run)| {
            let percent = number(if run.ends_ms.is_none() { 100 } else { 50 });
            let cpu = number(run.millicores);
            Json::List(vec![text(task), number(run.run), text(""), percent, cpu])
        });
        let ended = state.ended.iter().take(MAX_LISTED).map(|(end, task, run, how)| {
            Json::List(vec![number(*end), text(task), number(*run), text(how), text("")])
        });
        let report = object([
            ("clock_ms", number(state.clock_ms())),
            ("born", number(state.born_ms)),
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
