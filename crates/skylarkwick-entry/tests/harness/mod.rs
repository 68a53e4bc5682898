//! A test site: entry hosts, a simulated platform and backend servers, and a caller.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use skylarkwick_connection::{
    agent::Agents,
    platform::{
        Commit, Table, Transaction, documents,
        row::{self, HOST},
    },
};
use skylarkwick_entry::EntryHost;
use skylarkwick_process::{
    duty::StopSignal,
    log::{Format, discard},
    settings::{process, site},
};
use skylarkwick_stand_in::{
    relay::Relay,
    site::{Addresses, Site, StartOptions},
    worker::TaskBody,
};
use skylarkwick_version::{
    host::Ownership,
    name,
    revision::{Revision, Token},
    source::Source,
};

const SITE: &str = r#"site = "test"

[latency]
between-data-centres = "0ms"
to-callers = "0ms"

[platform]
address = "127.0.0.1:1"

[workers]
slots = 4
connections = 64
processors = 4
memory-mib = 4096

[[data-centres]]
name = "here"
entries = [
    { name = "e1", caller = "127.0.0.1:2", peer = "127.0.0.1:3" },
    { name = "e2", caller = "127.0.0.1:4", peer = "127.0.0.1:5" },
]
racks = [{ name = "r1", workers = ["127.0.0.1:6", "127.0.0.1:7"] }]
"#;

/// Time after which a wait or a request fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A site with two services: `numbers` is not repeatable, `exports` is.
pub(crate) struct Harness {
    pub(crate) site: Site,
    pub(crate) settings: site::Settings,
    relays: BTreeMap<name::Entry, Relay>,
    agents: Agents,
    stop: StopSignal,
}

/// Response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    pub(crate) body: String,
    pub(crate) traceparent: String,
}

impl Harness {
    pub(crate) fn start() -> Harness {
        let mut settings = site::Settings::load(&Source::new("site.toml", SITE)).unwrap();
        let options = StartOptions {
            addresses: Addresses::Ephemeral,
            reboot_time: Duration::from_millis(10),
            has_relays: false,
        };
        let site = Site::start(&settings, options).unwrap();
        settings.platform = site.platform_address;
        let stop = StopSignal::default();
        let mut relays = BTreeMap::new();
        for (entry, host) in &mut settings.entries {
            let relay = Relay::start(Duration::ZERO, stop.clone()).unwrap();
            host.peer_address = relay.address;
            relays.insert(entry.clone(), relay);
        }
        let harness = Harness { site, settings, relays, agents: Agents::new(8), stop };
        harness.apply_document("numbers", false);
        harness.apply_document("exports", true);
        harness.assign_host("r1-h1", "numbers");
        harness.assign_host("r1-h2", "exports");
        harness
    }

    pub(crate) fn apply_document(&self, service: &str, is_repeatable: bool) {
        let text = format!(
            "service = \"{service}\"\nteam = \"t\"\npool = \"{service}\"\n\
             [capacity]\nhosts = 1\ndown-at-once = 1\n\
             [work]\nrepeatable = {is_repeatable}\nrun-time = \"5ms\"\ndeadline = \"5s\"\n\
             [stop]\nmethod = \"drain\"\ngrace = \"5s\"\n"
        );
        let token = Token(service.len() as u128);
        let source = Source::new("test", &text);
        documents::apply(&self.site.platform.table, &source, "test", None, token).unwrap();
    }

    fn assign_host(&self, host: &str, pool: &str) {
        let pool = name::Pool::try_from(pool).unwrap();
        let here = name::DataCentre::try_from("here").unwrap();
        let ownership = Ownership::NEW.assign(&pool).unwrap();
        let value = row::encode(&row::Host::new(&ownership, &here, "test"));
        let transaction =
            Transaction::new(Token(1)).replace(row::key(HOST, host), Revision::ABSENT, value);
        let commit = self.site.platform.table.commit(&transaction).unwrap();
        assert!(matches!(commit, Commit::Applied(_)));
    }

    /// Starts an entry host and waits until it serves requests.
    pub(crate) fn start_entry(&self, name: &str) -> EntryHost {
        let entry = name::Entry::try_from(name).unwrap();
        let mut site = self.settings.clone();
        let host = site.entries.get_mut(&entry).unwrap();
        host.caller_address = SocketAddr::from(([127, 0, 0, 1], 0));
        host.peer_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = process::Settings {
            entry: entry.clone(),
            site,
            log_format: Format::Human,
            log_level: slog::Level::Info,
            statsd: None,
        };
        let started = EntryHost::start(&settings, &discard()).unwrap();
        self.relays[&entry].set_target(started.addresses.peer);
        let caller = started.addresses.caller;
        wait_until(|| self.is_ready(caller));
        wait_until(|| self.post(caller, "exports", &[], "warm-up").outcome == "done");
        started
    }

    /// Returns whether an entry host reports that it is ready.
    pub(crate) fn is_ready(&self, entry: SocketAddr) -> bool {
        let ready = self.agents.get(entry).1.get(format!("http://{entry}/ready")).call();
        ready.is_ok_and(|response| response.status().as_u16() == 200)
    }

    /// Sends a request that runs for 5 ms.
    pub(crate) fn post(
        &self,
        entry: SocketAddr,
        service: &str,
        headers: &[(&str, &str)],
        payload: &str,
    ) -> Reply {
        let body = TaskBody { run_us: 5_000, payload: payload.to_owned() };
        self.send(entry, service, headers, &serde_json::to_string(&body).unwrap())
    }

    /// Sends a request with this body.
    pub(crate) fn send(
        &self,
        entry: SocketAddr,
        service: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let (_, agent) = self.agents.get(entry);
        let mut request = agent
            .post(format!("http://{entry}/v1/services/{service}/requests"))
            .config()
            .timeout_global(Some(WAIT_TIMEOUT))
            .build();
        if !headers.iter().any(|(name, _)| *name == "Content-Type") {
            request = request.header("Content-Type", "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut response = request.send(body).unwrap();
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (outcome, traceparent) = (header("Skylarkwick-Outcome"), header("traceparent"));
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string().unwrap();
        let problem: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let reason = problem.get("reason").and_then(|reason| reason.as_str()).unwrap_or_default();
        Reply { status, outcome, reason: reason.to_owned(), body, traceparent }
    }

    /// Requests a ticket and returns its text.
    pub(crate) fn issue_ticket(&self, entry: SocketAddr) -> String {
        let (_, agent) = self.agents.get(entry);
        let mut response = agent.post(format!("http://{entry}/v1/tickets")).send_empty().unwrap();
        let body = response.body_mut().read_to_string().unwrap();
        let answer: serde_json::Value = serde_json::from_str(&body).unwrap();
        answer["ticket"].as_str().unwrap().to_owned()
    }

    /// Returns how often backend servers ran this payload.
    pub(crate) fn run_count(&self, payload: &str) -> usize {
        self.site.ledger.runs().iter().filter(|run| run.payload == payload).count()
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.site.stop();
        self.stop.request();
    }
}

/// Waits until `condition` returns true.
pub(crate) fn wait_until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "condition not met within {WAIT_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
