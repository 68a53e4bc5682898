//! Stand-ins of workers, as the users' pages describe them, and of the platform's machines.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Connections, Request},
    json::Json,
    record::Record,
    store::Store,
};

/// Time between two writes of a worker's entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Silence after which the platform removes a worker's entry.
const ENTRY_LIFE: Duration = Duration::from_millis(4500);
/// Longest lease, in milliseconds.
const MAX_HOLD_MS: u64 = 6000;
/// Time that a stop takes; the pages allow `stop_ms`, 200 ms.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Time after its start at which a task that lasts is at work.
const STARTUP_TIME: Duration = Duration::from_millis(500);
/// Time for which a silent connection stays open; callers give up before.
const SILENCE: Duration = Duration::from_secs(10);
/// Step of the workers' own time.
const TICK: Duration = Duration::from_millis(5);

/// What a run on a worker asks for, from its spec: `ms=1000 cpu=2000 mem=512 long=0`.
#[derive(Clone, Copy, Debug, Default)]
struct Spec {
    ms: u64,
    cpu: u64,
    mem: u64,
    is_long: bool,
}

impl Spec {
    fn parse(text: &str) -> Spec {
        let mut spec = Spec::default();
        for (name, value) in text.split_whitespace().filter_map(|pair| pair.split_once('=')) {
            let value = value.parse().unwrap_or_default();
            match name {
                "ms" => spec.ms = value,
                "cpu" => spec.cpu = value,
                "mem" => spec.mem = value,
                "long" => spec.is_long = value > 0,
                _ => {}
            }
        }
        spec
    }
}

struct Run {
    spec: Spec,
    started: Instant,
    stopping: Option<Instant>,
    interval: usize,
}

/// A run as the judge sees it.
#[derive(Clone, Debug)]
pub struct Interval {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    pub how: &'static str,
    /// Whether the system has taken note of its end.
    pub is_noted: bool,
    /// Whether it had been at work for its users before it ended.
    pub was_at_work: bool,
}

/// All runs of all workers, in the order of their starts.
#[derive(Clone, Default)]
pub struct Ledger(pub Arc<Mutex<Vec<Interval>>>);

/// One life of a worker: nothing of it outlasts a crash.
struct Life {
    id: String,
    born_ms: u64,
    origin: Instant,
    token: u64,
    hold_until_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Number, task, run, how it ended, and its place in the ledger.
    ended: Vec<(u64, String, u64, &'static str, usize)>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
}

impl Life {
    fn new(id: String) -> Life {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Life {
            id,
            born_ms: u64::try_from(born.as_millis()).unwrap_or_default(),
            origin: Instant::now(),
            token: 0,
            hold_until_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            over: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        1000 + u64::try_from(self.origin.elapsed().as_millis()).unwrap_or_default()
    }
}

/// What the platform knows of a machine.
struct State {
    /// `None` while the worker does not run.
    life: Option<Life>,
    pool: String,
    /// State in the platform's list of machines.
    machine_state: &'static str,
    sequence: u64,
    /// When the entry is to be written next; attempts while the store is down fail.
    next_beat: Instant,
    /// When the store last got the entry.
    last_beat: Option<Instant>,
    next_life: u64,
    /// Whether connections of an earlier life stay open and deliver nothing.
    is_silent: bool,
    /// Waves for which the machine has had its upkeep.
    waves: Vec<u64>,
}

pub struct Worker {
    pub machine: String,
    rack: String,
    cpu: u64,
    state: Mutex<State>,
    changed: Condvar,
    connections: Connections,
    store: Store,
    record: Record,
    ledger: Ledger,
}

impl Worker {
    /// Starts a worker with an address for each machine of the system; returns it and these
    /// addresses.
    pub fn start(
        (index, pool, rack, cpu): (usize, &str, &str, u64),
        machines: usize,
        store: &Store,
        record: &Record,
        ledger: &Ledger,
    ) -> io::Result<(Arc<Worker>, Vec<SocketAddr>)> {
        let worker = Arc::new(Worker {
            machine: format!("m-{index}"),
            rack: rack.to_owned(),
            cpu,
            state: Mutex::new(State {
                life: Some(Life::new(format!("i-{index}-0"))),
                pool: pool.to_owned(),
                machine_state: "up",
                sequence: 0,
                next_beat: Instant::now(),
                last_beat: None,
                next_life: 1,
                is_silent: false,
                waves: Vec::new(),
            }),
            changed: Condvar::new(),
            connections: Connections::default(),
            store: store.clone(),
            record: record.clone(),
            ledger: ledger.clone(),
        });
        let mut addresses = Vec::new();
        for machine in 0..machines {
            let served = Arc::clone(&worker);
            let connections = worker.connections.clone();
            let handler = move |request: &Request| served.handle(machine, request);
            addresses.push(http::serve_with(connections, handler)?);
        }
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        Ok((worker, addresses))
    }

    /// Returns the placeholder of the worker's address in its entry.
    pub fn placeholder(&self) -> String {
        format!("@{}@", self.machine)
    }

    pub fn id(&self) -> String {
        let state = self.state.lock().expect("worker");
        state.life.as_ref().map(|life| life.id.clone()).unwrap_or_default()
    }

    /// Ends the worker as a crash does; it starts again under its id after `down`. If it is
    /// silent, its connections stay open and deliver nothing more.
    pub fn crash(self: &Arc<Worker>, down: Duration, is_silent: bool) {
        let mut state = self.state.lock().expect("worker");
        let id = state.life.as_ref().map(|life| life.id.clone()).unwrap_or_default();
        self.record.write(&format!("worker {id} crashes, silent: {is_silent}"));
        self.end_life(&mut state, "crashed");
        state.is_silent = is_silent;
        drop(state);
        if !is_silent {
            self.connections.break_all();
        }
        self.changed.notify_all();
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down);
            let mut state = worker.state.lock().expect("worker");
            let life = Life::new(id);
            worker.record.write(&format!("worker {} starts again, born {}", life.id, life.born_ms));
            state.life = Some(life);
            state.sequence = 0;
            state.next_beat = Instant::now();
        });
    }

    fn end_life(&self, state: &mut State, how: &'static str) {
        if let Some(mut life) = state.life.take() {
            for ((task, run), ended) in std::mem::take(&mut life.runs) {
                self.end_interval(&life.id, &task, run, &ended, how);
            }
        }
    }

    fn end_interval(&self, id: &str, task: &str, run: u64, ended: &Run, how: &'static str) {
        let now_ms = self.record.now_ms();
        let mut intervals = self.ledger.0.lock().expect("ledger");
        let interval = &mut intervals[ended.interval];
        interval.end_ms = Some(now_ms);
        interval.how = how;
        interval.was_at_work = ended.started.elapsed() >= STARTUP_TIME;
        drop(intervals);
        self.record.write(&format!("run ends: {task} run {run} on {id}: {how}"));
    }

    /// Returns the entry that the worker writes to the store.
    pub fn entry(&self) -> Json {
        let state = self.state.lock().expect("worker");
        self.entry_of(&state)
    }

    fn entry_of(&self, state: &State) -> Json {
        let labels = Json::List(vec![Json::text("a"), Json::text(&self.rack)]);
        Json::object(&[
            ("service", Json::text(&state.pool)),
            ("address", Json::text(&self.placeholder())),
            ("zone", Json::text("here")),
            ("version", Json::text("v1")),
            ("slots", Json::number(8)),
            ("state", Json::text("ready")),
            ("cold_remaining_ms", Json::number(0)),
            ("machine", Json::text(&self.machine)),
            ("capacity", self.capacity()),
            ("labels", labels),
            ("born", Json::number(state.life.as_ref().map_or(0, |life| life.born_ms))),
            ("sequence", Json::number(state.sequence)),
        ])
    }

    fn capacity(&self) -> Json {
        Json::object(&[
            ("cpu", Json::number(self.cpu)),
            ("mem_mb", Json::number(65_536)),
            ("gpu", Json::number(0)),
        ])
    }

    /// Returns the machine's row in the platform's list.
    fn machine_row(&self) -> Json {
        let state = self.state.lock().expect("worker");
        let id = state.life.as_ref().map_or(Json::Null, |life| Json::text(&life.id));
        Json::object(&[
            ("machine", Json::text(&self.machine)),
            ("pool", Json::text(&state.pool)),
            ("state", Json::text(state.machine_state)),
            ("zone", Json::text("here")),
            ("labels", Json::List(vec![Json::text("a"), Json::text(&self.rack)])),
            ("capacity", self.capacity()),
            ("id", id),
        ])
    }

    /// Advances the worker's time: its heartbeat, its lease, and the ends of its runs.
    fn tick(&self) {
        let mut state = self.state.lock().expect("worker");
        self.beat(&mut state);
        let Some(life) = state.life.as_mut() else {
            return;
        };
        let is_lapsed = life.clock_ms() > life.hold_until_ms;
        let mut over: Vec<(String, u64, &'static str)> = Vec::new();
        for ((task, run), active) in &life.runs {
            let how = match active.stopping {
                _ if is_lapsed => "lapsed",
                Some(since) if since.elapsed() >= STOP_TIME => "stopped",
                Some(_) => continue,
                None if active.spec.is_long => continue,
                None if active.started.elapsed() >= Duration::from_millis(active.spec.ms) => "done",
                None => continue,
            };
            over.push((task.clone(), *run, how));
        }
        let has_ended = !over.is_empty();
        for (task, run, how) in over {
            let Some(ended) = life.runs.remove(&(task.clone(), run)) else {
                continue;
            };
            self.end_interval(&life.id, &task, run, &ended, how);
            let highest = life.over.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            life.ended.push((life.next_end, task, run, how, ended.interval));
            life.next_end += 1;
        }
        drop(state);
        if has_ended {
            self.changed.notify_all();
        }
    }

    /// Writes the worker's entry about every heartbeat interval, and removes it after three
    /// intervals of silence, as the platform does.
    fn beat(&self, state: &mut State) {
        let silence = state.last_beat.map(|at| at.elapsed());
        let Some(id) = state.life.as_ref().map(|life| life.id.clone()) else {
            return;
        };
        if silence.is_some_and(|silence| silence >= ENTRY_LIFE) {
            state.last_beat = None;
            self.store.remove("servers", &id);
            self.record.write(&format!("the entry of {id} expires"));
        }
        if Instant::now() < state.next_beat {
            return;
        }
        state.next_beat += HEARTBEAT;
        if !self.store.is_down() {
            state.sequence += 1;
            state.last_beat = Some(Instant::now());
            self.store.put("servers", &id, &self.entry_of(state).to_string());
        }
    }

    fn handle(&self, machine: usize, request: &Request) -> Answer {
        let body = request.json();
        let mut state = self.state.lock().expect("worker");
        let is_silent = state.is_silent;
        let is_of_earlier_life = |life: &&mut Life| request.accepted < life.origin;
        let Some(life) = state.life.as_mut().filter(|life| !is_of_earlier_life(life)) else {
            drop(state);
            return self.leave_unanswered(is_silent);
        };
        if request.header("X-Expect-Instance").is_some_and(|expected| expected != life.id) {
            return Answer::Reply(421, Json::Null);
        }
        let token = body.get("fencing_token").as_u64().unwrap_or_default();
        if token < life.token {
            return rejection(life, "fence");
        }
        life.token = token;
        match request.path.as_str() {
            "/run-start" => self.start_run(life, machine, &body),
            "/run-stop" => self.stop_run(life, machine, &body),
            "/pace" => Answer::Reply(200, clock(life)),
            "/hold" => {
                extend_lease(life, &body);
                let acknowledged = body.get("ack_cursor").as_u64().unwrap_or_default();
                let mut intervals = self.ledger.0.lock().expect("ledger");
                life.ended.retain(|(number, .., interval)| {
                    intervals[*interval].is_noted |= *number <= acknowledged;
                    *number > acknowledged
                });
                drop(intervals);
                let wait = Duration::from_millis(body.get("wait_ms").as_u64().unwrap_or(0));
                let has_nothing = |state: &mut State| {
                    state.life.as_ref().is_some_and(|life| life.ended.is_empty())
                };
                let (state, _) =
                    self.changed.wait_timeout_while(state, wait, has_nothing).expect("worker");
                match &state.life {
                    Some(life) if request.accepted >= life.origin => {
                        Answer::Reply(200, report(life))
                    }
                    _ => {
                        let is_silent = state.is_silent;
                        drop(state);
                        self.leave_unanswered(is_silent)
                    }
                }
            }
            _ => Answer::Reply(404, Json::Null),
        }
    }

    /// Closes the connection of a request of an earlier life, or keeps it open in silence.
    fn leave_unanswered(&self, is_silent: bool) -> Answer {
        if is_silent {
            thread::sleep(SILENCE);
        }
        Answer::Close
    }

    fn start_run(&self, life: &mut Life, machine: usize, body: &Json) -> Answer {
        let task = body.get("task").as_text().unwrap_or_default().to_owned();
        let run = body.get("run").as_u64().unwrap_or_default();
        let until_ms = body.get("until_ms").as_u64().unwrap_or_default();
        if life.clock_ms() > until_ms {
            return rejection(life, "late");
        }
        extend_lease(life, body);
        if life.runs.contains_key(&(task.clone(), run)) {
            return Answer::Reply(200, clock(life));
        }
        if life.over.get(&task).is_some_and(|over| run <= *over) {
            return rejection(life, "old");
        }
        let spec = Spec::parse(body.get("spec").as_text().unwrap_or_default());
        let used: u64 = life.runs.values().map(|active| active.spec.cpu).sum();
        if used + spec.cpu > self.cpu {
            return rejection(life, "room");
        }
        let mut intervals = self.ledger.0.lock().expect("ledger");
        let interval = intervals.len();
        intervals.push(Interval {
            task: task.clone(),
            run,
            worker: life.id.clone(),
            start_ms: self.record.now_ms(),
            end_ms: None,
            how: "",
            is_noted: false,
            was_at_work: false,
        });
        drop(intervals);
        self.record.write(&format!(
            "run starts: {task} run {run} on {} by front-{machine}, token {}",
            life.id, life.token
        ));
        let active = Run { spec, started: Instant::now(), stopping: None, interval };
        life.runs.insert((task, run), active);
        Answer::Reply(200, clock(life))
    }

    fn stop_run(&self, life: &mut Life, machine: usize, body: &Json) -> Answer {
        let task = body.get("task").as_text().unwrap_or_default().to_owned();
        let run = body.get("run").as_u64().unwrap_or_default();
        self.record.write(&format!("stop: {task} run {run} on {} by front-{machine}", life.id));
        match life.runs.get_mut(&(task.clone(), run)) {
            Some(active) => drop(active.stopping.get_or_insert_with(Instant::now)),
            None => {
                let highest = life.over.entry(task).or_default();
                *highest = run.max(*highest);
            }
        }
        Answer::Reply(200, clock(life))
    }

    /// Ends everything on the machine; a new worker joins `pool` after `time`.
    fn replace(self: &Arc<Worker>, pool: String, machine_state: &'static str, time: Duration) {
        let mut state = self.state.lock().expect("worker");
        let old_id = state.life.as_ref().map(|life| life.id.clone()).unwrap_or_default();
        self.end_life(&mut state, "machine ordered away");
        state.machine_state = machine_state;
        self.store.remove("servers", &old_id);
        drop(state);
        self.changed.notify_all();
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(time);
            let mut state = worker.state.lock().expect("worker");
            let id = format!("i-{}-{}", &worker.machine[2..], state.next_life);
            state.next_life += 1;
            state.pool = pool;
            state.machine_state = "up";
            state.sequence = 0;
            state.next_beat = Instant::now();
            state.last_beat = None;
            worker.record.write(&format!("worker {id} joins {}", state.pool));
            state.life = Some(Life::new(id));
        });
    }
}

fn clock(life: &Life) -> Json {
    Json::object(&[("clock_ms", Json::number(life.clock_ms()))])
}

fn rejection(life: &Life, reason: &str) -> Answer {
    let fields = [("clock_ms", Json::number(life.clock_ms())), ("reason", Json::text(reason))];
    Answer::Reply(409, Json::object(&fields))
}

/// Extends the lease of all that runs on the worker; it never shortens.
fn extend_lease(life: &mut Life, body: &Json) {
    if let Some(until_ms) = body.get("until_ms").as_u64() {
        let until_ms = until_ms.min(life.clock_ms() + MAX_HOLD_MS);
        life.hold_until_ms = life.hold_until_ms.max(until_ms);
    }
}

fn report(life: &Life) -> Json {
    let running = life.runs.iter().map(|((task, run), active)| {
        let elapsed = u64::try_from(active.started.elapsed().as_millis()).unwrap_or_default();
        let percent = match active.spec.is_long {
            true if active.started.elapsed() >= STARTUP_TIME => 100,
            true => 0,
            false => (elapsed * 100 / active.spec.ms.max(1)).min(99),
        };
        Json::List(vec![
            Json::text(task),
            Json::number(*run),
            Json::text(""),
            Json::number(percent),
            Json::number(0),
        ])
    });
    let ended = life.ended.iter().take(500).map(|(number, task, run, how, _)| {
        Json::List(vec![
            Json::number(*number),
            Json::text(task),
            Json::number(*run),
            Json::text(how),
            Json::text(""),
        ])
    });
    Json::object(&[
        ("clock_ms", Json::number(life.clock_ms())),
        ("born", Json::number(life.born_ms)),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
}

/// Starts the platform's list of machines, which also takes orders for them.
pub fn serve_machines(workers: Vec<Arc<Worker>>, record: Record) -> io::Result<SocketAddr> {
    http::serve(move |request| {
        let body = request.json();
        let name = body.get("machine").as_text().unwrap_or_default();
        let worker = workers.iter().find(|worker| worker.machine == name);
        let reply = match (request.path.as_str(), worker) {
            ("/machines", _) => {
                let rows = workers.iter().map(|worker| worker.machine_row()).collect();
                let fields = [("machines", Json::List(rows)), ("next_page_token", Json::Null)];
                return Answer::Reply(200, Json::object(&fields));
            }
            (_, None) => (400, Json::Null),
            (path, Some(worker)) => {
                let wave = body.get("wave").as_u64().unwrap_or_default();
                let new_pool = body.get("pool").as_text().unwrap_or_default().to_owned();
                let (machine_state, pool, is_done) = {
                    let state = worker.state.lock().expect("worker");
                    let is_done = match path {
                        "/machine-move" => state.pool == new_pool,
                        _ => state.waves.contains(&wave),
                    };
                    (state.machine_state, state.pool.clone(), is_done)
                };
                match (path, machine_state) {
                    _ if is_done => (200, Json::Null),
                    (_, "moving" | "upkeep") => {
                        (409, Json::object(&[("reason", Json::text("busy"))]))
                    }
                    ("/machine-move", _) => {
                        worker.replace(new_pool, "moving", Duration::from_millis(1500));
                        (200, Json::Null)
                    }
                    ("/machine-upkeep", _) => {
                        worker.state.lock().expect("worker").waves.push(wave);
                        worker.replace(pool, "upkeep", Duration::from_secs(2));
                        (200, Json::Null)
                    }
                    _ => (404, Json::Null),
                }
            }
        };
        let holder = request.header("X-Duty-Holder").unwrap_or_default();
        let token = request.header("X-Fencing-Token").unwrap_or_default();
        let (path, body) = (&request.path, &request.body);
        record.write(&format!("{path} {body} by {holder}, token {token}: {}", reply.0));
        Answer::Reply(reply.0, reply.1)
    })
}
