//! Answers of backend servers to orders, and the stops of runs.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::Effect,
    input::{OrderResult, RejectReason, ServerId},
    server::Stage,
};
use crate::job::task;

/// Pause before a stop without an answer is sent again.
const STOP_RETRY: Duration = Duration::from_millis(400);
/// Time without new work for a server that has less room than known.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(150);

impl Shard {
    /// Notes the answer to a start.
    pub fn handle_start_result(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: &task::Id,
        run: task::RunId,
        answer: OrderResult,
    ) {
        if !self.applies(id, task, run, answer) {
            return;
        }
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let Some(taken) = server.runs.get_mut(task) else {
            return;
        };
        match answer {
            OrderResult::Done(_) if taken.stage == Stage::Starting => {
                taken.stage = Stage::Running;
                taken.since = now;
                self.note_begun(task);
            }
            OrderResult::Done(_) => {}
            OrderResult::Refused(refusal, _) => {
                match refusal {
                    RejectReason::InsufficientCapacity => server.pause(now + NO_ROOM_PAUSE),
                    RejectReason::Unavailable => server.rest(now),
                    _ => {}
                }
                self.release(id, task, run, false);
                self.explain("start refused", task, id, refusal.as_str());
            }
            OrderResult::Unknown => {
                taken.stage = Stage::Stopping { noted: None, next_try: now };
                self.explain("start in doubt", task, id, "no answer");
            }
        }
    }

    /// Notes the answer to a stop.
    pub fn handle_stop_result(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: &task::Id,
        run: task::RunId,
        answer: OrderResult,
    ) {
        if !self.applies(id, task, run, answer) {
            return;
        }
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let Some(taken) = server.runs.get_mut(task) else {
            return;
        };
        match answer {
            OrderResult::Unknown | OrderResult::Refused(RejectReason::Unavailable, _) => {
                taken.stage = Stage::Stopping { noted: None, next_try: now + STOP_RETRY };
            }
            OrderResult::Done(_) | OrderResult::Refused(..) => {
                taken.stage = Stage::Stopping { noted: Some(now), next_try: now + STOP_RETRY * 8 };
            }
        }
    }

    /// Takes in what any answer may tell; false when it says nothing more of the
    /// run, because the run is not known or its server is another's or gone.
    fn applies(
        &mut self,
        id: &ServerId,
        task: &task::Id,
        run: task::RunId,
        answer: OrderResult,
    ) -> bool {
        let known = self.servers.get(id).and_then(|server| server.runs.get(task));
        if known.is_none_or(|taken| taken.run != run) {
            return false;
        }
        match answer {
            OrderResult::Refused(RejectReason::Fenced, _) => {
                self.effects.push(Effect::StepDown);
                false
            }
            OrderResult::Refused(RejectReason::IncarnationMismatch, _) => {
                self.handle_server_replaced(id);
                false
            }
            OrderResult::Done(reading) | OrderResult::Refused(_, Some(reading)) => {
                self.update_clock(id, reading);
                true
            }
            OrderResult::Refused(_, None) | OrderResult::Unknown => true,
        }
    }

    /// Notes that a server has begun a task.
    pub(super) fn note_begun(&mut self, task: &task::Id) {
        if let Some(active) = self.jobs.get_mut(&task.job) {
            active.has_run = true;
        }
    }

    /// Asks a server to end what it runs of a task; what it was not told to start
    /// is only forgotten.
    pub(super) fn stop(&mut self, now: Moment, id: &ServerId, task: &task::Id) {
        let Some(taken) = self.servers.get_mut(id).and_then(|server| server.runs.get_mut(task))
        else {
            return;
        };
        match taken.stage {
            Stage::Planned => {
                let run = taken.run;
                self.release(id, task, run, false);
            }
            Stage::Stopping { .. } => {}
            Stage::Starting | Stage::Running => {
                taken.stage = Stage::Stopping { noted: None, next_try: now };
            }
        }
    }

    /// Sends the stops that are due.
    pub(super) fn retry_stops(&mut self, now: Moment) {
        for server in self.servers.values_mut() {
            let target = server.target(self.term.fencing_token);
            for (task, taken) in &mut server.runs {
                match taken.stage {
                    Stage::Stopping { next_try, noted } if next_try <= now => {
                        taken.stage = Stage::Stopping { noted, next_try: now + STOP_RETRY * 4 };
                        let (task, run) = (task.clone(), taken.run);
                        self.effects.push(Effect::Stop { target: target.clone(), task, run });
                    }
                    _ => {}
                }
            }
        }
    }
}

impl RejectReason {
    /// Returns the reason in words for the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            RejectReason::Fenced => "a later holder has fenced the server",
            RejectReason::StaleRun => "a later run has ended there",
            RejectReason::Expired => "the order came too late",
            RejectReason::InsufficientCapacity => "the host lacks room",
            RejectReason::Unavailable => "the server is not well",
            RejectReason::IncarnationMismatch => "another life of the server is there",
            RejectReason::Invalid => "the server can't read the order",
        }
    }
}
