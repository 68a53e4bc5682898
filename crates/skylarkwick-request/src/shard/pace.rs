//! Pace of best-effort tasks beside serving tasks.
//!
//! A serving task has a target for its tail latency. A best-effort task uses
//! idle processor time, but interferes with the serving tasks on its host. It is
//! slowed down at once when the tail latency of a serving task approaches its
//! target, and sped up in small steps when the latency is low, because the
//! interference changes within seconds.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::Effect,
    server::{Server, Stage},
};
use crate::job::{Step, task};

/// Tail latency of a serving task, as a share of its target, above which
/// best-effort tasks are slowed down.
const SLOW_DOWN_LATENCY_RATIO: f64 = 0.8;
/// Tail latency of a serving task, as a share of its target, below which
/// best-effort tasks may be sped up.
const SPEED_UP_LATENCY_RATIO: f64 = 0.55;
/// A slow-down divides the pace of a best-effort task by this and rounds it
/// down to a whole percent, which may be 0.
const SLOW_DOWN_DIVISOR: u32 = 3;
/// Increase of the pace in one speed-up, in percentage points; the full pace is
/// 100.
const PACE_STEP_PERCENT: u32 = 10;
/// Shortest time between two changes of a run's pace. It also counts from the
/// planning or adoption of the run, and from each change of the percentage that
/// its server reports.
const PACE_CHANGE_PERIOD: Duration = Duration::from_millis(700);

impl Shard {
    /// Adjusts the pace of the best-effort runs in progress on each server, and
    /// sends the changes. They are slowed down if the highest ratio of tail
    /// latency to target on the server is above `SLOW_DOWN_LATENCY_RATIO`, sped
    /// up if it is below `SPEED_UP_LATENCY_RATIO`, and left alone in between or
    /// if no tail latency was reported. A pace that has changed stays for at
    /// least `PACE_CHANGE_PERIOD`.
    pub(super) fn adjust_pace(&mut self, now: Moment) {
        let mut changes = Vec::new();
        for server in self.servers.values() {
            let has_best_effort = server.runs.values().any(|active_run| active_run.is_best_effort);
            let Some(latency_ratio) = highest_latency_ratio(server).filter(|_| has_best_effort)
            else {
                continue;
            };
            for (task, active_run) in &server.runs {
                let is_due =
                    now.since(active_run.last_percent_or_pace_change) >= PACE_CHANGE_PERIOD;
                if !active_run.is_best_effort || active_run.stage != Stage::Running || !is_due {
                    continue;
                }
                let pace = match () {
                    () if latency_ratio > SLOW_DOWN_LATENCY_RATIO => {
                        active_run.pace / SLOW_DOWN_DIVISOR
                    }
                    () if latency_ratio < SPEED_UP_LATENCY_RATIO => {
                        (active_run.pace + PACE_STEP_PERCENT).min(100)
                    }
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
                active_run.last_percent_or_pace_change = now;
                let run = active_run.id;
                self.effects.push(Effect::SetPace { target, task, run, percent });
            }
        }
    }

    /// Returns whether a task of this step would interfere with a run that the
    /// server already has, in whatever stage: a best-effort task with a serving
    /// task, or a serving task with a best-effort one.
    pub(super) fn would_interfere(server: &Server, step: &Step) -> bool {
        let mut runs = server.runs.values();
        match (step.is_best_effort, step.target_latency) {
            (true, _) => runs.any(|other| other.target_latency.is_some()),
            (false, Some(_)) => runs.any(|other| other.is_best_effort),
            (false, None) => false,
        }
    }

    /// Returns the step of a task; `None` if its job or step is unknown.
    pub(super) fn step(&self, task: &task::Id) -> Option<&Step> {
        self.jobs.get(&task.job)?.job.steps.get(task.step)
    }
}

/// Returns the highest ratio of reported tail latency to target among the
/// serving tasks on a server, above 1 if a target is missed; `None` if no tail
/// latency was reported.
fn highest_latency_ratio(server: &Server) -> Option<f64> {
    let ratios = server.runs.values().filter_map(|active_run| {
        let tail = Duration::from_millis(active_run.tail_latency_ms?);
        Some(tail.as_secs_f64() / active_run.target_latency?.as_secs_f64().max(f64::EPSILON))
    });
    ratios.max_by(f64::total_cmp)
}
