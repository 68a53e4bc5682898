//! A small deployment: the system's programs on a few machines, and stand-ins of the rest.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::Json,
    record::Record,
    store::Store,
    worker::{self, Interval, Ledger, Worker},
};

/// Host of the requests of the only queue.
const HOST: &str = "site.example";
/// Time that a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which the system has to serve after its start.
const START_TIME: Duration = Duration::from_secs(20);

/// A machine of the system with its two programs.
pub struct Machine {
    name: String,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    programs: Vec<Child>,
}

pub struct Site {
    root: PathBuf,
    folder: PathBuf,
    pub store: Store,
    record: Record,
    ledger: Ledger,
    pub workers: Vec<Arc<Worker>>,
    machines: Vec<Machine>,
}

const ENTRY: &str = "skylarkwick-site-entry";
const PLANNER: &str = "skylarkwick-site-planner";

impl Site {
    /// Starts the stand-ins and the system; `workers` gives the rack of each worker and its
    /// cores. Returns once a job was done.
    pub fn start(
        root: PathBuf,
        record: &Record,
        machines: usize,
        workers: &[(&str, u64)],
    ) -> Result<Site, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::new();
        let ledger = Ledger::default();
        let mut started = Vec::new();
        let mut addresses = Vec::new();
        for (index, (rack, cores)) in workers.iter().enumerate() {
            let what = (index, "pool-a", *rack, cores * 1000);
            let (worker, of_worker) = Worker::start(what, machines, &store, record, &ledger)
                .map_err(|error| error.to_string())?;
            started.push(worker);
            addresses.push(of_worker);
        }
        store.put("op", "config", &configuration().to_string());
        let list = worker::serve_machines(started.clone(), record.clone())
            .map_err(|error| error.to_string())?;
        let mut site = Site {
            root,
            folder,
            store,
            record: record.clone(),
            ledger,
            workers: started,
            machines: Vec::new(),
        };
        for index in 0..machines {
            let names = site.workers.iter().zip(&addresses);
            let names = names.map(|(w, a)| (w.placeholder(), a[index].to_string())).collect();
            site.add_machine(index, list, names)?;
        }
        for index in 0..machines {
            site.start_program(index, ENTRY)?;
            site.start_program(index, PLANNER)?;
        }
        site.wait_until_serving()?;
        Ok(site)
    }

    fn add_machine(
        &mut self,
        index: usize,
        list: SocketAddr,
        names: Vec<(String, String)>,
    ) -> Result<(), String> {
        let store = self.store.listen(names).map_err(|error| error.to_string())?;
        let (callers, ready) = (free_address()?, free_address()?);
        let name = format!("front-{index}");
        // The template deploy/settings.toml, filled in with the bounds of clw-numbering.
        let text = format!(
            "entry = \"{name}\"\ndata_centre = \"here\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             store = \"{store}\"\nhosts = \"{list}\"\ncore_share = 0.25\ncores = 1\n\
             longest_lease_ms = 6000\nhandover_ms = 3000\nnotice_ms = 4500\nmaintenance_s = 2\n\
             told_s = 120\ngrace_s = 6\n"
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let programs = Vec::new();
        self.machines.push(Machine { name, callers, ready, settings, programs });
        Ok(())
    }

    /// Starts a program with the command of the deploy file.
    fn start_program(&mut self, index: usize, program: &'static str) -> Result<(), String> {
        let machine = &mut self.machines[index];
        let path = self.root.join("target/release").join(program);
        let log = self.folder.join(format!("{}-{program}.log", machine.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&path)
            .current_dir(&self.root)
            .env("SKYLARKWICK_CONFIG", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{program}: {error}; build it first"))?;
        self.record.write(&format!("{} starts {program}", machine.name));
        machine.programs.push(child);
        Ok(())
    }

    fn wait_until_serving(&self) -> Result<(), String> {
        let is_ready = |machine: &Machine| {
            let answer = http::call(machine.ready, "GET", "/ready", HOST, "", CLIENT_TIMEOUT);
            answer.is_some_and(|(status, _)| status == 200)
        };
        self.wait("every entry is ready", START_TIME, || self.machines.iter().all(is_ready))?;
        let id = "00000000000000ff";
        let step = Json::object(&[("count", Json::number(1)), ("cpu", Json::number(100))]);
        self.submit(0, id, "ms=50 cpu=100", vec![step])?;
        self.wait("the first job is done", START_TIME, || self.is_completed(id))
    }

    pub fn wait(
        &self,
        what: &str,
        time: Duration,
        mut is_so: impl FnMut() -> bool,
    ) -> Result<(), String> {
        let deadline = Instant::now() + time;
        while !is_so() {
            if Instant::now() > deadline {
                return Err(format!("not in time: {what}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.write(what);
        Ok(())
    }

    /// Hands in a job at an entry; an error unless it is accepted.
    pub fn submit(
        &self,
        machine: usize,
        id: &str,
        spec: &str,
        steps: Vec<Json>,
    ) -> Result<(), String> {
        let body = Json::object(&[("spec", Json::text(spec)), ("steps", Json::List(steps))]);
        let answer = self.call(machine, "POST", id, &body.to_string());
        match answer {
            Some((status, _)) if (200..300).contains(&status) => Ok(()),
            answer => Err(format!("job {id} is not accepted: {answer:?}")),
        }
    }

    pub fn is_completed(&self, id: &str) -> bool {
        self.state(id).is_some_and(|state| state == "completed")
    }

    /// Returns the state of a job as the first entry tells it.
    fn state(&self, id: &str) -> Option<String> {
        let path = format!("/q/{id}");
        let callers = self.machines[0].callers;
        let (status, body) = http::call(callers, "GET", &path, HOST, "", CLIENT_TIMEOUT)?;
        let body = Json::parse(&body).unwrap_or(Json::Null);
        (status == 200).then(|| body.get("state").as_text().unwrap_or_default().to_owned())
    }

    fn call(&self, machine: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let callers = self.machines[machine].callers;
        let answer = http::call(callers, method, &format!("/q/{id}"), HOST, body, CLIENT_TIMEOUT);
        let status = answer.as_ref().map(|(status, _)| *status);
        self.record.write(&format!("client: {method} {id} {body} at front-{machine}: {status:?}"));
        answer
    }

    /// Returns a copy of all runs so far.
    pub fn intervals(&self) -> Vec<Interval> {
        self.ledger.0.lock().expect("ledger").clone()
    }

    /// Returns the tasks of a job that run now, each with its worker.
    pub fn running(&self, job: &str) -> Vec<(String, String)> {
        let prefix = format!("{job}.");
        let intervals = self.intervals().into_iter();
        let running = intervals.filter(|i| i.end_ms.is_none() && i.task.starts_with(&prefix));
        running.map(|i| (i.task, i.worker)).collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            for child in &mut machine.programs {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns a free address below the ports that the system gives to outgoing connections.
fn free_address() -> Result<SocketAddr, String> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = u16::try_from(std::process::id() % 1000).unwrap_or_default() * 10;
    for _ in 0..1000 {
        let port = 20_000 + (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % 10_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().map_err(|error| error.to_string());
        }
    }
    Err("no free port".to_owned())
}

fn configuration() -> Json {
    let route = Json::object(&[
        ("name", Json::text("r-1")),
        ("host", Json::text(HOST)),
        ("path_prefix", Json::text("/q/")),
        ("kind", Json::text("unsafe")),
        ("timeout_ms", Json::number(3000)),
        ("target_duration_ms", Json::number(600)),
        ("priority", Json::number(0)),
        ("service", Json::text("pool-a")),
        ("max_attempts", Json::number(4)),
        ("stretch", Json::Number(1.6)),
    ]);
    let pool = Json::object(&[
        ("name", Json::text("pool-a")),
        ("admission_check", Json::Bool(true)),
        ("spare", Json::Bool(false)),
    ]);
    Json::object(&[
        ("version", Json::number(1)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![pool])),
        ("limits", Json::object(&[("max_body_bytes", Json::number(262_144))])),
    ])
}
