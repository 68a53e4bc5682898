//! Memory that a holder keeps for accepted jobs, whichever numbers their callers chose. It is
//! counted at the allocator, so that nothing that is kept is left out.

mod harness;

use std::{
    alloc::System,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use cap::Cap;
use harness::{Harness, finished_run, starts, step};
use skylarkwick_request::{
    job::{
        Job, Schedule, Step,
        progress::TaskPosition,
        task::{self, RunOutcome},
    },
    shard::{effect::Change, input::AcceptedJob},
};
use skylarkwick_version::resources::Resources;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The allocator counts for the whole process, so that only one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Memory of a machine of the users' first site, in bytes.
const MACHINE_BYTES: usize = 260 << 20;
/// Part of it that the jobs of these tests may take together.
const MOST_BYTES: usize = MACHINE_BYTES / 2;
/// Time of day of the tests, in Unix milliseconds: far behind the first occurrences.
const TODAY_MS: u64 = 1_796_000_000_000;
const HOUR: Duration = Duration::from_secs(3600);
/// Most occurrences that a job may have.
const OCCURRENCES: u32 = 100_000;

/// A job that was to run hourly since 1970.
fn hourly_since_1970(id: &str, steps: Vec<Step>, count: u32) -> AcceptedJob {
    let mut accepted = Harness::accepted_job(id, steps);
    let schedule = Schedule { count, first_ms: 0, interval: HOUR };
    accepted.job = Arc::new(Job { schedule: Some(schedule), ..(*accepted.job).clone() });
    accepted
}

/// A step of tasks so small that one server has room for many.
fn small_step(count: u32) -> Step {
    let resources = Resources { millicores: 1, memory_mib: 1, accelerators: 0 };
    Step { resources, ..step(count, 1) }
}

/// Accepts jobs, decides often, and returns by how much the most memory in use meanwhile exceeds
/// that before.
fn peak_growth(harness: &mut Harness, jobs: impl Iterator<Item = AcceptedJob>) -> usize {
    let before = ALLOCATOR.allocated();
    let mut peak = 0;
    for accepted in jobs {
        harness.shard.add_job(harness.now, accepted);
    }
    for _ in 0..10 {
        let effects = harness.decide();
        peak = peak.max(ALLOCATOR.allocated().saturating_sub(before));
        harness.confirm_starts(&effects);
    }
    peak
}

fn site() -> Harness {
    let mut harness = Harness::with_servers(&["a"]);
    harness.unix_ms = TODAY_MS;
    harness
}

/// Guards against a holder that outgrows its memory by the tasks of occurrences in the past
/// (review/15).
#[test]
fn past_schedule() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (doses, mut harness) = ([(32, OCCURRENCES), (100, 50_000)], site());
    let jobs = (0..10).flat_map(|number| {
        doses.map(|(tasks, count)| {
            hourly_since_1970(&format!("{number}-{tasks}"), vec![step(tasks, 1)], count)
        })
    });
    let bytes = peak_growth(&mut harness, jobs);
    assert!(bytes <= MOST_BYTES, "{bytes} bytes for 20 jobs");
}

/// Guards against a holder that outgrows its memory by the waiting tasks of wide jobs.
#[test]
fn wide_jobs() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut harness = site();
    let is_long_running = |number: usize| number.is_multiple_of(2);
    let jobs = (0..50).map(|number| {
        let is_long_running = is_long_running(number);
        let wide = Step { is_long_running, max_unavailable: 1, ..step(10_000, 1) };
        Harness::accepted_job(&format!("{number}"), vec![wide; 10])
    });
    let bytes = peak_growth(&mut harness, jobs);
    assert!(bytes <= MOST_BYTES, "{bytes} bytes for 50 jobs");
}

/// Guards against a holder that outgrows its memory by what is over: tasks and occurrences that
/// are done, and the progress to store of them.
#[test]
fn past_work() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut harness = site();
    let before = ALLOCATOR.allocated();
    let mut done = 0;
    let mut peak = 0;
    harness.shard.add_job(
        harness.now,
        hourly_since_1970("job", vec![small_step(100), small_step(100)], OCCURRENCES),
    );
    for _ in 0..500 {
        let effects = harness.decide();
        peak = peak.max(ALLOCATOR.allocated().saturating_sub(before));
        let finished: Vec<_> = harness
            .confirm_starts(&effects)
            .into_iter()
            .map(|(_, start)| {
                done += 1;
                finished_run(done, start.task, start.run, RunOutcome::Done)
            })
            .collect();
        harness.report("a", &[], &finished);
    }
    assert!(done >= 50_000, "{done} tasks are done");
    assert!(peak <= MOST_BYTES / 20, "{peak} bytes for one job");
}

/// Occurrences of the past are worked off in the order in which they were due, and those of a
/// change of the holder are not run again.
#[test]
fn past_in_order() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut harness = site();
    harness.shard.add_job(harness.now, hourly_since_1970("job", vec![step(64, 1)], OCCURRENCES));
    let mut last = 0;
    let mut ended = 0;
    let mut progress = None;
    for _ in 0..20 {
        let effects = harness.decide();
        let batches = harness::batches(&effects);
        for update in batches.iter().flat_map(|batch| &batch.updates) {
            match &update.change {
                Change::Progress(stored) => progress = Some(stored.clone()),
                Change::Finished(state) => panic!("the job is {state:?}"),
            }
        }
        let mut finished = Vec::new();
        for (_, start) in harness.confirm_starts(&effects) {
            assert!(start.task.occurrence >= last, "{} after {last}", start.task.occurrence);
            last = start.task.occurrence;
            ended += 1;
            finished.push(finished_run(ended, start.task, start.run, RunOutcome::Done));
        }
        harness.report("a", &[], &finished);
    }
    assert!(last >= 10, "occurrence {last} has begun");

    let mut later = Harness::new(2);
    later.unix_ms = TODAY_MS;
    later.set_servers(&["a"]);
    let mut accepted = hourly_since_1970("job", vec![step(64, 1)], OCCURRENCES);
    let progress = progress.expect("progress is stored");
    accepted.progress = progress.clone();
    later.shard.add_job(later.now, accepted);
    later.decide();
    later.report("a", &[], &[]);
    let begun = starts(&later.decide());
    assert!(!begun.is_empty());
    for (_, start) in begun {
        let task::Id { occurrence, step, index, .. } = start.task;
        let position = TaskPosition { occurrence, step, index };
        assert!(!progress.is_done(position), "{} ran before", start.task);
    }
}
