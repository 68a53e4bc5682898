//! Placement of waiting tasks on servers.

use std::{collections::BTreeSet, sync::Arc};

use skylarkwick_version::{moment::Moment, resources::Resources};

use super::{
    Shard,
    input::ServerId,
    occurrence::TaskState,
    quota,
    ranking::ReadyStep,
    server::{ActiveRun, Server, Stage},
};
use crate::job::{self, Step, progress::TaskPosition, task};

/// Cost of a server for a task; the server with the lowest cost is chosen. The
/// fields are compared in this order, false before true: the reasons against
/// the server, then least processor time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementCost {
    /// The task's last run failed or was lost here.
    is_avoided: bool,
    /// Best-effort and serving tasks would share the host.
    would_interfere: bool,
    /// The step prefers a rack, and the server is not in it.
    is_outside_preferred_rack: bool,
    /// The task is long-running, and a wave still has to maintain the host, so
    /// that the task would soon have to move again.
    is_maintenance_due: bool,
    /// A run has failed here, or the server has backed off, since its last run
    /// that succeeded.
    has_recent_failures: bool,
    /// Nothing runs here.
    is_idle: bool,
    /// Processor time that would stay free, in thousandths of a core.
    millicores_left: u64,
}

/// What the server of a task must satisfy: its pool, the resources, required
/// label and limit of tasks per host of the step, and optionally a set of
/// servers or a rack.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest<'a> {
    pub(super) now: Moment,
    pub(super) pool: &'a str,
    pub(super) step: &'a Step,
    /// Only these servers may be chosen; `None` allows all.
    pub(super) allowed_servers: Option<&'a BTreeSet<ServerId>>,
    /// Only servers with this label, normally a rack, may be chosen; `None`
    /// allows all.
    pub(super) rack: Option<&'a Arc<str>>,
}

impl Shard {
    /// Assigns the waiting tasks of a step one by one, until no server meets
    /// the request for the next; returns the number of tasks placed.
    pub(super) fn place_independent_tasks(
        &mut self,
        request: PlacementRequest<'_>,
        ready: &ReadyStep,
    ) -> usize {
        let mut placed = 0;
        for &index in &ready.tasks {
            let task = ready.task(index);
            let avoided = self.avoided_server(&task);
            let Some(server) = self.choose_server(request, &task, avoided.as_ref()) else {
                break;
            };
            let run = self.next_run_id();
            self.assign_run(request.now, &server, task, run, &ready.job);
            placed += 1;
        }
        placed
    }

    /// Assigns all members of a gang, tasks that make progress only while all
    /// of them run, under one run number; or none if a member is not waiting or
    /// finds no server. Returns the number of tasks placed. A step that prefers
    /// one rack is tried on each label of the pool first, then without that
    /// restriction.
    pub(super) fn place_gang(&mut self, request: PlacementRequest<'_>, ready: &ReadyStep) -> usize {
        let step = request.step;
        if ready.tasks.len() < usize::try_from(step.count).unwrap_or_default() {
            return 0;
        }
        let labels = match step.prefers_one_rack {
            true => self.labels(request.pool),
            false => Vec::new(),
        };
        let candidate_racks = labels.iter().map(Some).chain([None]);
        for rack in candidate_racks {
            if let Some(chosen) =
                self.choose_gang_servers(PlacementRequest { rack, ..request }, ready)
            {
                let run = self.next_run_id();
                for (&index, server) in ready.tasks.iter().zip(chosen) {
                    self.assign_run(request.now, &server, ready.task(index), run, &ready.job);
                }
                return ready.tasks.len();
            }
        }
        0
    }

    /// Chooses a server for each member of a gang, in the order of
    /// `ready.tasks`; `None` if any member finds none. Resources are reserved
    /// member by member and released before this returns. Servers on which a
    /// member has failed are not avoided.
    fn choose_gang_servers(
        &mut self,
        request: PlacementRequest<'_>,
        ready: &ReadyStep,
    ) -> Option<Vec<ServerId>> {
        let mut chosen = Vec::with_capacity(ready.tasks.len());
        for &index in &ready.tasks {
            let task = ready.task(index);
            let Some(server) = self.choose_server(request, &task, None) else {
                break;
            };
            let (run, step) = (task::RunId::default(), Some(request.step));
            let active_run = ActiveRun::new(run, Stage::Planned, step, request.now);
            if let Some(server) = self.servers.get_mut(&server) {
                server.add(task, active_run);
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

    /// Returns all labels of a pool's servers, sorted and without duplicates;
    /// the racks are among them.
    fn labels(&self, pool: &str) -> Vec<Arc<str>> {
        let mut labels: Vec<Arc<str>> = self
            .servers
            .values()
            .filter(|server| &*server.info.pool == pool)
            .flat_map(|server| server.info.labels.iter().cloned())
            .collect();
        labels.sort();
        labels.dedup();
        labels
    }

    /// Chooses the server with the lowest cost that meets the request and has
    /// no run of the task; `None` if there is none. It is normally the fullest
    /// with enough resources, so that other hosts stay empty for large tasks,
    /// moves and maintenance. `avoided` is chosen only if no other server fits.
    pub(super) fn choose_server(
        &self,
        request: PlacementRequest<'_>,
        task: &task::Id,
        avoided: Option<&ServerId>,
    ) -> Option<ServerId> {
        let PlacementRequest { now, pool, step, allowed_servers, rack } = request;
        let required = step.reservation().resources();
        let has_namesake = self.namesakes.contains(&task.job);
        self.servers
            .values()
            .filter(|server| required.fits_within(&server.available()))
            .filter(|server| &*server.info.pool == pool && self.is_usable(now, server))
            .filter(|server| !has_namesake || !self.has_namesake_tasks(server, &task.job))
            .filter(|server| {
                allowed_servers.is_none_or(|allowed_servers| allowed_servers.contains(server.id()))
            })
            .filter(|server| {
                server.has_label(step.required_label.as_ref()) && server.has_label(rack)
            })
            .filter(|server| !server.runs.contains_key(task))
            .filter(|server| {
                step.max_per_host == 0 || count_siblings(server, task) < step.max_per_host
            })
            .map(|server| {
                let remaining = server.available() - required;
                (self.cost(server, step, avoided, remaining), server)
            })
            .min_by(|(left, _), (right, _)| left.cmp(right))
            .map(|(_, server)| server.id().clone())
    }

    /// Returns whether any usable server of the pool has the required label and
    /// enough resources, whatever else the request demands.
    pub(super) fn has_room(&self, request: PlacementRequest<'_>) -> bool {
        self.servers_with_room(request).next().is_some()
    }

    /// Returns the usable servers of the pool that have the required label and enough resources.
    pub(super) fn servers_with_room(
        &self,
        request: PlacementRequest<'_>,
    ) -> impl Iterator<Item = &Server> {
        let required = request.step.reservation().resources();
        self.labelled_servers(request)
            .filter(move |server| required.fits_within(&server.available()))
    }

    /// Returns whether any usable server of the pool has the required label.
    pub(super) fn has_labelled(&self, request: PlacementRequest<'_>) -> bool {
        self.labelled_servers(request).next().is_some()
    }

    /// Returns the usable servers of the pool that have the required label.
    fn labelled_servers(&self, request: PlacementRequest<'_>) -> impl Iterator<Item = &Server> {
        let PlacementRequest { now, pool, step, .. } = request;
        self.servers
            .values()
            .filter(move |server| server.has_label(step.required_label.as_ref()))
            .filter(move |server| &*server.info.pool == pool && self.is_usable(now, server))
    }

    /// Returns whether a server may get new work: it accepts work itself, and
    /// its host neither drains nor has an order, except a completed move to the
    /// server's pool.
    pub(super) fn is_usable(&self, now: Moment, server: &Server) -> bool {
        server.accepts_work(now) && !self.fleet.is_cordoned(server)
    }

    /// Returns the cost of a server for a task of this step; `remaining` are
    /// the resources that would stay free.
    fn cost(
        &self,
        server: &Server,
        step: &Step,
        avoided: Option<&ServerId>,
        remaining: Resources,
    ) -> PlacementCost {
        PlacementCost {
            is_avoided: avoided == Some(server.id()),
            would_interfere: Shard::would_interfere(server, step),
            is_outside_preferred_rack: step.preferred_rack.is_some()
                && !server.has_label(step.preferred_rack.as_ref()),
            is_maintenance_due: step.is_long_running && self.fleet.is_maintenance_due(server),
            has_recent_failures: server.health.has_recent_failures(),
            is_idle: server.runs.is_empty(),
            millicores_left: remaining.millicores,
        }
    }

    /// Returns the server on which a run of the task last failed or was given
    /// up with the server; `None` if this holder knows of none or the task is
    /// unknown. A run that was stopped does not change it.
    fn avoided_server(&self, task: &task::Id) -> Option<ServerId> {
        self.jobs.get(&task.job)?.touched(TaskPosition::of(task))?.avoided_server.clone()
    }

    /// Returns a run number above those of all runs that this holder or an
    /// earlier one has started.
    fn next_run_id(&mut self) -> task::RunId {
        let run = self.next_run;
        self.next_run = run.next();
        run
    }

    /// Assigns a task to a server: plans a run there and reserves its
    /// resources. The start is sent at once if the server is recorded with the
    /// job and the step is no gang; otherwise it waits for the next write of
    /// the job. Does nothing if the job is unknown.
    fn assign_run(
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
        // Starts of a gang are sent together, once all its servers are
        // recorded.
        let is_gang = job.steps.get(task.step).is_some_and(|step| step.is_gang);
        let charge = quota::charge(Some(active), job.steps.get(task.step));
        let may_start = active.recorded_servers.contains(id) && !is_gang;
        if let Some(task) = active.task_mut(TaskPosition::of(&task)) {
            task.state = TaskState::Assigned(id.clone());
        }
        if let Some(server) = self.servers.get_mut(id) {
            let active_run =
                ActiveRun::new(run, Stage::Planned, job.steps.get(task.step), now).charged(charge);
            server.add(task.clone(), active_run);
        }
        match may_start {
            true => self.send_start(now, id, &task),
            false => {
                self.unsaved_jobs.insert(task.job);
            }
        }
    }
}

impl ReadyStep {
    /// Returns the id of the step's task with this index, without a check that
    /// there is one.
    fn task(&self, index: usize) -> task::Id {
        let (job, occurrence, step) = (self.job_id.clone(), self.occurrence, self.step);
        task::Id { job, occurrence, step, index }
    }
}

/// Counts the runs on a server that belong to the same step and occurrence as
/// `task`, including its own.
fn count_siblings(server: &Server, task: &task::Id) -> u32 {
    let first = task::Id { index: 0, ..task.clone() };
    let last = task::Id { index: usize::MAX, ..task.clone() };
    u32::try_from(server.runs.range(first..=last).count()).unwrap_or(u32::MAX)
}
