//! Runs the demo from the first document to the report.

use std::{
    io::{self, Write},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use skylarkwick_connection::platform::documents;
use skylarkwick_version::{host::Phase, name, source::Source};
use slog::Logger;

use crate::{
    arguments::Arguments,
    callers, demand,
    fault::Fault,
    operator::{self, Operator},
    report::Report,
    sampler::Sampler,
    site::{Config, Error, RunningSite},
};

/// Longest wait, from the acceptance of the documents, for the pools to get their
/// hosts.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the wave to end, from the scheduled end of the callers' requests.
const WAVE_TIMEOUT: Duration = Duration::from_secs(45);
/// Interval between checks of a condition that the run waits for.
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// Shortest interval between progress lines about the wave.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
/// When the operator requests a host move, as a share of the time in which callers
/// send.
const MOVE_AT: f64 = 0.15;
/// When the wave starts, as a share of the time in which callers send.
const WAVE_AT: f64 = 0.25;
/// When faults start and when they end, as shares of the time in which callers send.
const FAULTS_AT: (f64, f64) = (0.4, 0.7);

/// Starts a site, runs the scenario while callers send requests, stops the site and
/// returns the report. A violated guarantee is no error; it is in the report.
pub(crate) fn run(arguments: &Arguments, log: &Logger) -> Result<Report, Error> {
    let config = Config::load(&arguments.examples.join(&arguments.site))?;
    let services = config.services();
    let Some(first) = services.iter().find(|document| !document.is_spare) else {
        return Err(Error::Run(
            "the site has only spare services; at least one service must not be spare".into(),
        ));
    };
    let maintained_pool = first.pool.clone();
    let has_relays = arguments.faults.iter().any(|fault| fault.needs_relays());
    let site = RunningSite::start(&config.settings, maintained_pool.clone(), has_relays, log)?;
    let site = Arc::new(site);
    let operator = Operator::new(site.stand_ins.platform_address)
        .map_err(|error| Error::Run(error.to_string()))?;
    operator.apply_all(&config).map_err(|error| Error::Run(error.to_string()))?;
    wait_for_hosts(&site, &config)?;

    let requests = demand::requests(
        &services,
        config.settings.slots_per_worker,
        arguments.duration,
        arguments.seed,
    );
    print_progress(&format!("{} is up; sending {} requests", arguments.site, requests.len()));
    let sampler = Sampler::start(&site)?;
    let before = site.stand_ins.platform.table.operation_counts();
    let start = Instant::now();
    let scenario = Scenario {
        site: Arc::clone(&site),
        config,
        operator,
        maintained_pool,
        faults: arguments.faults.clone(),
        duration: arguments.duration,
        start,
    };
    let scenario = thread::spawn(move || scenario.run());
    let records = callers::send_all(requests, &site, &arguments.faults, start);
    let elapsed = start.elapsed().as_secs_f64();
    let after = site.stand_ins.platform.table.operation_counts();
    let result = scenario.join().map_err(|_| Error::Run("the scenario thread panicked".into()))?;

    let mut report = Report {
        site: arguments.site.clone(),
        seed: arguments.seed,
        faults: arguments.faults.iter().map(|fault| fault.name()).collect(),
        document_in_force_s: result.in_force_time.as_secs_f64(),
        rollout_s: result.rollout_time.as_secs_f64(),
        hosts_maintained: result.maintained_hosts as u64,
        platform_reads_per_s: (after.0 - before.0) as f64 / elapsed,
        platform_writes_per_s: (after.1 - before.1) as f64 / elapsed,
        ..Report::default()
    };
    report.add_records(&records, &site.stand_ins.ledger, site.settings.latency_to_callers);
    report.add_samples(&sampler.stop());
    report.reverted_documents += result.reverted_documents;
    if let Ok(site) = Arc::try_unwrap(site) {
        site.stop();
    }
    Ok(report)
}

/// Waits until the views of all entry hosts show every pool with its hosts.
///
/// # Errors
///
/// Returns an error after `ASSIGNMENT_TIMEOUT`.
fn wait_for_hosts(site: &RunningSite, config: &Config) -> Result<(), Error> {
    let start = Instant::now();
    let have_hosts = || {
        site.entries().iter().all(|(_, _, view)| {
            let view = view.get();
            config.documents.iter().filter(|(_, document)| !document.is_spare).all(|(_, document)| {
                let is_active = |phase: &Phase| {
                    matches!(phase, Phase::Active { pool } if *pool == document.pool)
                };
                let hosts = view.hosts.values().filter(|host| is_active(&host.ownership.phase));
                hosts.count() as u32 >= document.hosts
            })
        })
    };
    while !have_hosts() {
        if start.elapsed() > ASSIGNMENT_TIMEOUT {
            return Err(Error::Run(
                "the pools did not get their hosts within the timeout".to_owned(),
            ));
        }
        thread::sleep(POLL_PERIOD);
    }
    Ok(())
}

/// Operator actions and faults that happen while callers send requests: the site they
/// act on, the faults to inject, and the start and duration of the callers' requests.
struct Scenario {
    site: Arc<RunningSite>,
    config: Config,
    operator: Operator,
    maintained_pool: name::Pool,
    faults: Vec<Fault>,
    duration: Duration,
    start: Instant,
}

/// What the scenario measured: the time for a document to come into force, the duration
/// of the wave and the hosts it maintained, and the reverted documents.
#[derive(Default)]
struct ScenarioResult {
    in_force_time: Duration,
    rollout_time: Duration,
    maintained_hosts: usize,
    reverted_documents: u64,
}

impl Scenario {
    /// Moves a host, starts a wave, injects and ends the faults at their times, and
    /// waits for the wave to end.
    fn run(self) -> ScenarioResult {
        let mut result = ScenarioResult::default();
        let wave = name::Wave::try_from("demo").expect("the name is valid");
        self.sleep_until(MOVE_AT);
        if let Ok(applied) = self.operator.add_host(&self.config, &self.maintained_pool) {
            result.in_force_time = operator::wait_until_in_force(&self.site, &applied);
        }
        self.sleep_until(WAVE_AT);
        self.operator.start_wave(&wave, &self.maintained_pool);
        let started = Instant::now();
        self.sleep_until(FAULTS_AT.0);
        for fault in &self.faults {
            print_progress(&format!("injecting fault {}", fault.name()));
            fault.inject(&self.site);
        }
        if self.faults.contains(&Fault::TwoOperators) {
            result.reverted_documents += self.race_operators();
        }
        if self.faults.contains(&Fault::DataCentreCut) {
            result.in_force_time = result.in_force_time.max(self.change_document());
        }
        self.sleep_until(FAULTS_AT.1);
        for fault in &self.faults {
            fault.clear(&self.site);
        }
        self.wait_for_wave(&wave, started, &mut result);
        result
    }

    /// Has two operators change a document concurrently, ten times; returns how many
    /// changes were accepted beyond the one allowed each time.
    fn race_operators(&self) -> u64 {
        let Some((source, document)) = self.config.documents.first() else { return 0 };
        let mut excess = 0;
        for _ in 0..10 {
            let accepted = operator::apply_concurrently(&self.operator, source, document);
            excess += accepted.saturating_sub(1) as u64;
        }
        excess
    }

    /// Applies a changed document; returns the time until it is in force, or
    /// [`Duration::MAX`] if it was not accepted.
    fn change_document(&self) -> Duration {
        let Some((source, _)) = self.config.documents.last() else { return Duration::ZERO };
        let text = format!("{}\n# changed while a data centre is cut off\n", source.text());
        let applied: Result<_, documents::Error> = self.operator.apply(&Source::new("demo", &text));
        applied.map_or(Duration::MAX, |applied| operator::wait_until_in_force(&self.site, &applied))
    }

    /// Waits until the wave has maintained every host of the pool that can return, or
    /// the wait times out; records the number of hosts and the time since `started`.
    fn wait_for_wave(&self, wave: &name::Wave, started: Instant, result: &mut ScenarioResult) {
        let table = &self.site.stand_ins.platform.table;
        let unreturned = usize::from(self.faults.contains(&Fault::HostNeverReturns));
        let limit = self.start + self.duration + WAVE_TIMEOUT;
        let mut reported_at = Instant::now();
        loop {
            result.maintained_hosts = operator::count_maintained(table, wave);
            let wanted = self.maintained_pool_size().saturating_sub(unreturned);
            if result.maintained_hosts >= wanted || Instant::now() > limit {
                break;
            }
            if reported_at.elapsed() > PROGRESS_PERIOD {
                print_progress(&format!("wave: {} of {wanted} hosts", result.maintained_hosts));
                reported_at = Instant::now();
            }
            // A host that never returns keeps its grant, so the wave may not complete.
            if unreturned > 0
                && Instant::now() > self.start + self.duration + Duration::from_secs(5)
            {
                break;
            }
            thread::sleep(POLL_PERIOD);
        }
        result.rollout_time = started.elapsed();
    }

    /// Returns the number of hosts that the maintained pool owns in the view of an
    /// entry host, or 0 if no entry host runs.
    fn maintained_pool_size(&self) -> usize {
        let entries = self.site.entries();
        let Some((_, _, view)) = entries.last() else { return 0 };
        let view = view.get();
        let pool_hosts =
            view.hosts.values().filter(|host| host.ownership.pool() == Some(&self.maintained_pool));
        pool_hosts.count()
    }

    /// Sleeps until a share, from 0 to 1, of the time in which callers send has passed.
    fn sleep_until(&self, share: f64) {
        let at = self.start + self.duration.mul_f64(share);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// Prints a progress line to standard error.
fn print_progress(line: &str) {
    // Progress is best-effort; a closed standard error is ignored.
    let _ = writeln!(io::stderr(), "{line}");
}
