//! Reads what an earlier holder has left.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    self, Fault, Page, Row, Store,
    row::{self, HomesRow, JobRow, ProgressRow},
};
use skylarkwick_request::{
    job::{self, Job, progress::Progress},
    shard::input::AcceptedJob,
};
use skylarkwick_version::revision::Revision;
use slog::{Logger, warn};

/// The jobs that are not over, and where to go on.
#[derive(Debug)]
pub(super) struct Loaded {
    pub(super) jobs: Vec<AcceptedJob>,
    pub(super) revision: Revision,
    /// Sizes of the pools; none before the first holder has stored them.
    pub(super) homes: BTreeMap<Arc<str>, usize>,
}

/// Reads the jobs that are not over and what is known of their tasks.
///
/// # Errors
///
/// Returns a fault when the store does not answer.
pub(super) fn load<S: Store>(store: &S, log: &Logger) -> Result<Loaded, Fault> {
    let jobs = store::read_table(store, row::JOBS)?;
    let progress = store::read_table(store, row::PROGRESS)?;
    let known = progress_by_job(&progress, log);
    let homes = homes(store, log)?;
    let mut loaded = Loaded { jobs: Vec::new(), revision: jobs.revision, homes };
    for row in &jobs.rows {
        if let Some(Change::Live(mut accepted)) = read(row, jobs.now_ms, log) {
            if let Some((revision, progress)) = known.get(&accepted.id) {
                accepted.progress = progress.clone();
                accepted.progress_revision = *revision;
            }
            loaded.jobs.push(*accepted);
        }
    }
    Ok(loaded)
}

fn homes<S: Store>(store: &S, log: &Logger) -> Result<BTreeMap<Arc<str>, usize>, Fault> {
    let (row, _) = store::read_one(store, &row::homes_key(row::SHARD))?;
    let Some(value) = row.value else {
        return Ok(BTreeMap::new());
    };
    let homes = row::decode::<HomesRow>(&value)
        .inspect_err(|error| warn!(log, "sizes of pools unreadable"; "error" => %error))
        .unwrap_or_default();
    Ok(homes.hosts.into_iter().map(|(pool, hosts)| (Arc::from(pool), hosts)).collect())
}

fn progress_by_job(page: &Page, log: &Logger) -> BTreeMap<job::Id, (Revision, Progress)> {
    let mut known = BTreeMap::new();
    for row in &page.rows {
        if let Some(progress) = progress_of(row, log) {
            known.insert(job::Id::new(&row.key.name), (row.revision, progress));
        }
    }
    known
}

/// Reads the row of a job's progress.
pub(super) fn progress_of(row: &Row, log: &Logger) -> Option<Progress> {
    let value = row.value.as_deref()?;
    row::decode::<ProgressRow>(value)
        .inspect_err(|error| {
            warn!(log, "progress unreadable"; "job" => &*row.key.name,
            "error" => %error)
        })
        .ok()
        .map(Progress::from)
}

/// What a job's row says.
#[derive(Debug)]
pub(super) enum Change {
    /// The job is not over.
    Live(Box<AcceptedJob>),
    /// The job is over, or its row was removed.
    Over(job::Id),
}

/// Reads a job's row; nothing when another writer has spoilt it.
pub(super) fn read(row: &Row, now_ms: u64, log: &Logger) -> Option<Change> {
    let id = job::Id::new(&row.key.name);
    let Some(value) = row.value.as_deref() else {
        return Some(Change::Over(id));
    };
    match row::decode::<JobRow>(value) {
        Ok(JobRow::Over { .. }) => Some(Change::Over(id)),
        Ok(JobRow::Live { accepted_ms, body }) => Some(Change::Live(Box::new(AcceptedJob {
            id,
            queue: Arc::clone(&row.key.part),
            job: Arc::new(Job::from(body)),
            revision: row.revision,
            age: Duration::from_millis(now_ms.saturating_sub(accepted_ms)),
            progress: Progress::default(),
            progress_revision: Revision::ABSENT,
        }))),
        Err(error) => {
            warn!(log, "job unreadable"; "job" => &*row.key.name, "error" => %error);
            None
        }
    }
}
