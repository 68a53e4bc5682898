//! Test harness: a shard with a few servers, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub(crate) mod load;
pub(crate) mod waves;

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use skylarkwick_request::{
    job::{Id, Job, Key, Step, progress::Progress, task},
    shard::{
        Shard, Term, Timings,
        effect::{Batch, Effect, Start, Target},
        input::{
            AcceptedJob, ClockReading, FinishedRun, Host, HostId, HostState, OrderResult, Queue,
            RunStatus, ServerId, ServerInfo, StatusReport,
        },
    },
};
use skylarkwick_version::{moment::Moment, resources::Resources, revision::Revision};

pub(crate) const POOL: &str = "pool";
pub(crate) const QUEUE: &str = "queue";
const CORES_PER_SERVER: u64 = 64;
/// Time since the last confirmed renewal after which a holder is no longer exclusive.
const UNCONFIRMED_TIME: Duration = Duration::from_millis(4000);
/// Time between two reviews of all hosts, in milliseconds.
const REVIEW_MS: u64 = 50;
const CLOCK_START_MS: u64 = 100_000;

pub(crate) struct Harness {
    pub(crate) shard: Shard,
    pub(crate) now: Moment,
    /// Time of day, in Unix milliseconds.
    pub(crate) unix_ms: u64,
    pub(crate) servers: Vec<ServerInfo>,
}

pub(crate) fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub(crate) fn timings() -> Timings {
    Timings {
        lease_duration: ms(4600),
        max_lease: ms(6000),
        start_window: ms(1300),
        takeover_grace: ms(11_000),
        longest_grace: ms(12_442),
        outage_threshold: ms(4500),
        maintenance_duration: ms(2000),
    }
}

pub(crate) fn server(name: &str) -> ServerId {
    ServerId(Arc::from(name))
}

pub(crate) fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

pub(crate) fn step(count: u32, cores: u64) -> Step {
    let resources = Resources { millicores: cores * 1000, memory_mib: 64, accelerators: 0 };
    Step { count, resources, run_time_estimate: ms(1000), ..Step::default() }
}

pub(crate) fn task(job: &str, step: usize, index: usize) -> task::Id {
    task::Id { job: Id::new(job), occurrence: 0, step, index }
}

/// The identity of a job of the harness's queue.
pub(crate) fn job_key(id: &str) -> Key {
    Key::new(Arc::from(QUEUE), Id::new(id))
}

pub(crate) fn server_info(name: &str, pool: &str, host_name: &str) -> ServerInfo {
    ServerInfo {
        id: server(name),
        incarnation_ms: 1,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9),
        pool: Arc::from(pool),
        data_centre: Arc::from("here"),
        host: Some(host(host_name)),
        capacity: Resources {
            millicores: CORES_PER_SERVER * 1000,
            memory_mib: 65_536,
            accelerators: 0,
        },
        labels: BTreeSet::new(),
        is_leaving: false,
    }
}

pub(crate) fn queue(name: &str, pool: &str) -> Queue {
    Queue {
        name: Arc::from(name),
        pool: Arc::from(pool),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target: ms(600),
    }
}

pub(crate) fn host_up(name: &str, pool: &str, server_name: Option<&str>) -> Host {
    Host {
        id: host(name),
        pool: Arc::from(pool),
        state: HostState::Up,
        data_centre: Arc::from("here"),
        labels: BTreeSet::new(),
        capacity: Resources {
            millicores: CORES_PER_SERVER * 1000,
            memory_mib: 65_536,
            accelerators: 0,
        },
        server: server_name.map(server),
    }
}

impl Harness {
    /// Creates a shard that the `number`th holder has just taken.
    pub(crate) fn new(number: u64) -> Harness {
        let mut harness = Harness::unconfigured(number);
        harness.shard.set_queues(vec![queue(QUEUE, POOL)]);
        harness
    }

    /// The same, before it has received a configuration.
    pub(crate) fn unconfigured(number: u64) -> Harness {
        let now = Moment::from_start(ms(60_000));
        let shard = Shard::new(timings(), Term { fencing_token: number, number, since: now });
        Harness { shard, now, unix_ms: 0, servers: Vec::new() }
    }

    /// Creates a shard with servers of these names, each of which has answered a poll.
    pub(crate) fn with_servers(names: &[&str]) -> Harness {
        let mut harness = Harness::new(1);
        harness.set_servers(names);
        harness.decide();
        for name in names {
            harness.report(name, &[], &[]);
        }
        harness
    }

    pub(crate) fn set_servers(&mut self, names: &[&str]) {
        self.servers = names.iter().map(|name| server_info(name, POOL, name)).collect();
        self.shard.set_servers(self.now, self.servers.clone());
    }

    pub(crate) fn advance(&mut self, time: u64) {
        self.now = self.now + ms(time);
    }

    pub(crate) fn accepted_job(id: &str, steps: Vec<Step>) -> AcceptedJob {
        AcceptedJob {
            id: Id::new(id),
            queue: Arc::from(QUEUE),
            queue_settings: None,
            workspace: None,
            job: Arc::new(Job { spec: Arc::from("spec"), steps, schedule: None }),
            revision: Revision(7),
            age: Duration::ZERO,
            progress: Progress::default(),
            progress_revision: Revision::ABSENT,
        }
    }

    pub(crate) fn submit(&mut self, id: &str, steps: Vec<Step>) {
        self.shard.add_job(self.now, Harness::accepted_job(id, steps));
    }

    /// Decides once the next review is due; every write succeeds at once.
    pub(crate) fn decide(&mut self) -> Vec<Effect> {
        self.advance(REVIEW_MS);
        self.decide_confirmed(self.now)
    }

    /// Decides as a holder whose lease may have expired, because no renewal has been
    /// confirmed recently.
    pub(crate) fn decide_unconfirmed(&mut self) -> Vec<Effect> {
        self.advance(REVIEW_MS);
        self.decide_confirmed(self.now - UNCONFIRMED_TIME)
    }

    /// Decides while every write is unanswered.
    pub(crate) fn decide_unsaved(&mut self) -> Vec<Effect> {
        self.shard.decide(self.now, self.unix_ms, self.now)
    }

    fn decide_confirmed(&mut self, confirmed: Moment) -> Vec<Effect> {
        let mut effects = self.shard.decide(self.now, self.unix_ms, confirmed);
        let mut stored = batches(&effects);
        while let Some(batch) = stored.pop() {
            self.shard.handle_batch_saved(self.now, &batch);
            let next = self.shard.decide(self.now, self.unix_ms, confirmed);
            stored.extend(batches(&next));
            effects.extend(next);
        }
        effects
    }

    pub(crate) fn reading(&self) -> ClockReading {
        let elapsed = u64::try_from(self.now.since_start().as_millis()).unwrap_or_default();
        ClockReading { clock_ms: CLOCK_START_MS + elapsed, sent: self.now, received: self.now }
    }

    /// Lists the servers with this incarnation of one of them.
    pub(crate) fn list_incarnation(&mut self, name: &str, incarnation_ms: u64) {
        let mut servers = self.servers.clone();
        for info in servers.iter_mut().filter(|info| info.id == server(name)) {
            info.incarnation_ms = incarnation_ms;
        }
        self.shard.set_servers(self.now, servers);
    }

    /// Reports for the first incarnation of a server.
    pub(crate) fn report(
        &mut self,
        name: &str,
        running: &[(task::Id, task::RunId, u32)],
        finished: &[FinishedRun],
    ) {
        self.report_incarnation(name, 1, running, finished);
    }

    pub(crate) fn report_incarnation(
        &mut self,
        name: &str,
        incarnation_ms: u64,
        running: &[(task::Id, task::RunId, u32)],
        finished: &[FinishedRun],
    ) {
        let running = running
            .iter()
            .map(|(task, run, percent)| RunStatus {
                task: task.clone(),
                run: *run,
                checkpoint: Arc::from(""),
                percent: *percent,
                tail_ms: None,
            })
            .collect();
        let report = StatusReport {
            server: server(name),
            incarnation_ms: Some(incarnation_ms),
            clock: self.reading(),
            running,
            finished: finished.to_vec(),
            is_partial: false,
        };
        self.shard.handle_status_report(self.now, report);
    }

    /// Returns the destination of calls to an incarnation of a server.
    pub(crate) fn target(name: &str, incarnation_ms: u64) -> Target {
        let ServerInfo { id, address, .. } = server_info(name, POOL, name);
        Target { server: id, incarnation_ms, address, fencing_token: 1 }
    }

    /// Leaves a poll of the first incarnation of a server without an answer.
    pub(crate) fn fail_poll(&mut self, name: &str) {
        self.shard.handle_poll_failure(self.now, &Harness::target(name, 1));
    }

    /// Answers every start with success; returns the starts.
    pub(crate) fn confirm_starts(&mut self, effects: &[Effect]) -> Vec<(ServerId, Start)> {
        let started = starts(effects);
        let reading = self.reading();
        for (server, start) in &started {
            let answer = OrderResult::Done(reading);
            self.shard.handle_start_result(self.now, server, &start.task, start.run, answer);
        }
        started
    }
}

pub(crate) fn starts(effects: &[Effect]) -> Vec<(ServerId, Start)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Start { target, start } => Some((target.server.clone(), (**start).clone())),
            _ => None,
        })
        .collect()
}

pub(crate) fn stops(effects: &[Effect]) -> Vec<(ServerId, task::Id, task::RunId)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Stop { target, task, run } => Some((target.server.clone(), task.clone(), *run)),
            _ => None,
        })
        .collect()
}

pub(crate) fn batches(effects: &[Effect]) -> Vec<Batch> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Save(batch) => Some(batch.clone()),
            _ => None,
        })
        .collect()
}

pub(crate) fn finished_run(
    number: u64,
    task: task::Id,
    run: task::RunId,
    outcome: task::RunOutcome,
) -> FinishedRun {
    FinishedRun { number, task, run, outcome, checkpoint: Arc::from("") }
}

/// Creates a shard without hosts that the second holder has just taken.
pub(crate) fn taken_shard() -> Harness {
    let mut harness = Harness::new(2);
    harness.shard.set_hosts(harness.now, Vec::new());
    harness
}

/// A job with tasks that an earlier holder may have started on servers a and b.
pub(crate) fn earlier_job() -> AcceptedJob {
    let mut accepted = Harness::accepted_job("job", vec![step(2, 4)]);
    accepted.progress.servers = [Arc::from("a"), Arc::from("b")].into();
    accepted.progress_revision = Revision(8);
    accepted
}

/// The same job, with tasks that can only have been started on server a.
pub(crate) fn earlier_job_on_a() -> AcceptedJob {
    let mut accepted = earlier_job();
    accepted.progress.servers = [Arc::from("a")].into();
    accepted
}
