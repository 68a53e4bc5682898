//! Answers of backend servers to orders, and the stops of runs.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::Effect,
    input::{Answer, Refusal, ServerId},
    server::Stage,
};
use crate::job::task;

/// Pause before a stop without an answer is sent again.
const STOP_RETRY: Duration = Duration::from_millis(400);
/// Time without new work for a server that has less room than known.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(150);

impl Shard {
    /// Notes the answer to a start.
    pub fn started(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: &task::Id,
        run: task::Run,
        answer: Answer,
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
            Answer::Done(_) if taken.stage == Stage::Starting => {
                taken.stage = Stage::Running;
                taken.since = now;
                self.note_begun(task);
            }
            Answer::Done(_) => {}
            Answer::Refused(refusal, _) => {
                match refusal {
                    Refusal::NoRoom => server.pause(now + NO_ROOM_PAUSE),
                    Refusal::Unwell => server.rest(now),
                    _ => {}
                }
                self.release(id, task, run, false);
                self.explain("start refused", task, id, refusal.as_str());
            }
            Answer::Unknown => {
                taken.stage = Stage::Stopping { noted: None, next_try: now };
                self.explain("start in doubt", task, id, "no answer");
            }
        }
    }

    /// Notes the answer to a stop.
    pub fn stopped(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: &task::Id,
        run: task::Run,
        answer: Answer,
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
            Answer::Unknown | Answer::Refused(Refusal::Unwell, _) => {
                taken.stage = Stage::Stopping { noted: None, next_try: now + STOP_RETRY };
            }
            Answer::Done(_) | Answer::Refused(..) => {
                taken.stage = Stage::Stopping { noted: Some(now), next_try: now + STOP_RETRY * 8 };
            }
        }
    }

    /// Takes in what any answer may tell; false when it says nothing more of the
    /// run, because the run is not known or its server is another's or gone.
    fn applies(&mut self, id: &ServerId, task: &task::Id, run: task::Run, answer: Answer) -> bool {
        let known = self.servers.get(id).and_then(|server| server.runs.get(task));
        if known.is_none_or(|taken| taken.run != run) {
            return false;
        }
        match answer {
            Answer::Refused(Refusal::Fenced, _) => {
                self.effects.push(Effect::StepDown);
                false
            }
            Answer::Refused(Refusal::OtherLife, _) => {
                self.replaced(id);
                false
            }
            Answer::Done(reading) | Answer::Refused(_, Some(reading)) => {
                self.heard(id, reading);
                true
            }
            Answer::Refused(_, None) | Answer::Unknown => true,
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
            let target = server.target(self.term.fencing);
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

impl Refusal {
    /// Returns the reason in words for the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::Fenced => "a later holder has fenced the server",
            Refusal::OldRun => "a later run has ended there",
            Refusal::Late => "the order came too late",
            Refusal::NoRoom => "the host lacks room",
            Refusal::Unwell => "the server is not well",
            Refusal::OtherLife => "another life of the server is there",
            Refusal::Invalid => "the server can't read the order",
        }
    }
}
