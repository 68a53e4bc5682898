//! What operators do during the run: documents, a move and a wave.

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

use crate::site::{Folder, Running};

/// Longest time in which a document has to be in force everywhere.
const FORCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between looks at the entry hosts' views.
const LOOK_PERIOD: Duration = Duration::from_millis(10);
/// Attempts at a change while the platform gives no answer.
const MAX_ATTEMPTS: u32 = 40;
/// Pause between attempts.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// The operator of the run.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    platform: Platform,
}

impl Operator {
    pub(crate) fn new(platform: SocketAddr) -> Result<Operator, name::Error> {
        let place = name::DataCentre::try_from("operators")?;
        Ok(Operator { platform: Platform::new(platform, place) })
    }

    /// Puts every document of the folder in force.
    pub(crate) fn apply_all(&self, folder: &Folder) -> Result<(), Error> {
        for (source, _) in &folder.documents {
            self.apply(source)?;
        }
        Ok(())
    }

    /// Puts a document in force, trying again while the platform is out.
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

    /// Moves one host from the spare pool: the pool asks for one more.
    pub(crate) fn ask_for_one_more(
        &self,
        folder: &Folder,
        pool: &name::Pool,
    ) -> Result<Applied, Error> {
        let found = folder.documents.iter().find(|(_, document)| document.pool == *pool);
        let Some((source, document)) = found else {
            return Err(Error::Row(format!("pool {pool} has no document")));
        };
        self.apply(&with_hosts(source, document, document.hosts + 1))
    }

    /// Starts a wave over one pool.
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

/// Returns the document with another number of hosts.
pub(crate) fn with_hosts(source: &Source, document: &document::Settings, hosts: u32) -> Source {
    let before = format!("hosts = {}", document.hosts);
    let text = source.text().replacen(&before, &format!("hosts = {hosts}"), 1);
    Source::new("demo", &text)
}

/// Waits until every entry host has a change in force; returns how long it took.
pub(crate) fn in_force(site: &Running, applied: &Applied) -> Duration {
    let start = Instant::now();
    let has_it = |site: &Running| {
        site.entries().iter().all(|(_, _, view)| {
            let view = view.get();
            view.documents
                .get(&applied.service)
                .is_some_and(|document| document.revision >= applied.revision)
        })
    };
    while !has_it(site) && start.elapsed() < FORCE_TIMEOUT {
        std::thread::sleep(LOOK_PERIOD);
    }
    start.elapsed()
}

/// Returns the hosts that a wave has done, read past the platform's faults.
pub(crate) fn done(table: &Memory, wave: &name::Wave) -> usize {
    let rows: Vec<Row> = table.peek(&format!("{PROGRESS}{wave}/"));
    rows.iter()
        .filter_map(|row| row::decode::<row::Progress, wave::Progress>(row).ok().flatten())
        .map(|progress| progress.done.len())
        .sum()
}

/// Has two operators change one document at the same moment, both from the same
/// last change; returns how many of the changes were accepted.
pub(crate) fn race(operator: &Operator, source: &Source, document: &document::Settings) -> usize {
    let Ok((_, Some(current))) = documents::read(&operator.platform, &document.service) else {
        return 0;
    };
    let change = |hosts: u32| {
        let (operator, source) = (operator.clone(), with_hosts(source, document, hosts));
        let last = Some(current.change);
        std::thread::spawn(move || {
            documents::apply(&operator.platform, &source, "racer", last, token())
        })
    };
    let racing = [change(document.hosts), change(document.hosts)];
    racing.into_iter().filter_map(|racer| racer.join().ok()).filter(Result::is_ok).count()
}

fn token() -> Token {
    Token(rand::random())
}
