//! Jobs that end in time in bursts that exceed the room, under the product's choice of what to
//! postpone, compared with first come, first served, with least work first, and with a bound that
//! knows all jobs in advance.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use skylarkwick_request::triage::{self, Work};
use skylarkwick_version::moment::Moment;

use crate::rows::{Row, mean};

/// Processor time of the pool.
const CORES: u64 = 200;
/// Length of a step of the simulation, in milliseconds.
const TICK_MS: u64 = 10;
/// Length of the load and of the burst in its middle, in milliseconds.
const LOAD_MS: u64 = 12_000;
const BURST_MS: std::ops::Range<u64> = 3000..8000;
/// Multiples of the pool's room that the burst asks for.
const MULTIPLES: [u64; 4] = [1, 2, 4, 10];
/// Share of the jobs that are large.
const LARGE_SHARE: f64 = 0.15;
/// Time beyond a job's own that its objective allows, as a multiple of it.
const STRETCH: f64 = 0.6;
/// Time that it allows besides, in milliseconds, of two queues with different objectives.
const SLACK_MS: [u64; 2] = [100, 3000];

/// A job: when it comes, when it should be over, its work left, and the cores that it can use.
#[derive(Clone, Copy)]
struct Job {
    arrival_ms: u64,
    deadline_ms: u64,
    core_ms: u64,
    cores: u64,
}

/// Order in which jobs that are open get cores.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    FirstCome,
    LeastWork,
    /// What the product postpones comes last, and the rest by least work.
    Product,
    /// The same, but the rest by deadline.
    ByDeadline,
}

/// Measures bursts of several sizes.
pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    MULTIPLES.iter().flat_map(|&multiple| measure(multiple, seeds)).collect()
}

fn measure(multiple: u64, seeds: &[u64]) -> Vec<Row> {
    let loads: Vec<Vec<Job>> = seeds.iter().map(|&seed| load(multiple, seed)).collect();
    let share = |policy| {
        let shares: Vec<f64> = loads.iter().map(|jobs| in_time(jobs, policy)).collect();
        mean(&shares)
    };
    let bounds: Vec<f64> = loads.iter().map(|jobs| bound(jobs)).collect();
    let name = |what: &str| format!("burst of {multiple} times the room: in time, {what}");
    vec![
        Row::new(name("first come first served"), share(Policy::FirstCome), "share"),
        Row::new(name("least work first"), share(Policy::LeastWork), "share"),
        Row::new(name("product"), share(Policy::Product), "share"),
        Row::new(name("product, the rest by deadline"), share(Policy::ByDeadline), "share"),
        Row::new(name("bound with all known"), mean(&bounds), "share"),
    ]
}

/// Draws the jobs of a load: a third of the room, and in the burst a multiple of all of it.
fn load(multiple: u64, seed: u64) -> Vec<Job> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut owed = 0.0;
    for now_ms in (0..LOAD_MS).step_by(10) {
        let rate = if BURST_MS.contains(&now_ms) { multiple as f64 } else { 0.3 };
        owed += rate * (CORES * TICK_MS) as f64;
        while owed > 0.0 {
            let (tasks, cores, ms) = match random.random_bool(LARGE_SHARE) {
                true => (16, 6, random.random_range(900..1800_u64)),
                false => (8, 3, random.random_range(300..900_u64)),
            };
            let slack_ms = SLACK_MS[usize::from(random.random_bool(0.5))];
            let allowed = (ms as f64 * (1.0 + STRETCH)) as u64 + slack_ms;
            let core_ms = tasks * cores * ms;
            owed -= core_ms as f64;
            let cores = tasks * cores;
            jobs.push(Job { arrival_ms: now_ms, deadline_ms: now_ms + allowed, core_ms, cores });
        }
    }
    jobs
}

/// Returns the share of the jobs that end in time under a policy.
fn in_time(jobs: &[Job], policy: Policy) -> f64 {
    let mut open: Vec<Job> = Vec::new();
    let mut next = 0;
    let mut ended = 0_u32;
    let mut now_ms = 0;
    while next < jobs.len() || !open.is_empty() {
        while let Some(job) = jobs.get(next).filter(|job| job.arrival_ms <= now_ms) {
            open.push(*job);
            next += 1;
        }
        // What is too late is of no more use here.
        open.retain(|job| job.deadline_ms >= now_ms + job.core_ms / job.cores);
        sort(&mut open, policy, now_ms);
        let mut free = CORES;
        for job in &mut open {
            let used = free.min(job.cores);
            free -= used;
            job.core_ms = job.core_ms.saturating_sub(used * TICK_MS);
        }
        now_ms += TICK_MS;
        let before = open.len();
        open.retain(|job| job.core_ms > 0);
        ended += u32::try_from(before - open.len()).unwrap_or(u32::MAX);
    }
    f64::from(ended) / jobs.len() as f64
}

fn sort(open: &mut Vec<Job>, policy: Policy, now_ms: u64) {
    match policy {
        Policy::FirstCome => {}
        Policy::LeastWork => open.sort_by_key(|job| job.core_ms),
        Policy::Product | Policy::ByDeadline => {
            let works: Vec<Work> = open.iter().map(work).collect();
            let is_postponed = triage::postponed(at(now_ms), CORES * 1000, &works);
            let mut order: Vec<(bool, Job)> =
                is_postponed.into_iter().zip(open.iter().copied()).collect();
            order.sort_by_key(|(postponed, job)| match (*postponed, policy) {
                (false, Policy::ByDeadline) => (false, job.deadline_ms),
                (postponed, _) => (postponed, job.core_ms),
            });
            *open = order.into_iter().map(|(_, job)| job).collect();
        }
    }
}

/// Returns a share that no policy exceeds: as many of the smallest jobs of the burst as fit into all
/// cores from its begin to its last deadline, and all others.
fn bound(jobs: &[Job]) -> f64 {
    let mut burst: Vec<&Job> =
        jobs.iter().filter(|job| BURST_MS.contains(&job.arrival_ms)).collect();
    burst.sort_by_key(|job| job.core_ms);
    let last = burst.iter().map(|job| job.deadline_ms).max().unwrap_or_default();
    let mut room = CORES * last.saturating_sub(BURST_MS.start);
    let fitting = burst.iter().take_while(|job| {
        let fits = job.core_ms <= room;
        room = room.saturating_sub(job.core_ms);
        fits
    });
    let others = jobs.len() - burst.len();
    (fitting.count() + others) as f64 / jobs.len() as f64
}

fn work(job: &Job) -> Work {
    Work {
        priority: 0,
        is_started: false,
        deadline: at(job.deadline_ms),
        millicore_ms: job.core_ms * 1000,
    }
}

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}
