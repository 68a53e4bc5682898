//! More starts are asked for than the holder can send. It levels off: starts a second stay at
//! its maximum, and few runs hold room on servers before their start is confirmed.

mod harness;

use std::collections::VecDeque;

use harness::{Harness, batches, finished_run, starts, step};
use skylarkwick_request::{
    job::task::{self, RunOutcome},
    shard::{
        effect::{Batch, Effect, Start},
        input::{OrderResult, RejectReason, ServerId},
    },
};

/// Starts a second that the holder can send.
const CAPACITY: usize = 400;
const TICK_MS: u64 = 50;
const RUN_MS: u64 = 600;
const TASKS_PER_JOB: usize = 8;
const SECONDS: u64 = 16;
/// Seconds before the measurement begins.
const WARM_UP: u64 = 6;
const SERVERS: usize = 100;

/// A holder that sends a fixed number of orders a second, oldest first. A start that it sends
/// too late is rejected, which costs as much as any other.
struct Sender {
    harness: Harness,
    names: Vec<String>,
    queue: VecDeque<(ServerId, Start)>,
    batch: Option<Batch>,
    /// Runs in progress, by when they end.
    running: VecDeque<(u64, ServerId, task::Id, task::RunId)>,
    ends: Vec<u64>,
    submitted: usize,
    confirmed: usize,
    most_unconfirmed: usize,
}

impl Sender {
    fn new() -> Sender {
        let names: Vec<String> = (0..SERVERS).map(|number| format!("s{number:03}")).collect();
        let list: Vec<&str> = names.iter().map(String::as_str).collect();
        let harness = Harness::with_servers(&list);
        Sender {
            harness,
            names,
            queue: VecDeque::new(),
            batch: None,
            running: VecDeque::new(),
            ends: vec![0; SERVERS],
            submitted: 0,
            confirmed: 0,
            most_unconfirmed: 0,
        }
    }

    /// Submits jobs for this share of the capacity, in starts a second.
    fn submit(&mut self, time_ms: u64, load: usize) {
        let tasks = usize::try_from(time_ms).unwrap() * CAPACITY * load / 1000;
        while self.submitted * TASKS_PER_JOB < tasks {
            let id = format!("job{:05}", self.submitted);
            self.harness.submit(&id, vec![step(8, 9)]);
            self.submitted += 1;
        }
    }

    fn end_runs(&mut self, time_ms: u64) {
        let mut finished = vec![Vec::new(); SERVERS];
        while self.running.front().is_some_and(|(end, ..)| *end <= time_ms) {
            let (_, server, task, run) = self.running.pop_front().unwrap();
            let index = self.names.iter().position(|name| **name == *server.0).unwrap();
            self.ends[index] += 1;
            finished[index].push(finished_run(self.ends[index], task, run, RunOutcome::Done));
        }
        for (index, finished) in finished.iter().enumerate() {
            let name = self.names[index].clone();
            let running: Vec<(task::Id, task::RunId, u32)> = self
                .running
                .iter()
                .filter(|(_, server, ..)| *server.0 == *name)
                .map(|(_, _, task, run)| (task.clone(), *run, 50))
                .collect();
            self.harness.report(&name, &running, finished);
        }
    }

    fn send(&mut self, time_ms: u64) {
        let orders = CAPACITY * usize::try_from(TICK_MS).unwrap() / 1000;
        for _ in 0..orders {
            let Some((server, start)) = self.queue.pop_front() else {
                return;
            };
            let reading = self.harness.reading();
            let result = match reading.clock_ms <= start.until_ms {
                true => OrderResult::Done(reading),
                false => OrderResult::Refused(RejectReason::Expired, Some(reading)),
            };
            let (now, task, run) = (self.harness.now, start.task.clone(), start.run);
            self.harness.shard.handle_start_result(now, &server, &task, run, result);
            if let OrderResult::Done(_) = result {
                self.confirmed += 1;
                self.running.push_back((time_ms + RUN_MS, server, task, run));
            }
        }
    }

    /// Decides; a write takes one tick.
    fn decide(&mut self) {
        if let Some(batch) = self.batch.take() {
            self.harness.shard.handle_batch_saved(self.harness.now, &batch);
        }
        let effects: Vec<Effect> = self.harness.decide_unsaved();
        self.queue.extend(starts(&effects));
        self.batch = batches(&effects).pop();
        let loads = self.harness.shard.pool_loads(self.harness.now);
        let unconfirmed = loads.values().map(|load| load.planned + load.starting).sum();
        self.most_unconfirmed = self.most_unconfirmed.max(unconfirmed);
    }
}

/// Returns the confirmed starts a second at this multiple of the capacity, and the most
/// unconfirmed runs, both after the warm-up.
fn play(load: usize) -> (f64, usize) {
    let mut sender = Sender::new();
    let mut confirmed_before = 0;
    for tick in 0..SECONDS * 1000 / TICK_MS {
        let time_ms = tick * TICK_MS;
        if time_ms == WARM_UP * 1000 {
            confirmed_before = sender.confirmed;
            sender.most_unconfirmed = 0;
        }
        sender.harness.advance(TICK_MS);
        sender.submit(time_ms, load);
        sender.end_runs(time_ms);
        sender.send(time_ms);
        sender.decide();
    }
    let confirmed = u32::try_from(sender.confirmed - confirmed_before).unwrap();
    let seconds = u32::try_from(SECONDS - WARM_UP).unwrap();
    (f64::from(confirmed) / f64::from(seconds), sender.most_unconfirmed)
}

#[test]
fn overload_levels_off() {
    let rates = [1, 2, 4].map(|load| play(load).0);
    let most = rates.into_iter().fold(0.0, f64::max);
    assert!(rates.iter().all(|rate| *rate >= 0.9 * most), "starts a second: {rates:?}");
    let capacity = f64::from(u32::try_from(CAPACITY).unwrap());
    assert!(most >= 0.9 * capacity, "starts a second: {rates:?}");
}

#[test]
fn overload_reserves_little() {
    for load in [1, 2, 4] {
        let (_, unconfirmed) = play(load);
        assert!(unconfirmed <= CAPACITY, "{unconfirmed} unconfirmed runs at load {load}");
    }
}
