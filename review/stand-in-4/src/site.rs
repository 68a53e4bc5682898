//! A small site: the stand-ins, the project's own processes, and a client.

use std::{
    env, fs, io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Response},
    json::{Json, object},
    record::Record,
    store::Store,
    worker::{Identity, Worker},
};

/// Host name of all routes.
pub const HOST: &str = "site.example";
/// Time for which a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Longest time until the site serves.
const START_TIME: Duration = Duration::from_secs(15);

/// A program of the deploy file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    Entry,
    Planner,
}

impl Program {
    fn path(self) -> &'static str {
        match self {
            Program::Entry => "target/release/skylarkwick-site-entry",
            Program::Planner => "target/release/skylarkwick-site-planner",
        }
    }
}

/// A process of the system; it is killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A queue of the configuration.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub service: String,
    pub needs_key: bool,
}

impl Route {
    /// Creates a route without keys; its prefix is its name.
    pub fn open(name: &str, service: &str) -> Route {
        Route { name: name.to_owned(), service: service.to_owned(), needs_key: false }
    }

    fn json(&self) -> Json {
        object([
            ("name", self.name.as_str().into()),
            ("host", HOST.into()),
            ("path_prefix", format!("/{}/", self.name).into()),
            ("kind", "unsafe".into()),
            ("timeout_ms", 3000_u64.into()),
            ("target_duration_ms", 2500_u64.into()),
            ("priority", 0_u64.into()),
            ("service", self.service.as_str().into()),
            ("max_attempts", 3_u64.into()),
            ("stretch", 2_u64.into()),
            ("allow_anonymous", (!self.needs_key).into()),
        ])
    }
}

/// A tenant of the configuration, with one key that is its name and `-key`.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    pub weight: u64,
}

impl Tenant {
    fn json(&self) -> Json {
        let keys = vec![Json::from(format!("{}-key", self.name))];
        let maximum =
            object([("cpu", 0_u64.into()), ("mem_mb", 0_u64.into()), ("gpu", 0_u64.into())]);
        object([
            ("name", self.name.as_str().into()),
            ("api_keys", keys.into()),
            ("priority", 1_u64.into()),
            ("weight", self.weight.into()),
            ("maximum", maximum),
        ])
    }
}

/// The site of a case.
pub struct Site {
    pub record: Record,
    pub store: Store,
    store_address: SocketAddr,
    pub workers: Vec<Worker>,
    folder: PathBuf,
    pub callers: SocketAddr,
    pub processes: Vec<(Program, Process)>,
}

impl Site {
    /// Starts the stand-ins of a site with this configuration; no process of the system yet.
    pub fn new(routes: &[Route], tenants: &[Tenant]) -> io::Result<Site> {
        let (record, store) = (Record::new(), Store::new());
        let store_address = store.serve()?;
        let folder = env::temp_dir().join(format!("review-4-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let services: Vec<&String> = routes.iter().map(|route| &route.service).collect();
        let service = |name: &&String| {
            object([
                ("name", name.as_str().into()),
                ("admission_check", true.into()),
                ("spare", false.into()),
            ])
        };
        let mut distinct = services.clone();
        distinct.sort();
        distinct.dedup();
        let mut config = vec![
            ("version", Json::from(7_u64)),
            ("routes", routes.iter().map(Route::json).collect::<Vec<_>>().into()),
            ("services", distinct.iter().map(service).collect::<Vec<_>>().into()),
            ("limits", object([("max_body_bytes", 262_144_u64.into())])),
        ];
        if !tenants.is_empty() {
            config.push(("tenants", tenants.iter().map(Tenant::json).collect::<Vec<_>>().into()));
        }
        let config = config.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        store.put("op", "config", &Json::Object(config).to_string());
        let callers = free_address()?;
        Ok(Site {
            record,
            store,
            store_address,
            workers: Vec::new(),
            folder,
            callers,
            processes: Vec::new(),
        })
    }

    /// Starts a worker of a service.
    pub fn start_worker(&mut self, service: &str, cpu: u64, mem: u64) -> io::Result<()> {
        let number = self.workers.len() + 1;
        let identity = Identity {
            id: format!("i-{number}"),
            machine: format!("m-{number}"),
            service: service.to_owned(),
            cpu,
            mem,
            labels: vec!["a".to_owned(), format!("r1-{number}")],
        };
        let worker = Worker::start(identity, &self.store, &self.record)?;
        self.workers.push(worker);
        Ok(())
    }

    /// Starts a program of the deploy file with settings from its template.
    pub fn start_program(&mut self, program: Program, entry: &str) -> io::Result<()> {
        let (ready, neighbours) = (free_address()?, free_address()?);
        let (callers, store) = (self.callers, self.store_address);
        let settings = format!(
            "entry = \"{entry}\"\ndata_centre = \"z1\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             neighbours = \"{neighbours}\"\nstore = \"{store}\"\nhosts = \"\"\ncore_share = 0.25\n\
             cores = 1\nlongest_lease_ms = 6000\nhandover_ms = 3000\nnotice_ms = 4500\n\
             maintenance_s = 2\ntold_s = 120\ngrace_s = 6\nmemory_mb = 260\nmax_descriptors = 4100\n"
        );
        let path = self.folder.join(format!("{entry}-{program:?}.toml"));
        fs::write(&path, settings)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{entry}-{program:?}.log")))?;
        let child = Command::new(program.path())
            .env("SKYLARKWICK_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.add(format!("{program:?} of {entry} started as process {}", child.id()));
        self.processes.push((program, Process { child }));
        Ok(())
    }

    /// Kills the process of a program that was started first.
    pub fn kill_first(&mut self, program: Program) {
        let found = self.processes.iter_mut().find(|(known, _)| *known == program);
        if let Some((_, process)) = found {
            process.kill();
        }
        self.record.add(format!("{program:?} killed for good"));
    }

    /// Waits until queues can be counted; fails if that takes too long.
    pub fn wait_until_served(&self, queue: &str, key: &str) -> io::Result<()> {
        let start = Instant::now();
        while start.elapsed() < START_TIME {
            let answer = self.send("GET", &format!("/{queue}/"), key, "");
            if answer.is_some_and(|answer| answer.status == 200) {
                self.record.add("the site serves");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the site does not serve"))
    }

    /// Sends a request of a client.
    pub fn send(&self, method: &str, path: &str, key: &str, body: &str) -> Option<Response> {
        let authorization = format!("Bearer {key}");
        let mut headers = vec![("Host", HOST), ("X-Deadline-Ms", "3000")];
        if !key.is_empty() {
            headers.push(("Authorization", &authorization));
        }
        if !body.is_empty() {
            headers.push(("Content-Type", "application/json"));
        }
        http::send(self.callers, method, path, &headers, body, DEADLINE)
    }

    /// Submits a job, again under the same ID without an answer; returns whether it was accepted.
    pub fn submit(&self, queue: &str, id: &str, key: &str, job: &Json) -> bool {
        for _ in 0..5 {
            let answer = self.send("POST", &format!("/{queue}/{id}"), key, &job.to_string());
            let status = answer.map_or(0, |answer| answer.status);
            self.record.add(format!("POST /{queue}/{id} -> {status}"));
            match status {
                200..=299 => return true,
                0 | 502 | 504 => thread::sleep(Duration::from_millis(200)),
                _ => return false,
            }
        }
        false
    }

    /// Returns the state of a job as a client is told it.
    pub fn state(&self, queue: &str, id: &str, key: &str) -> String {
        let answer = self.send("GET", &format!("/{queue}/{id}"), key, "");
        let Some(Response { status, body }) = answer else {
            return "no answer".to_owned();
        };
        let state =
            Json::parse(body.as_bytes()).unwrap_or(Json::Null).get("state").text().to_owned();
        let told = if status == 200 { state } else { format!("status {status}") };
        self.record.add(format!("GET /{queue}/{id} -> {told}"));
        told
    }

    /// Returns the workers that run a task, with the number of its run's start.
    pub fn workers_of(&self, task: &str) -> Vec<&Worker> {
        self.workers
            .iter()
            .filter(|worker| worker.running().iter().any(|known| known == task))
            .collect()
    }

    /// Returns the number of runs of a task that were started.
    pub fn starts(&self, task: &str) -> usize {
        self.workers.iter().flat_map(Worker::spans).filter(|span| span.task == task).count()
    }

    /// Waits until a condition holds, at most for this long; returns whether it does.
    pub fn wait(&self, seconds: u64, condition: impl Fn(&Site) -> bool) -> bool {
        let start = Instant::now();
        while !condition(self) {
            if start.elapsed() > Duration::from_secs(seconds) {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Ends all processes, keeps their logs in the folder if asked to, and saves the record.
    pub fn finish(mut self, case: &Path) -> io::Result<()> {
        self.processes.clear();
        self.record.add("all processes ended");
        match env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs in {}", self.folder.display()),
            None => fs::remove_dir_all(&self.folder)?,
        }
        self.record.save(&case.join("record.txt"))
    }
}

/// Returns a free address of the loopback interface.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns a step of a job.
pub fn step<const N: usize>(count: u64, cpu: u64, mem: u64, more: [(&str, Json); N]) -> Json {
    let mut fields = vec![
        ("count", Json::from(count)),
        ("cpu", cpu.into()),
        ("mem_mb", mem.into()),
        ("estimate_ms", 500_u64.into()),
    ];
    fields.extend(more);
    Json::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

/// Returns a job.
pub fn job(spec: &str, steps: Vec<Json>) -> Json {
    object([("spec", spec.into()), ("steps", steps.into())])
}
