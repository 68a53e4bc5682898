//! Gangs: tasks that work only while all of them run.
//!
//! A member whose start was refused, or that was lost, leaves the others waiting
//! for it in vain. They are stopped, and the whole gang is started anew.

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    active::{Active, Phase},
    fact::ServerId,
    server::Stage,
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

    /// Tells whether all members of a gang that are planned can be told to start;
    /// a task that is in no gang always can.
    pub(super) fn can_start_whole(&self, now: Moment, active: &Active, task: &task::Id) -> bool {
        let is_gang = active.job.steps.get(task.step).is_some_and(|step| step.is_gang);
        let members = active.runs().into_iter().filter(|(_, other)| {
            is_gang && other.step == task.step && other.occurrence == task.occurrence
        });
        members.into_iter().all(|(id, member)| {
            self.servers.get(&id).is_some_and(|server| {
                let stage = server.runs.get(&member).map(|taken| taken.stage);
                stage != Some(Stage::Planned) || self.is_usable(now, server)
            })
        })
    }
}

/// Returns the runs of gangs of which another member waits.
fn left_of_gangs(active: &Active) -> Vec<(ServerId, task::Id)> {
    let mut left = Vec::new();
    for (&occurrence, steps) in &active.occurrences {
        for (step, tasks) in steps.steps.iter().enumerate() {
            let is_gang = active.job.steps.get(step).is_some_and(|step| step.is_gang);
            if !is_gang || !tasks.iter().any(|task| task.phase == Phase::Waiting) {
                continue;
            }
            for (index, task) in tasks.iter().enumerate() {
                if let Phase::On(server) = &task.phase {
                    let id = task::Id { job: active.id.clone(), occurrence, step, index };
                    left.push((server.clone(), id));
                }
            }
        }
    }
    left
}
