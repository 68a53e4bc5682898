//! The pace of fillers beside serving tasks.
//!
//! A filler uses processor time that others leave, but disturbs the serving
//! tasks on its host. It is slowed down at once when a serving task comes near
//! its target and sped up slowly when there is room, so that the targets hold
//! while the disturbance changes within seconds.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::Effect,
    server::{Server, Stage},
};
use crate::job::{Step, task};

/// Share of its target at which a serving task's tail slows fillers down.
const SLOW_DOWN_LOAD: f64 = 0.8;
/// Share of its target below which fillers may speed up.
const SPEED_UP_LOAD: f64 = 0.55;
/// Pace added at a time, in percent.
const PACE_STEP_PERCENT: u32 = 10;
/// Time between two changes of one host's fillers.
const PACE_CHANGE_PERIOD: Duration = Duration::from_millis(700);

impl Shard {
    /// Sets the pace of fillers by the worst serving task on their host.
    pub(super) fn adjust_pace(&mut self, now: Moment) {
        let mut changes = Vec::new();
        for server in self.servers.values() {
            let has_filler = server.runs.values().any(|active_run| active_run.is_filler);
            let Some(load) = highest_load(server).filter(|_| has_filler) else {
                continue;
            };
            for (task, active_run) in &server.runs {
                let is_due = now.since(active_run.percent_since) >= PACE_CHANGE_PERIOD;
                if !active_run.is_filler || active_run.stage != Stage::Running || !is_due {
                    continue;
                }
                let pace = match () {
                    () if load > SLOW_DOWN_LOAD => active_run.pace / 3,
                    () if load < SPEED_UP_LOAD => (active_run.pace + PACE_STEP_PERCENT).min(100),
                    () => active_run.pace,
                };
                if pace != active_run.pace {
                    changes.push((server.id().clone(), task.clone(), pace));
                }
            }
        }
        for (id, task, percent) in changes {
            let fencing_token = self.term.fencing_token;
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            let target = server.target(fencing_token);
            if let Some(active_run) = server.runs.get_mut(&task) {
                active_run.pace = percent;
                active_run.percent_since = now;
                let run = active_run.id;
                self.effects.push(Effect::SetPace { target, task, run, percent });
            }
        }
    }

    /// Tells whether a task of a step would share a host with tasks that it
    /// disturbs, or that would disturb it.
    pub(super) fn would_interfere(server: &Server, step: &Step) -> bool {
        let mut runs = server.runs.values();
        match (step.is_filler, step.target) {
            (true, _) => runs.any(|other| other.target_latency.is_some()),
            (false, Some(_)) => runs.any(|other| other.is_filler),
            (false, None) => false,
        }
    }

    /// Returns the step of a task.
    pub(super) fn step(&self, task: &task::Id) -> Option<&Step> {
        self.jobs.get(&task.job)?.job.steps.get(task.step)
    }
}

/// Returns the highest share of its target that a serving task is at.
fn highest_load(server: &Server) -> Option<f64> {
    let shares = server.runs.values().filter_map(|active_run| {
        let tail = Duration::from_millis(active_run.tail_ms?);
        Some(tail.as_secs_f64() / active_run.target_latency?.as_secs_f64().max(f64::EPSILON))
    });
    shares.max_by(f64::total_cmp)
}
