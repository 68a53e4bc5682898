//! The project's programs, started as processes with the commands of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

const READY_TIMEOUT: Duration = Duration::from_secs(25);

/// An entry host: its two processes and its addresses.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    entry: Option<Child>,
    planner: Option<Child>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Host {
    /// Writes the settings, as `deploy/settings.toml` is filled in on a small site, and starts
    /// both processes.
    pub fn start(name: &str, folder: &Path, store: SocketAddr, machines: SocketAddr) -> Host {
        let (callers, ready) = (free_address(), free_address());
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "entry = \"{name}\"\ndata_centre = \"z1\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             store = \"{store}\"\nhosts = \"{machines}\"\ncore_share = 0.25\ncores = 1\n\
             longest_lease_ms = 10000\nhandover_ms = 3000\nnotice_ms = 4500\nmaintenance_s = 2\n\
             told_s = 120\ngrace_s = 6\n"
        );
        fs::write(&settings, text).expect("a settings file");
        let folder = folder.to_owned();
        let name = name.to_owned();
        let mut host = Host { name, callers, ready, settings, folder, entry: None, planner: None };
        host.entry = Some(host.spawn("entry"));
        host.planner = Some(host.spawn("planner"));
        host
    }

    fn spawn(&self, role: &str) -> Child {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}-{role}.log", self.name)))
            .expect("a log");
        Command::new(format!("target/release/skylarkwick-site-{role}"))
            .env("SKYLARKWICK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file")
    }

    /// Waits until the entry process reports ready; false if it does not in time.
    pub fn wait_ready(&self) -> bool {
        let begin = Instant::now();
        while begin.elapsed() < READY_TIMEOUT {
            let answer = http::call(self.ready, "GET", "/ready", &[], "", Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns whether the planner's log says last that it took the shard.
    pub fn holds_shard(&self) -> bool {
        let log = fs::read_to_string(self.folder.join(format!("{}-planner.log", self.name)));
        let log = log.unwrap_or_default();
        let last =
            log.lines().rfind(|line| line.contains("shard taken") || line.contains("shard lost"));
        last.is_some_and(|line| line.contains("shard taken"))
    }

    /// Kills the planner and starts it again after a time.
    pub fn restart_planner(&mut self, down: Duration) {
        if let Some(mut child) = self.planner.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        thread::sleep(down);
        self.planner = Some(self.spawn("planner"));
    }

    /// Returns whether both processes run.
    pub fn is_alive(&mut self) -> bool {
        let alive = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        };
        alive(&mut self.entry) & alive(&mut self.planner)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        for child in [&mut self.entry, &mut self.planner].into_iter().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
