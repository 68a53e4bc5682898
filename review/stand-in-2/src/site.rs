//! Stand-ins of the workers and of the list of machines, and what they have seen.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, End, Reply, Request},
    json::Json,
    store::Store,
};

/// Bounds of the site files (`hold_max_ms`, `gang_ms`, `restore_ms`, `save_s`, `move_s`,
/// `upkeep_s`, `beat_ms`).
const MAX_HOLD_MS: u64 = 10_000;
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);
const RESTORE_TIME: Duration = Duration::from_millis(600);
const CHECKPOINT_MS: u64 = 1000;
const MOVE_TIME: Duration = Duration::from_millis(1500);
const UPKEEP_TIME: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time that a stop takes; below `stop_ms`.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Most events in the record.
const MAX_NOTED: usize = 300;
/// Most ends that a worker lists at a time.
const MAX_LISTED: usize = 500;
/// Time for which a crashed or cut-off worker keeps a connection silent.
const DARK: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(5);

/// What the tasks of a step do, which a real task knows by its program.
#[derive(Clone, Debug)]
pub struct Work {
    pub cpu: u64,
    pub time: Duration,
    /// Number of members of a gang; 0 for none.
    pub gang: usize,
    pub is_lasting: bool,
    pub has_checkpoints: bool,
    /// How a run ends.
    pub how: &'static str,
}

impl Work {
    pub fn new(cpu: u64, time_ms: u64) -> Work {
        let time = Duration::from_millis(time_ms);
        Work { cpu, time, gang: 0, is_lasting: false, has_checkpoints: false, how: "done" }
    }
}

/// A start or an end of a run, as a worker has seen it.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended.
    pub what: String,
    pub checkpoint: String,
}

struct Run {
    run: u64,
    work: Work,
    started: Instant,
    /// When its work began; a gang's with its last member.
    began: Option<Instant>,
    carried: String,
    stop_at: Option<Instant>,
    gang_name: String,
}

impl Run {
    /// Milliseconds of work that are done, those of the carried checkpoint included.
    fn done_ms(&self) -> u64 {
        let restored_ms = checkpoint_ms(&self.carried);
        let restore = if self.carried.is_empty() { Duration::ZERO } else { RESTORE_TIME };
        let worked =
            self.began.map_or(Duration::ZERO, |began| began.elapsed().saturating_sub(restore));
        restored_ms + worked.as_millis() as u64
    }

    fn saved(&self, task: &str, is_stop: bool) -> String {
        let done_ms = self.done_ms();
        let saved_ms = if is_stop { done_ms } else { done_ms / CHECKPOINT_MS * CHECKPOINT_MS };
        match self.work.has_checkpoints
            && self.began.is_some()
            && saved_ms > checkpoint_ms(&self.carried)
        {
            true => format!("{saved_ms:08x}{}", task.get(..8).unwrap_or("00000000")),
            false => self.carried.clone(),
        }
    }
}

fn checkpoint_ms(checkpoint: &str) -> u64 {
    checkpoint.get(..8).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0)
}

#[derive(Default)]
struct WorkerState {
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, Json)>,
    next_end: u64,
    fence: u64,
    hold_until_ms: u64,
    /// Highest run of each task that was stopped or has ended.
    past: BTreeMap<String, u64>,
    /// Last checkpoint of each task that a list of runs has shown.
    shown: BTreeMap<String, String>,
}

pub struct Worker {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub address: SocketAddr,
    born_ms: u64,
    start: Instant,
    pub end: Arc<End>,
    state: Mutex<WorkerState>,
    /// Whether it has crashed silently.
    has_crashed: AtomicBool,
    /// Where its address leads; a later life takes the place of this one.
    slot: Slot,
}

type Slot = Arc<Mutex<Option<Arc<Worker>>>>;

/// Lets a worker answer until it has answered a poll with a fencing token above this one, and
/// then cuts it off for a time.
#[derive(Clone, Copy)]
pub struct Cut {
    pub above: u64,
    pub time: Duration,
    pub until: Option<Instant>,
}

#[derive(Clone)]
pub struct Machine {
    pub pool: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub state: &'static str,
    pub worker: Option<Arc<Worker>>,
    /// Waves whose upkeep it has begun.
    pub upkeeps: Vec<u64>,
}

/// The workers and machines of a site.
pub struct Site {
    pub store: Store,
    pub start: Instant,
    pub machines: Mutex<BTreeMap<String, Machine>>,
    pub works: Mutex<BTreeMap<(String, usize), Work>>,
    pub events: Mutex<Vec<Event>>,
    /// Whether the list of machines and orders for them are refused with 503.
    pub are_machines_down: Mutex<bool>,
    /// Machines whose workers are cut off.
    pub cuts: Mutex<BTreeMap<String, Cut>>,
    workers: Mutex<Vec<Arc<Worker>>>,
    record: Mutex<File>,
    next_id: Mutex<u64>,
}

impl Site {
    pub fn start(record: &Path) -> Arc<Site> {
        let site = Arc::new(Site {
            store: Store::start(),
            start: Instant::now(),
            machines: Mutex::default(),
            works: Mutex::default(),
            events: Mutex::default(),
            are_machines_down: Mutex::default(),
            cuts: Mutex::default(),
            workers: Mutex::default(),
            record: Mutex::new(File::create(record).expect("a record")),
            next_id: Mutex::new(1),
        });
        let ticked = Arc::clone(&site);
        http::spawn(move || {
            let mut beat = Instant::now();
            let mut sequence = 0;
            loop {
                ticked.tick();
                if beat.elapsed() >= HEARTBEAT {
                    beat = Instant::now();
                    sequence += 1;
                    let workers = ticked.workers.lock().unwrap().clone();
                    for worker in workers.iter().filter(|worker| !worker.end.is_over()) {
                        ticked.store.put("servers", &worker.id, &worker.entry(sequence));
                    }
                }
                thread::sleep(TICK);
            }
        });
        site
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    fn event(&self, worker: &Worker, task: &str, run: u64, what: &str, checkpoint: &str) {
        let event = Event {
            at: self.now(),
            worker: worker.id.clone(),
            task: task.to_owned(),
            run,
            what: what.to_owned(),
            checkpoint: checkpoint.to_owned(),
        };
        self.events.lock().unwrap().push(event);
    }

    /// Returns what the workers have seen of the tasks whose names begin so.
    pub fn events_of(&self, prefix: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|event| event.task.starts_with(prefix)).cloned().collect()
    }

    /// Records what the workers have seen; of many events the first and the last ones.
    pub fn note_events(&self) {
        let events = self.events.lock().unwrap().clone();
        let last = events.len().saturating_sub(MAX_NOTED / 2);
        for (number, event) in events.iter().enumerate() {
            if events.len() > MAX_NOTED && number == MAX_NOTED / 2 {
                self.note(&format!("({} events left out)", last - number));
            }
            if events.len() <= MAX_NOTED || number < MAX_NOTED / 2 || number >= last {
                self.note(&format!(
                    "at {:.3} worker {}: {} of {} run {} checkpoint {:?}",
                    event.at.as_secs_f64(),
                    event.worker,
                    event.what,
                    event.task,
                    event.run,
                    event.checkpoint
                ));
            }
        }
    }

    /// Serves the list of machines and the orders for them.
    pub fn serve_machines(self: &Arc<Site>) -> SocketAddr {
        let site = Arc::clone(self);
        http::serve(move |request| site.handle_machines(request))
    }

    /// Adds a machine that is up, with a worker.
    pub fn add_machine(self: &Arc<Site>, name: &str, pool: &str, labels: &[&str], cpu: u64) {
        let labels = labels.iter().map(|label| (*label).to_owned()).collect();
        let machine = Machine {
            pool: pool.to_owned(),
            labels,
            cpu,
            state: "up",
            worker: None,
            upkeeps: Vec::new(),
        };
        self.machines.lock().unwrap().insert(name.to_owned(), machine);
        self.start_worker(name);
    }

    /// Starts a new worker on a machine and registers it.
    fn start_worker(self: &Arc<Site>, name: &str) {
        let number = {
            let mut next = self.next_id.lock().unwrap();
            *next += 1;
            *next
        };
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.get_mut(name) else {
            return;
        };
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let end: Arc<End> = Arc::default();
        let slot: Slot = Arc::default();
        let (site, served) = (Arc::clone(self), Arc::clone(&slot));
        let address = http::serve_until(Arc::clone(&end), move |request| {
            let worker = served.lock().unwrap().clone();
            worker
                .map_or(Reply::Respond(503, String::new()), |worker| worker.handle(&site, request))
        });
        let worker = Arc::new(Worker {
            id: format!("w{number:06x}"),
            machine: name.to_owned(),
            service: machine.pool.clone(),
            labels: machine.labels.clone(),
            cpu: machine.cpu,
            address,
            born_ms: since_1970.as_millis() as u64,
            start: Instant::now(),
            end,
            state: Mutex::new(WorkerState { next_end: 1, ..WorkerState::default() }),
            has_crashed: AtomicBool::new(false),
            slot: Arc::clone(&slot),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&worker));
        machine.worker = Some(Arc::clone(&worker));
        machine.state = "up";
        self.store.put("servers", &worker.id, &worker.entry(1));
        self.workers.lock().unwrap().push(worker);
    }

    /// Ends the worker of a machine at once; what runs there is lost.
    pub fn crash_worker(&self, name: &str, is_gone: bool) {
        let worker = {
            let mut machines = self.machines.lock().unwrap();
            let worker = machines.get_mut(name).and_then(|machine| {
                machine.state = "down";
                machine.worker.take()
            });
            if is_gone {
                machines.remove(name);
            }
            worker
        };
        if let Some(worker) = worker {
            self.end_worker(&worker);
            self.note(&format!("machine {name}: worker {} is lost", worker.id));
        }
    }

    /// Lets the worker of a machine crash without a reset of its connections, and start again
    /// under its id at the same address after a time.
    pub fn restart_worker(&self, name: &str, down: Duration) {
        let earlier =
            self.machines.lock().unwrap().get(name).and_then(|machine| machine.worker.clone());
        let Some(earlier) = earlier else {
            return;
        };
        earlier.has_crashed.store(true, Ordering::SeqCst);
        *earlier.slot.lock().unwrap() = None;
        self.workers.lock().unwrap().retain(|worker| !Arc::ptr_eq(worker, &earlier));
        let runs = std::mem::take(&mut earlier.state.lock().unwrap().running);
        for (task, run) in runs {
            self.event(&earlier, &task, run.run, "lost", "");
        }
        self.note(&format!("worker {} on {name} crashes silently", earlier.id));
        thread::sleep(down);
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Worker {
            id: earlier.id.clone(),
            machine: earlier.machine.clone(),
            service: earlier.service.clone(),
            labels: earlier.labels.clone(),
            cpu: earlier.cpu,
            address: earlier.address,
            born_ms: since_1970.as_millis() as u64,
            start: Instant::now(),
            end: Arc::clone(&earlier.end),
            state: Mutex::new(WorkerState { next_end: 1, ..WorkerState::default() }),
            has_crashed: AtomicBool::new(false),
            slot: Arc::clone(&earlier.slot),
        });
        *earlier.slot.lock().unwrap() = Some(Arc::clone(&worker));
        if let Some(machine) = self.machines.lock().unwrap().get_mut(name) {
            machine.worker = Some(Arc::clone(&worker));
        }
        self.store.put("servers", &worker.id, &worker.entry(1));
        self.note(&format!("worker {} on {name} runs again", worker.id));
        self.workers.lock().unwrap().push(worker);
    }

    /// Returns whether a machine's worker is cut off; `fence` is that of a poll to be answered.
    fn is_cut(&self, machine: &str, fence: u64, is_poll: bool) -> bool {
        let mut cuts = self.cuts.lock().unwrap();
        let Some(cut) = cuts.get_mut(machine) else {
            return false;
        };
        if let Some(until) = cut.until {
            return until > Instant::now();
        }
        if is_poll && fence > cut.above {
            cut.until = Some(Instant::now() + cut.time);
            self.note(&format!(
                "machine {machine} answers a poll with token {fence} and is cut off"
            ));
        }
        false
    }

    /// Returns the highest fencing token that the worker of a machine has seen.
    pub fn fence(&self, name: &str) -> u64 {
        let worker =
            self.machines.lock().unwrap().get(name).and_then(|machine| machine.worker.clone());
        worker.map_or(0, |worker| worker.state.lock().unwrap().fence)
    }

    /// Ends a worker; its entry expires after three heartbeats, or at once if it left as ordered.
    fn end_worker(&self, worker: &Arc<Worker>) {
        worker.end.request();
        let runs: Vec<(String, u64)> = {
            let mut state = worker.state.lock().unwrap();
            std::mem::take(&mut state.running)
                .into_iter()
                .map(|(task, run)| (task, run.run))
                .collect()
        };
        for (task, run) in runs {
            self.event(worker, &task, run, "lost", "");
        }
        let (store, id) = (self.store.clone(), worker.id.clone());
        http::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove("servers", &id);
        });
    }

    fn handle_machines(self: &Arc<Site>, request: &Request) -> Reply {
        if *self.are_machines_down.lock().unwrap() {
            return Reply::Respond(503, String::new());
        }
        match (&*request.method, &*request.path) {
            ("GET", "/machines") => {
                let machines = self.machines.lock().unwrap();
                let list: Vec<Json> =
                    machines.iter().map(|(name, machine)| machine.entry(name)).collect();
                Reply::Respond(200, Json::map([("machines", Json::List(list))]).to_string())
            }
            ("POST", "/machine-move") => self.order_machine(request, MOVE_TIME),
            ("POST", "/machine-upkeep") => self.order_machine(request, UPKEEP_TIME),
            _ => Reply::Respond(404, String::new()),
        }
    }

    /// Moves a machine or begins its upkeep.
    fn order_machine(self: &Arc<Site>, request: &Request, time: Duration) -> Reply {
        let order = Json::parse(&request.body).unwrap_or(Json::Null);
        let name = order.get("machine").text().to_owned();
        self.note(&format!(
            "platform: {} {} by {:?} with {:?}",
            request.path,
            request.body,
            request.headers.get("x-duty-holder"),
            request.headers.get("x-fencing-token")
        ));
        let worker = {
            let mut machines = self.machines.lock().unwrap();
            let Some(machine) = machines.get_mut(&name) else {
                return Reply::Respond(400, String::new());
            };
            let wave = order.get("wave").int().map(|wave| wave as u64);
            let is_done = match wave {
                Some(wave) => machine.upkeeps.contains(&wave),
                None => machine.pool == order.get("pool").text(),
            };
            if is_done {
                return Reply::Respond(200, "{}".to_owned());
            }
            if machine.state != "up" {
                return Reply::Respond(409, r#"{"reason":"busy"}"#.to_owned());
            }
            if let Some(wave) = wave {
                let asked = self.store.get("op", &format!("wave/{wave}")).unwrap_or(Json::Null);
                if !asked.get("machines").list().iter().any(|known| known.text() == name) {
                    return Reply::Respond(409, r#"{"reason":"wave"}"#.to_owned());
                }
                machine.upkeeps.push(wave);
                machine.state = "upkeep";
            } else {
                machine.pool = order.get("pool").text().to_owned();
                machine.state = "moving";
            }
            machine.worker.take()
        };
        if let Some(worker) = worker {
            self.end_worker(&worker);
            self.store.remove("servers", &worker.id);
        }
        let site = Arc::clone(self);
        http::spawn(move || {
            thread::sleep(time);
            site.start_worker(&name);
        });
        Reply::Respond(200, "{}".to_owned())
    }

    /// Ends the runs that are due, and lets gangs begin, go on or break up.
    fn tick(&self) {
        let workers = self.workers.lock().unwrap().clone();
        let mut gangs: BTreeMap<(String, u64), Vec<(usize, String)>> = BTreeMap::new();
        for (index, worker) in
            workers.iter().enumerate().filter(|(_, worker)| !worker.end.is_over())
        {
            let now_ms = worker.clock_ms();
            let mut state = worker.state.lock().unwrap();
            let has_lapsed = now_ms > state.hold_until_ms;
            let mut ends: Vec<(String, &'static str)> = Vec::new();
            for (task, run) in &mut state.running {
                if has_lapsed {
                    ends.push((task.clone(), "lapsed"));
                } else if run.stop_at.is_some_and(|at| at <= Instant::now()) {
                    ends.push((task.clone(), "stopped"));
                } else if run.work.gang > 0 {
                    gangs
                        .entry((run.gang_name.clone(), run.run))
                        .or_default()
                        .push((index, task.clone()));
                } else if Duration::from_millis(run.done_ms()) >= run.work.time {
                    ends.push((task.clone(), run.work.how));
                }
            }
            for (task, how) in ends {
                self.end_run(worker, &mut state, &task, how);
            }
        }
        for members in gangs.into_values() {
            self.tick_gang(&workers, &members);
        }
    }

    fn tick_gang(&self, workers: &[Arc<Worker>], members: &[(usize, String)]) {
        let with = |index: usize, task: &str, read: &mut dyn FnMut(&mut Run)| {
            if let Some(run) = workers[index].state.lock().unwrap().running.get_mut(task) {
                read(run);
            }
        };
        let (mut size, mut has_begun, mut is_done) = (0, false, false);
        let (mut carried, mut is_late) = (Vec::new(), Vec::new());
        for (index, task) in members {
            with(*index, task, &mut |run| {
                size = run.work.gang;
                has_begun |= run.began.is_some();
                is_done |= Duration::from_millis(run.done_ms()) >= run.work.time;
                carried.push(run.carried.clone());
                is_late.push(run.began.is_none() && run.started.elapsed() >= GANG_TIMEOUT);
            });
        }
        carried.dedup();
        // The members of a run all carry the same value; others do not work together.
        let is_whole = members.len() == size && carried.len() == 1;
        let how = match () {
            () if has_begun && members.len() < size => Some("broken"),
            () if has_begun && is_done => Some("done"),
            () => None,
        };
        for (position, (index, task)) in members.iter().enumerate() {
            if let Some(how) = how.or(is_late.get(position).filter(|late| **late).map(|_| "alone"))
            {
                let mut state = workers[*index].state.lock().unwrap();
                self.end_run(&workers[*index], &mut state, task, how);
            } else if is_whole && !has_begun {
                with(*index, task, &mut |run| run.began = Some(Instant::now()));
            }
        }
    }

    /// Ends a run and lists its end.
    fn end_run(&self, worker: &Worker, state: &mut WorkerState, task: &str, how: &str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        let saved = run.saved(task, how == "stopped");
        let number = state.next_end;
        state.next_end += 1;
        state.past.insert(task.to_owned(), run.run);
        let row = vec![
            Json::from(number),
            Json::from(task),
            Json::from(run.run),
            Json::from(how),
            Json::from(&*saved),
        ];
        state.ended.push((number, Json::List(row)));
        self.event(worker, task, run.run, how, &saved);
    }

    /// Returns the checkpoints of a task, as its worker has saved and as it has shown it last.
    pub fn checkpoints(&self, task: &str) -> Option<(String, String, String)> {
        let workers = self.workers.lock().unwrap();
        workers.iter().filter(|worker| !worker.end.is_over()).find_map(|worker| {
            let state = worker.state.lock().unwrap();
            let run = state.running.get(task)?;
            let shown = state.shown.get(task).cloned().unwrap_or_default();
            Some((worker.machine.clone(), run.saved(task, false), shown))
        })
    }

    /// Returns the number of runs on all workers, and of ends that are not acknowledged.
    pub fn counts(&self) -> (usize, usize) {
        let workers = self.workers.lock().unwrap();
        workers.iter().fold((0, 0), |(runs, ends), worker| {
            let state = worker.state.lock().unwrap();
            (runs + state.running.len(), ends + state.ended.len())
        })
    }
}

impl Machine {
    fn entry(&self, name: &str) -> Json {
        let id = self.worker.as_ref().map_or(Json::Null, |worker| Json::from(&*worker.id));
        Json::map([
            ("machine", Json::from(name)),
            ("pool", Json::from(&*self.pool)),
            ("state", Json::from(self.state)),
            ("zone", Json::from("z1")),
            ("labels", labels(&self.labels)),
            ("capacity", capacity(self.cpu)),
            ("id", id),
        ])
    }
}

fn labels(labels: &[String]) -> Json {
    Json::List(labels.iter().map(|label| Json::from(&**label)).collect())
}

fn capacity(cpu: u64) -> Json {
    Json::map([("cpu", Json::from(cpu)), ("mem_mb", Json::from(131_072)), ("gpu", Json::from(0))])
}

impl Worker {
    fn entry(&self, sequence: u64) -> Json {
        Json::map([
            ("service", Json::from(&*self.service)),
            ("address", Json::from(self.address.to_string())),
            ("zone", Json::from("z1")),
            ("version", Json::from("1")),
            ("slots", Json::from(8)),
            ("state", Json::from("ready")),
            ("cold_remaining_ms", Json::from(0)),
            ("sequence", Json::from(sequence)),
            ("machine", Json::from(&*self.machine)),
            ("born", Json::from(self.born_ms)),
            ("labels", labels(&self.labels)),
            ("capacity", capacity(self.cpu)),
        ])
    }

    fn clock_ms(&self) -> u64 {
        5000 + self.start.elapsed().as_millis() as u64
    }

    fn respond(&self, status: u16, reason: &str) -> Reply {
        let clock = ("clock_ms", Json::from(self.clock_ms()));
        let body = match reason {
            "" => Json::map([clock]),
            _ => Json::map([clock, ("reason", Json::from(reason))]),
        };
        Reply::Respond(status, body.to_string())
    }

    fn handle(&self, site: &Site, request: &Request) -> Reply {
        if request.connected < self.start {
            return Reply::Silence(DARK);
        }
        let Some(order) = Json::parse(&request.body) else {
            return self.respond(400, "");
        };
        let fence = order.get("fencing_token").int().unwrap_or(0) as u64;
        if site.is_cut(&self.machine, fence, request.path == "/hold") {
            return Reply::Silence(DARK);
        }
        if request.headers.get("x-expect-instance").is_some_and(|id| *id != self.id) {
            return self.respond(421, "");
        }
        {
            let mut state = self.state.lock().unwrap();
            if fence < state.fence {
                return self.respond(409, "fence");
            }
            state.fence = fence;
        }
        match &*request.path {
            "/run-start" => self.start_run(site, &order),
            "/run-stop" => self.stop_run(&order),
            "/hold" => self.hold(&order),
            "/pace" => self.respond(200, ""),
            _ => self.respond(404, ""),
        }
    }

    fn extend(&self, state: &mut WorkerState, order: &Json) {
        let now_ms = self.clock_ms();
        if let Some(until_ms) = order.get("until_ms").int() {
            state.hold_until_ms =
                state.hold_until_ms.max((until_ms as u64).min(now_ms + MAX_HOLD_MS));
        }
    }

    fn start_run(&self, site: &Site, order: &Json) -> Reply {
        let (task, run) = (order.get("task").text(), order.get("run").int().unwrap_or(0) as u64);
        let checkpoint = order.get("checkpoint").text();
        let mut parts = task.splitn(4, '.');
        let (job, _, step) = (parts.next(), parts.next(), parts.next());
        let step: usize = step.and_then(|text| text.parse().ok()).unwrap_or(0);
        let work = site.works.lock().unwrap().get(&(job.unwrap_or("").to_owned(), step)).cloned();
        let Some(work) = work else {
            site.note(&format!("worker {}: start of {task}, which nobody sent", self.id));
            return self.respond(400, "");
        };
        let mut state = self.state.lock().unwrap();
        if order.get("until_ms").int().unwrap_or(0) < self.clock_ms() as i64 {
            return self.respond(409, "late");
        }
        let known = state.running.get(task).map(|known| known.run);
        if known == Some(run) {
            return self.respond(200, "");
        }
        self.extend(&mut state, order);
        let past = state.past.get(task).copied().unwrap_or(0);
        if run <= past || known.is_some_and(|known| run < known) {
            return self.respond(409, "old");
        }
        let used: u64 = state.running.values().map(|run| run.work.cpu).sum();
        if known.is_some() || used + work.cpu > self.cpu {
            return self.respond(409, "room");
        }
        let began = (work.gang == 0).then(Instant::now);
        let gang_name = task.rsplit_once('.').map_or("", |(gang, _)| gang).to_owned();
        let started = Instant::now();
        let carried = checkpoint.to_owned();
        state.running.insert(
            task.to_owned(),
            Run { run, work, started, began, carried, stop_at: None, gang_name },
        );
        drop(state);
        site.event(self, task, run, "start", checkpoint);
        self.respond(200, "")
    }

    fn stop_run(&self, order: &Json) -> Reply {
        let (task, run) = (order.get("task").text(), order.get("run").int().unwrap_or(0) as u64);
        let mut state = self.state.lock().unwrap();
        match state.running.get_mut(task).filter(|known| known.run <= run) {
            Some(known) => {
                known.stop_at.get_or_insert(Instant::now() + STOP_TIME);
            }
            None => {
                let past = state.past.entry(task.to_owned()).or_default();
                *past = (*past).max(run);
            }
        }
        drop(state);
        self.respond(200, "")
    }

    fn hold(&self, order: &Json) -> Reply {
        let wait =
            Duration::from_millis(order.get("wait_ms").int().unwrap_or(0).clamp(0, 2000) as u64);
        let cursor = order.get("ack_cursor").int().unwrap_or(0) as u64;
        let begin = Instant::now();
        {
            let mut state = self.state.lock().unwrap();
            state.ended.retain(|(number, _)| *number > cursor);
            self.extend(&mut state, order);
        }
        loop {
            if self.has_crashed.load(Ordering::SeqCst) {
                return Reply::Silence(DARK);
            }
            let mut state = self.state.lock().unwrap();
            if !state.ended.is_empty() || begin.elapsed() >= wait || self.end.is_over() {
                let rows: Vec<(String, String, Json)> =
                    state.running.iter().map(|(task, run)| run_row(task, run)).collect();
                for (task, saved, _) in &rows {
                    state.shown.insert(task.clone(), saved.clone());
                }
                let ended =
                    state.ended.iter().take(MAX_LISTED).map(|(_, row)| row.clone()).collect();
                let body = Json::map([
                    ("clock_ms", Json::from(self.clock_ms())),
                    ("born", Json::from(self.born_ms)),
                    ("running", Json::List(rows.into_iter().map(|(_, _, row)| row).collect())),
                    ("ended", Json::List(ended)),
                ]);
                return Reply::Respond(200, body.to_string());
            }
            drop(state);
            thread::sleep(TICK);
        }
    }
}

/// Returns a run as the list of runs has it, with its task and its checkpoint.
fn run_row(task: &str, run: &Run) -> (String, String, Json) {
    let saved = run.saved(task, false);
    let percent = match run.work.is_lasting {
        true => 100,
        false => (run.done_ms() * 100 / (run.work.time.as_millis() as u64).max(1)).min(99),
    };
    let row = vec![
        Json::from(task),
        Json::from(run.run),
        Json::from(&*saved),
        Json::from(percent),
        Json::from(run.work.cpu),
    ];
    (task.to_owned(), saved, Json::List(row))
}
