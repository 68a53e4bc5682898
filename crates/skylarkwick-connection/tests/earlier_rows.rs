//! Rows that an earlier release has written, and those of this one that an earlier release reads.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use skylarkwick_connection::store::{
    clock::Reading,
    row::{self, IncarnationsRow, JobBody, JobRow, LeaseRow, ProgressRow, QueueSettings},
};
use skylarkwick_request::{
    job::{
        Job, Step,
        progress::{Progress, TaskPosition, TaskProgress},
        task::RunId,
    },
    shard::{
        Incarnation,
        input::{Queue, ServerId},
    },
};
use skylarkwick_version::moment::Moment;

/// The lease row as the release before wrote and read it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierLease {
    holder: String,
    incarnation: u64,
    number: u64,
    fencing: u64,
    renewed_ms: u64,
}

fn earlier_lease() -> EarlierLease {
    EarlierLease {
        holder: "entry".to_owned(),
        incarnation: 1,
        number: 200,
        fencing: 3,
        renewed_ms: 4,
    }
}

fn lease(earlier_until_ms: Option<u64>) -> LeaseRow {
    let EarlierLease { holder, incarnation, number, fencing, renewed_ms } = earlier_lease();
    LeaseRow {
        holder,
        incarnation,
        number,
        fencing,
        renewed_ms,
        earlier_until_ms,
        settled: Vec::new(),
        granted_until_ms: None,
    }
}

/// Guards against numbers of holders that begin anew, because the row no longer decodes.
#[test]
fn earlier_lease_read() {
    let read = row::decode::<LeaseRow>(&row::encode(&earlier_lease()));
    assert_eq!(read.expect("it decodes"), lease(None));
}

#[test]
fn lease_read_back() {
    for row in [lease(None), lease(Some(9_000_000))] {
        assert_eq!(row::decode::<LeaseRow>(&row::encode(&row)).expect("it decodes"), row);
        let read = row::decode::<EarlierLease>(&row::encode(&row));
        assert_eq!(read.expect("the release before decodes it"), earlier_lease());
    }
}

/// The lease row of the release that hands servers on, and does not limit what it grants.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct UnlimitedLease {
    earlier: EarlierLease,
    earlier_until_ms: Option<u64>,
    settled: Vec<(String, u64)>,
}

/// Guards against a holder of the release before that is taken to limit what it grants, and
/// against one that can't read the row of a holder that does.
#[test]
fn unlimited_lease_read() {
    let settled = vec![("a".to_owned(), 70)];
    let earlier_until_ms = Some(9_000_000);
    let row =
        UnlimitedLease { earlier: earlier_lease(), earlier_until_ms, settled: settled.clone() };
    let read = row::decode::<LeaseRow>(&row::encode(&row)).expect("it decodes");
    assert_eq!(read, LeaseRow { settled, ..lease(earlier_until_ms) });
    let limited = LeaseRow { granted_until_ms: Some(9_500_000), ..read };
    let read_back = row::decode::<LeaseRow>(&row::encode(&limited)).expect("it decodes");
    assert_eq!(read_back, limited);
    let read = row::decode::<UnlimitedLease>(&row::encode(&limited));
    assert_eq!(read.expect("the release before decodes it"), row);
}

/// The progress row as the release before wrote and read it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierProgress {
    tasks: Vec<EarlierTask>,
    servers: Vec<String>,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierTask {
    position: (u32, usize, usize),
    is_done: bool,
    failed_runs: Vec<u64>,
    last_ended_run: u64,
    checkpoint: String,
}

fn earlier_progress() -> EarlierProgress {
    let task = |index, is_done| EarlierTask {
        position: (0, 1, index),
        is_done,
        failed_runs: vec![4, 5],
        last_ended_run: 5,
        checkpoint: "saved".to_owned(),
    };
    EarlierProgress { tasks: vec![task(0, true), task(1, false)], servers: vec!["a".to_owned()] }
}

fn progress() -> Progress {
    let task = |is_done| TaskProgress {
        is_done,
        failed_runs: [RunId(4), RunId(5)].into(),
        last_ended_run: RunId(5),
        checkpoint: Arc::from("saved"),
    };
    let position = |index| TaskPosition { occurrence: 0, step: 1, index };
    Progress {
        tasks: [(position(0), task(true)), (position(1), task(false))].into(),
        servers: [Arc::from("a")].into(),
        ..Progress::default()
    }
}

/// Guards against tasks that run again after an upgrade, because their progress does not
/// decode.
#[test]
fn earlier_progress_read() {
    let read = row::decode::<ProgressRow>(&row::encode(&earlier_progress()));
    let read = Progress::try_from(read.expect("it decodes")).expect("it is valid");
    assert_eq!(read, progress());
}

/// Guards against tasks that run again, because a planner of the release before takes over.
#[test]
fn progress_read_back() {
    let read = row::decode::<EarlierProgress>(&row::encode_progress(&progress()));
    assert_eq!(read.expect("the release before decodes it"), earlier_progress());
}

/// The row of an active job as the release before wrote and read it.
#[derive(Debug, Serialize, Deserialize)]
enum EarlierJob {
    Active { accepted_ms: u64, body: JobBody },
    Finished,
    ActiveOf { workspace: String, accepted_ms: u64, body: JobBody },
}

fn job() -> Job {
    let steps = vec![Step { count: 3, ..Step::default() }];
    Job { spec: Arc::from("text"), steps, schedule: None }
}

fn queue() -> Queue {
    Queue {
        name: Arc::from("queue"),
        pool: Arc::from("pool"),
        priority: 1,
        max_attempts: 2,
        stretch: 1.5,
        target: Duration::from_millis(600),
    }
}

/// Guards against jobs that are lost at an upgrade, because their rows end before the settings of
/// their queue.
#[test]
fn earlier_job_read() {
    let (accepted_ms, body) = (1, JobBody::from(&job()));
    let (of, workspace) = (EarlierJob::Active { accepted_ms, body: body.clone() }, None);
    let bakery = "bakery".to_owned();
    let of_workspace = EarlierJob::ActiveOf { workspace: bakery, accepted_ms, body };
    for (row, owner) in [(of, workspace), (of_workspace, Some("bakery"))] {
        let read = row::decode::<JobRow>(&row::encode(&row)).expect("it decodes");
        assert_eq!(read.workspace().map(|name| &**name), owner);
        let JobRow::Active { body, settings: None, .. } = read else {
            panic!("{read:?}");
        };
        assert_eq!(Job::try_from(body).expect("it is valid"), job());
    }
}

/// Guards against jobs that are lost because a planner of the release before takes over, and
/// against settings of a queue that change on the way.
#[test]
fn job_read_back() {
    let settings = Some(QueueSettings::from(&queue()));
    let body = JobBody::from(&job());
    let row = JobRow::Active { accepted_ms: 1, body, workspace: None, settings };
    let bytes = row::encode(&row);
    let Ok(EarlierJob::Active { body, .. }) = row::decode(&bytes) else {
        panic!("the release before decodes it");
    };
    assert_eq!(Job::try_from(body).expect("it is valid"), job());
    let Ok(JobRow::Active { settings: Some(read), .. }) = row::decode(&bytes) else {
        panic!("it decodes");
    };
    assert_eq!(read.into_queue(Arc::from("queue")), queue());
}

/// Guards against a row of incarnations that another release reads otherwise: for each server
/// its start, and a time on the store's clock.
#[test]
fn incarnations_keep_form() {
    let now = Moment::from_start(Duration::from_secs(60));
    let clock = Reading { now, store_ms: 700_000 };
    let late_calls_until = now - Duration::from_millis(500);
    let known = [(
        ServerId(Arc::from("a")),
        Incarnation { started_ms: 1_780_000_000_000, late_calls_until },
    )]
    .into();
    let stored = vec![("a".to_owned(), 1_780_000_000_000_u64, 699_500_u64)];
    assert_eq!(row::encode(&IncarnationsRow::new(&known, clock)), row::encode(&stored));
    let read = row::decode::<IncarnationsRow>(&row::encode(&stored)).expect("it decodes");
    assert_eq!(read.incarnations(clock), known);
}
