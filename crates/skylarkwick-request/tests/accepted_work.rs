//! Whatever was accepted and has room begins soon, runs once, and takes little memory: a property
//! over generated jobs of two queues that share identifiers, with schedules, wide steps and tasks
//! that last, and changes of the holder in between.

mod harness;

use std::{
    alloc::System,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use cap::Cap;
use harness::{Harness, POOL, QUEUE, finished_run, ms, queue, step};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkwick_request::{
    job::{
        Id, Job, Key, Schedule, Step,
        progress::Progress,
        ranges::Ranges,
        task::{self, RunId, RunOutcome},
    },
    shard::{
        effect::{Change, Effect},
        input::{AcceptedJob, FinishedRun, OrderResult},
    },
};
use skylarkwick_version::{resources::Resources, revision::Revision};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Memory of a machine of the users' first site, in bytes.
const MACHINE_BYTES: usize = 260 << 20;
/// Part of it that a case may take: it has at most this many jobs in ten.
const MOST_BYTES: usize = MACHINE_BYTES / 10;
const MAX_JOBS: usize = 10;
const SERVERS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const OTHER: &str = "other";
/// Few identifiers, so that two queues share them.
const IDS: [&str; 5] = ["one", "two", "three", "four", "five"];
/// Time of day, in Unix milliseconds.
const TODAY_MS: u64 = 1_796_000_000_000;
/// Decisions of one holder within which what has room begins.
const DECISIONS: usize = 40;

/// A job of one step, or of two of which the second follows the first.
#[derive(Clone, Debug)]
struct Work {
    queue: &'static str,
    id: &'static str,
    tasks: u32,
    has_second_step: bool,
    is_long_running: bool,
    /// Occurrences and the time between them in milliseconds, all in the past.
    schedule: Option<(u32, u64)>,
}

impl Arbitrary for Work {
    fn arbitrary(g: &mut Gen) -> Work {
        let one_in = |g: &mut Gen, n: u8| u8::arbitrary(g) % n == 0;
        let is_long_running = one_in(g, 4);
        let tasks = if is_long_running { &[1, 3][..] } else { &[1, 3, 40, 300] };
        let schedules = [(1, 0), (60, 0), (3_000, 1_000), (100_000, 3_600_000)];
        let is_scheduled = !is_long_running && one_in(g, 2);
        Work {
            queue: g.choose(&[QUEUE, OTHER]).expect("a queue"),
            id: g.choose(&IDS).expect("an identifier"),
            tasks: *g.choose(tasks).expect("a number"),
            has_second_step: one_in(g, 3),
            is_long_running,
            schedule: is_scheduled.then(|| *g.choose(&schedules).expect("a schedule")),
        }
    }
}

impl Work {
    fn key(&self) -> Key {
        Key::new(Arc::from(self.queue), Id::new(self.id))
    }

    /// The specification of the tasks names the queue, which the names of tasks don't.
    fn accepted(&self) -> AcceptedJob {
        let resources = Resources { millicores: 50, memory_mib: 1, accelerators: 0 };
        let is_long_running = self.is_long_running;
        let first = Step { resources, is_long_running, ..step(self.tasks, 1) };
        let second = Step { resources, depends_on: vec![0], ..step(2, 1) };
        let steps = if self.has_second_step { vec![first, second] } else { vec![first] };
        let schedule = self.schedule.map(|(count, interval)| Schedule {
            count,
            first_ms: 0,
            interval: ms(interval),
        });
        let job = Arc::new(Job { spec: Arc::from(self.queue), steps, schedule });
        let queue = Arc::from(self.queue);
        AcceptedJob { queue, job, ..Harness::accepted_job(self.id, Vec::new()) }
    }
}

#[derive(Clone, Debug)]
struct Case {
    /// Jobs that come before each change of the holder.
    terms: Vec<Vec<Work>>,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let mut seen = BTreeSet::new();
        let terms = 1 + usize::arbitrary(g) % 3;
        let mut term = |g: &mut Gen| {
            let works = (0..usize::arbitrary(g) % 5).map(|_| Work::arbitrary(g));
            works.filter(|work| seen.insert(work.key()) && seen.len() <= MAX_JOBS).collect()
        };
        Case { terms: (0..terms).map(|_| term(g)).collect() }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Case>> {
        Box::new(self.terms.shrink().map(|terms| Case { terms }))
    }
}

/// A step of an occurrence of a job: its queue, identifier, occurrence and number.
type StepKey = (String, Id, u32, usize);

/// Returns the step of a task, and the task's number there.
fn place(queue: &str, task: &task::Id) -> (StepKey, u32) {
    let index = u32::try_from(task.index).expect("a number");
    ((queue.to_owned(), task.job.clone(), task.occurrence, task.step), index)
}

/// The holder in office, the servers, and what is stored.
struct World {
    harness: Harness,
    term: u64,
    accepted: BTreeMap<Key, AcceptedJob>,
    begun: BTreeSet<Key>,
    ended: BTreeSet<Id>,
    /// Runs by server, each with the queue of its job.
    running: BTreeMap<(String, task::Id), (RunId, String)>,
    /// Ends that are not acknowledged, by server, and the number of the last one.
    ends: BTreeMap<String, (u64, Vec<FinishedRun>)>,
    /// Tasks that are done, as ranges, so that they don't count for what the shard keeps.
    done: BTreeMap<StepKey, Ranges>,
    lasting: BTreeSet<Key>,
}

impl World {
    fn new() -> World {
        World {
            harness: holder(1),
            term: 1,
            accepted: BTreeMap::new(),
            begun: BTreeSet::new(),
            ended: BTreeSet::new(),
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            done: BTreeMap::new(),
            lasting: BTreeSet::new(),
        }
    }

    fn submit(&mut self, work: &Work) {
        let accepted = work.accepted();
        if work.is_long_running {
            self.lasting.insert(work.key());
        }
        self.accepted.insert(work.key(), accepted.clone());
        self.harness.shard.add_job(self.harness.now, accepted);
    }

    /// Decides, carries out the effects, ends all finite tasks and reports.
    fn advance(&mut self) -> Result<(), String> {
        for effect in self.harness.decide() {
            match effect {
                Effect::Save(batch) => {
                    for update in batch.updates {
                        self.store(update.key, update.change);
                    }
                }
                Effect::Start { target, start } => {
                    let name = target.server.to_string();
                    let wire: task::Id = start.task.to_string().parse().expect("a name");
                    let queue = start.spec.to_string();
                    let (step, index) = place(&queue, &wire);
                    if self.done.get(&step).is_some_and(|done| done.contains(index)) {
                        return Err(format!("{queue} {wire} runs again"));
                    }
                    self.begun.insert(Key::new(Arc::from(&*queue), wire.job.clone()));
                    if self.running.insert((name, wire), (start.run, queue)).is_some() {
                        return Err(format!("{} of two jobs on {}", start.task, target.server));
                    }
                    let answer = OrderResult::Done(self.harness.reading());
                    let (now, server) = (self.harness.now, &target.server);
                    let shard = &mut self.harness.shard;
                    shard.handle_start_result(now, server, &start.task, start.run, answer);
                }
                Effect::Poll { target, acknowledged, .. } => {
                    let (_, ends) = self.ends.entry(target.server.to_string()).or_default();
                    ends.retain(|end| end.number > acknowledged);
                }
                Effect::Stop { task, .. } => return Err(format!("{task} is stopped")),
                _ => {}
            }
        }
        self.end_finite_tasks();
        self.report_all();
        Ok(())
    }

    fn store(&mut self, key: Key, change: Change) {
        match change {
            Change::Progress(progress) => {
                if let Some(accepted) = self.accepted.get_mut(&key) {
                    accepted.progress = progress;
                    accepted.progress_revision = Revision(8);
                }
            }
            Change::Finished(_) => {
                self.accepted.remove(&key);
                self.ended.insert(key.id().clone());
            }
        }
    }

    fn end_finite_tasks(&mut self) {
        let lasting = &self.lasting;
        let is_finite = |(_, task): &(String, task::Id), (_, queue): &mut (RunId, String)| {
            let key = Key::new(Arc::from(&**queue), task.job.clone());
            !lasting.contains(&key) || task.step > 0
        };
        let over: Vec<_> = self.running.extract_if(.., is_finite).collect();
        for ((server, task), (run, queue)) in over {
            let (last, ends) = self.ends.entry(server).or_default();
            *last += 1;
            ends.push(finished_run(*last, task.clone(), run, RunOutcome::Done));
            let (step, index) = place(&queue, &task);
            self.done.entry(step).or_default().insert(index);
        }
    }

    fn report_all(&mut self) {
        for name in SERVERS {
            let on_server = self.running.iter().filter(|((server, _), _)| server == name);
            let running: Vec<(task::Id, RunId, u32)> =
                on_server.map(|((_, task), (run, _))| (task.clone(), *run, 100)).collect();
            let ends = self.ends.get(name).map(|(_, ends)| ends.clone()).unwrap_or_default();
            self.harness.report(name, &running, &ends);
        }
    }

    /// Another holder takes the shard and loads what is stored, the jobs that have begun first.
    fn take_over(&mut self) {
        self.term += 1;
        let unix_ms = self.harness.unix_ms;
        self.harness = Harness { unix_ms, ..holder(self.term) };
        let mut jobs: Vec<AcceptedJob> = self.accepted.values().cloned().collect();
        jobs.sort_by_key(|accepted| accepted.progress == Progress::default());
        for accepted in jobs {
            if self.ended.contains(&accepted.id) {
                self.harness.shard.expect_namesake(&accepted.id);
            }
            self.harness.shard.add_job(self.harness.now, accepted);
        }
        self.report_all();
    }
}

/// Creates a shard that the `number`th holder has taken, with all servers listed.
fn holder(number: u64) -> Harness {
    let mut harness = Harness::new(number);
    harness.unix_ms = TODAY_MS;
    harness.shard.set_queues(vec![queue(QUEUE, POOL), queue(OTHER, POOL)]);
    harness.set_servers(&SERVERS);
    harness
}

fn holds(case: &Case) -> Result<(), String> {
    let before = ALLOCATOR.allocated();
    let mut world = World::new();
    for (number, works) in case.terms.iter().enumerate() {
        if number > 0 {
            world.take_over();
        }
        works.iter().for_each(|work| world.submit(work));
        for _ in 0..DECISIONS {
            world.advance()?;
            let bytes = ALLOCATOR.allocated().saturating_sub(before);
            if bytes > MOST_BYTES {
                return Err(format!("{bytes} bytes are kept"));
            }
        }
        let waiting: Vec<&Key> =
            world.accepted.keys().filter(|key| !world.begun.contains(key)).collect();
        if !waiting.is_empty() {
            return Err(format!("{waiting:?} have not begun"));
        }
    }
    Ok(())
}

/// The seed in CI; by hand others run with more cases, see docs/PROOF.md.
#[test]
fn accepted_work_begins() {
    fn property(case: Case) -> Result<bool, String> {
        holds(&case).map(|()| true)
    }
    let seed = std::env::var("ACCEPTED_WORK_SEED").ok().and_then(|seed| seed.parse().ok());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, seed.unwrap_or(59)))
        .tests(30)
        .quickcheck(property as fn(Case) -> Result<bool, String>);
}
