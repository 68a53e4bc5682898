//! Operator actions: applying documents, moving a host and starting a wave.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use skylarkwick_connection::platform::{
    Row, Transaction,
    documents::{self, Applied, Error},
    http::Platform,
    retry::{self, commit_with_retry},
    row::{self, PROGRESS, WAVE},
};
use skylarkwick_stand_in::table::Memory;
use skylarkwick_version::{
    document, name,
    revision::{Revision, Token},
    source::Source,
    wave::{self, State},
};

use crate::site::{Config, RunningSite};

/// Longest wait from the acceptance of a document until it is in force on every entry
/// host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks of the entry hosts' views.
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Number of attempts at a write that the platform does not confirm.
const MAX_ATTEMPTS: u32 = 40;
/// Delay between two attempts at a write.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// An operator that writes to the platform over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    platform: Platform,
}

impl Operator {
    /// Creates an operator for the platform at an address.
    pub(crate) fn new(platform: SocketAddr) -> Result<Operator, name::Error> {
        let origin = name::DataCentre::try_from("operators")?;
        Ok(Operator { platform: Platform::new(platform, origin) })
    }

    /// Applies all documents of the site; stops at the first that fails.
    pub(crate) fn apply_all(&self, config: &Config) -> Result<(), Error> {
        for (source, _) in &config.documents {
            self.apply(source)?;
        }
        Ok(())
    }

    /// Applies a document, up to `MAX_ATTEMPTS` times while the platform is unavailable
    /// or it is unknown whether the change was written.
    pub(crate) fn apply(&self, source: &Source) -> Result<Applied, Error> {
        let mut attempt = 0;
        loop {
            attempt += 1;
            match documents::apply(&self.platform, source, "demo", None, token()) {
                Err(Error::Platform(_) | Error::InDoubt(_)) if attempt < MAX_ATTEMPTS => {
                    std::thread::sleep(RETRY_PERIOD);
                }
                result => return result,
            }
        }
    }

    /// Adds one host to the number in the document of a pool's service, which moves a
    /// host from the spare pool.
    pub(crate) fn add_host(&self, config: &Config, pool: &name::Pool) -> Result<Applied, Error> {
        let found = config.documents.iter().find(|(_, document)| document.pool == *pool);
        let Some((source, document)) = found else {
            return Err(Error::Row(format!("pool {pool} has no document")));
        };
        self.apply(&with_hosts(source, document, document.hosts + 1))
    }

    /// Starts a maintenance wave over one pool. Tries up to `MAX_ATTEMPTS` times;
    /// a failure of all attempts is not reported.
    pub(crate) fn start_wave(&self, name: &name::Wave, pool: &name::Pool) {
        let wave =
            wave::Wave { name: name.clone(), state: State::Running, pool: Some(pool.clone()) };
        let value = row::encode(&row::Wave::from(&wave));
        let transaction = Transaction::new(token()).replace(
            row::key(WAVE, name.as_str()),
            Revision::ABSENT,
            value,
        );
        for _ in 0..MAX_ATTEMPTS {
            match commit_with_retry(&self.platform, &transaction) {
                retry::Outcome::Applied(_) => return,
                _ => std::thread::sleep(RETRY_PERIOD),
            }
        }
    }
}

/// Returns the source of a document with another number of hosts.
pub(crate) fn with_hosts(source: &Source, document: &document::Settings, hosts: u32) -> Source {
    let before = format!("hosts = {}", document.hosts);
    let text = source.text().replacen(&before, &format!("hosts = {hosts}"), 1);
    Source::new("demo", &text)
}

/// Waits until every entry host has the change in force; returns the time waited, which
/// is about `IN_FORCE_TIMEOUT` if it did not come into force.
pub(crate) fn wait_until_in_force(site: &RunningSite, applied: &Applied) -> Duration {
    let start = Instant::now();
    let is_in_force = |site: &RunningSite| {
        site.entries().iter().all(|(_, _, view)| {
            let view = view.get();
            view.documents
                .get(&applied.service)
                .is_some_and(|document| document.revision >= applied.revision)
        })
    };
    while !is_in_force(site) && start.elapsed() < IN_FORCE_TIMEOUT {
        std::thread::sleep(POLL_PERIOD);
    }
    start.elapsed()
}

/// Returns the number of hosts that a wave has maintained in all data centres, read
/// regardless of injected platform faults.
pub(crate) fn count_maintained(table: &Memory, wave: &name::Wave) -> usize {
    let rows: Vec<Row> = table.peek(&format!("{PROGRESS}{wave}/"));
    rows.iter()
        .filter_map(|row| row::decode::<row::Progress, wave::Progress>(row).ok().flatten())
        .map(|progress| progress.done.len())
        .sum()
}

/// Applies two changes to a document concurrently, both on condition that its current
/// change is still the last; returns how many were accepted, or 0 if the document can't
/// be read.
pub(crate) fn apply_concurrently(
    operator: &Operator,
    source: &Source,
    document: &document::Settings,
) -> usize {
    let Ok((_, Some(current))) = documents::read(&operator.platform, &document.service) else {
        return 0;
    };
    let apply = |hosts: u32| {
        let (operator, source) = (operator.clone(), with_hosts(source, document, hosts));
        let expected = Some(current.change);
        std::thread::spawn(move || {
            documents::apply(&operator.platform, &source, "racer", expected, token())
        })
    };
    let threads = [apply(document.hosts), apply(document.hosts)];
    threads.into_iter().filter_map(|thread| thread.join().ok()).filter(Result::is_ok).count()
}

/// Returns a random token for a transaction.
fn token() -> Token {
    Token(rand::random())
}
