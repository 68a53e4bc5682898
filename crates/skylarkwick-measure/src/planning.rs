//! Duration of a planning round by number of hosts.

use std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Instant};

use skylarkwick_version::{
    document::{self, Options},
    host::{Epoch, Ownership, Phase, Report},
    name,
    plan::{HostView, Input},
    source::Source,
};

use crate::{pool::host, rows::Row, slopes::fit};

/// Number of pools at the design size.
const POOLS: u32 = 51;
/// Numbers of hosts that are measured; the last is the design size.
const HOST_COUNTS: [u32; 5] = [1_000, 3_000, 6_000, 12_000, 23_000];
/// Rounds at each number of hosts. The fastest is reported, because other
/// processes can only slow a round down.
const ROUNDS: u32 = 9;

/// Measures a planning round at each number of hosts; adds the slope of the fitted line
/// and the largest error of the fit. The seeds are not used.
pub(crate) fn run(_: &[u64]) -> Vec<Row> {
    let points: Vec<(f64, f64)> =
        HOST_COUNTS.iter().map(|&hosts| (f64::from(hosts), round_ms(hosts))).collect();
    let mut rows: Vec<Row> = points
        .iter()
        .map(|(hosts, ms)| Row::new(format!("round at {hosts} hosts and {POOLS} pools"), *ms, "ms"))
        .collect();
    if let Some(last) = rows.last_mut() {
        *last = last.clone().at_most(50.0);
    }
    let (slope, error) = fit(&points);
    rows.push(Row::new("slope", slope * 1000.0, "us/host"));
    rows.push(Row::new("largest error of the fit", error, "ms"));
    rows
}

/// Returns the duration in milliseconds of the fastest of [`ROUNDS`] rounds over
/// `count` hosts, none of which has to change.
fn round_ms(count: u32) -> f64 {
    let data_centre = name::DataCentre::try_from("here").expect("the name is valid");
    let documents: Vec<Arc<document::Settings>> =
        (0..POOLS).map(|pool| document(pool, count)).collect();
    let hosts: BTreeMap<name::Host, HostView> =
        (0..count).map(|number| (host(number), host_view(number))).collect();
    let (budgets, unreachable_hosts) = (BTreeMap::new(), BTreeMap::new());
    let input = Input {
        data_centre: &data_centre,
        data_centres: std::slice::from_ref(&data_centre),
        documents: &documents,
        hosts: &hosts,
        budgets: &budgets,
        unreachable_hosts: &unreachable_hosts,
        waves: &[],
    };
    let times = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        black_box(input.plan());
        start.elapsed().as_secs_f64() * 1000.0
    });
    times.fold(f64::INFINITY, f64::min)
}

/// Returns the document of the service of a pool that needs an equal share of the
/// hosts.
fn document(pool: u32, hosts: u32) -> Arc<document::Settings> {
    let text = format!(
        "service = \"s{pool}\"\nteam = \"t\"\npool = \"p{pool}\"\n\
         [capacity]\nhosts = {}\ndown-at-once = 1\n\
         [work]\nrepeatable = true\nrun-time = \"60ms\"\ndeadline = \"5s\"\n\
         [stop]\nmethod = \"drain\"\ngrace = \"30s\"\n",
        hosts / POOLS
    );
    Arc::new(Options::load(&Source::new("measured", &text)).expect("the document is valid"))
}

/// Returns a host that is active in one of the pools, by turns, and runs three tasks.
fn host_view(number: u32) -> HostView {
    let pool = name::Pool::try_from(format!("p{}", number % POOLS)).expect("the name is valid");
    HostView {
        rack: name::Rack::try_from(format!("r{}", number / 4)).expect("the name is valid"),
        ownership: Some(Ownership { epoch: Epoch(1), phase: Phase::Active { pool } }),
        report: Some(Report { epoch: Epoch(1), running: 3, boot: 1 }),
        is_stopping: false,
        is_drained: false,
    }
}
