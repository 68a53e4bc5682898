//! The choice of servers for waiting tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use skylarkwick_version::{moment::Moment, resources::Resources};

use super::{
    Shard,
    active::Phase,
    effect::{Effect, Start},
    input::ServerId,
    ranking::Ready,
    server::{Server, Stage, Use},
};
use crate::job::{self, Step, progress::TaskPosition, task};

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

/// A search for the server of a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Search<'a> {
    pub(super) now: Moment,
    pub(super) pool: &'a str,
    pub(super) step: &'a Step,
    /// The only servers that may be chosen, where not all may.
    pub(super) among: Option<&'a BTreeSet<ServerId>>,
    /// The only rack that may be chosen, where not all may.
    pub(super) rack: Option<&'a Arc<str>>,
}

impl Shard {
    /// Gives waiting tasks to servers with room, and counts what found none.
    ///
    /// A holder that is not `is_certain` to hold the shard uses only servers that
    /// are stored with the job.
    pub(super) fn place(&mut self, now: Moment, is_certain: bool) {
        self.fleet.unmet.clear();
        let mut full: BTreeMap<Arc<str>, Vec<Resources>> = BTreeMap::new();
        for ready in self.ready(now) {
            let Some((pool, job)) = self.pool_and_job(&ready.job) else {
                continue;
            };
            let step = &job.steps[ready.step];
            let size = step.reserved_resources();
            let known_full = full.entry(Arc::clone(&pool)).or_default();
            let is_plain = step.required_label.is_none() && step.max_per_host == 0;
            let noted = match is_certain {
                true => None,
                false => self.jobs.get(&ready.job).map(|active| active.noted.clone()),
            };
            let search = Search { now, pool: &pool, step, among: noted.as_ref(), rack: None };
            let placed = match () {
                () if is_plain && known_full.iter().any(|full| full.fits_within(&size)) => 0,
                () if step.is_gang => self.place_gang(search, &job, &ready),
                () => self.place_each(search, &job, &ready),
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
        let lacking = step.resources.millicores.max(1).saturating_mul(tasks);
        let unmet = self.fleet.unmet.entry(Arc::clone(pool)).or_default();
        *unmet = (*unmet + lacking).min(MOST_UNMET_MILLICORES);
    }

    fn place_each(&mut self, search: Search<'_>, job: &Arc<job::Job>, ready: &Ready) -> usize {
        let mut placed = 0;
        for &index in &ready.tasks {
            let task = ready.task(index);
            let avoid = self.avoided(&task);
            let Some(server) = self.choose(search, &task, avoid.as_ref()) else {
                break;
            };
            let run = self.take_run();
            self.start(search.now, &server, task, run, job);
            placed += 1;
        }
        placed
    }

    /// Starts all members of a gang, or none.
    fn place_gang(&mut self, search: Search<'_>, job: &Arc<job::Job>, ready: &Ready) -> usize {
        let step = search.step;
        if ready.tasks.len() < usize::try_from(step.count).unwrap_or_default() {
            return 0;
        }
        let racks = match step.prefers_one_rack {
            true => self.racks(search.pool),
            false => Vec::new(),
        };
        let tries = racks.iter().map(Some).chain([None]);
        for rack in tries {
            if let Some(chosen) = self.choose_gang(Search { rack, ..search }, ready) {
                let run = self.take_run();
                for (&index, server) in ready.tasks.iter().zip(chosen) {
                    self.start(search.now, &server, ready.task(index), run, job);
                }
                return ready.tasks.len();
            }
        }
        0
    }

    /// Chooses servers for all members of a gang by taking their room for a
    /// moment; the room is given back before this returns.
    fn choose_gang(&mut self, search: Search<'_>, ready: &Ready) -> Option<Vec<ServerId>> {
        let mut chosen = Vec::with_capacity(ready.tasks.len());
        for &index in &ready.tasks {
            let task = ready.task(index);
            let Some(server) = self.choose(search, &task, None) else {
                break;
            };
            let (run, step) = (task::RunId::default(), Some(search.step));
            let taken = Use::new(run, Stage::Planned, step, search.now);
            if let Some(server) = self.servers.get_mut(&server) {
                server.add(task, taken);
            }
            chosen.push(server);
        }
        for (&index, server) in ready.tasks.iter().zip(&chosen) {
            if let Some(server) = self.servers.get_mut(server) {
                server.remove(&ready.task(index));
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
        search: Search<'_>,
        task: &task::Id,
        avoid: Option<&ServerId>,
    ) -> Option<ServerId> {
        let Search { now, pool, step, among, rack } = search;
        let size = step.reserved_resources();
        self.servers
            .values()
            .filter(|server| &*server.listing.pool == pool && self.is_usable(now, server))
            .filter(|server| among.is_none_or(|among| among.contains(server.id())))
            .filter(|server| {
                server.has_label(step.required_label.as_ref()) && server.has_label(rack)
            })
            .filter(|server| !server.runs.contains_key(task))
            .filter(|server| step.max_per_host == 0 || siblings(server, task) < step.max_per_host)
            .filter_map(|server| {
                let room = server.room();
                size.fits_within(&room)
                    .then(|| (self.cost(server, step, avoid, room - size), server))
            })
            .min_by(|(left, _), (right, _)| left.cmp(right))
            .map(|(_, server)| server.id().clone())
    }

    /// Tells whether a server may get new work.
    pub(super) fn is_usable(&self, now: Moment, server: &Server) -> bool {
        server.takes_work(now) && !self.fleet.is_reserved(server)
    }

    fn cost(
        &self,
        server: &Server,
        step: &Step,
        avoid: Option<&ServerId>,
        left: Resources,
    ) -> Cost {
        Cost {
            is_avoided: avoid == Some(server.id()),
            shares_with_serving: Shard::would_disturb(server, step),
            is_far: step.preferred_rack.is_some()
                && !server.has_label(step.preferred_rack.as_ref()),
            is_due: step.is_long_running && self.fleet.is_due(server),
            is_suspect: server.is_suspect(),
            is_idle: server.runs.is_empty(),
            room_left: left.millicores,
        }
    }

    fn avoided(&self, task: &task::Id) -> Option<ServerId> {
        self.jobs.get(&task.job)?.task(TaskPosition::of(task))?.avoid.clone()
    }

    fn take_run(&mut self) -> task::RunId {
        let run = self.next_run;
        self.next_run = run.next();
        run
    }

    /// Takes the room for a run; it is told to start once its server is stored
    /// with the job.
    fn start(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: task::Id,
        run: task::RunId,
        job: &Arc<job::Job>,
    ) {
        let Some(active) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // The members of a gang are told together, once all their servers are stored.
        let is_gang = job.steps.get(task.step).is_some_and(|step| step.is_gang);
        let may_start = active.noted.contains(id) && !is_gang;
        if let Some(known) = active.task_mut(TaskPosition::of(&task)) {
            known.phase = Phase::On(id.clone());
        }
        if let Some(server) = self.servers.get_mut(id) {
            let taken = Use::new(run, Stage::Planned, job.steps.get(task.step), now);
            server.add(task.clone(), taken);
        }
        match may_start {
            true => self.send_start(now, id, &task),
            false => {
                self.dirty.insert(task.job);
            }
        }
    }

    /// Tells the servers that are stored with a job to start what is planned,
    /// unless it has become known that an earlier holder may have started it.
    pub(super) fn send_planned(&mut self, now: Moment, id: &job::Id) {
        let Some(active) = self.jobs.get(id) else {
            return;
        };
        if !self.is_free_of_doubt(now, active) {
            self.unplan(|task| task.job == *id);
            return;
        }
        let planned = active.runs().into_iter().filter(|(server, task)| {
            active.noted.contains(server) && self.is_planned(server, task)
        });
        let planned: Vec<(ServerId, task::Id)> = planned.collect();
        if !self.can_start_whole(now, active, &planned) {
            self.unplan(|task| task.job == *id);
            return;
        }
        for (server, task) in planned {
            self.send_start(now, &server, &task);
        }
    }

    fn is_planned(&self, id: &ServerId, task: &task::Id) -> bool {
        let taken = self.servers.get(id).and_then(|server| server.runs.get(task));
        taken.is_some_and(|taken| taken.stage == Stage::Planned)
    }

    /// Tells a server to start a run that is planned, if it still takes work.
    fn send_start(&mut self, now: Moment, id: &ServerId, task: &task::Id) {
        let is_usable = self.servers.get(id).is_some_and(|server| self.is_usable(now, server));
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let until_ms = server.until_ms(now, self.timings.start_window).filter(|_| is_usable);
        let target = server.target(self.term.fencing_token);
        let Some(taken) = server.runs.get_mut(task).filter(|taken| taken.stage == Stage::Planned)
        else {
            return;
        };
        let run = taken.run;
        let Some(until_ms) = until_ms else {
            self.release(id, task, run, false);
            return;
        };
        taken.stage = Stage::Starting;
        taken.since = now;
        taken.until_ms = until_ms;
        server.lease_until_ms = server.lease_until_ms.max(until_ms);
        let Some(active) = self.jobs.get(&task.job) else {
            return;
        };
        let note = active.task(TaskPosition::of(task)).map(|known| &known.note);
        let checkpoint = note.map(|note| Arc::clone(&note.checkpoint)).unwrap_or_default();
        let spec = Arc::clone(&active.job.spec);
        let start = Start { task: task.clone(), run, spec, until_ms, checkpoint };
        self.effects.push(Effect::Start { target, start: Box::new(start) });
    }

    /// Gives up what is planned and was not told to start.
    pub(super) fn unplan(&mut self, is_meant: impl Fn(&task::Id) -> bool) {
        let mut planned: Vec<(ServerId, task::Id, task::RunId)> = Vec::new();
        for server in self.servers.values() {
            let runs = server.runs.iter().filter(|(_, taken)| taken.stage == Stage::Planned);
            let runs = runs.filter(|(task, _)| is_meant(task));
            planned
                .extend(runs.map(|(task, taken)| (server.id().clone(), task.clone(), taken.run)));
        }
        for (server, task, run) in planned {
            self.release(&server, &task, run, false);
        }
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
