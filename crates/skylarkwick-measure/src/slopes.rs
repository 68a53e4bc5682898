//! Time and memory of the parts that grow with the number of hosts. The capacity
//! page uses the slopes.

use std::{collections::BTreeMap, fs, hint::black_box, time::Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use skylarkwick_process::view::{Content, Row as ViewRow, View};
use skylarkwick_request::{balancer::Balancer, estimate::Class};
use skylarkwick_version::{
    host::{Epoch, Ownership, Phase},
    moment::Moment,
    name,
    revision::Revision,
};

use crate::{pool::host, rows::Row};

/// Numbers of hosts that are measured.
const HOST_COUNTS: [u32; 5] = [1_000, 3_000, 6_000, 12_000, 23_000];
/// Repetitions of each timed step at each number of hosts; the fastest is reported.
const REPEATS: u32 = 7;
/// Choices of a worker in one timed loop.
const CHOICES: u32 = 20_000;
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Measures the memory and update of the view, the choice of a worker and the update of
/// the balancer's workers. The seeds are not used.
pub(crate) fn run(_: &[u64]) -> Vec<Row> {
    let mut rows = Vec::new();
    measure_slope(&mut rows, "memory of the view", "KiB", view_memory_kib);
    measure_slope(&mut rows, "adoption of one change", "ms", view_update_ms);
    measure_slope(&mut rows, "choice of a worker", "ns", worker_choice_ns);
    measure_slope(&mut rows, "list of a lane's workers", "ms", worker_update_ms);
    rows
}

/// Calls `measure` with each number of hosts; adds a row for each result, in `unit`,
/// for the slope of the fitted line per thousand hosts, and for the largest error of
/// the fit.
fn measure_slope(rows: &mut Vec<Row>, name: &str, unit: &'static str, measure: fn(u32) -> f64) {
    let points: Vec<(f64, f64)> =
        HOST_COUNTS.iter().map(|&hosts| (f64::from(hosts), measure(hosts))).collect();
    rows.extend(
        points
            .iter()
            .map(|(hosts, value)| Row::new(format!("{name} at {hosts} hosts"), *value, unit)),
    );
    let (slope, error) = fit(&points);
    rows.push(Row::new(format!("{name}: slope a thousand hosts"), slope * 1000.0, unit));
    rows.push(Row::new(format!("{name}: largest error of the fit"), error, unit));
}

/// Fits a line to points by least squares; returns its slope and the largest absolute
/// error in the second coordinate.
pub(crate) fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0, y + point.1));
    let (mean_x, mean_y) = (sum_x / count, sum_y / count);
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let error =
        points.iter().map(|(x, y)| (y - mean_y - slope * (x - mean_x)).abs()).fold(0.0, f64::max);
    (slope, error)
}

/// Returns a view with `hosts` active hosts at revision 1.
fn view(hosts: u32) -> View {
    let mut view = View::default();
    let rows = (0..hosts).map(|number| row(number, 1)).collect();
    view.apply(rows, Revision(1));
    view
}

/// Returns the view's row of an active host at a revision; the hosts are spread over 51
/// pools.
fn row(number: u32, revision: u64) -> ViewRow {
    let pool = name::Pool::try_from(format!("p{}", number % 51)).expect("the name is valid");
    let ownership = Ownership { epoch: Epoch(revision), phase: Phase::Active { pool } };
    ViewRow { revision: Revision(revision), change: Content::Host(host(number), ownership) }
}

/// Returns the resident memory that a view adds to the process, in KiB.
fn view_memory_kib(hosts: u32) -> f64 {
    let before = resident_pages();
    let view = black_box(view(hosts));
    let after = resident_pages();
    drop(view);
    (after - before) * PAGE_BYTES / 1024.0
}

/// Returns the resident memory of the process in pages, or 0 if it can't be read.
fn resident_pages() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0)
}

/// Returns the shortest time to apply one changed row and to publish the view, as the
/// view duty does, in milliseconds.
fn view_update_ms(hosts: u32) -> f64 {
    let mut view = view(hosts);
    let times = (0..REPEATS).map(|repeat| {
        let changed = row(7, u64::from(repeat) + 2);
        let start = Instant::now();
        let revision = changed.revision;
        view.apply(vec![changed], revision);
        black_box(view.clone());
        start.elapsed().as_secs_f64() * 1000.0
    });
    times.fold(f64::INFINITY, f64::min)
}

/// Returns a number of workers, each with epoch 1 and four slots.
fn workers(hosts: u32) -> BTreeMap<name::Host, (Epoch, u32)> {
    (0..hosts).map(|number| (host(number), (Epoch(1), 4))).collect()
}

/// Returns the time to choose a worker and to record its start and finish, in
/// nanoseconds: the mean over [`CHOICES`] in the fastest repetition.
fn worker_choice_ns(hosts: u32) -> f64 {
    let mut balancer = Balancer::new();
    balancer.set_workers(&workers(hosts));
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let times = (0..REPEATS).map(|_| {
        let start = Instant::now();
        for _ in 0..CHOICES {
            if let Some((host, _)) = balancer.choose(None, Moment::ZERO, &mut random) {
                balancer.record_start(&host, Class::Short, Moment::ZERO);
                balancer.record_finish(&host, Class::Short, None, Moment::ZERO);
            }
        }
        start.elapsed().as_secs_f64() * 1e9 / f64::from(CHOICES)
    });
    times.fold(f64::INFINITY, f64::min)
}

/// Returns the shortest time to set the list of a balancer's workers, in milliseconds;
/// the list changes only at the first repetition.
fn worker_update_ms(hosts: u32) -> f64 {
    let workers = workers(hosts);
    let mut balancer = Balancer::new();
    let times = (0..REPEATS).map(|_| {
        let start = Instant::now();
        balancer.set_workers(&workers);
        start.elapsed().as_secs_f64() * 1000.0
    });
    times.fold(f64::INFINITY, f64::min)
}
