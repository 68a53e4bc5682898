//! Sending of planned starts, once their servers are recorded with the job.

use std::sync::Arc;

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::{Effect, Start},
    input::ServerId,
    server::Stage,
};
use crate::job::{self, progress::TaskPosition, task};

impl Shard {
    /// Sends the planned starts of a job on servers that are recorded with it.
    /// Cancels all its planned runs instead if runs of an earlier holder may be
    /// unknown (`are_earlier_runs_known`), or if a server chosen for a gang
    /// member is no longer usable. Does nothing if the job is unknown.
    pub(super) fn send_planned_starts(&mut self, now: Moment, id: &job::Id) {
        let Some(active) = self.jobs.get(id) else {
            return;
        };
        if !self.are_earlier_runs_known(now, active) {
            self.cancel_planned(|task| task.job == *id);
            return;
        }
        let planned = active.assigned_tasks().into_iter().filter(|(server, task)| {
            active.recorded_servers.contains(server) && self.is_planned(server, task)
        });
        let planned: Vec<(ServerId, task::Id)> = planned.collect();
        if !self.can_start_gangs(now, active, &planned) {
            self.cancel_planned(|task| task.job == *id);
            return;
        }
        for (server, task) in planned {
            self.send_start(now, &server, &task);
        }
    }

    /// Returns whether a task has a run on the server whose start was not sent
    /// yet.
    fn is_planned(&self, id: &ServerId, task: &task::Id) -> bool {
        let active_run = self.servers.get(id).and_then(|server| server.runs.get(task));
        active_run.is_some_and(|active_run| active_run.stage == Stage::Planned)
    }

    /// Sends a planned start, which the server must not carry out later than
    /// `start_window` from now; its lease counts as lasting at least until
    /// then. Releases the run instead if the server is not usable any more, its
    /// clock is unknown or no lease may be granted any more. Does nothing if the
    /// task has no planned run there.
    pub(super) fn send_start(&mut self, now: Moment, id: &ServerId, task: &task::Id) {
        let is_usable = self.servers.get(id).is_some_and(|server| self.is_usable(now, server));
        let window = self.grantable(now, self.timings.start_window).filter(|_| is_usable);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let until_ms = window.and_then(|window| server.deadline_ms(now, window));
        let target = server.target(self.term.fencing_token);
        let Some(active_run) =
            server.runs.get_mut(task).filter(|active_run| active_run.stage == Stage::Planned)
        else {
            return;
        };
        let run = active_run.id;
        let Some(until_ms) = until_ms else {
            self.release(id, task, run, false);
            return;
        };
        active_run.stage = Stage::Starting;
        active_run.stage_since = now;
        active_run.start_deadline_ms = Some(until_ms);
        server.lease_until_ms = server.lease_until_ms.max(Some(until_ms));
        let Some(active) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let checkpoint = active
            .checkpoint_task(TaskPosition::of(task))
            .map(|task| Arc::clone(&task.progress.checkpoint))
            .unwrap_or_default();
        let spec = Arc::clone(&active.job.spec);
        let start = Start { task: task.clone(), run, spec, until_ms, checkpoint };
        self.effects.push(Effect::Start { target, start: Box::new(start) });
    }

    /// Releases the planned runs of the tasks that `is_selected` accepts; their
    /// starts were never sent, and the tasks wait again.
    pub(super) fn cancel_planned(&mut self, is_selected: impl Fn(&task::Id) -> bool) {
        let mut planned: Vec<(ServerId, task::Id, task::RunId)> = Vec::new();
        for server in self.servers.values() {
            let runs =
                server.runs.iter().filter(|(_, active_run)| active_run.stage == Stage::Planned);
            let runs = runs.filter(|(task, _)| is_selected(task));
            planned.extend(
                runs.map(|(task, active_run)| (server.id().clone(), task.clone(), active_run.id)),
            );
        }
        for (server, task, run) in planned {
            self.release(&server, &task, run, false);
        }
    }
}
