//! Stand-in of a worker, by PROTOCOL.md: it runs tasks under a lease, rejects lower fencing
//! tokens and old runs, guards its capacity, and lists ends until they are acknowledged.
//!
//! What a task needs stands in its `spec`: `ms=N` for its work, `cpu=N` and `mem=N` for its room,
//! `lasts` for a task that lasts and `fills` for one whose `cpu` isn't counted.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Response},
    json::{Json, object},
    record::Record,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1500);
const MAX_HOLD_MS: u64 = 6_000;
const STARTUP_MS: u64 = 300;
const MAX_ENDS: usize = 500;
const STEP: Duration = Duration::from_millis(10);

/// A run in progress.
#[derive(Clone, Debug)]
struct Run {
    run: u64,
    started_ms: u64,
    work: Work,
}

#[derive(Clone, Copy, Debug, Default)]
struct Work {
    ms: u64,
    cpu: u64,
    mem: u64,
    lasts: bool,
    fills: bool,
}

impl Work {
    fn of(spec: &str) -> Work {
        let mut work = Work { ms: 100, ..Work::default() };
        for word in spec.split(' ') {
            let (name, value) = word.split_once('=').unwrap_or((word, "0"));
            let value = value.parse().unwrap_or_default();
            match name {
                "ms" => work.ms = value,
                "cpu" => work.cpu = value,
                "mem" => work.mem = value,
                "lasts" => work.lasts = true,
                "fills" => work.fills = true,
                _ => {}
            }
        }
        work
    }

    fn counted_cpu(self) -> u64 {
        if self.fills { 0 } else { self.cpu }
    }
}

/// A run that the worker has started, and when it ended there.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "all of it is shown in the record")]
pub struct Span {
    pub id: String,
    pub task: String,
    pub run: u64,
    pub from_ms: u64,
    pub until_ms: Option<u64>,
    pub how: &'static str,
}

struct State {
    lease_until_ms: u64,
    fencing: u64,
    runs: BTreeMap<String, Run>,
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    spans: Vec<Span>,
}

/// What a worker says of itself.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub cpu: u64,
    pub mem: u64,
    pub labels: Vec<String>,
}

/// A worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub identity: Identity,
    pub address: SocketAddr,
    pub born_ms: u64,
    start: Instant,
    state: Arc<Mutex<State>>,
    is_gone: Arc<AtomicBool>,
    record: Record,
}

impl Worker {
    /// Starts a worker, which registers itself in the store.
    pub fn start(identity: Identity, store: &Store, record: &Record) -> std::io::Result<Worker> {
        let state = State {
            lease_until_ms: 0,
            fencing: 0,
            runs: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            spans: Vec::new(),
        };
        let mut worker = Worker {
            identity,
            address: ([127, 0, 0, 1], 0).into(),
            born_ms: unix_ms(),
            start: Instant::now(),
            state: Arc::new(Mutex::new(state)),
            is_gone: Arc::default(),
            record: record.clone(),
        };
        // The address is known only once the listener is bound, and no call needs it.
        let served = worker.clone();
        worker.address =
            http::serve(move |request| served.is_up().then(|| served.handle(request)))?;
        let (beating, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            let mut sequence = 0;
            while beating.is_up() {
                sequence += 1;
                store.put("servers", &beating.identity.id, &beating.entry(sequence).to_string());
                thread::sleep(HEARTBEAT);
            }
            thread::sleep(HEARTBEAT * 2);
            store.remove("servers", &beating.identity.id);
        });
        Ok(worker)
    }

    fn entry(&self, sequence: u64) -> Json {
        let Identity { machine, service, cpu, mem, labels, .. } = &self.identity;
        let labels: Vec<Json> = labels.iter().map(|label| label.as_str().into()).collect();
        let capacity =
            object([("cpu", (*cpu).into()), ("mem_mb", (*mem).into()), ("gpu", 0_u64.into())]);
        object([
            ("service", service.as_str().into()),
            ("address", self.address.to_string().into()),
            ("zone", "z1".into()),
            ("version", "v1".into()),
            ("slots", 64_u64.into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0_u64.into()),
            ("machine", machine.as_str().into()),
            ("capacity", capacity),
            ("labels", labels.into()),
            ("clock_ms", self.clock_ms().into()),
            ("born", self.born_ms.into()),
            ("sequence", sequence.into()),
        ])
    }

    fn clock_ms(&self) -> u64 {
        40_000 + self.start.elapsed().as_millis() as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.advance(&mut state);
        state
    }

    /// Ends the runs whose work is done, or all if the lease has lapsed.
    fn advance(&self, state: &mut State) {
        let clock_ms = self.clock_ms();
        let has_lapsed = clock_ms > state.lease_until_ms;
        let is_over = |run: &Run| !run.work.lasts && clock_ms >= run.started_ms + run.work.ms;
        let over = state.runs.iter().filter(|(_, run)| has_lapsed || is_over(run));
        let over: Vec<String> = over.map(|(task, _)| task.clone()).collect();
        for task in over {
            self.end_run(state, &task, if has_lapsed { "lapsed" } else { "done" });
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.over.insert(task.to_owned(), run.run);
        state.ended.push((state.next_end, task.to_owned(), run.run, how));
        state.next_end += 1;
        let now_ms = self.record.now_ms();
        let span = state.spans.iter_mut().rfind(|span| span.task == task && span.run == run.run);
        if let Some(span) = span {
            (span.until_ms, span.how) = (Some(now_ms), how);
        }
        self.record.add(format!("{} ended {task} run {} as {how}", self.identity.id, run.run));
    }

    /// Ends a run for a reason of its own.
    pub fn end(&self, task: &str, how: &'static str) {
        let mut state = self.state();
        self.end_run(&mut state, task, how);
    }

    /// Crashes the worker for good: everything on it ends, and it answers no more.
    pub fn crash(&self) {
        let mut state = self.state();
        let running: Vec<String> = state.runs.keys().cloned().collect();
        for task in running {
            self.end_run(&mut state, &task, "lost with its worker");
        }
        self.is_gone.store(true, Ordering::SeqCst);
        self.record.add(format!("{} is lost for good", self.identity.id));
    }

    fn is_up(&self) -> bool {
        !self.is_gone.load(Ordering::SeqCst)
    }

    /// Returns the tasks that run.
    pub fn running(&self) -> Vec<String> {
        self.state().runs.keys().cloned().collect()
    }

    /// Returns all runs that were started.
    pub fn spans(&self) -> Vec<Span> {
        self.state().spans.clone()
    }

    fn handle(&self, request: &Request) -> Response {
        if request.path == "/health" {
            return Response::empty(200);
        }
        let expected = request.header("X-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.identity.id) {
            return Response::empty(421);
        }
        let Some(order) = Json::parse(&request.body) else {
            return Response::empty(400);
        };
        {
            let mut state = self.state();
            let token = order.get("fencing_token").number().unwrap_or_default();
            if token < state.fencing {
                return self.refuse("fence");
            }
            state.fencing = token;
        }
        match request.path.as_str() {
            "/run-start" => self.start_run(&order),
            "/run-stop" => self.stop_run(&order),
            "/hold" => self.hold(&order),
            "/pace" => self.answer(200, object([])),
            _ => Response::empty(404),
        }
    }

    fn answer(&self, status: u16, body: Json) -> Response {
        let Json::Object(mut fields) = body else {
            return Response::empty(status);
        };
        fields.insert("clock_ms".to_owned(), self.clock_ms().into());
        Response { status, body: Json::Object(fields).to_string() }
    }

    fn refuse(&self, reason: &str) -> Response {
        self.answer(409, object([("reason", reason.into())]))
    }

    fn extend(&self, state: &mut State, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms() + MAX_HOLD_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    fn start_run(&self, order: &Json) -> Response {
        let mut state = self.state();
        let task = order.get("task").text().to_owned();
        let run = order.get("run").number().unwrap_or_default();
        let until_ms = order.get("until_ms").number().unwrap_or_default();
        if self.clock_ms() > until_ms {
            return self.refuse("late");
        }
        self.extend(&mut state, until_ms);
        let known = state.runs.get(&task).map(|known| known.run);
        if known == Some(run) {
            return self.answer(200, object([]));
        }
        if known.is_some_and(|known| known > run)
            || state.over.get(&task).is_some_and(|over| *over >= run)
        {
            return self.refuse("old");
        }
        let work = Work::of(order.get("spec").text());
        let cpu: u64 = state.runs.values().map(|run| run.work.counted_cpu()).sum();
        let mem: u64 = state.runs.values().map(|run| run.work.mem).sum();
        if cpu + work.counted_cpu() > self.identity.cpu || mem + work.mem > self.identity.mem {
            return self.refuse("room");
        }
        let started_ms = self.clock_ms();
        state.runs.insert(task.clone(), Run { run, started_ms, work });
        let id = &self.identity.id;
        self.record.add(format!("{id} started {task} run {run}"));
        let from_ms = self.record.now_ms();
        let span = Span { id: id.clone(), task, run, from_ms, until_ms: None, how: "runs" };
        state.spans.push(span);
        self.answer(200, object([]))
    }

    fn stop_run(&self, order: &Json) -> Response {
        let mut state = self.state();
        let task = order.get("task").text().to_owned();
        let run = order.get("run").number().unwrap_or_default();
        match state.runs.get(&task).map(|known| known.run) {
            Some(known) if known == run => self.end_run(&mut state, &task, "stopped"),
            Some(_) => {}
            None => {
                let over = state.over.entry(task).or_insert(run);
                *over = run.max(*over);
            }
        }
        self.answer(200, object([]))
    }

    fn hold(&self, order: &Json) -> Response {
        let wait_ms = order.get("wait_ms").number().unwrap_or_default().min(2000);
        let acknowledged = order.get("ack_cursor").number().unwrap_or_default();
        {
            let mut state = self.state();
            if let Some(until_ms) = order.get("until_ms").number() {
                self.extend(&mut state, until_ms);
            }
            state.ended.retain(|(number, ..)| *number > acknowledged);
        }
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while self.state().ended.is_empty() && Instant::now() < deadline {
            thread::sleep(STEP);
        }
        let state = self.state();
        let running: Vec<Json> = state.runs.iter().map(|(task, run)| self.row(task, run)).collect();
        let ended = state.ended.iter().take(MAX_ENDS).map(|(number, task, run, how)| {
            Json::List(vec![
                (*number).into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
                "".into(),
            ])
        });
        let ended: Vec<Json> = ended.collect();
        let fields =
            [("born", self.born_ms.into()), ("running", running.into()), ("ended", ended.into())];
        self.answer(200, object(fields))
    }

    fn row(&self, task: &str, run: &Run) -> Json {
        let age_ms = self.clock_ms().saturating_sub(run.started_ms);
        let percent = match run.work.lasts {
            true if age_ms >= STARTUP_MS => 100,
            true => 0,
            false => (age_ms * 100 / run.work.ms.max(1)).min(99),
        };
        Json::List(vec![task.into(), run.run.into(), "".into(), percent.into(), 0_u64.into()])
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}
