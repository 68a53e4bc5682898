//! Ends of runs, and what they say of tasks and of servers.

use std::{sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    active::Phase,
    input::{FinishedRun, ServerId},
};
use crate::job::{progress::TaskPosition, task};

impl Shard {
    pub(super) fn end(&mut self, now: Moment, id: &ServerId, ended: FinishedRun) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if ended.number <= server.seen {
            return;
        }
        server.seen = ended.number;
        let known = server.runs.get(&ended.task).filter(|taken| taken.run <= ended.run);
        let run_time = known.map(|taken| now.since(taken.since));
        if known.is_some() {
            server.remove(&ended.task);
        }
        if let (Some(run_time), task::RunOutcome::Done) = (run_time, ended.end) {
            self.learn(&ended.task, run_time);
        }
        let is_lasting = self.is_lasting(&ended.task);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        match ended.end {
            task::RunOutcome::Done => server.succeed(),
            task::RunOutcome::Failed if is_lasting => {}
            task::RunOutcome::Failed if server.fail(now) => {
                self.explain(
                    "run failed",
                    &ended.task,
                    id,
                    "the server rests after failures in a row",
                );
            }
            task::RunOutcome::Failed => {
                self.explain("run failed", &ended.task, id, "the server says so")
            }
            task::RunOutcome::Stopped => {}
        }
        self.end_task(now, id, &ended);
    }

    fn learn(&mut self, task: &task::Id, run_time: Duration) {
        let Some(active) = self.jobs.get(&task.job) else {
            return;
        };
        if let Some(step) = active.job.steps.get(task.step) {
            self.learning.observe(&active.queue, step.run_time_estimate, run_time);
        }
    }

    /// Brings an end to its job.
    ///
    /// A new holder hears of ends in any order, of some once more, and of some
    /// after it has adopted a later run of the same task.
    fn end_task(&mut self, now: Moment, id: &ServerId, ended: &FinishedRun) {
        let Some(active) = self.jobs.get_mut(&ended.task.job) else {
            return;
        };
        active.has_run = true;
        let steps = &active.job.steps;
        let is_lasting = steps.get(ended.task.step).is_some_and(|step| step.is_long_running);
        let is_gang = steps.get(ended.task.step).is_some_and(|step| step.is_gang);
        if is_gang && ended.end == task::RunOutcome::Done {
            active.finish_gang(TaskPosition::of(&ended.task));
        }
        let Some(task) = active.task_mut(TaskPosition::of(&ended.task)) else {
            return;
        };
        if task.phase == Phase::Done {
            return;
        }
        let elsewhere = match &task.phase {
            Phase::On(server) if server != id => Some(server.clone()),
            _ => None,
        };
        let is_latest = ended.run > task.note.last_ended_run;
        task.note.last_ended_run = task.note.last_ended_run.max(ended.run);
        if is_latest && !ended.checkpoint.is_empty() {
            task.note.checkpoint = Arc::clone(&ended.checkpoint);
        }
        match ended.end {
            task::RunOutcome::Done => {
                task.phase = Phase::Done;
                task.note.is_done = true;
            }
            task::RunOutcome::Failed => {
                if !is_lasting {
                    task.note.failed_runs.insert(ended.run);
                }
                task.avoid = Some(id.clone());
            }
            task::RunOutcome::Stopped => {}
        }
        match elsewhere {
            Some(server) if ended.end == task::RunOutcome::Done => {
                self.stop(now, &server, &ended.task)
            }
            None if ended.end != task::RunOutcome::Done => task.phase = Phase::Waiting,
            _ => {}
        }
        self.dirty.insert(ended.task.job.clone());
        self.settle_job(&ended.task.job);
    }
}
