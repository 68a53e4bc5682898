//! Search for the tasks and jobs without a run.

use std::sync::Arc;

use skylarkwick_version::moment::Moment;

use super::{
    super::{
        Shard,
        active::ActiveJob,
        input::Queue,
        occurrence::{Occurrence, StepTasks, TaskState},
        placement::PlacementRequest,
        server::{ActiveRun, Attribution, Server, Stage},
    },
    Awaited, Cause, Origin, Outage, Outages, Reason, Status,
};
use crate::job::{Step, progress::TaskPosition, task};

/// A step of an open occurrence of a job.
#[derive(Clone, Copy, Debug)]
struct OpenStep<'a> {
    active: &'a ActiveJob,
    number: u32,
    occurrence: &'a Occurrence,
    step: usize,
}

impl<'a> OpenStep<'a> {
    fn definition(self) -> &'a Step {
        &self.active.job.steps[self.step]
    }

    fn tasks(self) -> &'a StepTasks {
        &self.occurrence.steps[self.step]
    }

    fn task(self, index: usize) -> task::Id {
        let (job, occurrence) = (self.active.id.clone(), self.number);
        task::Id { job, occurrence, step: self.step, index }
    }
}

impl Shard {
    /// Returns the tasks and jobs that should run and have no run. Occurrences that are due and
    /// whose turn has not come are left out.
    pub fn outages(&self, now: Moment) -> Outages {
        let mut outages = Outages::default();
        for active in self.jobs.values().filter(|active| active.outcome.is_none()) {
            let mut waiting = None;
            for step in due_steps(active) {
                match step.definition().is_long_running {
                    true => self.add_outages(now, step, &mut outages),
                    false if waiting.is_none() && can_start(step) => waiting = Some(step),
                    false => {}
                }
            }
            if let Some(step) = waiting.filter(|_| !active.has_assigned_tasks()) {
                let (since, _) = self.waiting_since(now, step, active.last_run);
                let total = outages.jobs.entry(self.hold_reason(now, step).cause).or_default();
                total.add(1, now.since(since), active);
            }
        }
        outages
    }

    /// Returns what a long-running task does.
    pub fn task_status(&self, now: Moment, task: &task::Id) -> Status {
        let Some(active) = self.jobs.get(&task.job).filter(|active| active.outcome.is_none())
        else {
            return Status::Over;
        };
        let position = TaskPosition::of(task);
        let mut steps = due_steps(active);
        let found = steps.find(|step| (step.number, step.step) == (task.occurrence, task.step));
        match found.filter(|_| active.is_unfinished(position)) {
            None => Status::Over,
            Some(step) => self.status(now, step, task.index),
        }
    }

    /// Adds the tasks of a long-running step.
    fn add_outages(&self, now: Moment, step: OpenStep<'_>, outages: &mut Outages) {
        let tasks = step.tasks();
        let mut touched = 0;
        for (index, _) in tasks.all_touched() {
            touched += 1;
            match self.status(now, step, index) {
                Status::Running(..) => outages.running += 1,
                Status::Waiting(outage) => outages.add(now, step.active, outage),
                Status::Over => {}
            }
        }
        let untouched = tasks.count_unfinished().saturating_sub(touched);
        let first = tasks.waiting().find(|&index| tasks.touched(index).is_none());
        if let Some(first) = first.filter(|_| untouched > 0) {
            let outage = self.outage(now, step, first, self.waiting_reason(now, step));
            outages.add(now, step.active, Outage { tasks: untouched, ..outage });
        }
    }

    /// Returns what an unfinished task of a step does.
    fn status(&self, now: Moment, step: OpenStep<'_>, index: usize) -> Status {
        let state = step.tasks().touched(index).map(|task| &task.state);
        let Some(TaskState::Assigned(id)) = state else {
            return Status::Waiting(self.outage(now, step, index, self.waiting_reason(now, step)));
        };
        let task = step.task(index);
        let found = self.servers.get(id).and_then(|server| Some((server, server.runs.get(&task)?)));
        let Some((server, active_run)) = found else {
            return Status::Waiting(self.outage(now, step, index, Cause::Undecided.into()));
        };
        let Some(cause) = run_cause(server, active_run, step.active) else {
            return Status::Running(id.clone(), active_run.stage_since);
        };
        let until = server.lease_left(now).map(|left| now + left);
        let awaited = Some(Awaited { server: id.clone(), until });
        let awaited = awaited.filter(|_| !matches!(cause, Cause::Unsaved | Cause::FailedWrites));
        let outage = self.outage(now, step, index, Reason { cause, awaited });
        Status::Waiting(match (cause, server.last_run_time(active_run)) {
            (Cause::SilentServer | Cause::RunInDoubt, Some(since)) => {
                Outage { since, origin: Origin::LastRun, ..outage }
            }
            _ => outage,
        })
    }

    /// Returns the outage of a task that has no run.
    fn outage(&self, now: Moment, step: OpenStep<'_>, index: usize, reason: Reason) -> Outage {
        let last_run = step.tasks().touched(index).and_then(|task| task.last_run);
        let (since, origin) = self.waiting_since(now, step, last_run);
        let queue = Arc::clone(&step.active.queue);
        Outage { task: step.task(index), tasks: 1, queue, since, origin, reason }
    }

    /// Returns since when a task or job has had no run, by the time of the last one that this
    /// holder knows.
    fn waiting_since(
        &self,
        now: Moment,
        step: OpenStep<'_>,
        last_run: Option<Moment>,
    ) -> (Moment, Origin) {
        let due = step.active.due_at(self.time(now), step.number);
        let accepted = step.active.accepted_at.max(due);
        match last_run {
            Some(last_run) => (last_run, Origin::LastRun),
            None if accepted < self.term.since => (self.term.since, Origin::Term),
            None => (accepted, Origin::Acceptance),
        }
    }

    /// Returns why tasks of a long-running step have no server.
    fn waiting_reason(&self, now: Moment, step: OpenStep<'_>) -> Reason {
        let reason = self.hold_reason(now, step);
        match step.active.queue_settings.as_deref() {
            Some(queue) if reason.cause == Cause::Room => self.room_cause(now, step, queue).into(),
            _ => reason,
        }
    }

    /// Returns why tasks of a step have no server, by what held their job back at the last
    /// decision.
    fn hold_reason(&self, now: Moment, step: OpenStep<'_>) -> Reason {
        let active = step.active;
        if active.queue_settings.is_none() {
            return Cause::UnknownQueue.into();
        }
        if let Some(awaited) = self.awaited_server(now, active) {
            return Reason { cause: Cause::EarlierRuns, awaited: Some(awaited) };
        }
        let cause = match active.hold {
            _ if !step.occurrence.is_ready(&active.job, step.step) => Cause::EarlierSteps,
            Some(hold) => hold.cause().into(),
            None if active.is_write_failing() => Cause::FailedWrites,
            None if !self.is_exclusive => Cause::UnconfirmedLease,
            None if self.send_window.is_full(self.count_unconfirmed()) => Cause::SendWindow,
            None => Cause::Undecided,
        };
        cause.into()
    }

    /// Returns the server that a job waits for longest, of those on which an earlier holder may
    /// have started its tasks; `None` if it waits for none.
    fn awaited_server(&self, now: Moment, active: &ActiveJob) -> Option<Awaited> {
        let unsettled =
            active.unverified_servers.iter().filter(|id| !self.are_earlier_runs_settled(now, id));
        let ends = unsettled.map(|id| (self.earlier_runs_end(now, id), id));
        let (until, id) = ends.max()?;
        Some(Awaited { server: id.clone(), until: Some(until) })
    }

    /// Returns why no server has room for tasks of a step.
    fn room_cause(&self, now: Moment, step: OpenStep<'_>, queue: &Queue) -> Cause {
        let (active, definition) = (step.active, step.definition());
        let request = PlacementRequest {
            now,
            pool: &queue.pool,
            step: definition,
            allowed_servers: None,
            rack: None,
        };
        let has_namesake = |server: &Server| self.has_namesake_tasks(server, &active.id);
        match () {
            () if !self.has_labelled(request) => Cause::Label,
            () if !self.has_room(request) => Cause::Room,
            () if active.is_write_failing() => Cause::FailedWrites,
            () if !self.is_exclusive => Cause::UnconfirmedLease,
            () if self.namesakes.contains(&active.id)
                && self.servers_with_room(request).all(has_namesake) =>
            {
                Cause::Namesake
            }
            () if definition.max_per_host > 0 => Cause::HostLimit,
            () => Cause::Room,
        }
    }
}

/// Returns the steps of the occurrences of a job whose turn has come.
fn due_steps(active: &ActiveJob) -> impl Iterator<Item = OpenStep<'_>> {
    active.startable_occurrences().into_iter().flat_map(move |(number, occurrence)| {
        let steps = 0..occurrence.steps.len();
        steps.map(move |step| OpenStep { active, number, occurrence, step })
    })
}

/// Returns whether a step has tasks that could start by the order of the steps.
fn can_start(step: OpenStep<'_>) -> bool {
    step.occurrence.is_ready(&step.active.job, step.step) && step.tasks().count_waiting() > 0
}

/// Returns why a run is not known to be in progress; `None` if it is.
fn run_cause(server: &Server, active_run: &ActiveRun, active: &ActiveJob) -> Option<Cause> {
    match (active_run.stage, active_run.attribution) {
        (Stage::Planned, _) if active.failed_writes > 0 => Some(Cause::FailedWrites),
        (Stage::Planned, _) => Some(Cause::Unsaved),
        (Stage::Starting | Stage::Unconfirmed, _) => Some(Cause::UnansweredStart),
        (Stage::Stopping { .. }, Attribution::Sent | Attribution::Earlier) => Some(Cause::Stopping),
        (_, Attribution::Earlier) => Some(Cause::RunInDoubt),
        _ if server.is_unreachable => Some(Cause::SilentServer),
        _ => None,
    }
}
