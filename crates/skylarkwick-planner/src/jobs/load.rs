//! Reads and decodes the rows that earlier holders have stored.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    sync::Arc,
    time::Duration,
};

use skylarkwick_connection::store::{
    self, Page, Row, Store, TableReader,
    clock::Reading,
    keyspace::{self, Keyspace},
    row::{self, FinalState, IncarnationsRow, JobRow, PoolSizesRow, ProgressRow},
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::StopSignal,
};
use skylarkwick_request::{
    job::{self, Job, progress::Progress},
    shard::{
        Incarnation,
        input::{AcceptedJob, ServerId},
    },
};
use skylarkwick_version::{
    moment::{Moment, millis},
    revision::Revision,
};
use slog::{Logger, warn};

/// Pause before the rows of jobs are read again after an error at the start of a term.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a new holder starts from: the jobs that are not finished, with their progress, the
/// revision that they were read at, the initial sizes of the pools, and what earlier holders
/// knew of the servers.
#[derive(Debug)]
pub(super) struct LoadedState {
    pub(super) jobs: Vec<AcceptedJob>,
    /// Identifiers of jobs that are over, which may be those of other queues' jobs too.
    pub(super) ended: BTreeSet<job::Id>,
    /// Later changes of jobs are to be followed from this revision.
    pub(super) revision: Revision,
    /// Number of hosts of each pool before any move; empty until the first holder stores
    /// them, or if the row is invalid.
    pub(super) pool_sizes: BTreeMap<Arc<str>, usize>,
    /// Incarnations of servers; empty if no holder has stored any, or if the row is invalid.
    pub(super) incarnations: BTreeMap<ServerId, Incarnation>,
}

/// The reads at the start of a term, which are continued after an error.
#[derive(Clone, Debug)]
struct Loader {
    keyspace: Keyspace,
    jobs: TableReader,
    progress: TableReader,
}

impl Loader {
    /// Creates a loader that has read nothing yet.
    fn new(keyspace: Keyspace) -> Loader {
        let reader = |table| TableReader::with_part_suffix(table, &keyspace.part_suffix());
        Loader { keyspace, jobs: reader(keyspace::JOBS), progress: reader(keyspace::PROGRESS) }
    }

    /// Reads the jobs that are not finished, the progress of their tasks, the initial sizes
    /// of the pools, and the incarnations of servers. Invalid rows are logged and skipped.
    ///
    /// # Errors
    ///
    /// Returns the store's error if it does not respond; the next call continues with the
    /// read that failed.
    fn load<S: Store>(&mut self, store: &S, log: &Logger) -> Result<LoadedState, store::Error> {
        // Progress is read after the jobs: a job that is added later is fed, and a later
        // change of progress conflicts with this holder's first write.
        self.jobs.read(store)?;
        self.progress.read(store)?;
        let pool_sizes = pool_sizes(store, self.keyspace, log)?;
        let incarnations = incarnations(store, self.keyspace, log)?;
        Ok(LoadedState { pool_sizes, incarnations, ..self.loaded_jobs(log) })
    }

    /// Combines the rows of jobs and of their progress.
    fn loaded_jobs(&self, log: &Logger) -> LoadedState {
        let jobs = self.jobs.page();
        let by_job = progress_by_job(self.progress.page(), self.keyspace, log);
        let mut loaded = LoadedState {
            jobs: Vec::new(),
            ended: BTreeSet::new(),
            revision: jobs.revision,
            pool_sizes: BTreeMap::new(),
            incarnations: BTreeMap::new(),
        };
        for row in &jobs.rows {
            match decode_job(row, self.keyspace, jobs.now_ms, log) {
                Some(StoredJob::Active(mut accepted)) => {
                    let key = job::Key::new(Arc::clone(&accepted.queue), accepted.id.clone());
                    if let Some((revision, progress)) = by_job.get(&key) {
                        accepted.progress = progress.clone();
                        accepted.progress_revision = *revision;
                    }
                    loaded.jobs.push(*accepted);
                }
                Some(StoredJob::Finished(key)) => {
                    loaded.ended.insert(key.id().clone());
                }
                Some(StoredJob::Removed(_)) | None => {}
            }
        }
        // Of two queues' jobs with one identifier, the one that has begun goes on.
        loaded.jobs.sort_by_key(|accepted| accepted.progress_revision == Revision::ABSENT);
        loaded
    }
}

/// Reads the rows of jobs, their progress and the pool sizes; after an error it continues
/// with the read that failed, however long that takes. Returns `None` once one of `stops` is
/// requested. `since` is the time at which the lease was acquired.
pub(super) fn load_with_retry<S: Store>(
    store: &S,
    keyspace: Keyspace,
    log: &Logger,
    since: Moment,
    stops: [&StopSignal; 2],
) -> Option<LoadedState> {
    let mut loader = Loader::new(keyspace);
    while !stops.into_iter().any(StopSignal::is_requested) {
        match loader.load(store, log) {
            Ok(loaded) => return Some(loaded),
            Err(error) => warn!(log, "jobs not loaded"; "error" => %error,
                "lost_answer" => matches!(error, store::Error::Unknown(_)),
                "ms" => millis(Boot.now().since(since))),
        }
        stops[0].sleep(READ_RETRY_DELAY);
    }
    None
}

/// Returns the error for a term that ends before the jobs were read.
pub(super) fn error() -> io::Error {
    io::Error::other("the jobs could not be read while the lease was valid")
}

/// Reads the initial number of hosts of each pool, before any move, as the first holder
/// stored it; empty if it is not stored or invalid.
///
/// # Errors
///
/// Returns the store's error if it does not respond.
fn pool_sizes<S: Store>(
    store: &S,
    keyspace: Keyspace,
    log: &Logger,
) -> Result<BTreeMap<Arc<str>, usize>, store::Error> {
    let (row, _) = store::read_one(store, &keyspace.pool_sizes())?;
    let Some(value) = row.value else {
        return Ok(BTreeMap::new());
    };
    let pool_sizes = row::decode::<PoolSizesRow>(&value)
        .inspect_err(|error| warn!(log, "pool sizes not decoded"; "error" => %error))
        .unwrap_or_default();
    Ok(pool_sizes.hosts.into_iter().map(|(pool, hosts)| (Arc::from(pool), hosts)).collect())
}

/// Reads the incarnations of servers that earlier holders have stored; empty if there are none
/// or the row is invalid.
///
/// # Errors
///
/// Returns the store's error if it does not respond.
fn incarnations<S: Store>(
    store: &S,
    keyspace: Keyspace,
    log: &Logger,
) -> Result<BTreeMap<ServerId, Incarnation>, store::Error> {
    let (row, store_ms) = store::read_one(store, &keyspace.incarnations())?;
    let clock = Reading { now: Boot.now(), store_ms };
    let Some(value) = row.value else {
        return Ok(BTreeMap::new());
    };
    let incarnations = row::decode::<IncarnationsRow>(&value)
        .inspect_err(|error| warn!(log, "incarnations not decoded"; "error" => %error))
        .unwrap_or_default();
    Ok(incarnations.incarnations(clock))
}

/// Decodes the progress rows of a page, by job, each with its revision; removed and invalid
/// rows are left out.
fn progress_by_job(
    page: &Page,
    keyspace: Keyspace,
    log: &Logger,
) -> BTreeMap<job::Key, (Revision, Progress)> {
    let mut by_job = BTreeMap::new();
    for row in &page.rows {
        let queue = keyspace.queue(&row.key.part);
        if let (Some(queue), Some(progress)) = (queue, decode_progress(row, log)) {
            let key = job::Key::new(queue, job::Id::new(&row.key.name));
            by_job.insert(key, (row.revision, progress));
        }
    }
    by_job
}

/// Decodes a job's progress row; returns `None` if it was removed or is invalid.
pub(super) fn decode_progress(row: &Row, log: &Logger) -> Option<Progress> {
    let value = row.value.as_deref()?;
    let decoded = row::decode::<ProgressRow>(value)
        .map_err(|error| error.to_string())
        .and_then(|row| Progress::try_from(row).map_err(|error| error.to_string()));
    decoded
        .inspect_err(|error| {
            warn!(log, "progress row not decoded"; "job" => &*row.key.name, "error" => error)
        })
        .ok()
        .map(Progress::compacted)
}

/// A job according to its row: active (not finished) with what the shard needs of it, or
/// finished, or without a row any more.
#[derive(Debug)]
pub(super) enum StoredJob {
    /// The job is not finished.
    Active(Box<AcceptedJob>),
    /// The job is finished.
    Finished(job::Key),
    /// Its row was removed, long after its end; one that is stored after that is a new job.
    Removed(job::Key),
}

/// Decodes a job's row; returns `None` for one of another shard, for a submission that was
/// refused or withdrawn before it was stored, and for an invalid row, which is logged. An active
/// job is returned without progress, which has a row of its own. `now_ms` is the store's clock,
/// from which the job's age is counted.
pub(super) fn decode_job(
    row: &Row,
    keyspace: Keyspace,
    now_ms: u64,
    log: &Logger,
) -> Option<StoredJob> {
    let queue = keyspace.queue(&row.key.part)?;
    let id = job::Id::new(&row.key.name);
    let Some(value) = row.value.as_deref() else {
        return Some(StoredJob::Removed(job::Key::new(queue, id)));
    };
    let (accepted_ms, body, workspace, settings) = match row::decode::<JobRow>(value) {
        Ok(JobRow::Finished { state: FinalState::Refused | FinalState::Withdrawn, .. }) => {
            return None;
        }
        Ok(JobRow::Finished { .. }) => {
            return Some(StoredJob::Finished(job::Key::new(queue, id)));
        }
        Ok(JobRow::Active { accepted_ms, body, workspace, settings }) => {
            (accepted_ms, body, workspace, settings)
        }
        Err(error) => {
            warn!(log, "job row not decoded"; "job" => &*row.key.name, "error" => %error);
            return None;
        }
    };
    let job = Job::try_from(body)
        .inspect_err(|error| {
            warn!(log, "job row not decoded"; "job" => &*row.key.name, "error" => %error);
        })
        .ok()?;
    Some(StoredJob::Active(Box::new(AcceptedJob {
        id,
        queue_settings: settings.map(|settings| settings.into_queue(Arc::clone(&queue))),
        queue,
        workspace,
        job: Arc::new(job),
        revision: row.revision,
        age: Duration::from_millis(now_ms.saturating_sub(accepted_ms)),
        progress: Progress::default(),
        progress_revision: Revision::ABSENT,
    })))
}
