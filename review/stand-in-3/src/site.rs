//! A small site: the stand-ins, and the project's own programs as processes on entry hosts.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{Json, number, object, text},
    platform::Platform,
    record::Record,
    store::Store,
};

/// Time from a stop signal to the kill (`grace_s`).
const GRACE: Duration = Duration::from_secs(6);
/// Pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// The programs of the deploy file, by their role.
const PROGRAMS: [&str; 2] = ["skylarkwick-site-entry", "skylarkwick-site-planner"];

/// A route of the configuration.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub service: String,
}

impl Route {
    /// Creates a route whose prefix is its name.
    pub fn new(name: &str, service: &str) -> Route {
        Route { name: name.to_owned(), prefix: format!("/{name}/"), service: service.to_owned() }
    }
}

/// Processes that were started and may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that was started, for a case that takes too long.
pub fn kill_all() {
    for process in STARTED.lock().expect("not poisoned").drain(..) {
        let _ = Command::new("sh").args(["-c", &format!("kill -KILL {process}")]).status();
    }
}

/// Notes that a process has ended.
fn forget(process: u32) {
    STARTED.lock().expect("not poisoned").retain(|started| *started != process);
}

/// Kills a process and waits for its end.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    forget(child.id());
}

/// Returns the key of the tenant that uses the queue of a path.
fn key_of(path: &str) -> String {
    format!("key-of-{}", path.split('/').nth(1).unwrap_or_default())
}

/// Host name of all routes.
const HOST: &str = "jobs.example";

/// An entry host: its name, addresses, settings file and processes.
#[derive(Debug)]
struct Front {
    name: String,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    /// The processes in the order of [`PROGRAMS`].
    processes: Mutex<[Option<Child>; 2]>,
    /// Whether the case is over, so that nothing is started any more.
    is_over: AtomicBool,
}

/// The stand-ins and the entry hosts.
#[derive(Debug)]
pub struct Site {
    pub store: Arc<Store>,
    pub platform: Arc<Platform>,
    pub record: Record,
    /// Whether each queue needs a key of a tenant of its own.
    pub has_tenants: bool,
    fronts: Vec<Arc<Front>>,
    /// Threads that restart entry hosts.
    restarts: Mutex<Vec<JoinHandle<()>>>,
    folder: PathBuf,
}

impl Site {
    /// Starts the stand-ins; no process yet. The calls of the platform take `delay`.
    pub fn new(record: &Record, delay: Duration) -> Site {
        let folder = std::env::temp_dir().join(format!("review-3-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (store, store_address) = Store::start();
        let (platform, hosts) = Platform::start(&store, record, delay);
        let fronts = ["front-a-1", "front-b-1"].into_iter().enumerate();
        let fronts = fronts.map(|(index, name)| {
            let [callers, ready, neighbours] = [(); 3].map(|()| free_address());
            let settings = folder.join(format!("{name}.toml"));
            let zone = ["a", "b"][index];
            // The keys of deploy/settings.toml, with figures of a small deployment.
            let file = format!(
                "entry = \"{name}\"\ndata_centre = \"{zone}\"\ncallers = \"{callers}\"\n\
                 ready = \"{ready}\"\nneighbours = \"{neighbours}\"\nstore = \"{store_address}\"\n\
                 hosts = \"{hosts}\"\ncore_share = 0.25\ncores = 1\nlongest_lease_ms = 10000\n\
                 handover_ms = 3000\nnotice_ms = 4500\nmaintenance_s = 2\ntold_s = 120\n\
                 grace_s = 6\nmemory_mb = 260\nmax_descriptors = 4100\n"
            );
            fs::write(&settings, file).expect("the settings can be written");
            let (processes, is_over) = (Mutex::default(), AtomicBool::new(false));
            let name = name.to_owned();
            Arc::new(Front { name, callers, ready, settings, processes, is_over })
        });
        let (fronts, restarts) = (fronts.collect(), Mutex::default());
        let record = record.clone();
        Site { store, platform, record, has_tenants: false, fronts, restarts, folder }
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64, routes: &[Route], services: &[&str], timeout_ms: u64) {
        let routes_of = routes;
        let routes = routes.iter().map(|route| {
            object([
                ("name", text(&route.name)),
                ("host", text(HOST)),
                ("path_prefix", text(&route.prefix)),
                ("kind", text("unsafe")),
                ("timeout_ms", number(timeout_ms)),
                ("target_duration_ms", number(600)),
                ("priority", number(0)),
                ("service", text(&route.service)),
                ("allow_anonymous", Json::Bool(!self.has_tenants)),
                ("max_attempts", number(4)),
                ("stretch", Json::Number(1.6)),
            ])
        });
        let services = services.iter().map(|name| {
            object([
                ("name", text(name)),
                ("spare", Json::Bool(false)),
                ("admission_check", Json::Bool(true)),
            ])
        });
        let tenants = routes_of.iter().filter(|_| self.has_tenants).map(|route| {
            let keys = Json::List(vec![text(&key_of(&route.prefix))]);
            object([
                ("name", text(&format!("tenant-of-{}", route.name))),
                ("api_keys", keys),
                ("weight", number(1)),
            ])
        });
        let config = object([
            ("tenants", Json::List(tenants.collect())),
            ("version", number(version)),
            ("routes", Json::List(routes.collect())),
            ("services", Json::List(services.collect())),
            ("limits", object([("max_body_bytes", number(262_144))])),
        ]);
        self.record.line(&format!("operator: op/config {}", config.encode()));
        self.store.put("op", "config", Some(&config));
    }

    /// Starts the programs of all entry hosts and waits until they are ready.
    pub fn start(&self) -> Result<(), String> {
        for front in &self.fronts {
            front.start(&self.record)?;
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        while !self.fronts.iter().all(|front| front.is_ready()) {
            if Instant::now() > deadline {
                return Err("the entry hosts are not ready in 20 s".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        // The first holder takes the site meanwhile.
        thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    /// Restarts an entry host as planned: SIGTERM to its processes, SIGKILL after the grace, and
    /// a start once each has ended.
    pub fn restart(&self, name: &str) {
        if let Some(front) = self.fronts.iter().find(|front| front.name == name) {
            let (front, record) = (Arc::clone(front), self.record.clone());
            let restart = thread::spawn(move || front.restart(&record));
            self.restarts.lock().expect("not poisoned").push(restart);
        }
    }

    /// Returns the process of an entry host's planner.
    pub fn planner_pid(&self, front: usize) -> Option<u32> {
        let processes = self.fronts[front].processes.lock().expect("not poisoned");
        processes[1].as_ref().map(Child::id)
    }

    /// Kills the planner of an entry host, as the platform does with one that is over its memory,
    /// and starts it again after a short delay.
    pub fn kill_planner(&self, front: usize) {
        let front = &self.fronts[front];
        {
            let mut processes = front.processes.lock().expect("not poisoned");
            if let Some(mut child) = processes[1].take() {
                end(&mut child);
            }
        }
        thread::sleep(RESTART_PAUSE);
        let _ = front.start(&self.record);
    }

    /// Makes a call of a client at an entry host.
    pub fn call(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        // Where tenants are known, each queue is used by one of them.
        let key = format!("Bearer {}", key_of(path));
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000"), ("Authorization", &key)];
        let address = self.fronts[front].callers;
        let answer = http::call(address, method, path, &headers, body, Duration::from_secs(4));
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record.line(&format!(
            "client: {method} {path} at {} {body} -> {shown}",
            self.fronts[front].name
        ));
        answer
    }

    /// Submits a job as a client does: again at the other entry host, until it is accepted.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        (0..5).any(|attempt| {
            let answer = self.call(attempt % 2, "POST", path, body);
            answer.is_some_and(|(status, _)| (200..300).contains(&status))
        })
    }

    /// Returns a field of the answer to a GET; `Null` if neither entry host answers with 200.
    pub fn look(&self, path: &str, field: &str) -> Json {
        let answers = (0..2).filter_map(|front| self.call(front, "GET", path, ""));
        let mut found = answers.filter(|(status, _)| *status == 200);
        let body = found.next().and_then(|(_, body)| Json::parse(body.as_bytes()));
        body.map_or(Json::Null, |body| body.get(field).clone())
    }

    /// Ends all processes and removes the folder.
    pub fn stop(&self) {
        for front in &self.fronts {
            front.is_over.store(true, Ordering::Release);
        }
        for restart in self.restarts.lock().expect("not poisoned").drain(..) {
            let _ = restart.join();
        }
        for front in &self.fronts {
            let mut processes = front.processes.lock().expect("not poisoned");
            processes.iter_mut().filter_map(Option::as_mut).for_each(end);
            *processes = [const { None }; 2];
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Front {
    /// Starts those of its programs that don't run.
    fn start(&self, record: &Record) -> Result<(), String> {
        let mut processes = self.processes.lock().expect("not poisoned");
        for (program, process) in PROGRAMS.iter().zip(processes.iter_mut()) {
            if process.is_some() {
                continue;
            }
            let child = Command::new(format!("target/release/{program}"))
                .env("SKYLARKWICK_CONFIG", &self.settings)
                .stdout(log_file(&self.settings, program))
                .stderr(Stdio::inherit())
                .spawn()
                .map_err(|error| format!("{program} does not start: {error}"))?;
            record.line(&format!("{}: {program} started, process {}", self.name, child.id()));
            STARTED.lock().expect("not poisoned").push(child.id());
            *process = Some(child);
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/ready", &[], "", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    fn restart(&self, record: &Record) {
        record.line(&format!("{}: SIGTERM", self.name));
        let mut ending: Vec<Child> = {
            let mut processes = self.processes.lock().expect("not poisoned");
            processes.iter_mut().filter_map(Option::take).collect()
        };
        for child in &ending {
            let _ = Command::new("sh").args(["-c", &format!("kill -TERM {}", child.id())]).status();
        }
        let deadline = Instant::now() + GRACE;
        let is_running = |child: &mut Child| matches!(child.try_wait(), Ok(None));
        while Instant::now() < deadline && !self.is_over.load(Ordering::Acquire) {
            if !ending.iter_mut().any(is_running) {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        ending.iter_mut().for_each(end);
        thread::sleep(RESTART_PAUSE);
        if !self.is_over.load(Ordering::Acquire) {
            let _ = self.start(record);
        }
    }
}

/// Returns where the log of a process goes: to a file beside its settings if `KEEP_LOGS` is set,
/// else nowhere.
fn log_file(settings: &std::path::Path, program: &str) -> Stdio {
    let Ok(folder) = std::env::var("KEEP_LOGS") else {
        return Stdio::null();
    };
    let name = settings.file_stem().and_then(|name| name.to_str()).unwrap_or("front");
    let path = format!("{folder}/{name}-{program}.log");
    let file = fs::OpenOptions::new().create(true).append(true).open(path);
    file.map_or(Stdio::null(), Stdio::from)
}

/// First of the ports that are tried, and their number; they lie below those that the system gives to
/// outgoing connections.
const PORTS: (u32, u32) = (12_000, 19_000);
/// Ports that were given out.
static GIVEN: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is free. Cases that run beside each other begin at
/// different ports.
fn free_address() -> SocketAddr {
    loop {
        let number = process::id().wrapping_mul(61) + GIVEN.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(PORTS.0 + number % PORTS.1).unwrap_or_default();
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("the port is bound");
        }
    }
}
