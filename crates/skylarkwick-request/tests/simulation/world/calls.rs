//! Calls to servers, and their answers.

use skylarkwick_request::{
    job::task::{self, RunId, RunOutcome},
    shard::{
        effect::{Start, Target},
        input::{ClockReading, OrderResult, RejectReason, RunStatus, StatusReport},
    },
};
use skylarkwick_version::moment::Moment;

use super::{Call, Life, Message, ORDER_TIMEOUT_MS, World};
use crate::harness::ms;

impl World {
    /// Sends the result of an order, unless it is lost or too late: then no answer.
    pub(super) fn reply(
        &mut self,
        sent: Moment,
        result: OrderResult,
        message: impl Fn(OrderResult) -> Message,
    ) {
        let delay_ms = self.delay();
        let left = ms(ORDER_TIMEOUT_MS).saturating_sub(self.harness.now.since(sent));
        let left_ms = u64::try_from(left.as_millis()).unwrap();
        let is_lost = self.has_trouble() && self.random.is_one_in(20);
        match result {
            OrderResult::Unknown => self.send(left_ms, message(OrderResult::Unknown)),
            _ if is_lost || delay_ms > left_ms => {
                self.send(left_ms, message(OrderResult::Unknown));
            }
            result => self.send(delay_ms, message(result)),
        }
    }

    pub(super) fn connect(&self, target: Target) -> Call {
        let machine = &self.machines[&*target.server.0];
        let connected_ms = match machine.is_cut(self.now_ms) {
            // No incarnation: the call has no answer.
            true => Some(0),
            false => machine.life.as_ref().map(|life| life.born_ms),
        };
        Call { target, sent: self.harness.now, connected_ms }
    }

    /// Returns the incarnation that a call reaches, unless it has seen a later holder.
    pub(super) fn life(&mut self, call: &Call) -> Option<&mut Life> {
        let machine = self.machines.get_mut(&*call.target.server.0)?;
        let is_cut = machine.is_cut(self.now_ms);
        let life = machine.life.as_mut().filter(|_| !is_cut)?;
        let is_reached = call.connected_ms == Some(life.born_ms);
        if !is_reached || call.target.fencing_token < life.fencing_token {
            return None;
        }
        life.fencing_token = call.target.fencing_token;
        Some(life)
    }

    /// The result of an order that reaches no server.
    pub(super) fn unreached(call: &Call) -> OrderResult {
        match call.connected_ms {
            Some(_) => OrderResult::Unknown,
            None => OrderResult::Refused(RejectReason::Unavailable, None),
        }
    }

    pub(super) fn start_run(&mut self, call: &Call, start: &Start) -> OrderResult {
        let (now_ms, received) = (self.now_ms, self.harness.now);
        let max_lease = self.timings.max_lease;
        let work_ms = self.run_times[&start.task.job];
        let Some(life) = self.life(call) else {
            return World::unreached(call);
        };
        let clock = ClockReading { clock_ms: life.clock_ms(now_ms), sent: call.sent, received };
        if clock.clock_ms > start.until_ms {
            return OrderResult::Refused(RejectReason::Expired, Some(clock));
        }
        life.extend_lease(now_ms, start.until_ms, max_lease);
        if life.over.get(&start.task).is_some_and(|over| start.run <= *over) {
            return OrderResult::Refused(RejectReason::StaleRun, Some(clock));
        }
        life.runs.insert((start.task.clone(), start.run), now_ms + work_ms);
        let earlier = self.done.iter().filter(|(task, _)| *task == start.task);
        self.repeated.extend(earlier.cloned());
        OrderResult::Done(clock)
    }

    pub(super) fn stop_run(&mut self, call: &Call, task: &task::Id, run: RunId) -> OrderResult {
        let (now_ms, received) = (self.now_ms, self.harness.now);
        let Some(life) = self.life(call) else {
            return World::unreached(call);
        };
        let clock = ClockReading { clock_ms: life.clock_ms(now_ms), sent: call.sent, received };
        match life.runs.contains_key(&(task.clone(), run)) {
            true => life.end(task.clone(), run, RunOutcome::Stopped),
            false => {
                let over = life.over.entry(task.clone()).or_insert(run);
                *over = run.max(*over);
            }
        }
        OrderResult::Done(clock)
    }

    pub(super) fn poll(
        &mut self,
        call: &Call,
        lease_until_ms: Option<u64>,
        acknowledged: u64,
    ) -> Option<StatusReport> {
        let (now_ms, received) = (self.now_ms, self.harness.now);
        let (trouble, max_lease) = (self.trouble, self.timings.max_lease);
        let life = self.life(call)?;
        // An end from before a lapse of the lease may be unknown for good. Without cuts the
        // holder learns of each.
        let lapsed_end = if trouble.has_hand_overs() { life.lapsed_end } else { 0 };
        if let Some(until_ms) = lease_until_ms {
            life.extend_lease(now_ms, until_ms, max_lease);
        }
        let done = life.ended.iter().filter(|end| end.outcome == RunOutcome::Done);
        let done = done.filter(|end| (lapsed_end + 1..=acknowledged).contains(&end.number));
        let done: Vec<_> = done.map(|end| (end.task.clone(), end.run)).collect();
        life.ended.retain(|end| end.number > acknowledged);
        let running = life.runs.keys().map(|(task, run)| RunStatus {
            task: task.clone(),
            run: *run,
            checkpoint: "".into(),
            percent: 50,
            tail_ms: None,
        });
        let report = StatusReport {
            server: call.target.server.clone(),
            incarnation_ms: Some(life.born_ms),
            clock: ClockReading { clock_ms: life.clock_ms(now_ms), sent: call.sent, received },
            running: running.collect(),
            finished: life.ended.clone(),
            is_partial: false,
        };
        self.acknowledged.extend(done);
        Some(report)
    }
}
