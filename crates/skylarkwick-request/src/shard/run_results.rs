//! Ends of runs, and their effect on tasks and servers.

use std::{sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    input::{FinishedRun, ServerId},
    occurrence::TaskState,
};
use crate::job::{progress::TaskPosition, task};

impl Shard {
    /// Handles the end of a run that a server reported, unless it was handled
    /// before or the server is unknown: frees the run's resources, learns its
    /// run time if it succeeded, and applies it to the job. A failure is logged
    /// and may count against the server, see `judge_failure`; a success resets
    /// what counts against it.
    pub(super) fn handle_run_end(&mut self, now: Moment, id: &ServerId, finished: FinishedRun) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if finished.number <= server.last_seen_end {
            return;
        }
        server.last_seen_end = finished.number;
        server.unsaved_ends.push_back((finished.number, finished.task.job.clone()));
        let known =
            server.runs.get(&finished.task).filter(|active_run| active_run.id <= finished.run);
        let run_time = known.map(|active_run| now.since(active_run.stage_since));
        let last_run = known.and_then(|active_run| server.last_run_time(active_run));
        if known.is_some() {
            server.remove(&finished.task);
        }
        if let (Some(run_time), task::RunOutcome::Done) = (run_time, finished.outcome) {
            self.record_run_time(&finished.task, run_time);
        }
        match (finished.outcome, self.servers.get_mut(id)) {
            (task::RunOutcome::Done, Some(server)) => server.health.record_success(),
            (task::RunOutcome::Failed, _) => self.judge_failure(now, id, &finished.task),
            _ => {}
        }
        if let (Some(last_run), Some(active)) = (last_run, self.jobs.get_mut(&finished.task.job)) {
            active.record_run_over(TaskPosition::of(&finished.task), last_run);
        }
        self.apply_run_end(now, id, &finished);
    }

    /// Logs a failed run of a task and counts it against the server, unless the
    /// task is long-running or has failed on another server before: then the
    /// task is at fault, and the other server is excused.
    fn judge_failure(&mut self, now: Moment, id: &ServerId, task: &task::Id) {
        if self.is_long_running(task) {
            return;
        }
        let reason = match self.earlier_failure(task) {
            Some(earlier) if earlier.as_ref() != Some(id) => {
                let earlier = earlier.and_then(|earlier| self.servers.get_mut(&earlier));
                if let Some(earlier) = earlier {
                    earlier.health.excuse(now, task);
                }
                "the task has failed on another server too"
            }
            _ => {
                let server = self.servers.get_mut(id);
                match server.is_some_and(|server| server.health.record_failure(now, task)) {
                    true => "consecutive failures, the server gets no new work for now",
                    false => "reported by the server",
                }
            }
        };
        self.log("run failed", task, id, reason);
    }

    /// Returns the server on which a task last failed, `None` if no run of it
    /// has failed. The server is unknown if an earlier holder recorded the
    /// failure.
    fn earlier_failure(&self, task: &task::Id) -> Option<Option<ServerId>> {
        let task = self.jobs.get(&task.job)?.touched(TaskPosition::of(task))?;
        let has_failed = !task.progress.failed_runs.is_empty();
        has_failed.then(|| task.avoided_server.clone())
    }

    /// Returns whether the server has a newer run of the task than the one that
    /// ended; it reports many ends a part at a time, but all its runs.
    fn has_newer_run(&self, id: &ServerId, finished: &FinishedRun) -> bool {
        let active_run = self.servers.get(id).and_then(|server| server.runs.get(&finished.task));
        active_run.is_some_and(|active_run| active_run.id > finished.run)
    }

    /// Adds the run time of a run that succeeded to those learned for its job's
    /// queue; does nothing if the job is unknown or the task is long-running.
    fn record_run_time(&mut self, task: &task::Id, run_time: Duration) {
        let Some(active) = self.jobs.get(&task.job) else {
            return;
        };
        if active.is_long_running(task.step) {
            return;
        }
        if let Some(step) = active.job.steps.get(task.step) {
            self.run_times.observe(&active.queue, step.run_time_estimate, run_time);
        }
    }

    /// Applies the end of a run to its job, which is then stored. The task is
    /// done if the run succeeded, as are the other members of its gang, and any
    /// other run of it is stopped; a long-running task is never done. Otherwise it waits
    /// again, unless it has a
    /// newer run on this server or is assigned to another one; a failure counts
    /// against the limit of attempts, except of a long-running task, and makes
    /// the task avoid this server. Nothing is stored if the task was done
    /// already or the job is unknown.
    ///
    /// After a takeover, ends arrive in any order, some of them twice, and some
    /// after a later run of the same task was adopted; a checkpoint is kept
    /// only if no later run has ended. A run of an occurrence that is not open
    /// was started by a holder whose clock was ahead, so the occurrence opens.
    fn apply_run_end(&mut self, now: Moment, id: &ServerId, finished: &FinishedRun) {
        let has_newer_run = self.has_newer_run(id, finished);
        let Some(active) = self.jobs.get_mut(&finished.task.job) else {
            return;
        };
        active.has_started = true;
        active.open_occurrence(finished.task.occurrence);
        let is_long_running = active.is_long_running(finished.task.step);
        let is_done = finished.outcome == task::RunOutcome::Done && !is_long_running;
        let is_gang = active.job.steps.get(finished.task.step).is_some_and(|step| step.is_gang);
        if is_gang && is_done {
            active.complete_gang(TaskPosition::of(&finished.task));
        }
        let position = TaskPosition::of(&finished.task);
        if !active.is_unfinished(position) {
            return;
        }
        let last_ended_run = active.last_ended_run(position);
        let is_latest = match is_gang {
            // The members of a gang have one run number.
            true => finished.run >= last_ended_run,
            false => finished.run > last_ended_run,
        };
        if is_latest
            && !finished.checkpoint.is_empty()
            && let Some(task) = active.checkpoint_task(position)
        {
            task.progress.checkpoint = Arc::clone(&finished.checkpoint);
        }
        let Some(task) = active.task_mut(position) else {
            return;
        };
        let other_server = match &task.state {
            TaskState::Assigned(server) if server != id => Some(server.clone()),
            _ => None,
        };
        task.progress.last_ended_run = task.progress.last_ended_run.max(finished.run);
        if finished.outcome == task::RunOutcome::Failed {
            if !is_long_running {
                task.progress.failed_runs.insert(finished.run);
            }
            task.avoided_server = Some(id.clone());
        }
        match (is_done, other_server) {
            (true, other_server) => {
                active.complete(position);
                let server = other_server.or_else(|| has_newer_run.then(|| id.clone()));
                if let Some(server) = server {
                    self.request_stop(now, &server, &finished.task);
                }
            }
            (false, None) if !has_newer_run => task.state = TaskState::Waiting,
            (false, _) => {}
        }
        self.unsaved_jobs.insert(finished.task.job.clone());
        self.update_outcome(&finished.task.job);
    }
}
