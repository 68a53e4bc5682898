//! What backend servers say of themselves, and what their silence means.

use std::{sync::Arc, time::Duration};

use skylarkwick_version::moment::{Moment, millis};

use super::{
    Shard,
    active::Phase,
    effect::{Effect, LogEntry},
    input::{ClockReading, RunStatus, ServerId, ServerInfo, StatusReport},
    server::{Server, Stage, Use},
};
use crate::job::{progress::TaskPosition, task};

/// How long a server waits for an end before it answers a look.
const LOOK_WAIT: Duration = Duration::from_millis(900);
/// Shortest time between two looks at a server, for each server.
const LOOK_SPACING: Duration = Duration::from_micros(400);
/// Pause before a silent server is looked at again.
const SILENT_PAUSE: Duration = Duration::from_millis(250);
/// Longest time that ends wait to be stored before the next look goes out.
const SAVE_WAIT: Duration = Duration::from_millis(400);

impl TaskPosition {
    pub(super) fn of(task: &task::Id) -> TaskPosition {
        TaskPosition { occurrence: task.occurrence, step: task.step, index: task.index }
    }
}

impl Shard {
    /// Puts the platform's list of servers in force.
    ///
    /// A server that the list lacks gets nothing new; what ran there is given
    /// up only when its lease has lapsed.
    pub fn set_servers(&mut self, now: Moment, listings: Vec<ServerInfo>) {
        let listed: std::collections::BTreeSet<ServerId> =
            listings.iter().map(|listing| listing.id.clone()).collect();
        for server in self.servers.values_mut() {
            server.is_unlisted = !listed.contains(server.id());
        }
        for listing in listings {
            let id = listing.id.clone();
            let is_new_life = self.servers.get(&id).is_some_and(|server| {
                server.listing.incarnation_ms < listing.incarnation_ms
                    || server.listing.address != listing.address
            });
            if is_new_life {
                self.forget(&id, "new life of the server");
            }
            match self.servers.get_mut(&id) {
                Some(server) => server.listing = listing,
                None => {
                    self.servers.insert(id, Server::new(listing, now));
                }
            }
        }
    }

    /// Notes what a server says of itself.
    pub fn handle_status_report(&mut self, now: Moment, report: StatusReport) {
        let id = report.server.clone();
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if report
            .incarnation_ms
            .is_some_and(|incarnation_ms| incarnation_ms != server.listing.incarnation_ms)
        {
            // The list lags behind the server's restart, or the other way round.
            server.next_look = Some(now + SILENT_PAUSE);
            if report.incarnation_ms > Some(server.listing.incarnation_ms) {
                let mut listing = server.listing.clone();
                listing.incarnation_ms = report.incarnation_ms.unwrap_or_default();
                self.forget(&id, "new life of the server");
                self.servers.insert(id, Server::new(listing, now));
            }
            return;
        }
        server.note(report.clock);
        server.is_silent = false;
        if !server.is_fenced {
            // An earlier holder may have renewed the lease right before.
            let granted = report.clock.clock_ms + millis(self.timings.lease_duration);
            server.lease_until_ms = server.lease_until_ms.max(granted);
            server.is_fenced = true;
        }
        for ended in report.finished {
            self.end(now, &id, ended);
        }
        let sent = report.clock.sent;
        let running: Vec<task::Id> = report.running.iter().map(|run| run.task.clone()).collect();
        for run in report.running {
            self.progress(now, &id, run);
        }
        if !report.is_partial {
            self.reconcile(&id, &running, sent);
        }
        let spacing = self.look_spacing();
        if let Some(server) = self.servers.get_mut(&id) {
            server.awaits_save = server.seen != server.saved;
            let pause = if server.awaits_save { SAVE_WAIT } else { spacing };
            server.next_look = Some(now + pause);
            server.looked = now;
        }
    }

    /// Notes that a server did not answer a look.
    pub fn handle_poll_failure(&mut self, now: Moment, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.next_look = Some(now + SILENT_PAUSE);
            server.awaits_save = false;
            server.is_silent = true;
        }
    }

    /// Notes that another life of a server, or another server, is at its
    /// address: nothing of before runs there.
    pub fn handle_server_replaced(&mut self, id: &ServerId) {
        self.forget(id, "another life at the address");
    }

    /// Gives up what ran on silent servers once their leases have lapsed.
    pub(super) fn expire(&mut self, now: Moment) {
        let lapsed: Vec<ServerId> = self
            .servers
            .values()
            .filter(|server| match server.reading {
                Some(_) => server.has_lapsed(now),
                None => now.since(self.term.since) > self.timings.takeover_grace,
            })
            .filter(|server| server.is_unlisted || !server.runs.is_empty())
            .map(|server| server.id().clone())
            .collect();
        for id in lapsed {
            let is_unlisted = self.servers.get(&id).is_some_and(|server| server.is_unlisted);
            if is_unlisted {
                self.forget(&id, "left the list and its lease lapsed");
            } else {
                self.release_all(&id, "lease lapsed");
            }
        }
    }

    /// Returns the shortest time between two looks at a server; ends gather
    /// meanwhile, so that the looks of a second cost the same for any number of
    /// servers.
    fn look_spacing(&self) -> Duration {
        LOOK_SPACING * u32::try_from(self.servers.len()).unwrap_or(u32::MAX)
    }

    /// Asks for the looks that are due.
    pub(super) fn ask(&mut self, now: Moment) {
        let spacing = self.look_spacing();
        for server in self.servers.values_mut() {
            let is_stored = server.awaits_save
                && server.seen == server.saved
                && now.since(server.looked) >= spacing;
            if !server.next_look.is_some_and(|due| due <= now || is_stored) {
                continue;
            }
            // A look without an answer may have renewed the lease, so a silent
            // server's lease is left to lapse.
            let renewed = server.until_ms(now, self.timings.lease_duration);
            let lease_until_ms = renewed.filter(|_| !server.is_silent);
            server.lease_until_ms = server.lease_until_ms.max(lease_until_ms.unwrap_or_default());
            server.next_look = None;
            self.effects.push(Effect::Poll {
                target: server.target(self.term.fencing_token),
                lease_until_ms,
                acknowledged: server.saved,
                max_wait: if server.is_fenced { LOOK_WAIT } else { Duration::ZERO },
            });
        }
    }

    fn progress(&mut self, now: Moment, id: &ServerId, running: RunStatus) {
        self.note_begun(&running.task);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if let Some(taken) = server.runs.get_mut(&running.task) {
            if taken.run > running.run {
                return;
            }
            if taken.stage == Stage::Starting {
                taken.stage = Stage::Running;
            }
            if taken.percent != running.percent {
                taken.percent = running.percent;
                taken.percent_since = now;
            }
            taken.tail_ms = running.tail_ms;
            taken.run = running.run;
            self.keep_checkpoint(&running);
            return;
        }
        let stage = match self.may_adopt(&running) {
            true => Stage::Running,
            false => Stage::Stopping { noted: None, next_try: now },
        };
        let mut taken = Use::new(running.run, stage, self.step(&running.task), now);
        taken.percent = running.percent;
        if let Some(server) = self.servers.get_mut(id) {
            server.add(running.task.clone(), taken);
        }
        if stage == Stage::Running {
            self.keep_checkpoint(&running);
            let active = self.jobs.get_mut(&running.task.job);
            if let Some(task) =
                active.and_then(|active| active.task_mut(TaskPosition::of(&running.task)))
            {
                task.phase = Phase::On(id.clone());
            }
            self.explain("run adopted", &running.task, id, "it was running");
        } else {
            self.explain("run stopped", &running.task, id, "not wanted there");
        }
    }

    fn keep_checkpoint(&mut self, running: &RunStatus) {
        let active = self.jobs.get_mut(&running.task.job);
        let task = active.and_then(|active| active.task_mut(TaskPosition::of(&running.task)));
        if let Some(task) = task.filter(|_| !running.checkpoint.is_empty()) {
            task.note.checkpoint = Arc::clone(&running.checkpoint);
        }
    }

    /// Tells whether a run that this holder did not start is wanted: only one
    /// that an earlier holder may have started, of a task that runs nowhere else.
    fn may_adopt(&self, running: &RunStatus) -> bool {
        let task = &running.task;
        self.jobs.get(&task.job).is_some_and(|active| {
            active.outcome.is_none()
                && running.run < task::RunId::first_of_term(self.term.number)
                && active
                    .task(TaskPosition::of(task))
                    .is_some_and(|task| task.phase == Phase::Waiting)
        })
    }

    /// Releases the runs that a full list lacks.
    fn reconcile(&mut self, id: &ServerId, running: &[task::Id], sent: Moment) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let missing: Vec<(task::Id, task::RunId)> = server
            .runs
            .iter()
            .filter(|(task, _)| !running.contains(task))
            .filter(|(_, taken)| match taken.stage {
                Stage::Planned | Stage::Starting => false,
                Stage::Running => sent > taken.since,
                Stage::Stopping { noted: Some(noted), .. } => sent > noted,
                Stage::Stopping { noted: None, .. } => {
                    taken.until_ms > 0 && server.has_passed(sent, taken.until_ms)
                }
            })
            .map(|(task, taken)| (task.clone(), taken.run))
            .collect();
        for (task, run) in missing {
            self.release(id, &task, run, false);
        }
    }

    /// Frees a task that certainly does not run on a server any more.
    pub(super) fn release(
        &mut self,
        id: &ServerId,
        task: &task::Id,
        run: task::RunId,
        avoid: bool,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.runs.get(task).is_some_and(|taken| taken.run == run) {
            server.remove(task);
        }
        let Some(active) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_over = active.outcome.is_some();
        match active.task_mut(TaskPosition::of(task)) {
            Some(known) if known.phase == Phase::On(id.clone()) => {
                known.phase = Phase::Waiting;
                known.avoid = avoid.then(|| id.clone()).or_else(|| known.avoid.take());
            }
            _ => return,
        }
        if is_over {
            self.dirty.insert(task.job.clone());
        }
    }

    fn release_all(&mut self, id: &ServerId, reason: &'static str) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let runs: Vec<(task::Id, task::RunId)> =
            server.runs.iter().map(|(task, taken)| (task.clone(), taken.run)).collect();
        for (task, run) in runs {
            self.release(id, &task, run, true);
            self.explain("run given up", &task, id, reason);
        }
    }

    pub(super) fn forget(&mut self, id: &ServerId, reason: &'static str) {
        self.release_all(id, reason);
        if self.servers.remove(id).is_some() {
            self.effects.push(Effect::RemoveServer(id.clone()));
        }
    }

    pub(super) fn is_lasting(&self, task: &task::Id) -> bool {
        self.jobs
            .get(&task.job)
            .and_then(|active| active.job.steps.get(task.step))
            .is_some_and(|step| step.is_long_running)
    }

    /// Adds a line for the log.
    pub(super) fn explain(
        &mut self,
        action: &'static str,
        task: &task::Id,
        server: &ServerId,
        reason: &'static str,
    ) {
        let (subject, location) = (task.to_string(), Arc::clone(&server.0));
        self.effects.push(Effect::Log(LogEntry { action, subject, location, reason }));
    }

    /// Notes the clock of a server's answer to another order.
    pub fn update_clock(&mut self, id: &ServerId, reading: ClockReading) {
        if let Some(server) = self.servers.get_mut(id) {
            server.note(reading);
        }
    }
}
