//! Gangs: tasks that make progress only while all of them run.
//!
//! If a member's start was rejected or the member was lost, the others make no
//! progress. They are stopped, and the whole gang starts again.

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    active::{ActiveJob, TaskState},
    input::ServerId,
};
use crate::job::task;

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

/// Returns the assigned members of gangs that have a waiting member, each with
/// its server; empty if the job has no gang.
fn incomplete_gang_runs(active: &ActiveJob) -> Vec<(ServerId, task::Id)> {
    if !active.job.steps.iter().any(|step| step.is_gang) {
        return Vec::new();
    }
    let is_incomplete = |task: &task::Id| {
        let members = &active.occurrences[&task.occurrence].steps[task.step];
        active.job.steps[task.step].is_gang
            && members.iter().any(|member| member.state == TaskState::Waiting)
    };
    active.assigned_tasks().into_iter().filter(|(_, task)| is_incomplete(task)).collect()
}
