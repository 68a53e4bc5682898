//! Polling of backend servers: status reports and lease renewals.

use std::{sync::Arc, time::Duration};

use skylarkwick_version::moment::{Moment, millis};

use super::{
    Shard,
    effect::{Effect, LogEntry, Target},
    input::{ClockReading, FinishedRun, RunStatus, ServerId, ServerInfo, StatusReport},
    liveness::{Evidence, Liveness},
    occurrence::TaskState,
    quota,
    server::{ActiveRun, Attribution, Stage},
};
use crate::job::{progress::TaskPosition, task};

/// Delay between the answer to a poll and the next poll of that server, for
/// each server that the shard knows; see `poll_spacing`.
const POLL_SPACING_PER_SERVER: Duration = Duration::from_micros(400);
/// Delay before a server is polled again that did not answer or whose
/// incarnation does not match the list.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between the answer to a poll and the next poll of that server
/// while the run ends handled so far are being stored.
const MAX_SAVE_WAIT: Duration = Duration::from_millis(400);
/// Longest time that a server may wait for a run to end before it answers a poll while the lease
/// of the shard is not confirmed: the next poll extends the leases of runs once it is.
const UNCONFIRMED_POLL_WAIT: Duration = Duration::from_millis(200);

impl TaskPosition {
    /// Returns the position of a task in its job: its occurrence, step and
    /// index.
    pub(super) fn of(task: &task::Id) -> TaskPosition {
        TaskPosition { occurrence: task.occurrence, step: task.step, index: task.index }
    }
}

impl Shard {
    /// Handles a server's answer to a poll: its clock is read, run ends are
    /// handled, reported runs are updated, adopted or stopped, runs that a
    /// complete report lacks are released if they are certainly gone, and the
    /// next poll is scheduled. The server is fenced from then on: it rejects
    /// orders of earlier holders.
    ///
    /// The report of an unknown server or of an earlier incarnation is ignored, as is
    /// one that was polled before the last report. A later incarnation replaces the
    /// server, as in `set_servers`, and is polled at once; it counts as unlisted until
    /// the list has an entry of it.
    pub fn handle_status_report(&mut self, now: Moment, report: StatusReport) {
        let id = report.server.clone();
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        match report.incarnation_ms {
            Some(incarnation_ms) if incarnation_ms > server.info.incarnation_ms => {
                let info = ServerInfo { incarnation_ms, ..server.info.clone() };
                self.restart_server(now, info);
                if let Some(server) = self.servers.get_mut(&id) {
                    server.is_unlisted = true;
                }
                return;
            }
            Some(incarnation_ms) if incarnation_ms < server.info.incarnation_ms => {
                // The answer to a poll of that incarnation, or the list names a start that
                // the server does not know of.
                if report.clock.sent >= server.since {
                    server.next_poll = Some(now + POLL_RETRY_DELAY);
                }
                return;
            }
            // An earlier incarnation may have answered.
            None if report.clock.sent < server.since => return,
            _ => {}
        }
        // A later report has come first; it had all that this one tells.
        if report.clock.sent < server.last_report_sent {
            return;
        }
        let earlier_until_ms = self.earlier_lease_ms(now, &report);
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.record_clock(report.clock);
        server.record_poll_answered();
        server.is_unreachable = false;
        let granted_ms = match server.may_have_longest_lease(&report, earlier_until_ms) {
            true => Some(report.clock.clock_ms.saturating_add(millis(self.timings.max_lease))),
            false => earlier_until_ms,
        };
        server.lease_until_ms = server.lease_until_ms.max(granted_ms);
        server.is_fenced = true;
        if report.incarnation_ms.is_some() {
            server.identified_at.get_or_insert(now);
        }
        for finished in report.finished {
            let task = self.owned_task(&id, finished.task);
            self.handle_run_end(now, &id, FinishedRun { task, ..finished });
        }
        let sent_at = report.clock.sent;
        let mut running: Vec<task::Id> = Vec::with_capacity(report.running.len());
        for run in report.running {
            let task = self.owned_task(&id, run.task);
            running.push(task.clone());
            self.update_run(now, &id, RunStatus { task, ..run });
        }
        if !report.is_partial {
            self.reconcile(&id, &running, sent_at);
        }
        let spacing = self.poll_spacing();
        if let Some(server) = self.servers.get_mut(&id) {
            server.awaits_save = server.last_seen_end != server.last_saved_end;
            let delay = if server.awaits_save { MAX_SAVE_WAIT } else { spacing };
            server.next_poll = Some(now + delay);
            server.last_poll = now;
            server.last_report_sent = sent_at;
        }
    }

    /// Returns until when at the latest, on the server's clock in milliseconds, leases last that
    /// earlier holders have granted, by the server's first report to this holder; `None` by later
    /// ones, since the server rejects earlier holders from then on.
    fn earlier_lease_ms(&self, now: Moment, report: &StatusReport) -> Option<u64> {
        let server = self.servers.get(&report.server).filter(|server| !server.is_fenced)?;
        let earlier = self.silence_end(now, server).since(report.clock.sent);
        let left = earlier.min(self.timings.max_lease);
        Some(report.clock.clock_ms.saturating_add(millis(left)))
    }

    /// Handles a poll without an answer: until the server answers a poll, it
    /// counts as unreachable and gets no new work and no lease renewal. It is
    /// polled again after `POLL_RETRY_DELAY`. A poll of an earlier incarnation is
    /// ignored.
    pub fn handle_poll_failure(&mut self, now: Moment, target: &Target) {
        if let Some(server) = self.servers.get_mut(&target.server)
            && server.info.incarnation_ms == target.incarnation_ms
        {
            server.next_poll = Some(now + POLL_RETRY_DELAY);
            server.awaits_save = false;
            server.is_unreachable = true;
        }
    }

    /// Returns the normal delay between the answer to a poll and the next poll
    /// of that server. It grows with the number of servers, which limits the
    /// total rate of polls; run ends accumulate in between.
    fn poll_spacing(&self) -> Duration {
        POLL_SPACING_PER_SERVER * u32::try_from(self.servers.len()).unwrap_or(u32::MAX)
    }

    /// Sends the polls that are due. One that waits for run ends to be stored
    /// is due early once they are, but not before `poll_spacing` has passed. A
    /// poll renews the server's lease for `lease_duration` at most (see
    /// `grantable`), unless the server is unreachable or its clock is unknown,
    /// and acknowledges run ends that
    /// are stored, see [`Server::next_acknowledgement`].
    pub(super) fn send_due_polls(&mut self, now: Moment) {
        let spacing = self.poll_spacing();
        let lease = self.grantable(now, self.timings.lease_duration);
        let longest_wait = if self.is_exclusive { Duration::MAX } else { UNCONFIRMED_POLL_WAIT };
        for server in self.servers.values_mut() {
            let is_save_done = server.awaits_save
                && server.last_seen_end == server.last_saved_end
                && now.since(server.last_poll) >= spacing;
            if !server.next_poll.is_some_and(|due| due <= now || is_save_done) {
                continue;
            }
            // A poll without an answer may have renewed the lease, so further
            // polls don't renew it until the server answers.
            let renewed_until_ms = lease.and_then(|lease| server.deadline_ms(now, lease));
            let lease_until_ms =
                renewed_until_ms.filter(|_| server.is_fenced && !server.is_unreachable);
            server.lease_until_ms = server.lease_until_ms.max(lease_until_ms);
            server.next_poll = None;
            self.effects.push(Effect::Poll {
                target: server.target(self.term.fencing_token),
                lease_until_ms,
                acknowledged: server.next_acknowledgement(now),
                max_wait: server.poll_wait().min(longest_wait),
            });
        }
    }

    /// Returns for how long a lease that is granted now may last of `longest`; `None` once the
    /// time for grants is over, because the lease of the shard was not renewed.
    pub(super) fn grantable(&self, now: Moment, longest: Duration) -> Option<Duration> {
        let left = self.grants_end.since(now).min(longest);
        (!left.is_zero()).then_some(left)
    }

    /// Updates a run that a server reports as running: its percentage, tail
    /// latency and checkpoint; one whose start was not answered is now in progress. If
    /// this holder knows no run of the task there, the run is adopted if
    /// `may_adopt` allows it, else stopped; both are logged. A report of a run
    /// older than the known one only marks the job as started.
    fn update_run(&mut self, now: Moment, id: &ServerId, running: RunStatus) {
        self.open_reported_occurrence(&running.task);
        self.mark_started(&running.task);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if let Some(active_run) = server.runs.get_mut(&running.task) {
            if active_run.id > running.run {
                return;
            }
            active_run.attribution = Attribution::Reported;
            if matches!(active_run.stage, Stage::Starting | Stage::Unconfirmed) {
                active_run.stage = Stage::Running;
                active_run.stage_since = now;
                self.send_window.record_confirmed();
            }
            if active_run.percent != running.percent {
                active_run.percent = running.percent;
                active_run.last_percent_or_pace_change = now;
            }
            active_run.tail_latency_ms = running.tail_ms;
            active_run.id = running.run;
            self.record_checkpoint(&running);
            return;
        }
        let stage = match self.may_adopt(&running) {
            true => Stage::Running,
            false => Stage::Stopping { acknowledged: None, next_try: now },
        };
        let mut active_run = ActiveRun::new(running.run, stage, self.step(&running.task), now);
        active_run.attribution = Attribution::Reported;
        active_run.percent = running.percent;
        let active = self.jobs.get(&running.task.job);
        let active_run = active_run.charged(quota::charge(active, self.step(&running.task)));
        if let Some(server) = self.servers.get_mut(id) {
            server.add(running.task.clone(), active_run);
        }
        if stage == Stage::Running {
            self.record_checkpoint(&running);
            let active = self.jobs.get_mut(&running.task.job);
            if let Some(task) =
                active.and_then(|active| active.task_mut(TaskPosition::of(&running.task)))
            {
                task.state = TaskState::Assigned(id.clone());
            }
            self.log("run adopted", &running.task, id, "an earlier holder started it");
        } else {
            self.log("run stopped", &running.task, id, "it is not assigned to this server");
        }
    }

    /// Opens the occurrence of a task that a server reports: a holder whose
    /// clock was ahead has started it. Does nothing if the job is unknown.
    fn open_reported_occurrence(&mut self, task: &task::Id) {
        if let Some(active) = self.jobs.get_mut(&task.job) {
            active.open_occurrence(task.occurrence);
        }
    }

    /// Keeps the checkpoint of a reported run with its task or gang, unless it is
    /// empty, a later run has ended or the task is unknown; the next write of the job
    /// stores it.
    fn record_checkpoint(&mut self, running: &RunStatus) {
        let position = TaskPosition::of(&running.task);
        let Some(active) = self.jobs.get_mut(&running.task.job) else {
            return;
        };
        if running.checkpoint.is_empty() || active.last_ended_run(position) >= running.run {
            return;
        }
        if let Some(task) = active.checkpoint_task(position) {
            task.progress.checkpoint = Arc::clone(&running.checkpoint);
        }
    }

    /// Returns whether an unknown run is adopted: an earlier holder must have
    /// started it (its number is below those of this term), its job must have
    /// no outcome yet, and its task must be waiting.
    fn may_adopt(&self, running: &RunStatus) -> bool {
        let task = &running.task;
        self.jobs.get(&task.job).is_some_and(|active| {
            active.outcome.is_none()
                && !self.is_own_run(running.run)
                && active.is_waiting(TaskPosition::of(task))
        })
    }

    /// Returns whether a run has a number of this term, so that no earlier holder
    /// has started it.
    pub(super) fn is_own_run(&self, run: task::RunId) -> bool {
        run >= task::RunId::first_of_term(self.term.number)
    }

    /// Releases the runs that a complete report does not list and that are
    /// certainly over, see [`Server::liveness`]. `polled` is when the poll was sent.
    fn reconcile(&mut self, id: &ServerId, running: &[task::Id], polled: Moment) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let is_over = |active_run| {
            server.liveness(active_run, Evidence::NotReported { polled }) == Liveness::Ended
        };
        let missing: Vec<(task::Id, task::RunId)> = server
            .runs
            .iter()
            .filter(|(task, active_run)| !running.contains(task) && is_over(active_run))
            .map(|(task, active_run)| (task.clone(), active_run.id))
            .collect();
        for (task, run) in missing {
            self.release(id, &task, run, false);
        }
    }

    /// Removes a run that has ended or never started, and returns its task to
    /// waiting if it is assigned to this server. With `avoid_server`, the
    /// task's next run prefers another server. A job whose outcome is decided
    /// is then stored again, because this may have been its last run. Does
    /// nothing if the server is unknown.
    pub(super) fn release(
        &mut self,
        id: &ServerId,
        task: &task::Id,
        run: task::RunId,
        avoid_server: bool,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let released = server.runs.get(task).filter(|active_run| active_run.id == run);
        let last_run = released.and_then(|active_run| server.last_run_time(active_run));
        if released.is_some() {
            server.remove(task);
        }
        let Some(active) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(last_run) = last_run {
            active.record_run_over(TaskPosition::of(task), last_run);
        }
        let is_finished = active.outcome.is_some();
        let was_assigned = active.unassign(TaskPosition::of(task), id, avoid_server);
        if was_assigned && is_finished {
            self.unsaved_jobs.insert(task.job.clone());
        }
    }

    /// Has a decision about a task on a server logged, with the reason for it.
    pub(super) fn log(
        &mut self,
        action: &'static str,
        task: &task::Id,
        server: &ServerId,
        reason: &'static str,
    ) {
        let (task, server) = (task.to_string(), Arc::clone(&server.0));
        let entry = LogEntry { action, task, server, reason, unavailable: None };
        self.effects.push(Effect::Log(entry));
    }

    /// Records the clock that a server sent with its answer to an order;
    /// ignored if the server is unknown, a later reading is known, or the order
    /// was sent before the server's incarnation was known: an earlier one, whose
    /// clock was another, may have answered.
    pub fn update_clock(&mut self, id: &ServerId, reading: ClockReading) {
        if let Some(server) = self.servers.get_mut(id)
            && reading.sent >= server.since
        {
            server.record_clock(reading);
        }
    }
}
