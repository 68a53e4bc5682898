//! What backend servers say: lists of runs and ends, answers to orders.

use std::{sync::Arc, time::Duration};

use skylarkwick_version::{moment::Moment, quantity::Quantity};

use super::{
    Shard,
    active::Phase,
    effect::{Effect, Reason},
    fact::{Answer, Ended, Listing, Look, Reading, Refusal, Running, ServerId},
    server::{Server, Stage, Use, millis},
};
use crate::job::{progress::Place, task};

/// How long a server waits for an end before it answers a look.
const LOOK_WAIT: Duration = Duration::from_millis(900);
/// Pause before a silent server is looked at again.
const SILENT_PAUSE: Duration = Duration::from_millis(250);
/// Longest time that ends wait to be stored before the next look goes out.
const SAVE_WAIT: Duration = Duration::from_millis(400);
/// Pause before a stop without an answer is sent again.
const STOP_RETRY: Duration = Duration::from_millis(400);
/// Time without new work for a server that has less room than known.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(150);

impl Place {
    fn of(task: &task::Id) -> Place {
        Place { occurrence: task.occurrence, step: task.step, index: task.index }
    }
}

impl Shard {
    /// Puts the platform's list of servers in force.
    ///
    /// A server that the list lacks gets nothing new; what ran there is given
    /// up only when its lease has lapsed.
    pub fn list(&mut self, now: Moment, listings: Vec<Listing>) {
        let listed: std::collections::BTreeSet<ServerId> =
            listings.iter().map(|listing| listing.id.clone()).collect();
        self.has_list = true;
        for server in self.servers.values_mut() {
            server.is_unlisted = !listed.contains(server.id());
        }
        for listing in listings {
            let id = listing.id.clone();
            let is_new_life = self.servers.get(&id).is_some_and(|server| {
                server.listing.born_ms < listing.born_ms
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
    pub fn look(&mut self, now: Moment, look: Look) {
        let id = look.server.clone();
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if look.born_ms.is_some_and(|born_ms| born_ms != server.listing.born_ms) {
            // The list lags behind the server's restart, or the other way round.
            server.next_look = Some(now + SILENT_PAUSE);
            if look.born_ms > Some(server.listing.born_ms) {
                let mut listing = server.listing.clone();
                listing.born_ms = look.born_ms.unwrap_or_default();
                self.forget(&id, "new life of the server");
                self.servers.insert(id, Server::new(listing, now));
            }
            return;
        }
        server.note(look.reading);
        server.is_silent = false;
        if !server.is_fenced {
            // An earlier holder may have renewed the lease right before.
            let granted = look.reading.clock_ms + millis(self.rules.lease);
            server.lease_until_ms = server.lease_until_ms.max(granted);
            server.is_fenced = true;
        }
        for ended in look.ended {
            self.end(now, &id, ended);
        }
        let sent = look.reading.sent;
        let running: Vec<task::Id> = look.running.iter().map(|run| run.task.clone()).collect();
        for run in look.running {
            self.progress(now, &id, run);
        }
        if !look.is_partial {
            self.reconcile(&id, &running, sent);
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.awaits_save = server.seen != server.saved;
            server.next_look = Some(if server.awaits_save { now + SAVE_WAIT } else { now });
        }
    }

    /// Notes that a server did not answer a look.
    pub fn silent(&mut self, now: Moment, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.next_look = Some(now + SILENT_PAUSE);
            server.awaits_save = false;
            server.is_silent = true;
        }
    }

    /// Notes that another life of a server, or another server, is at its
    /// address: nothing of before runs there.
    pub fn replaced(&mut self, id: &ServerId) {
        self.forget(id, "another life at the address");
    }

    /// Notes the answer to a start.
    pub fn started(
        &mut self,
        now: Moment,
        id: &ServerId,
        task: &task::Id,
        run: task::Run,
        answer: Answer,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let Some(taken) = server.runs.get_mut(task).filter(|taken| taken.run == run) else {
            return;
        };
        match answer {
            Answer::Done(reading) => {
                if taken.stage == Stage::Starting {
                    taken.stage = Stage::Running;
                    taken.since = now;
                }
                server.note(reading);
            }
            Answer::Refused(Refusal::Fenced, _) => self.effects.push(Effect::StepDown),
            Answer::Refused(Refusal::OtherLife, _) => {
                self.forget(id, "another life at the address");
            }
            Answer::Refused(refusal, reading) => {
                match refusal {
                    Refusal::NoRoom => server.pause(now + NO_ROOM_PAUSE),
                    Refusal::Unwell => server.rest(now),
                    _ => {}
                }
                if let Some(reading) = reading {
                    server.note(reading);
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
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let Some(taken) = server.runs.get_mut(task).filter(|taken| taken.run == run) else {
            return;
        };
        match answer {
            Answer::Refused(Refusal::Fenced, _) => self.effects.push(Effect::StepDown),
            Answer::Refused(Refusal::OtherLife, _) => {
                self.forget(id, "another life at the address");
            }
            Answer::Unknown | Answer::Refused(Refusal::Unwell, _) => {
                taken.stage = Stage::Stopping { noted: None, next_try: now + STOP_RETRY };
            }
            Answer::Done(reading) => {
                taken.stage = Stage::Stopping { noted: Some(now), next_try: now + STOP_RETRY * 8 };
                server.note(reading);
            }
            Answer::Refused(_, reading) => {
                taken.stage = Stage::Stopping { noted: Some(now), next_try: now + STOP_RETRY * 8 };
                if let Some(reading) = reading {
                    server.note(reading);
                }
            }
        }
    }

    /// Asks a server to end what it runs of a task.
    pub(super) fn stop(&mut self, now: Moment, id: &ServerId, task: &task::Id) {
        let taken = self.servers.get_mut(id).and_then(|server| server.runs.get_mut(task));
        if let Some(taken) = taken.filter(|taken| !taken.is_stopping()) {
            taken.stage = Stage::Stopping { noted: None, next_try: now };
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

    /// Gives up what ran on silent servers once their leases have lapsed.
    pub(super) fn expire(&mut self, now: Moment) {
        let lapsed: Vec<ServerId> = self
            .servers
            .values()
            .filter(|server| match server.reading {
                Some(_) => server.has_lapsed(now),
                None => now.since(self.term.since) > self.rules.doubt,
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

    /// Asks for the looks that are due.
    pub(super) fn ask(&mut self, now: Moment) {
        for server in self.servers.values_mut() {
            let is_stored = server.awaits_save && server.seen == server.saved;
            if !server.next_look.is_some_and(|due| due <= now || is_stored) {
                continue;
            }
            // A look without an answer may have renewed the lease, so a silent
            // server's lease is left to lapse.
            let renewed = server.until_ms(now, self.rules.lease);
            let until_ms = renewed.filter(|_| !server.is_silent);
            server.lease_until_ms = server.lease_until_ms.max(until_ms.unwrap_or_default());
            server.next_look = None;
            self.effects.push(Effect::Look {
                target: server.target(self.term.fencing),
                until_ms,
                acknowledged: server.saved,
                wait: if server.is_fenced { LOOK_WAIT } else { Duration::ZERO },
            });
        }
    }

    fn end(&mut self, now: Moment, id: &ServerId, ended: Ended) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if ended.number <= server.seen {
            return;
        }
        server.seen = ended.number;
        let known = server.runs.get(&ended.task).filter(|taken| taken.run <= ended.run);
        let run_time = known.map(|taken| now.since(taken.since));
        if known.is_some() {
            server.runs.remove(&ended.task);
        }
        if let (Some(run_time), task::End::Done) = (run_time, ended.end) {
            self.learn(&ended.task, run_time);
        }
        let is_lasting = self.is_lasting(&ended.task);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        match ended.end {
            task::End::Done => server.succeed(),
            task::End::Failed if !is_lasting && server.fail(now) => {
                self.explain("server rests", &ended.task, id, "failures in a row");
            }
            _ => {}
        }
        self.end_task(now, id, &ended);
    }

    fn learn(&mut self, task: &task::Id, run_time: Duration) {
        let Some(active) = self.jobs.get(&task.job) else {
            return;
        };
        if let Some(step) = active.job.steps.get(task.step) {
            self.learning.observe(&active.queue, step.estimate, run_time);
        }
    }

    /// Brings an end to its job.
    ///
    /// A new holder hears of ends in any order, of some once more, and of some
    /// after it has adopted a later run of the same task.
    fn end_task(&mut self, now: Moment, id: &ServerId, ended: &Ended) {
        let Some(active) = self.jobs.get_mut(&ended.task.job) else {
            return;
        };
        let steps = &active.job.steps;
        let is_lasting = steps.get(ended.task.step).is_some_and(|step| step.is_lasting);
        let Some(task) = active.task_mut(Place::of(&ended.task)) else {
            return;
        };
        if task.phase == Phase::Done {
            return;
        }
        let elsewhere = match &task.phase {
            Phase::On(server) if server != id => Some(server.clone()),
            _ => None,
        };
        let is_latest = ended.run > task.note.last_end;
        task.note.last_end = task.note.last_end.max(ended.run);
        if is_latest && !ended.checkpoint.is_empty() {
            task.note.checkpoint = Arc::clone(&ended.checkpoint);
        }
        match ended.end {
            task::End::Done => {
                task.phase = Phase::Done;
                task.note.is_done = true;
            }
            task::End::Failed => {
                if !is_lasting {
                    task.note.failed.insert(ended.run);
                }
                task.avoid = Some(id.clone());
            }
            task::End::Stopped => {}
        }
        match elsewhere {
            Some(server) if ended.end == task::End::Done => self.stop(now, &server, &ended.task),
            None if ended.end != task::End::Done => task.phase = Phase::Waiting,
            _ => {}
        }
        self.dirty.insert(ended.task.job.clone());
        self.settle_job(&ended.task.job);
    }

    fn progress(&mut self, now: Moment, id: &ServerId, running: Running) {
        let size = self.size_of(&running.task);
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
        let stage = match self.may_adopt(&running.task) {
            true => Stage::Running,
            false => Stage::Stopping { noted: None, next_try: now },
        };
        let mut taken = Use::new(running.run, stage, size, now);
        taken.percent = running.percent;
        if let Some(server) = self.servers.get_mut(id) {
            server.runs.insert(running.task.clone(), taken);
        }
        if stage == Stage::Running {
            self.keep_checkpoint(&running);
            let active = self.jobs.get_mut(&running.task.job);
            if let Some(task) = active.and_then(|active| active.task_mut(Place::of(&running.task)))
            {
                task.phase = Phase::On(id.clone());
            }
            self.explain("run adopted", &running.task, id, "it was running");
        } else {
            self.explain("run stopped", &running.task, id, "not wanted there");
        }
    }

    fn keep_checkpoint(&mut self, running: &Running) {
        let active = self.jobs.get_mut(&running.task.job);
        let task = active.and_then(|active| active.task_mut(Place::of(&running.task)));
        if let Some(task) = task.filter(|_| !running.checkpoint.is_empty()) {
            task.note.checkpoint = Arc::clone(&running.checkpoint);
        }
    }

    /// Tells whether a run that this holder did not start is wanted: only one
    /// that an earlier holder may have started, of a task that runs nowhere else.
    fn may_adopt(&self, task: &task::Id) -> bool {
        self.jobs.get(&task.job).is_some_and(|active| {
            active.outcome.is_none()
                && active.is_inherited
                && active.task(Place::of(task)).is_some_and(|task| task.phase == Phase::Waiting)
        })
    }

    /// Releases the runs that a full list lacks.
    fn reconcile(&mut self, id: &ServerId, running: &[task::Id], sent: Moment) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let missing: Vec<(task::Id, task::Run)> = server
            .runs
            .iter()
            .filter(|(task, _)| !running.contains(task))
            .filter(|(_, taken)| match taken.stage {
                Stage::Starting => false,
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
    fn release(&mut self, id: &ServerId, task: &task::Id, run: task::Run, avoid: bool) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.runs.get(task).is_some_and(|taken| taken.run == run) {
            server.runs.remove(task);
        }
        let Some(active) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_over = active.outcome.is_some();
        match active.task_mut(Place::of(task)) {
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

    fn release_all(&mut self, id: &ServerId, because: &'static str) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let runs: Vec<(task::Id, task::Run)> =
            server.runs.iter().map(|(task, taken)| (task.clone(), taken.run)).collect();
        for (task, run) in runs {
            self.release(id, &task, run, true);
            self.explain("run given up", &task, id, because);
        }
    }

    fn forget(&mut self, id: &ServerId, because: &'static str) {
        self.release_all(id, because);
        if self.servers.remove(id).is_some() {
            self.effects.push(Effect::Forget(id.clone()));
        }
    }

    fn is_lasting(&self, task: &task::Id) -> bool {
        self.jobs
            .get(&task.job)
            .and_then(|active| active.job.steps.get(task.step))
            .is_some_and(|step| step.is_lasting)
    }

    /// Returns what a task takes of its host; a filler takes no processor time.
    pub(super) fn size_of(&self, task: &task::Id) -> Quantity {
        let step = self.jobs.get(&task.job).and_then(|active| active.job.steps.get(task.step));
        step.map(|step| step.taken()).unwrap_or_default()
    }

    /// Adds a line for the log.
    pub(super) fn explain(
        &mut self,
        what: &'static str,
        task: &task::Id,
        place: &ServerId,
        because: &'static str,
    ) {
        let (subject, place) = (task.to_string(), Arc::clone(&place.0));
        self.effects.push(Effect::Explain(Reason { what, subject, place, because }));
    }

    /// Notes the clock of a server's answer to another order.
    pub fn heard(&mut self, id: &ServerId, reading: Reading) {
        if let Some(server) = self.servers.get_mut(id) {
            server.note(reading);
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
