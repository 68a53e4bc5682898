//! Results of orders to backend servers, and stops of runs.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::Effect,
    input::{OrderResult, RejectReason, ServerId},
    server::{Attribution, Stage},
};
use crate::job::task;

/// Delay before a stop is sent again that had no answer, that the server
/// rejected because it was unavailable, or that was not sent.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time since a stop was sent after which it is sent again if its result has
/// not been reported.
const STOP_RESULT_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time since a stop was acknowledged after which it is sent again if the run
/// has not ended.
const STOP_END_TIMEOUT: Duration = Duration::from_millis(3200);
/// Time in which a server gets no new work after it rejected a start because
/// its host lacks resources.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(150);

impl Shard {
    /// Handles the result of a start; ignored if the server no longer has this
    /// run. If the start was carried out, the run is in progress, unless its
    /// stop was requested meanwhile. If it was rejected, the run is released
    /// and its task waits again; a server that lacks resources gets no new work
    /// for `NO_CAPACITY_PAUSE`, and an unavailable one backs off.
    ///
    /// Without an answer the run may have started. Unless a report has shown it
    /// meanwhile, it is stopped, so that its task can soon start again. One of a
    /// long-running task is left to the next reports instead: its stop could
    /// make more tasks of the step unavailable than allowed. If the server has
    /// restarted since, the start has no deadline there and is stopped all the same.
    ///
    /// If the server rejects the fencing token, this holder steps down instead;
    /// if another incarnation or server is at the address, the server is
    /// removed.
    pub fn handle_start_result(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: &task::Id,
        run: task::RunId,
        result: OrderResult,
    ) {
        if !self.apply_common_result(id, task, run, result) {
            return;
        }
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let Some(active_run) = server.runs.get_mut(task) else {
            return;
        };
        match result {
            OrderResult::Done(_) if active_run.stage == Stage::Starting => {
                active_run.stage = Stage::Running;
                active_run.stage_since = now;
                self.send_window.record_confirmed();
                self.mark_started(task);
            }
            OrderResult::Done(_) => {}
            OrderResult::Refused(reject_reason, _) => {
                match reject_reason {
                    RejectReason::InsufficientCapacity => {
                        server.health.pause(now + NO_CAPACITY_PAUSE)
                    }
                    RejectReason::Unavailable => server.health.record_rejection(now),
                    _ => {}
                }
                self.release(id, task, run, false);
                self.log("start rejected", task, id, reject_reason.as_str());
            }
            // A report has confirmed the run meanwhile, or its stop is requested.
            OrderResult::Unknown if active_run.stage != Stage::Starting => {}
            OrderResult::Unknown => {
                let has_deadline = active_run.start_deadline_ms.is_some();
                active_run.stage = match active_run.is_long_running && has_deadline {
                    true => Stage::Unconfirmed,
                    false => Stage::Stopping { acknowledged: None, next_try: now },
                };
                self.log("start in doubt", task, id, "no answer");
            }
        }
    }

    /// Handles the result of a stop; ignored if the server no longer has this
    /// run. A stop without an answer, one that an unavailable or another server
    /// rejected or one that was not sent is sent again after `STOP_RETRY_DELAY`. Any
    /// other counts as acknowledged and is sent again only if the run has not ended
    /// within `STOP_END_TIMEOUT`.
    ///
    /// If the server rejects the fencing token, this holder steps down instead;
    /// if another incarnation or server is at the address, the server is
    /// removed.
    pub fn handle_stop_result(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: &task::Id,
        run: task::RunId,
        result: OrderResult,
    ) {
        if !self.apply_common_result(id, task, run, result) {
            return;
        }
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let Some(active_run) = server.runs.get_mut(task) else {
            return;
        };
        match result {
            OrderResult::Unknown
            | OrderResult::Refused(
                RejectReason::Unavailable
                | RejectReason::NotSent
                | RejectReason::IncarnationMismatch,
                _,
            ) => {
                active_run.stage =
                    Stage::Stopping { acknowledged: None, next_try: now + STOP_RETRY_DELAY };
            }
            OrderResult::Done(_) | OrderResult::Refused(..) => {
                active_run.stage =
                    Stage::Stopping { acknowledged: Some(now), next_try: now + STOP_END_TIMEOUT };
            }
        }
    }

    /// Applies what the results of starts and stops have in common: records the
    /// clock reading, if there is one, removes a server that was replaced, and
    /// requests that the holder steps down if the server rejects its fencing
    /// token. Returns whether the result still has to be applied to its run. If
    /// the server no longer has this run, it returns false and applies nothing.
    ///
    /// An order for a run whose start was sent to an earlier incarnation may have
    /// gone to another address, so it does not tell that the server was replaced.
    fn apply_common_result(
        &mut self,
        id: &ServerId,
        task: &task::Id,
        run: task::RunId,
        result: OrderResult,
    ) -> bool {
        let Some(server) = self.servers.get(id) else {
            return false;
        };
        let Some(known) = server.runs.get(task).filter(|active_run| active_run.id == run) else {
            return false;
        };
        match result {
            OrderResult::Refused(RejectReason::IncarnationMismatch, _)
                if known.attribution == Attribution::Earlier =>
            {
                true
            }
            OrderResult::Refused(RejectReason::Fenced, _) => {
                self.effects.push(Effect::StepDown);
                false
            }
            OrderResult::Refused(RejectReason::IncarnationMismatch, _) => {
                let target = server.target(self.term.fencing_token);
                self.handle_server_replaced(&target);
                false
            }
            OrderResult::Done(reading) | OrderResult::Refused(_, Some(reading)) => {
                self.update_clock(id, reading);
                true
            }
            OrderResult::Refused(_, None) | OrderResult::Unknown => true,
        }
    }

    /// Records that a server has started a task of this task's job, so that
    /// `Shard::backlog` no longer lists the job; does nothing if the job is
    /// unknown.
    pub(super) fn mark_started(&mut self, task: &task::Id) {
        if let Some(active) = self.jobs.get_mut(&task.job) {
            active.has_started = true;
        }
    }

    /// Requests the stop of a task's run on a server; it is due from `now`, and
    /// `send_due_stops` sends it. A run whose start was never sent is only
    /// released. Does nothing if the server has no run of the task or is
    /// stopping it already.
    pub(super) fn request_stop(&mut self, now: Moment, id: &ServerId, task: &task::Id) {
        let Some(active_run) =
            self.servers.get_mut(id).and_then(|server| server.runs.get_mut(task))
        else {
            return;
        };
        match active_run.stage {
            Stage::Planned => {
                let run = active_run.id;
                self.release(id, task, run, false);
            }
            Stage::Stopping { .. } => {}
            Stage::Starting | Stage::Unconfirmed | Stage::Running => {
                active_run.stage = Stage::Stopping { acknowledged: None, next_try: now };
            }
        }
    }

    /// Sends the stops that are due on any server. Each is due again after
    /// `STOP_RESULT_TIMEOUT`, unless its result arrives before.
    pub(super) fn send_due_stops(&mut self, now: Moment) {
        for server in self.servers.values_mut() {
            let target = server.target(self.term.fencing_token);
            for (task, active_run) in &mut server.runs {
                match active_run.stage {
                    Stage::Stopping { next_try, acknowledged } if next_try <= now => {
                        active_run.stage =
                            Stage::Stopping { acknowledged, next_try: now + STOP_RESULT_TIMEOUT };
                        let (task, run) = (task.clone(), active_run.id);
                        self.effects.push(Effect::Stop { target: target.clone(), task, run });
                    }
                    _ => {}
                }
            }
        }
    }
}

impl RejectReason {
    /// Returns the reason of the rejection as a phrase for the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            RejectReason::Fenced => "a later holder has fenced the server",
            RejectReason::StaleRun => "a newer run was stopped or has ended there",
            RejectReason::Expired => "the order arrived after its deadline",
            RejectReason::InsufficientCapacity => "the host lacks capacity",
            RejectReason::Unavailable => "the server is unavailable or overloaded",
            RejectReason::NotSent => "the holder had too many orders to send",
            RejectReason::IncarnationMismatch => "another incarnation or server is at the address",
            RejectReason::Invalid => "the server rejected the order as invalid",
        }
    }
}
