//! Large jobs: a holder starts only as many tasks of one as its row of progress has room for,
//! and all of them in the end (review/7).

mod harness;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use harness::{Harness, finished_run, ms, step};
use skylarkwick_request::{
    job::{
        self, Job, Schedule, State, Step,
        task::{self, RunId, RunOutcome},
    },
    shard::{
        effect::{Change, Effect},
        input::AcceptedJob,
    },
};
use skylarkwick_version::resources::Resources;

const SERVERS: [&str; 2] = ["a", "b"];
const TASKS: u32 = 2_500;
/// Largest number of tasks that may be in progress or have failed.
const MAX_UNSETTLED: usize = 2_000;
/// Decisions within which a job of this size is over.
const MAX_ROUNDS: usize = 2_000;

/// A step of tasks so small that two servers have room for all.
fn small_step(count: u32) -> Step {
    let resources = Resources { millicores: 1, memory_mib: 1, accelerators: 0 };
    Step { resources, ..step(count, 1) }
}

/// A shard, and what its servers run.
struct Site {
    harness: Harness,
    running: BTreeMap<task::Id, (String, RunId)>,
    ends: BTreeMap<String, u64>,
    failed: BTreeSet<task::Id>,
    finished: Option<State>,
}

impl Site {
    fn new(accepted: AcceptedJob) -> Site {
        let mut harness = Harness::with_servers(&SERVERS);
        harness.shard.add_job(harness.now, accepted);
        Site {
            harness,
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            failed: BTreeSet::new(),
            finished: None,
        }
    }

    fn with_steps(steps: Vec<Step>) -> Site {
        Site::new(Harness::accepted_job("job", steps))
    }

    /// Decides, starts what is ordered and reports the ends of runs that `outcome` gives one.
    fn advance(&mut self, outcome: impl Fn(&Site, &task::Id) -> Option<RunOutcome>) {
        let effects = self.harness.decide();
        for (server, start) in self.harness.confirm_starts(&effects) {
            self.running.insert(start.task, (server.to_string(), start.run));
        }
        for effect in &effects {
            let Effect::Save(batch) = effect else {
                continue;
            };
            for update in &batch.updates {
                if let Change::Finished(state) = update.change {
                    self.finished = Some(state);
                }
            }
        }
        let ended: Vec<(task::Id, RunOutcome)> = self
            .running
            .keys()
            .filter_map(|task| Some((task.clone(), outcome(self, task)?)))
            .collect();
        let mut finished: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for (task, outcome) in ended {
            let (server, run) = self.running.remove(&task).expect("it runs");
            let number = self.ends.entry(server.clone()).or_default();
            *number += 1;
            match outcome {
                RunOutcome::Failed => self.failed.insert(task.clone()),
                _ => self.failed.remove(&task),
            };
            finished.entry(server).or_default().push(finished_run(*number, task, run, outcome));
        }
        self.harness.now = self.harness.now + ms(1);
        for name in SERVERS {
            let running: Vec<(task::Id, RunId, u32)> = self
                .running
                .iter()
                .filter(|(_, (server, _))| server == name)
                .map(|(task, (_, run))| (task.clone(), *run, 50))
                .collect();
            let finished = finished.remove(name).unwrap_or_default();
            self.harness.report(name, &running, &finished);
        }
    }

    /// Returns the number of tasks that are in progress or have failed.
    fn unsettled(&self) -> usize {
        self.running.keys().chain(&self.failed).collect::<BTreeSet<_>>().len()
    }

    /// Lets every task succeed until the job is over; returns its state.
    fn finish(&mut self) -> State {
        for _ in 0..MAX_ROUNDS {
            if let Some(state) = self.finished {
                return state;
            }
            self.advance(|_, _| Some(RunOutcome::Done));
        }
        panic!("{} tasks run, {} have failed", self.running.len(), self.failed.len());
    }
}

/// Guards against more tasks in progress than can fail together in a storable row.
#[test]
fn unsettled_tasks_limited() {
    let mut site = Site::with_steps(vec![small_step(TASKS)]);
    let mut most = 0;
    for _ in 0..50 {
        site.advance(|_, _| None);
        most = most.max(site.unsettled());
    }
    assert!((1_900..=MAX_UNSETTLED).contains(&most), "{most} tasks are in progress");
    assert_eq!(site.finish(), State::Completed);
}

/// Guards against a job that stands still, because so many of its tasks have failed.
#[test]
fn failed_tasks_retried() {
    let mut site = Site::with_steps(vec![small_step(TASKS)]);
    for _ in 0..50 {
        site.advance(|_, _| None);
    }
    // All that are in progress fail; none fails a second time.
    site.advance(|_, _| Some(RunOutcome::Failed));
    assert!(site.failed.len() > 1_900);
    for _ in 0..5 {
        site.advance(|_, _| None);
        assert!(site.unsettled() <= MAX_UNSETTLED, "{} unsettled", site.unsettled());
    }
    assert_eq!(site.finish(), State::Completed);
}

/// Failed runs of long-running tasks are not stored, so they need no limit, and none of them
/// would end to make room.
#[test]
fn long_running_unlimited() {
    let lasting = Step { is_long_running: true, max_unavailable: 1, ..small_step(2_500) };
    let mut site = Site::with_steps(vec![lasting]);
    for _ in 0..60 {
        site.advance(|_, _| None);
    }
    assert_eq!(site.running.len(), 2_500);
}

/// Guards against a gang that waits for good for a part of the limit.
#[test]
fn gang_started_whole() {
    let gang = Step { is_gang: true, ..small_step(1_000) };
    let mut site = Site::with_steps(vec![small_step(TASKS), gang]);
    assert_eq!(site.finish(), State::Completed);
}

/// Guards against past occurrences that outgrow the row, because many are begun at once.
#[test]
fn begun_occurrences_limited() {
    let mut accepted = Harness::accepted_job("job", vec![small_step(2); 100]);
    let schedule = Schedule { count: 50, first_ms: 0, interval: ms(0) };
    accepted.job = Arc::new(Job { schedule: Some(schedule), ..(*accepted.job).clone() });
    let mut site = Site::new(accepted);
    for _ in 0..10 {
        site.advance(|_, task| (task.index > 0).then_some(RunOutcome::Done));
    }
    let begun: BTreeSet<u32> = site.running.keys().map(|task| task.occurrence).collect();
    assert!((1..=20).contains(&begun.len()), "{} occurrences are begun", begun.len());
}

/// Guards against a job that is accepted although its progress may outgrow the row.
#[test]
fn too_large_refused() {
    let job = |steps| (*Harness::accepted_job("job", steps).job).clone();
    let gang = |count| Step { is_gang: true, ..step(count, 1) };
    let cases = [
        (job(vec![step(10_000, 1); 10]), Ok(())),
        (job(vec![step(10_000, 1); 11]), Err(job::Error::Tasks)),
        (job(vec![step(1, 1), gang(1_000)]), Ok(())),
        (job(vec![step(1, 1), gang(1_001)]), Err(job::Error::Gang(1))),
        (job(vec![step(10_001, 1)]), Err(job::Error::Count(0))),
    ];
    for (job, expected) in cases {
        assert_eq!(job.validate_submission(), expected);
    }
}
