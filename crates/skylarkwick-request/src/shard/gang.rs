//! Gangs: tasks that work only while all of them run.
//!
//! A member whose start was refused, or that was lost, leaves the others waiting
//! for it in vain. They are stopped, and the whole gang is started anew.

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    active::{Active, Phase},
    input::ServerId,
};
use crate::job::task;

impl Shard {
    /// Stops what is left of gangs that lack a member.
    pub(super) fn break_up_gangs(&mut self, now: Moment) {
        let jobs = self.jobs.values().filter(|active| self.is_free_of_doubt(now, active));
        let stops: Vec<(ServerId, task::Id)> = jobs.flat_map(left_of_gangs).collect();
        for (server, task) in stops {
            self.stop(now, &server, &task);
            self.explain("gang broken up", &task, &server, "a member is missing");
        }
    }

    /// Tells whether every gang among the planned runs of a job can be told to
    /// start as a whole.
    pub(super) fn can_start_whole(
        &self,
        now: Moment,
        active: &Active,
        planned: &[(ServerId, task::Id)],
    ) -> bool {
        let is_gang = |task: &task::Id| active.job.steps[task.step].is_gang;
        let is_usable = |id| self.servers.get(id).is_some_and(|server| self.is_usable(now, server));
        planned.iter().all(|(server, task)| !is_gang(task) || is_usable(server))
    }
}

/// Returns the runs of gangs of which another member waits.
fn left_of_gangs(active: &Active) -> Vec<(ServerId, task::Id)> {
    if !active.job.steps.iter().any(|step| step.is_gang) {
        return Vec::new();
    }
    let lacks_member = |task: &task::Id| {
        let members = &active.occurrences[&task.occurrence].steps[task.step];
        active.job.steps[task.step].is_gang
            && members.iter().any(|member| member.phase == Phase::Waiting)
    };
    active.runs().into_iter().filter(|(_, task)| lacks_member(task)).collect()
}
