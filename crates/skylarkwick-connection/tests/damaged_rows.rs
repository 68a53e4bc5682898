//! Rows that were damaged, or that a later release has written: none ends the process that
//! reads it, and none makes the shard allocate more than a valid job may.

use std::{sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    clock::Reading,
    row::{
        self, BacklogRow, HostOrderRow, IncarnationsRow, JobBody, JobRow, LeaseRow, PoolSizesRow,
        ProgressRow, QueueSettings, ShardingRow, WaveRow,
    },
};
use skylarkwick_request::{
    job::{Id, Job, Schedule, Step, progress::Progress, task::RunId},
    shard::{
        Incarnation, Shard, Term, Timings,
        input::{AcceptedJob, Queue, ServerId},
    },
};
use skylarkwick_version::{moment::Moment, revision::Revision};

/// Damaged forms of each row.
const ROUNDS: u64 = 20_000;
const START: Moment = Moment::from_start(Duration::from_secs(60));

/// A generator of pseudo-random numbers (splitmix64) with a fixed seed.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: usize) -> usize {
        usize::try_from(self.next()).unwrap() % limit
    }

    /// Changes, removes or inserts up to four bytes.
    fn damage(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut damaged = bytes.to_vec();
        for _ in 0..=self.below(4) {
            let at = self.below(damaged.len().max(1));
            let byte = self.next().to_le_bytes()[0];
            match self.below(4) {
                0 if at < damaged.len() => drop(damaged.remove(at)),
                1 => damaged.insert(at, byte),
                2 => damaged.insert(at, 0xff),
                _ if at < damaged.len() => damaged[at] = byte,
                _ => {}
            }
        }
        damaged
    }
}

fn job() -> Job {
    let first = Step { count: 3, run_time_estimate: Duration::from_millis(400), ..Step::default() };
    let second = Step { count: 2, depends_on: vec![0], ..Step::default() };
    let schedule = Schedule { count: 3, first_ms: 1000, interval: Duration::from_secs(2) };
    Job { spec: Arc::from("text"), steps: vec![first, second], schedule: Some(schedule) }
}

fn progress() -> Progress {
    let mut progress = Progress { servers: [Arc::from("a")].into(), ..Progress::default() };
    let position =
        skylarkwick_request::job::progress::TaskPosition { occurrence: 1, step: 1, index: 1 };
    let task = progress.tasks.entry(position).or_default();
    task.failed_runs = [RunId(4)].into();
    task.checkpoint = Arc::from("saved");
    for (step, index) in [(0, 0), (0, 1), (1, 0)] {
        let position =
            skylarkwick_request::job::progress::TaskPosition { occurrence: 1, step, index };
        progress.tasks.entry(position).or_default().is_done = true;
    }
    progress.done_occurrences.insert(0);
    progress
}

fn shard() -> Shard {
    let second = Duration::from_secs(1);
    let timings = Timings {
        lease_duration: second,
        max_lease: second,
        start_window: second,
        takeover_grace: second,
        longest_grace: second,
        outage_threshold: second,
        maintenance_duration: second,
    };
    Shard::new(timings, Term { fencing_token: 1, number: 1, since: START })
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

/// Gives a job to a shard, which decides about it.
fn schedule(job: Job, progress: Progress, settings: Option<Queue>) {
    let accepted = AcceptedJob {
        id: Id::new("job"),
        queue: Arc::from("queue"),
        queue_settings: settings,
        workspace: None,
        job: Arc::new(job),
        revision: Revision(1),
        age: Duration::ZERO,
        progress,
        progress_revision: Revision(1),
    };
    let mut shard = shard();
    shard.add_job(START, accepted);
    shard.decide(START, u64::MAX, START);
}

#[test]
fn damaged_jobs_skipped() {
    let bytes = row::encode(&JobRow::Active {
        accepted_ms: 1,
        body: JobBody::from(&job()),
        workspace: None,
        settings: Some(QueueSettings::from(&queue())),
    });
    let mut random = Random(1);
    let mut valid = 0;
    for _ in 0..ROUNDS {
        let Ok(JobRow::Active { body, settings, .. }) = row::decode(&random.damage(&bytes)) else {
            continue;
        };
        if let Ok(job) = Job::try_from(body) {
            valid += 1;
            let settings = settings.map(|settings| settings.into_queue(Arc::from("queue")));
            schedule(job, Progress::default(), settings);
        }
    }
    assert!(valid > 0, "some damage leaves a valid job");
}

#[test]
fn damaged_progress_skipped() {
    let bytes = row::encode(&ProgressRow::from(&progress()));
    let mut random = Random(2);
    let mut valid = 0;
    for _ in 0..ROUNDS {
        let decoded = row::decode::<ProgressRow>(&random.damage(&bytes)).ok();
        if let Some(progress) = decoded.and_then(|row| Progress::try_from(row).ok()) {
            valid += 1;
            schedule(job(), progress, None);
        }
    }
    assert!(valid > 0, "some damage leaves valid progress");
}

#[test]
fn damaged_others_decode() {
    let lease = LeaseRow {
        holder: "entry".to_owned(),
        incarnation: 1,
        number: 2,
        fencing: 3,
        renewed_ms: 4,
        earlier_until_ms: Some(5),
        settled: vec![("a".to_owned(), 6)],
        granted_until_ms: Some(7),
    };
    let order = HostOrderRow { holder: "entry".to_owned(), fencing: 3, ordered_ms: 4 };
    let clock = Reading { now: START, store_ms: 6 };
    let incarnation = Incarnation { started_ms: 7, late_calls_until: START };
    let known = [(ServerId(Arc::from("a")), incarnation)].into();
    let wave = WaveRow { started: vec!["m-1".to_owned()], due_ms: 9 };
    let samples = [
        row::encode(&lease),
        row::encode(&order),
        row::encode(&wave),
        row::encode(&IncarnationsRow::new(&known, clock)),
        row::encode(&ShardingRow { count: 3, seed: 4 }),
        row::encode(&PoolSizesRow { hosts: [("pool".to_owned(), 4)].into() }),
        row::encode(&BacklogRow {
            written_ms: 1,
            waiting: [("q".to_owned(), Vec::new())].into(),
            room: Some(1),
        }),
    ];
    let mut random = Random(3);
    for bytes in &samples {
        for _ in 0..ROUNDS {
            // Whether it decodes doesn't matter here; no input may panic.
            let damaged = random.damage(bytes);
            let _ = row::decode::<LeaseRow>(&damaged);
            let _ = row::decode::<HostOrderRow>(&damaged);
            let _ = row::decode::<WaveRow>(&damaged);
            let _ = row::decode::<ShardingRow>(&damaged);
            let _ = row::decode::<PoolSizesRow>(&damaged);
            let _ = row::decode::<BacklogRow>(&damaged);
            let _ = row::decode::<IncarnationsRow>(&damaged).map(|row| row.incarnations(clock));
        }
    }
}

/// Jobs that no entry host accepts are not taken from rows either.
#[test]
fn invalid_jobs_refused() {
    let valid = job();
    let with_step = |step| Job { steps: vec![step], ..valid.clone() };
    let invalid = [
        Job { steps: Vec::new(), ..valid.clone() },
        with_step(Step { count: u32::MAX, ..Step::default() }),
        with_step(Step { count: 1, depends_on: vec![7], ..Step::default() }),
        Job {
            schedule: valid.schedule.map(|s| Schedule { count: u32::MAX, ..s }),
            ..valid.clone()
        },
    ];
    for job in invalid {
        let body = JobBody::from(&job);
        assert_eq!(Job::try_from(body).err(), job.validate().err());
        assert!(job.validate().is_err(), "{job:?}");
    }
    assert_eq!(Job::try_from(JobBody::from(&valid)), Ok(valid));
}
