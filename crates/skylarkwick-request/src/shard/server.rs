//! Backend servers, as the shard's holder knows them.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::{
    moment::{Moment, millis},
    resources::Resources,
};

use super::{
    effect::Target,
    health::Health,
    incarnation::LATE_CALL_TIME,
    input::{ClockReading, HostId, ServerId, ServerInfo, StatusReport},
    tally::Tally,
};
use crate::job::{
    self, Step,
    footprint::{Charge, Reservation},
    task,
};

/// How long a server may wait for a run to end before it answers a poll. Until
/// a server has answered this holder once, its polls ask for an answer at once.
const POLL_MAX_WAIT: Duration = Duration::from_millis(900);
/// Time since a server's last answer with a reading of its clock, to a poll or
/// an order, after which it gets no new work.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(2500);
/// Lowest assumed rate of a server's clock relative to the local one, in
/// thousandths.
const MIN_CLOCK_RATE_PER_MILLE: u64 = 980;
/// Margin before a time on a server's clock counts as certainly passed.
const CLOCK_MARGIN: Duration = Duration::from_millis(150);
/// Longest time since the last report in which a poll acknowledges run ends; far less
/// than a server takes to restart and to end a run.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_millis(150);

/// Stage of a run on a server, from the choice of the server to the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Resources are reserved, but the start is not sent yet: the server has to
    /// be recorded with the job first.
    Planned,
    /// The start was sent and is not answered.
    Starting,
    /// The answer to the start was lost. A report shows whether the run is in
    /// progress; if none has by the deadline of the start, it never will be.
    Unconfirmed,
    /// The server has started the run.
    Running,
    /// The run has to end; a stop is due or was sent.
    Stopping {
        /// When the server acknowledged the stop.
        acknowledged: Option<Moment>,
        /// When to send the next stop.
        next_try: Moment,
    },
}

/// What ties a run to an incarnation of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Attribution {
    /// Its start was sent before the known incarnation was; an earlier one may
    /// have received it.
    Earlier,
    /// Its start was sent to the known incarnation; a later one may have
    /// received it.
    Sent,
    /// The known incarnation has reported it as running.
    Reported,
}

/// A run on a server, planned, in progress or being stopped: its stage, its
/// incarnation, its reserved resources, and what the server last reported.
#[derive(Clone, Debug)]
pub(super) struct ActiveRun {
    pub(super) id: task::RunId,
    pub(super) stage: Stage,
    pub(super) attribution: Attribution,
    /// What it reserves; nothing for runs of unknown jobs.
    pub(super) reservation: Reservation,
    /// The workspace of its job, and what it counts for that.
    pub(super) charge: Option<(Arc<str>, Charge)>,
    /// Whether its job is not known, because it was over when the run was reported.
    pub(super) is_unknown: bool,
    pub(super) is_long_running: bool,
    pub(super) is_best_effort: bool,
    /// Target of the tail latency, for a serving task.
    pub(super) target_latency: Option<Duration>,
    /// When the run was planned, then when its start was sent, then when it was
    /// confirmed; for a run that this holder did not start, when it was first
    /// reported. A stop does not change it.
    pub(super) stage_since: Moment,
    /// Time on the server's clock, in milliseconds, until which an unanswered
    /// start may still be carried out; `None` if this holder sent none, or sent
    /// it by the clock of an earlier incarnation.
    pub(super) start_deadline_ms: Option<u64>,
    /// Percentage that the server last reported, see `RunStatus`.
    pub(super) percent: u32,
    /// When the reported percentage or the pace last changed.
    pub(super) last_percent_or_pace_change: Moment,
    /// Tail latency that the server last reported for a serving task, in
    /// milliseconds.
    pub(super) tail_latency_ms: Option<u64>,
    /// Pace that was last sent, in percent of the full pace; 100 if none was.
    pub(super) pace: u32,
}

impl ActiveRun {
    /// Creates a run of a step at full pace. `step` is `None` if its job is
    /// unknown; the run then reserves no resources and counts as neither
    /// long-running, best-effort nor serving.
    pub(super) fn new(
        run: task::RunId,
        stage: Stage,
        step: Option<&Step>,
        now: Moment,
    ) -> ActiveRun {
        ActiveRun {
            id: run,
            stage,
            attribution: Attribution::Sent,
            reservation: step.map(Step::reservation).unwrap_or_default(),
            charge: None,
            is_unknown: step.is_none(),
            is_long_running: step.is_some_and(|step| step.is_long_running),
            is_best_effort: step.is_some_and(|step| step.is_best_effort),
            target_latency: step.and_then(|step| step.target_latency),
            stage_since: now,
            start_deadline_ms: None,
            percent: 0,
            last_percent_or_pace_change: now,
            tail_latency_ms: None,
            pace: 100,
        }
    }

    /// Returns the run as it stands once a later incarnation of its server is
    /// known, which may have it. One whose start has no answer is stopped, since
    /// its deadline is not one on the later clock; a call in progress still
    /// brings its result.
    fn after_restart(self, now: Moment) -> ActiveRun {
        let stage = match self.stage {
            Stage::Unconfirmed | Stage::Stopping { .. } => {
                Stage::Stopping { acknowledged: None, next_try: now }
            }
            stage => stage,
        };
        let attribution = Attribution::Earlier;
        ActiveRun { stage, attribution, start_deadline_ms: None, ..self }
    }
}

/// A backend server: its entry in the platform's list, since when its incarnation
/// is known, its runs, the last reading of its clock, the end of its leases, the
/// state of its polls, which run ends were handled, stored and acknowledged, and
/// its health.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) info: ServerInfo,
    /// When this incarnation became known. What was sent before may have been
    /// answered by an earlier one.
    pub(super) since: Moment,
    /// Whether an earlier incarnation was known.
    pub(super) is_restarted: bool,
    /// Until when it may carry out calls of this holder by the clock of an earlier
    /// incarnation; zero if this holder has made none.
    pub(super) own_calls_until: Moment,
    /// When this incarnation first answered a poll of this holder and named itself.
    pub(super) identified_at: Option<Moment>,
    pub(super) runs: BTreeMap<task::Id, ActiveRun>,
    /// Sums over the runs.
    tally: Tally,
    /// Latest reading of the server's clock.
    pub(super) clock_reading: Option<ClockReading>,
    /// Latest time, on the server's clock in milliseconds, at which a lease can
    /// end or a start be carried out, including a lease that an earlier holder
    /// may have granted; `None` until the first report.
    pub(super) lease_until_ms: Option<u64>,
    /// Number of the last run end that was handled; ends of this incarnation
    /// are numbered in order.
    pub(super) last_seen_end: u64,
    /// Number of the last run end that is stored and may be acknowledged.
    pub(super) last_saved_end: u64,
    /// Number of the last run end that the last poll has acknowledged; 0 if it
    /// acknowledged none.
    polled_end: u64,
    /// Number of the last run end whose acknowledgement was answered.
    acknowledged_end: u64,
    /// Handled run ends after that, oldest first: their numbers, and the jobs that
    /// they change.
    pub(super) unsaved_ends: VecDeque<(u64, job::Id)>,
    /// Whether it has answered a poll of this holder, and so rejects earlier
    /// holders.
    pub(super) is_fenced: bool,
    /// When the next poll is due; `None` while one is in flight.
    pub(super) next_poll: Option<Moment>,
    /// When the last poll was answered.
    pub(super) last_poll: Moment,
    /// When the poll was sent that was answered last; the report is no older.
    pub(super) last_report_sent: Moment,
    /// Whether the next poll waits for run ends to be stored.
    pub(super) awaits_save: bool,
    /// Whether the last poll had no answer.
    pub(super) is_unreachable: bool,
    /// Whether the platform's list has no entry of this incarnation.
    pub(super) is_unlisted: bool,
    pub(super) health: Health,
}

impl Server {
    /// Creates a server with no known runs, to be polled at once.
    pub(super) fn new(info: ServerInfo, now: Moment) -> Server {
        Server {
            info,
            since: now,
            is_restarted: false,
            own_calls_until: Moment::ZERO,
            identified_at: None,
            runs: BTreeMap::new(),
            tally: Tally::default(),
            clock_reading: None,
            lease_until_ms: None,
            last_seen_end: 0,
            last_saved_end: 0,
            polled_end: 0,
            acknowledged_end: 0,
            unsaved_ends: VecDeque::new(),
            is_fenced: false,
            next_poll: Some(now),
            last_poll: Moment::ZERO,
            last_report_sent: Moment::ZERO,
            awaits_save: false,
            is_unreachable: false,
            is_unlisted: false,
            health: Health::default(),
        }
    }

    /// Returns the later incarnation `info` of this server, to be polled at once.
    /// The runs stay, as ones that it may have.
    pub(super) fn restarted(self, info: ServerInfo, now: Moment) -> Server {
        let own_calls_until = now + LATE_CALL_TIME;
        let mut server = Server { is_restarted: true, own_calls_until, ..Server::new(info, now) };
        for (task, active_run) in self.runs {
            server.add(task, active_run.after_restart(now));
        }
        server
    }

    /// Returns whether the lease may end as late as the platform allows from a report
    /// on, and not only by `earlier_until_ms`, the end of what earlier holders have
    /// granted, or where this holder has granted it.
    ///
    /// A call of this holder around a restart may have been made by the clock of the
    /// earlier incarnation, which says nothing on the later one: such a lease is
    /// shortened to the longest. What runs beyond its lease has one that is not known
    /// here.
    pub(super) fn may_have_longest_lease(
        &self,
        report: &StatusReport,
        earlier_until_ms: Option<u64>,
    ) -> bool {
        let known_until_ms = self.lease_until_ms.max(earlier_until_ms);
        let has_outlived_lease =
            !report.running.is_empty() && Some(report.clock.clock_ms) > known_until_ms;
        let is_earlier = |run: &ActiveRun| run.attribution == Attribution::Earlier;
        let has_earlier_orders =
            report.clock.sent < self.since + LATE_CALL_TIME || self.runs.values().any(is_earlier);
        has_outlived_lease || (self.is_restarted && has_earlier_orders)
    }

    /// Returns the destination of orders to this server; `fencing_token` is the
    /// holder's, by which the server rejects earlier holders.
    pub(super) fn target(&self, fencing_token: u64) -> Target {
        Target {
            server: self.info.id.clone(),
            incarnation_ms: self.info.incarnation_ms,
            address: self.info.address,
            fencing_token,
        }
    }

    /// Returns the host that the server runs on; `None` if the platform names
    /// none.
    pub(super) fn host(&self) -> Option<&HostId> {
        self.info.host.as_ref()
    }

    /// Returns the identity of the server.
    pub(super) fn id(&self) -> &ServerId {
        &self.info.id
    }

    /// Returns the resources of the host that no run on this server reserves.
    pub(super) fn available(&self) -> Resources {
        self.info.capacity - self.tally.reserved().resources()
    }

    /// Counts the runs whose stage `is_counted` accepts.
    pub(super) fn count_stage(&self, is_counted: impl Fn(Stage) -> bool) -> usize {
        self.runs.values().filter(|active_run| is_counted(active_run.stage)).count()
    }

    /// Adds a run and reserves its resources, in place of any other run of the
    /// same task.
    pub(super) fn add(&mut self, task: task::Id, active_run: ActiveRun) {
        self.remove(&task);
        self.tally.add(&active_run);
        self.runs.insert(task, active_run);
    }

    /// Returns the sums over the runs.
    pub(super) fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Removes the run of a task, if there is one, and frees its resources.
    pub(super) fn remove(&mut self, task: &task::Id) {
        if let Some(active_run) = self.runs.remove(task) {
            self.tally.remove(&active_run);
        }
    }

    /// Returns the number of the last run end that a poll sent now acknowledges, 0
    /// for none.
    ///
    /// The server may have restarted since, and then counts its ends anew, so the
    /// number would acknowledge ends of the later incarnation unread. So it is sent
    /// only soon after a report, and not again once it was answered.
    pub(super) fn next_acknowledgement(&mut self, now: Moment) -> u64 {
        let is_recent = now.since(self.last_poll) < ACKNOWLEDGE_WITHIN && !self.is_unreachable;
        self.polled_end = match self.has_unacknowledged_ends() && is_recent {
            true => self.last_saved_end,
            false => 0,
        };
        self.polled_end
    }

    /// Returns whether run ends are stored whose acknowledgement was not answered.
    fn has_unacknowledged_ends(&self) -> bool {
        self.last_saved_end > self.acknowledged_end
    }

    /// Returns how long the server may wait for a run to end before it answers the
    /// poll that [`Self::next_acknowledgement`] was called for: not at all if this is
    /// its first poll, or one that precedes an acknowledgement.
    pub(super) fn poll_wait(&self) -> Duration {
        let is_awaited = self.has_unacknowledged_ends() && self.polled_end == 0;
        if self.is_fenced && !is_awaited { POLL_MAX_WAIT } else { Duration::ZERO }
    }

    /// Records that the last poll was answered, and with it what it acknowledged.
    pub(super) fn record_poll_answered(&mut self) {
        self.acknowledged_end = self.acknowledged_end.max(self.polled_end);
    }

    /// Records that the run ends up to this number are stored and may be acknowledged.
    pub(super) fn mark_ends_saved(&mut self, number: u64) {
        self.last_saved_end = self.last_saved_end.max(number);
        while self.unsaved_ends.front().is_some_and(|(end, _)| *end <= number) {
            self.unsaved_ends.pop_front();
        }
    }

    /// Returns whether the server has a label; true if `label` is `None`.
    pub(super) fn has_label(&self, label: Option<&Arc<str>>) -> bool {
        label.is_none_or(|label| self.info.labels.contains(label))
    }

    /// Returns whether the server itself may get new work: it is listed and not
    /// leaving, has answered a poll of this holder and also its last one, has
    /// sent a clock reading within `UNRESPONSIVE_AFTER`, and neither backs off
    /// nor is paused.
    pub(super) fn accepts_work(&self, now: Moment) -> bool {
        let is_responsive = self
            .clock_reading
            .is_some_and(|reading| now.since(reading.received) < UNRESPONSIVE_AFTER);
        is_responsive
            && self.is_fenced
            && !self.is_unreachable
            && !self.info.is_leaving
            && !self.is_unlisted
            && self.health.allows_work(now)
    }

    /// Records a reading of the server's clock, unless a later one is known.
    pub(super) fn record_clock(&mut self, reading: ClockReading) {
        let is_newer = self.clock_reading.is_none_or(|known| known.received <= reading.received);
        if is_newer {
            self.clock_reading = Some(reading);
        }
    }

    /// Returns the lowest time that the server's clock can show now, in
    /// milliseconds, if it runs at `MIN_CLOCK_RATE_PER_MILLE` or faster; `None`
    /// if the clock was never read.
    pub(super) fn clock_ms(&self, now: Moment) -> Option<u64> {
        let reading = self.clock_reading?;
        let elapsed = millis(now.since(reading.received));
        Some(reading.clock_ms.saturating_add(elapsed * MIN_CLOCK_RATE_PER_MILLE / 1000))
    }

    /// Returns the lowest time that the server's clock can show now, plus a
    /// period, in milliseconds: the end of a lease or start window that begins
    /// now. `None` if the clock was never read.
    pub(super) fn deadline_ms(&self, now: Moment, period: Duration) -> Option<u64> {
        Some(self.clock_ms(now)?.saturating_add(millis(period)))
    }

    /// Returns whether the server's clock had certainly passed a time in
    /// milliseconds at `now`, with a margin of `CLOCK_MARGIN`; false if the
    /// clock was never read.
    pub(super) fn has_clock_passed(&self, now: Moment, until_ms: u64) -> bool {
        self.clock_ms(now - CLOCK_MARGIN).is_some_and(|clock_ms| clock_ms > until_ms)
    }

    /// Returns the longest time until every lease granted to the server has certainly
    /// expired; `None` until the first report.
    pub(super) fn lease_left(&self, now: Moment) -> Option<Duration> {
        let left_ms = self.lease_until_ms?.saturating_sub(self.clock_ms(now)?);
        let left = Duration::from_millis(left_ms * 1000 / MIN_CLOCK_RATE_PER_MILLE);
        Some(left + CLOCK_MARGIN)
    }

    /// Returns whether every lease granted to the server, and every start sent
    /// to it, has certainly expired; `None` until the first report.
    pub(super) fn have_leases_expired(&self, now: Moment) -> Option<bool> {
        Some(self.has_clock_passed(now, self.lease_until_ms?))
    }
}
