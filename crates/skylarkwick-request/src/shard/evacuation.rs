//! Emptying a host: for maintenance, or because its server is leaving.
//!
//! Tasks that end by themselves are waited for, unless they keep checkpoints and
//! take long. Lasting tasks are stopped and started elsewhere, as many at once as
//! their step may miss.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    active::Phase,
    input::ServerId,
    placement::Search,
    server::{Server, Stage},
};
use crate::job::{self, Step, progress::TaskPosition, task};

/// Time after a takeover in which a task that seems to be at work may be about
/// to end, because the last holder has ordered it to stop.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(2500);

/// Time after which a task that keeps checkpoints is not waited for: it goes on
/// elsewhere from where it stops.
const PATIENCE: Duration = Duration::from_millis(1500);

/// A step of one occurrence of a job.
type StepId = (job::Id, u32, usize);

impl Shard {
    /// Stops tasks on hosts that are to be empty.
    pub(super) fn evacuate(&mut self, now: Moment) {
        self.evacuate_checkpointing(now);
        self.evacuate_lasting(now);
    }

    /// Stops tasks that keep checkpoints and would hold their host for long.
    fn evacuate_checkpointing(&mut self, now: Moment) {
        let mut stops: Vec<(ServerId, task::Id)> = Vec::new();
        for server in self.servers.values().filter(|server| self.must_empty(server)) {
            for (task, taken) in &server.runs {
                let is_long = taken.stage == Stage::Running && now.since(taken.since) > PATIENCE;
                let Some(step) = self.step(task).filter(|_| is_long) else {
                    continue;
                };
                let may_stop = step.is_checkpointing && !step.is_long_running && !step.is_gang;
                if may_stop && self.has_other_place(now, server, step, task) {
                    stops.push((server.id().clone(), task.clone()));
                }
            }
        }
        self.move_away(now, stops);
    }

    /// Stops lasting tasks, within the budgets of their steps.
    fn evacuate_lasting(&mut self, now: Moment) {
        if now.since(self.term.since) < TAKEOVER_PAUSE {
            return;
        }
        let mut stops: Vec<(ServerId, task::Id)> = Vec::new();
        let mut away: BTreeMap<StepId, u32> = BTreeMap::new();
        for server in self.servers.values().filter(|server| self.must_empty(server)) {
            for (task, taken) in &server.runs {
                let Some(step) = self.step(task).filter(|step| step.is_long_running) else {
                    continue;
                };
                if taken.stage != Stage::Running {
                    continue;
                }
                let id = (task.job.clone(), task.occurrence, task.step);
                let count = *away.entry(id.clone()).or_insert_with(|| self.away(task));
                // A task that seems away may have come to work since the last look,
                // so the others alone decide.
                let is_away = taken.percent < 100;
                let others = count.saturating_sub(u32::from(is_away));
                let may_stop = others < step.max_unavailable.max(1);
                let has_place = self.has_other_place(now, server, step, task);
                if !may_stop || !has_place {
                    continue;
                }
                if !is_away {
                    away.insert(id, count + 1);
                }
                stops.push((server.id().clone(), task.clone()));
            }
        }
        self.move_away(now, stops);
    }

    fn move_away(&mut self, now: Moment, stops: Vec<(ServerId, task::Id)>) {
        for (server, task) in stops {
            self.stop(now, &server, &task);
            self.explain("task moved", &task, &server, "its host has to be empty");
        }
    }

    /// Tells whether a task could run on another server of the pool.
    fn has_other_place(&self, now: Moment, server: &Server, step: &Step, task: &task::Id) -> bool {
        let pool = &*server.listing.pool;
        let search = Search { now, pool, step, among: None, rack: None };
        self.choose(search, task, None).is_some()
    }

    fn must_empty(&self, server: &Server) -> bool {
        server.listing.is_leaving || self.fleet.is_emptying(server)
    }

    /// Counts the tasks of a step that are not at work.
    fn away(&self, task: &task::Id) -> u32 {
        let Some(active) = self.jobs.get(&task.job) else {
            return u32::MAX;
        };
        let Some(step) = active.job.steps.get(task.step) else {
            return u32::MAX;
        };
        let count = usize::try_from(step.count).unwrap_or_default();
        let away = (0..count).filter(|&index| {
            let id = task::Id { index, ..task.clone() };
            !self.is_at_work(&id)
        });
        u32::try_from(away.count()).unwrap_or(u32::MAX)
    }

    /// Tells whether a task is at work, as far as its server said lately.
    fn is_at_work(&self, task: &task::Id) -> bool {
        let known = self.jobs.get(&task.job).and_then(|active| active.task(TaskPosition::of(task)));
        let Some(Phase::On(server)) = known.map(|known| &known.phase) else {
            return false;
        };
        self.servers
            .get(server)
            .filter(|server| !server.is_silent)
            .and_then(|server| server.runs.get(task))
            .is_some_and(|taken| taken.stage == Stage::Running && taken.percent >= 100)
    }
}
