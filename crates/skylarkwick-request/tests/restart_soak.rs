//! Seeded soak of a shard whose servers crash and start again under their names, while calls
//! are late or lost and the store is down at times: no task runs twice at the same time, none
//! starts again after its end was acknowledged, and all finish once the trouble is over.

mod harness;
mod simulation;

use std::collections::{BTreeMap, BTreeSet};

use harness::{Harness, ms, server_info, step};
use simulation::{Life, Machine, Random};
use skylarkwick_request::{
    job::{
        Id, Step,
        task::{self, RunId, RunOutcome},
    },
    shard::{
        effect::{Batch, Change, Effect, Start, Target},
        input::{ClockReading, OrderResult, RejectReason, RunStatus, ServerInfo, StatusReport},
    },
};
use skylarkwick_version::moment::Moment;

/// Seeds that are played if the environment names no other number.
const SEEDS: u64 = 40;
const SERVERS: [&str; 3] = ["a", "b", "c"];
/// Time with trouble, and time after it until all jobs are finished, in milliseconds.
const TROUBLE_MS: u64 = 20_000;
const CALM_MS: u64 = 25_000;
const STEP_MS: u64 = 10;
const ORDER_TIMEOUT_MS: u64 = 800;
const LIST_PERIOD_MS: u64 = 250;
const RENEWAL_PERIOD_MS: u64 = 500;
const JOB_PERIOD_MS: u64 = 150;

/// A call on its way: when it was sent, and the incarnation to which its connection was
/// made. Without one it is not sent: a server that starts later could be reached by a second
/// attempt to connect only, which the client does not wait for.
#[derive(Clone)]
struct Call {
    target: Target,
    sent: Moment,
    connected_ms: Option<u64>,
}

/// An order or poll on its way, or its result.
enum Message {
    Start(Call, Box<Start>),
    Stop(Call, task::Id, RunId),
    /// The same, carried out by the server later than it was received, without an answer.
    LateStart(Call, Box<Start>),
    LateStop(Call, task::Id, RunId),
    Poll {
        call: Call,
        lease_until_ms: Option<u64>,
        acknowledged: u64,
    },
    StartResult(Target, task::Id, RunId, OrderResult),
    StopResult(Target, task::Id, RunId, OrderResult),
    Report(Box<StatusReport>),
    PollFailed(Target),
    Saved(Box<Batch>, bool),
    Listed(Vec<ServerInfo>),
}

struct World {
    seed: u64,
    random: Random,
    harness: Harness,
    start: Moment,
    now_ms: u64,
    machines: BTreeMap<&'static str, Machine>,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    is_store_up: bool,
    last_renewal: Moment,
    /// Run time of each task, in milliseconds.
    run_times: BTreeMap<Id, u64>,
    finished: BTreeSet<Id>,
    /// Runs that have succeeded; of those, the ones whose end was acknowledged, and the
    /// ones after which their task was started again.
    done: BTreeSet<(task::Id, RunId)>,
    acknowledged: BTreeSet<(task::Id, RunId)>,
    repeated: BTreeSet<(task::Id, RunId)>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut harness = Harness::new(1);
        harness.shard.set_hosts(harness.now, Vec::new());
        let start = harness.now;
        let machines = SERVERS.map(|name| (name, Machine::default())).into();
        World {
            seed,
            random: Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            harness,
            start,
            now_ms: 0,
            machines,
            messages: BTreeMap::new(),
            sent: 0,
            is_store_up: true,
            last_renewal: start,
            run_times: BTreeMap::new(),
            finished: BTreeSet::new(),
            done: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            repeated: BTreeSet::new(),
        }
    }

    fn send(&mut self, delay_ms: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now_ms + delay_ms, self.sent), message);
    }

    /// Returns the delay of a message, in milliseconds; a few take long.
    fn delay(&mut self) -> u64 {
        match self.has_trouble() && self.random.is_one_in(20) {
            true => 100 + self.random.below(900),
            false => 1 + self.random.below(30),
        }
    }

    /// Returns whether a server carries an order out later than it received it.
    fn is_late(&mut self) -> bool {
        self.has_trouble() && self.random.is_one_in(25)
    }

    fn has_trouble(&self) -> bool {
        self.now_ms < TROUBLE_MS
    }

    fn run(&mut self) {
        while self.now_ms < TROUBLE_MS + CALM_MS {
            self.now_ms += STEP_MS;
            self.harness.now = self.start + ms(self.now_ms);
            self.make_trouble();
            self.advance_machines();
            self.list_servers();
            self.submit_job();
            self.deliver_messages();
            self.decide();
            self.check();
        }
        let unfinished: Vec<&Id> =
            self.run_times.keys().filter(|id| !self.finished.contains(*id)).collect();
        assert!(unfinished.is_empty(), "seed {}, unfinished: {unfinished:?}", self.seed);
    }

    fn make_trouble(&mut self) {
        if !self.has_trouble() {
            self.is_store_up = true;
            return;
        }
        let period = if self.is_store_up { 600 } else { 200 };
        if self.random.is_one_in(period) {
            self.is_store_up = !self.is_store_up;
        }
        for name in SERVERS {
            let machine = self.machines.get_mut(name).unwrap();
            if machine.life.is_some() && self.random.is_one_in(300) {
                machine.crash(self.now_ms + 20 + self.random.below(1200));
            }
        }
    }

    fn advance_machines(&mut self) {
        for machine in self.machines.values_mut() {
            machine.advance(self.now_ms, self.is_store_up, &mut self.random);
            if let Some(life) = &mut machine.life {
                self.done.extend(life.advance(self.now_ms));
            }
        }
    }

    fn list_servers(&mut self) {
        if !self.is_store_up {
            return;
        }
        if self.now_ms.is_multiple_of(RENEWAL_PERIOD_MS) {
            self.last_renewal = self.harness.now;
        }
        if !self.now_ms.is_multiple_of(LIST_PERIOD_MS) {
            return;
        }
        let entry = |(name, machine): (&&str, &Machine)| {
            let (incarnation_ms, _) = machine.entry?;
            Some(ServerInfo { incarnation_ms, ..server_info(name, harness::POOL, name) })
        };
        let servers = self.machines.iter().filter_map(entry).collect();
        let delay_ms = 1 + self.random.below(30);
        self.send(delay_ms, Message::Listed(servers));
    }

    fn submit_job(&mut self) {
        if !self.has_trouble() || !self.now_ms.is_multiple_of(JOB_PERIOD_MS) {
            return;
        }
        let id = format!("job-{:05}", self.now_ms);
        let tasks = 1 + u32::try_from(self.random.below(3)).unwrap();
        let longest_ms = if self.random.is_one_in(4) { 4000 } else { 400 };
        let work_ms = 30 + self.random.below(longest_ms);
        self.run_times.insert(Id::new(&id), work_ms);
        let steps = vec![Step { run_time_estimate: ms(work_ms), ..step(tasks, 4) }];
        self.harness.submit(&id, steps);
    }

    fn decide(&mut self) {
        let (now, renewal) = (self.harness.now, self.last_renewal);
        for effect in self.harness.shard.decide(now, 0, renewal) {
            let delay_ms = self.delay();
            match effect {
                Effect::Start { target, start } => {
                    let call = self.connect(target);
                    self.send(delay_ms, Message::Start(call, start));
                }
                Effect::Stop { target, task, run } => {
                    let call = self.connect(target);
                    self.send(delay_ms, Message::Stop(call, task, run));
                }
                Effect::Poll { target, lease_until_ms, acknowledged, .. } => {
                    let call = self.connect(target);
                    self.send(delay_ms, Message::Poll { call, lease_until_ms, acknowledged });
                }
                Effect::Save(batch) => {
                    let is_saved = self.is_store_up && !self.random.is_one_in(30);
                    self.send(delay_ms, Message::Saved(Box::new(batch), is_saved));
                }
                Effect::StepDown => panic!("there is one holder"),
                _ => {}
            }
        }
    }

    fn deliver_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let message = entry.remove();
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        let (now, shard) = (self.harness.now, &mut self.harness.shard);
        match message {
            Message::StartResult(target, task, run, result) => {
                shard.handle_start_result(now, &target.server, &task, run, result);
            }
            Message::StopResult(target, task, run, result) => {
                shard.handle_stop_result(now, &target.server, &task, run, result);
            }
            Message::Report(mut report) => {
                report.clock.received = now;
                shard.handle_status_report(now, *report);
            }
            Message::PollFailed(target) => shard.handle_poll_failure(now, &target),
            Message::Listed(servers) => shard.set_servers(now, servers),
            Message::Saved(batch, true) => {
                for update in &batch.updates {
                    if let Change::Finished(_) = update.change {
                        self.finished.insert(update.id.clone());
                    }
                }
                shard.handle_batch_saved(now, &batch);
            }
            Message::Saved(batch, false) => shard.handle_batch_save_failed(&batch),
            Message::LateStart(call, start) => {
                self.start_run(&call, &start);
            }
            Message::LateStop(call, task, run) => {
                self.stop_run(&call, &task, run);
            }
            Message::Start(call, start) => {
                let result = match self.is_late() {
                    false => self.start_run(&call, &start),
                    true => {
                        let delay_ms = 100 + self.random.below(3000);
                        let late = Message::LateStart(call.clone(), start.clone());
                        self.send(delay_ms, late);
                        OrderResult::Unknown
                    }
                };
                let reply = |result| {
                    let target = call.target.clone();
                    Message::StartResult(target, start.task.clone(), start.run, result)
                };
                self.reply(call.sent, result, reply);
            }
            Message::Stop(call, task, run) => {
                let result = match self.is_late() {
                    false => self.stop_run(&call, &task, run),
                    true => {
                        let delay_ms = 100 + self.random.below(3000);
                        self.send(delay_ms, Message::LateStop(call.clone(), task.clone(), run));
                        OrderResult::Unknown
                    }
                };
                let reply =
                    |result| Message::StopResult(call.target.clone(), task.clone(), run, result);
                self.reply(call.sent, result, reply);
            }
            Message::Poll { call, lease_until_ms, acknowledged } => {
                let report = self.poll(&call, lease_until_ms, acknowledged);
                let is_lost = self.has_trouble() && self.random.is_one_in(30);
                let delay_ms = self.delay();
                match report.filter(|_| !is_lost) {
                    Some(report) => self.send(delay_ms, Message::Report(Box::new(report))),
                    None => self.send(ORDER_TIMEOUT_MS, Message::PollFailed(call.target)),
                }
            }
        }
    }

    /// Sends the result of an order, unless it is lost or too late: then no answer.
    fn reply(
        &mut self,
        sent: Moment,
        result: OrderResult,
        message: impl Fn(OrderResult) -> Message,
    ) {
        let delay_ms = self.delay();
        let left = ms(ORDER_TIMEOUT_MS).saturating_sub(self.harness.now.since(sent));
        let left_ms = u64::try_from(left.as_millis()).unwrap();
        let is_lost = self.has_trouble() && self.random.is_one_in(20);
        match result {
            OrderResult::Unknown => self.send(left_ms, message(OrderResult::Unknown)),
            _ if is_lost || delay_ms > left_ms => {
                self.send(left_ms, message(OrderResult::Unknown));
            }
            result => self.send(delay_ms, message(result)),
        }
    }

    fn connect(&self, target: Target) -> Call {
        let life = self.machines[&*target.server.0].life.as_ref();
        let connected_ms = life.map(|life| life.born_ms);
        Call { target, sent: self.harness.now, connected_ms }
    }

    /// Returns the incarnation that a call reaches.
    fn life(&mut self, call: &Call) -> Option<&mut Life> {
        let life = self.machines.get_mut(&*call.target.server.0)?.life.as_mut()?;
        (call.connected_ms == Some(life.born_ms)).then_some(life)
    }

    /// The result of an order that reaches no server.
    fn unreached(call: &Call) -> OrderResult {
        match call.connected_ms {
            Some(_) => OrderResult::Unknown,
            None => OrderResult::Refused(RejectReason::Unavailable, None),
        }
    }

    fn start_run(&mut self, call: &Call, start: &Start) -> OrderResult {
        let (now_ms, received) = (self.now_ms, self.harness.now);
        let work_ms = self.run_times[&start.task.job];
        let Some(life) = self.life(call) else {
            return World::unreached(call);
        };
        let clock = ClockReading { clock_ms: life.clock_ms(now_ms), sent: call.sent, received };
        if clock.clock_ms > start.until_ms {
            return OrderResult::Refused(RejectReason::Expired, Some(clock));
        }
        life.extend_lease(now_ms, start.until_ms);
        if life.over.get(&start.task).is_some_and(|over| start.run <= *over) {
            return OrderResult::Refused(RejectReason::StaleRun, Some(clock));
        }
        life.runs.insert((start.task.clone(), start.run), now_ms + work_ms);
        let earlier = self.done.iter().filter(|(task, _)| *task == start.task);
        self.repeated.extend(earlier.cloned());
        OrderResult::Done(clock)
    }

    fn stop_run(&mut self, call: &Call, task: &task::Id, run: RunId) -> OrderResult {
        let (now_ms, received) = (self.now_ms, self.harness.now);
        let Some(life) = self.life(call) else {
            return World::unreached(call);
        };
        let clock = ClockReading { clock_ms: life.clock_ms(now_ms), sent: call.sent, received };
        match life.runs.contains_key(&(task.clone(), run)) {
            true => life.end(task.clone(), run, RunOutcome::Stopped),
            false => {
                let over = life.over.entry(task.clone()).or_insert(run);
                *over = run.max(*over);
            }
        }
        OrderResult::Done(clock)
    }

    fn poll(
        &mut self,
        call: &Call,
        lease_until_ms: Option<u64>,
        acknowledged: u64,
    ) -> Option<StatusReport> {
        let (now_ms, received) = (self.now_ms, self.harness.now);
        let life = self.life(call)?;
        if let Some(until_ms) = lease_until_ms {
            life.extend_lease(now_ms, until_ms);
        }
        let done = life.ended.iter().filter(|end| end.outcome == RunOutcome::Done);
        let done = done.filter(|end| end.number <= acknowledged);
        let done: Vec<_> = done.map(|end| (end.task.clone(), end.run)).collect();
        life.ended.retain(|end| end.number > acknowledged);
        let running = life.runs.keys().map(|(task, run)| RunStatus {
            task: task.clone(),
            run: *run,
            checkpoint: "".into(),
            percent: 50,
            tail_ms: None,
        });
        let report = StatusReport {
            server: call.target.server.clone(),
            incarnation_ms: Some(life.born_ms),
            clock: ClockReading { clock_ms: life.clock_ms(now_ms), sent: call.sent, received },
            running: running.collect(),
            finished: life.ended.clone(),
            is_partial: false,
        };
        self.acknowledged.extend(done);
        Some(report)
    }

    fn check(&self) {
        let mut running: BTreeMap<&task::Id, usize> = BTreeMap::new();
        for life in self.machines.values().filter_map(|machine| machine.life.as_ref()) {
            for (task, _) in life.runs.keys() {
                *running.entry(task).or_default() += 1;
            }
        }
        let twice: Vec<_> = running.iter().filter(|(_, runs)| **runs > 1).collect();
        let (seed, now_ms) = (self.seed, self.now_ms);
        assert!(twice.is_empty(), "seed {seed}, at {now_ms} ms two runs of one task: {twice:?}");
        let again: Vec<_> = self.acknowledged.intersection(&self.repeated).collect();
        assert!(again.is_empty(), "seed {seed}, at {now_ms} ms started after its end: {again:?}");
    }
}

/// A long run is started by hand: `SOAK_SEEDS=400 cargo test --release -p skylarkwick-request
/// --test restart_soak`.
#[test]
fn seeds_keep_rules() {
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS) {
        World::new(seed).run();
    }
}
