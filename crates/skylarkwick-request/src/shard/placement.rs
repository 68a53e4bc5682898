//! The choice of servers for waiting tasks.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::{moment::Moment, quantity::Quantity};

use super::{
    Shard,
    active::Phase,
    effect::{Effect, Start},
    fact::ServerId,
    order::Ready,
    server::{Server, Stage, Use},
};
use crate::job::{self, Step, progress::Place, task};

/// Shortfall of a pool beyond which no further steps are counted; a pool never
/// gets that many hosts at once.
const MOST_UNMET_MILLICORES: u64 = 4_000_000;

/// Preference among servers with room; the lowest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    is_avoided: bool,
    shares_with_serving: bool,
    is_far: bool,
    /// A lasting task would have to leave again.
    is_due: bool,
    is_suspect: bool,
    is_idle: bool,
    room_left: u64,
}

impl Shard {
    /// Gives waiting tasks to servers with room, and counts what found none.
    pub(super) fn place(&mut self, now: Moment) {
        self.fleet.unmet.clear();
        let mut full: BTreeMap<Arc<str>, Vec<Quantity>> = BTreeMap::new();
        for ready in self.ready(now) {
            let Some((pool, job)) = self.pool_and_job(&ready.job) else {
                continue;
            };
            let step = &job.steps[ready.step];
            let size = step.taken();
            let known_full = full.entry(Arc::clone(&pool)).or_default();
            let is_plain = step.label.is_none() && step.most_per_host == 0;
            let placed = match () {
                () if is_plain && known_full.iter().any(|full| full.fits(&size)) => 0,
                () if step.is_gang => self.place_gang(now, &pool, &job, step, &ready),
                () => self.place_each(now, &pool, &job, step, &ready),
            };
            let left = ready.tasks.len() - placed;
            if left > 0 {
                if is_plain && !step.is_gang {
                    full.entry(Arc::clone(&pool)).or_default().push(size);
                }
                self.count_unmet(&pool, step, left);
            }
        }
    }

    fn pool_and_job(&self, id: &job::Id) -> Option<(Arc<str>, Arc<job::Job>)> {
        let active = self.jobs.get(id)?;
        let queue = self.queues.get(&active.queue)?;
        Some((Arc::clone(&queue.pool), Arc::clone(&active.job)))
    }

    fn count_unmet(&mut self, pool: &Arc<str>, step: &Step, tasks: usize) {
        let tasks = u64::try_from(tasks).unwrap_or(u64::MAX);
        let lacking = step.size.millicores.max(1).saturating_mul(tasks);
        let unmet = self.fleet.unmet.entry(Arc::clone(pool)).or_default();
        *unmet = (*unmet + lacking).min(MOST_UNMET_MILLICORES);
    }

    fn place_each(
        &mut self,
        now: Moment,
        pool: &str,
        job: &Arc<job::Job>,
        step: &Step,
        ready: &Ready,
    ) -> usize {
        let mut placed = 0;
        for &index in &ready.tasks {
            let task = ready.task(index);
            let avoid = self.avoided(&task);
            let Some(server) = self.choose(now, pool, step, &task, avoid.as_ref(), None) else {
                break;
            };
            let run = self.take_run();
            self.start(now, &server, task, run, job, step);
            placed += 1;
        }
        placed
    }

    /// Starts all members of a gang, or none.
    fn place_gang(
        &mut self,
        now: Moment,
        pool: &str,
        job: &Arc<job::Job>,
        step: &Step,
        ready: &Ready,
    ) -> usize {
        if ready.tasks.len() < usize::try_from(step.count).unwrap_or_default() {
            return 0;
        }
        let racks = match step.wants_one_rack {
            true => self.racks(pool),
            false => Vec::new(),
        };
        let tries = racks.iter().map(Some).chain([None]);
        for rack in tries {
            if let Some(chosen) = self.choose_gang(now, pool, step, ready, rack) {
                let run = self.take_run();
                for (&index, server) in ready.tasks.iter().zip(chosen) {
                    self.start(now, &server, ready.task(index), run, job, step);
                }
                return ready.tasks.len();
            }
        }
        0
    }

    /// Chooses servers for all members of a gang by taking their room for a
    /// moment; the room is given back before this returns.
    fn choose_gang(
        &mut self,
        now: Moment,
        pool: &str,
        step: &Step,
        ready: &Ready,
        rack: Option<&Arc<str>>,
    ) -> Option<Vec<ServerId>> {
        let mut chosen = Vec::with_capacity(ready.tasks.len());
        for &index in &ready.tasks {
            let task = ready.task(index);
            let Some(server) = self.choose(now, pool, step, &task, None, rack) else {
                break;
            };
            let taken = Use::new(task::Run::default(), Stage::Starting, step.taken(), now);
            if let Some(server) = self.servers.get_mut(&server) {
                server.runs.insert(task, taken);
            }
            chosen.push(server);
        }
        for (&index, server) in ready.tasks.iter().zip(&chosen) {
            if let Some(server) = self.servers.get_mut(server) {
                server.runs.remove(&ready.task(index));
            }
        }
        (chosen.len() == ready.tasks.len()).then_some(chosen)
    }

    fn racks(&self, pool: &str) -> Vec<Arc<str>> {
        let mut racks: Vec<Arc<str>> = self
            .servers
            .values()
            .filter(|server| &*server.listing.pool == pool)
            .flat_map(|server| server.listing.labels.iter().cloned())
            .collect();
        racks.sort();
        racks.dedup();
        racks
    }

    /// Chooses the server for a task: the fullest that has room, so that other
    /// hosts stay empty for large tasks, moves and maintenance.
    pub(super) fn choose(
        &self,
        now: Moment,
        pool: &str,
        step: &Step,
        task: &task::Id,
        avoid: Option<&ServerId>,
        rack: Option<&Arc<str>>,
    ) -> Option<ServerId> {
        let size = step.taken();
        self.servers
            .values()
            .filter(|server| &*server.listing.pool == pool && server.takes_work(now))
            .filter(|server| !self.fleet.is_reserved(server))
            .filter(|server| server.has_label(step.label.as_ref()) && server.has_label(rack))
            .filter(|server| !server.runs.contains_key(task))
            .filter(|server| step.most_per_host == 0 || siblings(server, task) < step.most_per_host)
            .filter_map(|server| {
                let room = server.room();
                size.fits(&room).then(|| (self.cost(server, step, avoid, room - size), server))
            })
            .min_by(|(left, _), (right, _)| left.cmp(right))
            .map(|(_, server)| server.id().clone())
    }

    fn cost(&self, server: &Server, step: &Step, avoid: Option<&ServerId>, left: Quantity) -> Cost {
        Cost {
            is_avoided: avoid == Some(server.id()),
            shares_with_serving: self.would_disturb(server, step),
            is_far: step.rack.is_some() && !server.has_label(step.rack.as_ref()),
            is_due: step.is_lasting && self.fleet.is_due(server),
            is_suspect: server.is_suspect(),
            is_idle: server.runs.is_empty(),
            room_left: left.millicores,
        }
    }

    fn avoided(&self, task: &task::Id) -> Option<ServerId> {
        let place = Place { occurrence: task.occurrence, step: task.step, index: task.index };
        self.jobs.get(&task.job)?.task(place)?.avoid.clone()
    }

    fn take_run(&mut self) -> task::Run {
        let run = self.next_run;
        self.next_run = run.next();
        run
    }

    fn start(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: task::Id,
        run: task::Run,
        job: &Arc<job::Job>,
        step: &Step,
    ) {
        let window = self.rules.start_window;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let Some(until_ms) = server.until_ms(now, window) else {
            return;
        };
        let place = Place { occurrence: task.occurrence, step: task.step, index: task.index };
        let active = self.jobs.get_mut(&task.job);
        let Some(known) = active.and_then(|active| active.task_mut(place)) else {
            return;
        };
        let mut taken = Use::new(run, Stage::Starting, step.taken(), now);
        taken.until_ms = until_ms;
        server.lease_until_ms = server.lease_until_ms.max(until_ms);
        server.runs.insert(task.clone(), taken);
        known.phase = Phase::On(id.clone());
        let start = Start {
            task,
            run,
            spec: Arc::clone(&job.spec),
            until_ms,
            checkpoint: Arc::clone(&known.note.checkpoint),
        };
        let target = server.target(self.term.fencing);
        self.effects.push(Effect::Start { target, start: Box::new(start) });
    }
}

impl Ready {
    fn task(&self, index: usize) -> task::Id {
        let (job, occurrence, step) = (self.job.clone(), self.occurrence, self.step);
        task::Id { job, occurrence, step, index }
    }
}

/// Counts the tasks of the same step and occurrence on a server.
fn siblings(server: &Server, task: &task::Id) -> u32 {
    let first = task::Id { index: 0, ..task.clone() };
    let last = task::Id { index: usize::MAX, ..task.clone() };
    u32::try_from(server.runs.range(first..=last).count()).unwrap_or(u32::MAX)
}
