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
const HIGH_SHARE: f64 = 0.8;
/// Share of its target below which fillers may speed up.
const LOW_SHARE: f64 = 0.55;
/// Pace added at a time, in percent.
const SPEED_UP: u32 = 10;
/// Time between two changes of one host's fillers.
const PERIOD: Duration = Duration::from_millis(700);

impl Shard {
    /// Sets the pace of fillers by the worst serving task on their host.
    pub(super) fn adjust_pace(&mut self, now: Moment) {
        let mut changes = Vec::new();
        for server in self.servers.values() {
            let has_filler = server.runs.values().any(|taken| taken.is_filler);
            let Some(load) = worst_load(server).filter(|_| has_filler) else {
                continue;
            };
            for (task, taken) in &server.runs {
                let is_due = now.since(taken.percent_since) >= PERIOD;
                if !taken.is_filler || taken.stage != Stage::Running || !is_due {
                    continue;
                }
                let pace = match () {
                    () if load > HIGH_SHARE => taken.pace / 3,
                    () if load < LOW_SHARE => (taken.pace + SPEED_UP).min(100),
                    () => taken.pace,
                };
                if pace != taken.pace {
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
            if let Some(taken) = server.runs.get_mut(&task) {
                taken.pace = percent;
                taken.percent_since = now;
                let run = taken.run;
                self.effects.push(Effect::SetPace { target, task, run, percent });
            }
        }
    }

    /// Tells whether a task of a step would share a host with tasks that it
    /// disturbs, or that would disturb it.
    pub(super) fn would_disturb(server: &Server, step: &Step) -> bool {
        let mut runs = server.runs.values();
        match (step.is_best_effort, step.target_latency) {
            (true, _) => runs.any(|other| other.target.is_some()),
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
fn worst_load(server: &Server) -> Option<f64> {
    let shares = server.runs.values().filter_map(|taken| {
        let tail = Duration::from_millis(taken.tail_ms?);
        Some(tail.as_secs_f64() / taken.target?.as_secs_f64().max(f64::EPSILON))
    });
    shares.max_by(f64::total_cmp)
}
