//! Planners with a simulated platform and hosts: pools, waves, host failures and
//! lease takeover.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use skylarkwick_connection::platform::{
    Commit, Table, Transaction, documents,
    row::{self, DRAIN, HOST, LEASE, PROGRESS, WAVE},
};
use skylarkwick_planner::Planner;
use skylarkwick_process::{
    duty::StopSignal,
    log::{Format, discard},
    settings::{process, site},
};
use skylarkwick_stand_in::{
    relay::Relay,
    site::{Addresses, Site, StartOptions},
};
use skylarkwick_version::{
    host::{Ownership, Phase},
    lease::Lease,
    name,
    revision::{Revision, Token},
    source::Source,
    wave::{self, Progress, State},
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
racks = [
    { name = "r1", workers = ["127.0.0.1:6", "127.0.0.1:7"] },
    { name = "r2", workers = ["127.0.0.1:8", "127.0.0.1:9"] },
]
"#;

/// Time after which a wait fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A site with two hosts in each of two racks, and two services: `a` with two hosts, and
/// `s`, which keeps the spare ones.
struct Harness {
    site: Site,
    settings: site::Settings,
    stop: StopSignal,
}

impl Harness {
    fn start() -> Harness {
        let mut settings = site::Settings::load(&Source::new("site.toml", SITE)).unwrap();
        let options = StartOptions {
            addresses: Addresses::Ephemeral,
            reboot_time: Duration::from_millis(50),
            has_relays: false,
        };
        let site = Site::start(&settings, options).unwrap();
        settings.platform = site.platform_address;
        let harness = Harness { site, settings, stop: StopSignal::default() };
        harness.apply_document("a", 2, false);
        harness.apply_document("s", 0, true);
        harness
    }

    fn apply_document(&self, service: &str, hosts: u32, is_spare: bool) {
        let text = format!(
            "service = \"{service}\"\nteam = \"t\"\npool = \"{service}\"\nspare = {is_spare}\n\
             [capacity]\nhosts = {hosts}\ndown-at-once = {}\n\
             [work]\nrepeatable = true\nrun-time = \"5ms\"\ndeadline = \"5s\"\n\
             [stop]\nmethod = \"drain\"\ngrace = \"5s\"\n",
            hosts.min(1)
        );
        let source = Source::new("test", &text);
        let token = Token(u128::from(hosts));
        documents::apply(&self.site.platform.table, &source, "test", None, token).unwrap();
    }

    fn start_planner(&self, name: &str, platform: SocketAddr) -> Planner {
        let mut site = self.settings.clone();
        site.platform = platform;
        let settings = process::Settings {
            entry: name::Entry::try_from(name).unwrap(),
            site,
            log_format: Format::Human,
            log_level: slog::Level::Info,
            statsd: None,
        };
        Planner::start(&settings, &discard()).unwrap()
    }

    fn create_row(&self, key: &str, value: String) {
        let key = skylarkwick_connection::platform::Key::new(key);
        let transaction = Transaction::new(Token(9)).replace(key, Revision::ABSENT, value);
        let commit = self.site.platform.table.commit(&transaction).unwrap();
        assert!(matches!(commit, Commit::Applied(_)));
    }

    fn hosts(&self) -> BTreeMap<String, Ownership> {
        let rows = self.site.platform.table.peek(HOST);
        rows.iter()
            .map(|row| {
                let host = row.key.after(HOST).unwrap().to_owned();
                (host, row::decode::<row::Host, Ownership>(row).unwrap().unwrap())
            })
            .collect()
    }

    fn active_hosts(&self, pool: &str) -> Vec<String> {
        let pool = name::Pool::try_from(pool).unwrap();
        let hosts = self.hosts().into_iter();
        hosts.filter(|(_, host)| host.serves(&pool)).map(|(host, _)| host).collect()
    }

    fn lease(&self) -> Option<Lease> {
        let rows = self.site.platform.table.peek(LEASE);
        rows.first().and_then(|row| row::decode::<row::Lease, Lease>(row).unwrap())
    }

    /// Returns whether each pool has its two hosts.
    fn has_converged(&self) -> bool {
        self.active_hosts("a").len() == 2 && self.active_hosts("s").len() == 2
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.site.stop();
        self.stop.request();
    }
}

/// Waits until `condition` returns true.
fn wait_until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "condition not met within {WAIT_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn pools_get_hosts() {
    let harness = Harness::start();
    let planner = harness.start_planner("e1", harness.settings.platform);
    wait_until(|| harness.has_converged());
    let racks: Vec<String> = harness
        .active_hosts("a")
        .iter()
        .map(|host| host.split("-h").next().unwrap().to_owned())
        .collect();
    assert_eq!(racks, ["r1", "r2"], "the pool is spread over racks");
    harness.apply_document("a", 3, false);
    wait_until(|| harness.active_hosts("a").len() == 3 && harness.active_hosts("s").len() == 1);
    planner.stop();
    assert_eq!(harness.lease().unwrap().holder, None, "a planned stop releases the lease");
}

#[test]
fn wave_resumes() {
    let harness = Harness::start();
    let first = harness.start_planner("e1", harness.settings.platform);
    wait_until(|| harness.has_converged());
    let wave = wave::Wave {
        name: name::Wave::try_from("w").unwrap(),
        state: State::Running,
        pool: Some(name::Pool::try_from("a").unwrap()),
    };
    harness.create_row(&format!("{WAVE}w"), row::encode(&row::Wave::from(&wave)));
    wait_until(|| harness.hosts().values().any(|host| host.epoch.0 > 1));
    first.abort();
    let second = harness.start_planner("e2", harness.settings.platform);
    wait_until(|| {
        let rows = harness.site.platform.table.peek(PROGRESS);
        let progress_rows =
            rows.iter().filter_map(|row| row::decode::<row::Progress, Progress>(row).unwrap());
        progress_rows.map(|progress| progress.done.len()).sum::<usize>() == 2
    });
    wait_until(|| harness.has_converged());
    let boots: u64 = harness.site.workers.values().map(|worker| worker.boot_state().1).sum();
    assert_eq!(boots, 2, "each host of the pool was rebooted once");
    assert_eq!(harness.lease().unwrap().fencing_token.0, 2);
    second.stop();
}

#[test]
fn failed_host_replaced() {
    let harness = Harness::start();
    let planner = harness.start_planner("e1", harness.settings.platform);
    wait_until(|| harness.has_converged());
    let failed = harness.active_hosts("a").remove(0);
    let host = name::Host::try_from(failed.as_str()).unwrap();
    harness.site.workers[&host].update_faults(|faults| faults.is_down = true);
    wait_until(|| harness.active_hosts("a").iter().filter(|host| **host != failed).count() == 2);
    assert_eq!(
        harness.hosts()[&failed].pool().unwrap().as_str(),
        "a",
        "an unreachable host is not moved"
    );
    planner.stop();
}

#[test]
fn drained_host_freed() {
    let harness = Harness::start();
    let planner = harness.start_planner("e1", harness.settings.platform);
    wait_until(|| harness.has_converged());
    let drained = harness.active_hosts("a").remove(0);
    harness.create_row(&format!("{DRAIN}{drained}"), "{}".to_owned());
    wait_until(|| {
        harness.hosts()[&drained].phase == Phase::Free && harness.active_hosts("a").len() == 2
    });
    planner.stop();
}

#[test]
fn paused_holder_fenced() {
    let harness = Harness::start();
    let relay = Relay::start(Duration::ZERO, harness.stop.clone()).unwrap();
    relay.set_target(harness.settings.platform);
    let paused = harness.start_planner("e1", relay.address);
    wait_until(|| harness.has_converged());
    relay.freeze();
    let other = harness.start_planner("e2", harness.settings.platform);
    wait_until(|| harness.lease().unwrap().fencing_token.0 == 2);
    harness.apply_document("a", 3, false);
    wait_until(|| harness.active_hosts("a").len() == 3);
    relay.resume();
    std::thread::sleep(Duration::from_millis(500));
    let lease = harness.lease().unwrap();
    assert_eq!(lease.fencing_token.0, 2, "the paused planner did not take the lease back");
    assert_eq!(lease.entry.unwrap().as_str(), "e2");
    assert_eq!(harness.active_hosts("a").len(), 3);
    paused.stop();
    other.stop();
}
