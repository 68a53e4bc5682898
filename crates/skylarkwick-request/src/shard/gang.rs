//! Gangs: tasks that make progress only while all of them run.
//!
//! If a member's start was rejected or the member was lost, the others make no
//! progress. They are stopped, and the whole gang starts again. All members start from
//! one checkpoint, that of any member, which is kept with the first one.

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    active::ActiveJob,
    input::ServerId,
    occurrence::{StepTasks, Task},
};
use crate::job::{
    progress::{TaskPosition, TaskProgress},
    task,
};

impl Shard {
    /// Requests the stop of the remaining runs of each gang (the tasks of a
    /// step, which make progress only together) that has a waiting member, and
    /// logs each, again on each call until the run has ended. Leaves out jobs
    /// while runs that an earlier holder started may be unknown.
    pub(super) fn stop_incomplete_gangs(&mut self, now: Moment) {
        let jobs = self.jobs.values().filter(|active| self.are_earlier_runs_known(now, active));
        let stops: Vec<(ServerId, task::Id)> = jobs.flat_map(incomplete_gang_runs).collect();
        for (server, task) in stops {
            self.request_stop(now, &server, &task);
            self.log("gang member stopped", &task, &server, "another member is not running");
        }
    }

    /// Returns whether the servers of all gang members among the `planned` runs
    /// of a job may get new work; true if there are no such members.
    pub(super) fn can_start_gangs(
        &self,
        now: Moment,
        active: &ActiveJob,
        planned: &[(ServerId, task::Id)],
    ) -> bool {
        let is_gang = |task: &task::Id| active.job.steps[task.step].is_gang;
        let is_usable = |id| self.servers.get(id).is_some_and(|server| self.is_usable(now, server));
        planned.iter().all(|(server, task)| !is_gang(task) || is_usable(server))
    }
}

impl ActiveJob {
    /// Marks all members of a gang as done except the one at `position`, which
    /// has succeeded and is left to the caller: they end together, and the ends
    /// of the others may be lost with their servers.
    pub(super) fn complete_gang(&mut self, position: TaskPosition) {
        if let Some(members) = self.step_mut(position.occurrence, position.step) {
            members.complete_others(position.index);
        }
    }

    /// Returns the task that keeps the checkpoint of the one at `position`: the
    /// first member of its gang, or itself.
    pub(super) fn checkpoint_task(&mut self, position: TaskPosition) -> Option<&mut Task> {
        let is_gang = self.job.steps.get(position.step).is_some_and(|step| step.is_gang);
        match is_gang {
            true => self.task_mut(TaskPosition { index: 0, ..position }),
            false => self.task_mut(position),
        }
    }

    /// Returns the last run that ended of the task at `position`, or of any member
    /// of its gang.
    pub(super) fn last_ended_run(&self, position: TaskPosition) -> task::RunId {
        let Some(step) = self.job.steps.get(position.step) else {
            return task::RunId::default();
        };
        let last = |task: &Task| task.progress.last_ended_run;
        match step.is_gang {
            true => {
                let members = self.step(position.occurrence, position.step).into_iter();
                let members = members.flat_map(StepTasks::all_touched);
                members.map(|(_, member)| last(member)).max().unwrap_or_default()
            }
            false => self.touched(position).map(last).unwrap_or_default(),
        }
    }

    /// Leaves each gang the checkpoint of the member with the latest run that ended,
    /// with the first member. An earlier release has stored one with each member.
    pub(super) fn unite_gang_checkpoints(&mut self) {
        let gangs = self.job.steps.iter().enumerate().filter(|(_, step)| step.is_gang);
        let gangs: Vec<usize> = gangs.map(|(number, _)| number).collect();
        for occurrence in self.occurrences.values_mut() {
            for &step in &gangs {
                let members = &mut occurrence.steps[step];
                let has_checkpoint = |progress: &&TaskProgress| !progress.checkpoint.is_empty();
                let progress = members.all_touched().map(|(_, member)| &member.progress);
                let latest =
                    progress.filter(has_checkpoint).max_by_key(|latest| latest.last_ended_run);
                let Some(checkpoint) = latest.map(|latest| latest.checkpoint.clone()) else {
                    continue;
                };
                for member in members.all_touched_mut() {
                    member.progress.checkpoint = "".into();
                }
                if let Some(first) = members.task_mut(0) {
                    first.progress.checkpoint = checkpoint;
                }
            }
        }
    }
}

/// Returns the assigned members of gangs that have a waiting member, each with
/// its server; empty if the job has no gang.
fn incomplete_gang_runs(active: &ActiveJob) -> Vec<(ServerId, task::Id)> {
    if !active.job.steps.iter().any(|step| step.is_gang) {
        return Vec::new();
    }
    let is_incomplete = |task: &task::Id| {
        let members = &active.occurrences[&task.occurrence].steps[task.step];
        active.job.steps[task.step].is_gang && members.count_waiting() > 0
    };
    active.assigned_tasks().into_iter().filter(|(_, task)| is_incomplete(task)).collect()
}
