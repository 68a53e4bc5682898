//! One run of the demo, from the first document to the report.

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
    site::{Error, Folder, Running},
};

/// Longest time for the pools to get their hosts at the start.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for the wave to end after the callers have.
const WAVE_TIMEOUT: Duration = Duration::from_secs(45);
/// Pause between looks.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Pause between lines of progress.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
/// When the operator asks for a move, as a share of the run.
const MOVE_AT: f64 = 0.15;
/// When the wave starts.
const WAVE_AT: f64 = 0.25;
/// When faults start and end.
const FAULTS_AT: (f64, f64) = (0.4, 0.7);

/// Runs the demo.
pub(crate) fn run(arguments: &Arguments, log: &Logger) -> Result<Report, Error> {
    let folder = Folder::load(&arguments.examples.join(&arguments.site))?;
    let services = folder.services();
    let Some(first) = services.iter().find(|document| !document.is_spare) else {
        return Err(Error::Site("every service is spare; at least one has to need hosts".into()));
    };
    let maintained = first.pool.clone();
    let has_relays = arguments.faults.iter().any(|fault| fault.needs_relays());
    let site = Running::start(&folder.settings, maintained.clone(), has_relays, log)?;
    let site = Arc::new(site);
    let operator = Operator::new(site.stand_ins.platform_address)
        .map_err(|error| Error::Site(error.to_string()))?;
    operator.apply_all(&folder).map_err(|error| Error::Site(error.to_string()))?;
    settle(&site, &folder)?;

    let orders =
        demand::orders(&services, folder.settings.slots_per_worker, arguments.time, arguments.seed);
    progress(&format!("{} is up; sending {} requests", arguments.site, orders.len()));
    let sampler = Sampler::start(&site)?;
    let before = site.stand_ins.platform.table.operation_counts();
    let start = Instant::now();
    let acting = Acting {
        site: Arc::clone(&site),
        folder,
        operator,
        maintained,
        faults: arguments.faults.clone(),
        time: arguments.time,
        start,
    };
    let acting = thread::spawn(move || acting.run());
    let records = callers::send_all(orders, &site, &arguments.faults, start);
    let elapsed = start.elapsed().as_secs_f64();
    let after = site.stand_ins.platform.table.operation_counts();
    let acted = acting.join().map_err(|_| Error::Site("the operator's thread failed".into()))?;

    let mut report = Report {
        site: arguments.site.clone(),
        seed: arguments.seed,
        faults: arguments.faults.iter().map(|fault| fault.name()).collect(),
        document_in_force_s: acted.in_force.as_secs_f64(),
        rollout_s: acted.rollout.as_secs_f64(),
        hosts_maintained: acted.maintained as u64,
        platform_reads_per_s: (after.0 - before.0) as f64 / elapsed,
        platform_writes_per_s: (after.1 - before.1) as f64 / elapsed,
        ..Report::default()
    };
    report.compare(&records, &site.stand_ins.ledger, site.settings.latency_to_callers);
    report.add(&sampler.stop());
    report.reverted_documents += acted.reverted;
    if let Ok(site) = Arc::try_unwrap(site) {
        site.stop();
    }
    Ok(report)
}

/// Waits until every pool has its hosts and every entry host knows it.
fn settle(site: &Running, folder: &Folder) -> Result<(), Error> {
    let start = Instant::now();
    let is_settled = || {
        site.entries().iter().all(|(_, _, view)| {
            let view = view.get();
            folder.documents.iter().filter(|(_, document)| !document.is_spare).all(|(_, document)| {
                let active = |phase: &Phase| {
                    matches!(phase, Phase::Active { pool } if *pool == document.pool)
                };
                let hosts = view.hosts.values().filter(|host| active(&host.ownership.phase));
                hosts.count() as u32 >= document.hosts
            })
        })
    };
    while !is_settled() {
        if start.elapsed() > SETTLE_TIMEOUT {
            return Err(Error::Site("the pools did not get their hosts in time".to_owned()));
        }
        thread::sleep(LOOK_PERIOD);
    }
    Ok(())
}

/// What the operator and the faults do while callers send.
struct Acting {
    site: Arc<Running>,
    folder: Folder,
    operator: Operator,
    maintained: name::Pool,
    faults: Vec<Fault>,
    time: Duration,
    start: Instant,
}

#[derive(Default)]
struct Acted {
    in_force: Duration,
    rollout: Duration,
    maintained: usize,
    reverted: u64,
}

impl Acting {
    fn run(self) -> Acted {
        let mut acted = Acted::default();
        let wave = name::Wave::try_from("demo").expect("the name is valid");
        self.sleep_until(MOVE_AT);
        if let Ok(applied) = self.operator.ask_for_one_more(&self.folder, &self.maintained) {
            acted.in_force = operator::in_force(&self.site, &applied);
        }
        self.sleep_until(WAVE_AT);
        self.operator.start_wave(&wave, &self.maintained);
        let started = Instant::now();
        self.sleep_until(FAULTS_AT.0);
        for fault in &self.faults {
            progress(&format!("fault {} starts", fault.name()));
            fault.start(&self.site);
        }
        if self.faults.contains(&Fault::TwoOperators) {
            acted.reverted += self.race();
        }
        if self.faults.contains(&Fault::DataCentreCut) {
            acted.in_force = acted.in_force.max(self.change_one_document());
        }
        self.sleep_until(FAULTS_AT.1);
        for fault in &self.faults {
            fault.end(&self.site);
        }
        self.wait_for_wave(&wave, started, &mut acted);
        acted
    }

    /// Counts the changes that were accepted beyond the one that may be.
    fn race(&self) -> u64 {
        let Some((source, document)) = self.folder.documents.first() else { return 0 };
        let mut untold = 0;
        for _ in 0..10 {
            let accepted = operator::race(&self.operator, source, document);
            untold += accepted.saturating_sub(1) as u64;
        }
        untold
    }

    fn change_one_document(&self) -> Duration {
        let Some((source, _)) = self.folder.documents.last() else { return Duration::ZERO };
        let text = format!("{}\n# changed while a data centre is cut off\n", source.text());
        let applied: Result<_, documents::Error> = self.operator.apply(&Source::new("demo", &text));
        applied.map_or(Duration::MAX, |applied| operator::in_force(&self.site, &applied))
    }

    fn wait_for_wave(&self, wave: &name::Wave, started: Instant, acted: &mut Acted) {
        let table = &self.site.stand_ins.platform.table;
        let never = usize::from(self.faults.contains(&Fault::HostNeverReturns));
        let limit = self.start + self.time + WAVE_TIMEOUT;
        let mut told = Instant::now();
        loop {
            acted.maintained = operator::done(table, wave);
            let wanted = self.in_scope().saturating_sub(never);
            if acted.maintained >= wanted || Instant::now() > limit {
                break;
            }
            if told.elapsed() > PROGRESS_PERIOD {
                progress(&format!("wave: {} of {wanted} hosts", acted.maintained));
                told = Instant::now();
            }
            // A host that never returns holds its grant, so the wave may stop early.
            if never > 0 && Instant::now() > self.start + self.time + Duration::from_secs(5) {
                break;
            }
            thread::sleep(LOOK_PERIOD);
        }
        acted.rollout = started.elapsed();
    }

    fn in_scope(&self) -> usize {
        let entries = self.site.entries();
        let Some((_, _, view)) = entries.last() else { return 0 };
        let view = view.get();
        let owned =
            view.hosts.values().filter(|host| host.ownership.pool() == Some(&self.maintained));
        owned.count()
    }

    fn sleep_until(&self, share: f64) {
        let at = self.start + self.time.mul_f64(share);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// Shows a line of progress on standard error.
fn progress(line: &str) {
    // Without a standard error nobody is watching.
    let _ = writeln!(io::stderr(), "{line}");
}
