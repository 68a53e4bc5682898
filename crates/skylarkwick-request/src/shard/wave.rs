//! Maintenance waves: operators request the maintenance of some hosts within a
//! given time.
//!
//! Idle hosts are maintained first. Others are drained only as fast as the
//! remaining time requires, because a draining host gets no work. See
//! `docs/DESIGN.md`, section "Hosts and waves".

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    drain::StepKey,
    effect::Effect,
    fleet::{HostAction, Occupancy, RunCounts},
    input::{HostId, HostState, MaintenanceWave},
};

/// Share of a wave's time, from when it was received, in which the maintenance
/// of all its hosts should have started; the rest is a reserve for hosts that
/// are slow to drain.
const START_SHARE: f64 = 0.45;
/// Share of a wave's time over which the maintenance of idle hosts is spread;
/// it limits how many of them are down at once.
const IDLE_SHARE: f64 = 0.4;
/// Number of hosts that drain at once for a wave even if none is overdue,
/// unless it allows fewer to be unavailable; long-running tasks leave a host
/// one after another.
const MIN_DRAINING_HOSTS: usize = 2;

/// Time from the stop of a long-running task until it is available again on
/// another host.
const EVACUATION_TIME: Duration = Duration::from_millis(1500);
/// Share of a wave's remaining time above which the evacuation of a step counts
/// as urgent.
const URGENT_SHARE: f64 = 0.5;

/// A wave and its progress: when it was received, the hosts whose maintenance
/// has started (`wave.started`), and whether that is stored.
#[derive(Clone, Debug)]
pub(super) struct WaveProgress {
    pub(super) wave: MaintenanceWave,
    /// When this holder received the wave.
    received: Moment,
    /// Whether the latest progress is stored or being stored.
    is_saved: bool,
    /// Whether the maintenance of every host has started; nothing more is done
    /// for the wave.
    is_completed: bool,
}

impl WaveProgress {
    /// Returns whether the wave still has to start the maintenance of a host;
    /// false if the host is not in the wave or the wave is completed.
    pub(super) fn is_maintenance_due(&self, host: &HostId) -> bool {
        !self.is_completed && self.wave.hosts.contains(host) && !self.wave.started.contains(host)
    }

    /// Returns the time left until all hosts of the wave are due.
    fn time_left(&self, now: Moment) -> Duration {
        self.wave.time_left.saturating_sub(now.since(self.received))
    }

    /// Returns how many hosts should have started maintenance by now: a number
    /// that rises evenly from when the wave was received, to all hosts after
    /// `START_SHARE` of its time.
    fn expected_started(&self, now: Moment) -> usize {
        let window = self.wave.time_left.mul_f64(START_SHARE);
        let share = now.since(self.received).as_secs_f64() / window.as_secs_f64().max(f64::EPSILON);
        share_of(self.wave.hosts.len(), share.min(1.0))
    }

    /// Returns how many idle hosts may be down for maintenance at once, so that
    /// the wave's hosts are spread over `IDLE_SHARE` of its time; `maintenance`
    /// is how long one host takes.
    fn max_concurrent_idle(&self, maintenance: Duration) -> usize {
        let window = self.wave.time_left.mul_f64(IDLE_SHARE);
        share_of(self.wave.hosts.len(), maintenance.as_secs_f64() / window.as_secs_f64().max(0.001))
    }
}

/// Returns a share of a number, rounded up; the share is limited to 0 to 1.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "hosts are far fewer than 2^52"
)]
fn share_of(number: usize, share: f64) -> usize {
    (number as f64 * share.clamp(0.0, 1.0)).ceil() as usize
}

impl Shard {
    /// Adds a wave, unless one with its number is known; its `time_left` counts
    /// from `now`.
    pub fn add_wave(&mut self, now: Moment, wave: MaintenanceWave) {
        let progress = WaveProgress { wave, received: now, is_saved: false, is_completed: false };
        self.fleet.waves.entry(progress.wave.number).or_insert(progress);
    }

    /// Handles the confirmation that the progress of a wave was stored;
    /// `is_completed` is what was stored. Progress that has changed since it
    /// was sent is still to be stored. Does nothing if the wave is unknown.
    pub fn handle_wave_saved(&mut self, number: u64, is_completed: bool) {
        if let Some(progress) = self.fleet.waves.get_mut(&number) {
            progress.is_completed |= is_completed;
        }
    }

    /// Handles the progress of a wave that may not be stored; it is written
    /// again, also if the wave counted as completed.
    pub fn handle_wave_save_failed(&mut self, number: u64) {
        if let Some(progress) = self.fleet.waves.get_mut(&number) {
            progress.is_saved = false;
            progress.is_completed = false;
        }
    }

    /// Records that a host's maintenance for a wave has started, or that none
    /// is due: the host no longer drains, and the wave's progress is to be
    /// stored unless the host was recorded before.
    pub(super) fn mark_maintenance_started(&mut self, number: u64, id: &HostId) {
        self.fleet.draining.remove(id);
        if let Some(progress) = self.fleet.waves.get_mut(&number) {
            progress.is_saved &= !progress.wave.started.insert(id.clone());
        }
    }

    /// Advances every wave that is not completed: starts the maintenance of
    /// idle hosts, drains further ones, and has changed progress stored.
    pub(super) fn advance_waves(&mut self, now: Moment, occupancy: &Occupancy) {
        let numbers: Vec<u64> = self.fleet.waves.keys().copied().collect();
        for number in numbers {
            self.advance_wave(now, number, occupancy);
        }
    }

    /// Advances one wave, unless it is completed: has changed progress stored,
    /// orders the maintenance of idle hosts, as many as the pace calls for and
    /// `max_unavailable` allows, and drains others. Hosts that have left the
    /// platform since the wave was received count as started; a wave without hosts
    /// left becomes completed.
    fn advance_wave(&mut self, now: Moment, number: u64, occupancy: &Occupancy) {
        let Some(progress) =
            self.fleet.waves.get(&number).filter(|progress| !progress.is_completed)
        else {
            return;
        };
        let due: Vec<HostId> = progress
            .wave
            .hosts
            .iter()
            .filter(|host| !progress.wave.started.contains(host))
            .filter(|host| !self.fleet.lists.is_gone(host, progress.received))
            .cloned()
            .collect();
        let started = progress.wave.hosts.len() - due.len();
        let overdue = progress.expected_started(now).saturating_sub(started);
        let max_down = progress.max_concurrent_idle(self.timings.maintenance_duration).max(overdue);
        let max_unavailable = progress.wave.max_unavailable.max(1);
        let time_left = progress.time_left(now);
        if due.is_empty() || !progress.is_saved {
            self.save_wave(now, number, due.is_empty());
        }
        let down = self.count_down_hosts(number);
        let slots = max_unavailable.min(max_down).saturating_sub(down);
        self.maintain_idle_hosts(number, &due, slots, occupancy);
        let urgent = self.urgent_steps(&due, time_left);
        let draining = overdue.saturating_sub(down).max(MIN_DRAINING_HOSTS) + urgent.len();
        self.drain_urgent(urgent, &due, max_unavailable, occupancy);
        self.drain_next(&due, draining.min(max_unavailable), occupancy);
    }

    /// Orders the maintenance of at most `slots` of the hosts in `due` that are
    /// idle and have no order: spare hosts (powered off) and draining ones
    /// first.
    fn maintain_idle_hosts(
        &mut self,
        number: u64,
        due: &[HostId],
        slots: usize,
        occupancy: &Occupancy,
    ) {
        let mut idle: Vec<(bool, &HostId)> = due
            .iter()
            .filter(|id| occupancy.is_idle(id) && !self.fleet.orders.contains_key(id))
            .map(|id| (!self.fleet.is_spare(id) && !self.fleet.draining.contains(id), id))
            .collect();
        idle.sort();
        for (_, id) in idle.into_iter().take(slots) {
            self.record_order(id.clone(), HostAction::Maintain(number));
            self.effects.push(Effect::MaintainHost { host: id.clone(), wave: number });
        }
    }

    /// Has the progress of a wave stored and sets whether it is completed.
    fn save_wave(&mut self, now: Moment, number: u64, is_completed: bool) {
        let Some(progress) = self.fleet.waves.get_mut(&number) else {
            return;
        };
        progress.is_saved = true;
        progress.is_completed = is_completed;
        let time_left = progress.time_left(now);
        // Hosts that have left the platform need no maintenance.
        let started = match is_completed {
            true => progress.wave.hosts.clone(),
            false => progress.wave.started.clone(),
        };
        self.effects.push(Effect::SaveWave { wave: number, started, time_left, is_completed });
    }

    /// Counts the hosts of a wave that are down for it or may be: those ordered
    /// to be maintained, and all that the platform lists as busy, because the
    /// previous holder may have ordered some without storing it.
    fn count_down_hosts(&self, number: u64) -> usize {
        let Some(progress) = self.fleet.waves.get(&number) else {
            return 0;
        };
        let is_busy = |id: &HostId| {
            self.fleet.hosts.get(id).is_some_and(|host| host.state == HostState::Busy)
        };
        let is_ordered = |id: &HostId| self.fleet.is_ordered_to(id, &HostAction::Maintain(number));
        progress.wave.hosts.iter().filter(|id| is_ordered(id) || is_busy(id)).count()
    }

    /// Drains further hosts that are due, not idle and have no order, until
    /// `wanted` of them drain at once. Those with the fewest finite runs (of
    /// tasks that are not long-running) come first.
    fn drain_next(&mut self, due: &[HostId], wanted: usize, occupancy: &Occupancy) {
        let is_occupied = |id: &&HostId| !occupancy.is_idle(id);
        let draining = due.iter().filter(|id| self.fleet.draining.contains(id)).filter(is_occupied);
        let draining = draining.count();
        let mut candidates: Vec<(RunCounts, HostId)> = due
            .iter()
            .filter(|id| !self.fleet.is_draining_or_ordered(id))
            .filter(is_occupied)
            .filter_map(|id| Some((occupancy.runs(id)?, id.clone())))
            .collect();
        candidates.sort();
        for (_, id) in candidates.into_iter().take(wanted.saturating_sub(draining)) {
            self.fleet.draining.insert(id);
        }
    }

    /// Drains a host of each step whose evacuation is urgent and that has none
    /// draining yet, while fewer hosts than `max_unavailable` drain. `urgent` are
    /// the hosts in `due` of each such step.
    ///
    /// A step's long-running tasks leave their hosts a few at a time, so a step
    /// with many of them must begin early, whatever else runs on its hosts.
    fn drain_urgent(
        &mut self,
        urgent: Vec<BTreeSet<HostId>>,
        due: &[HostId],
        max_unavailable: usize,
        occupancy: &Occupancy,
    ) {
        let mut draining = due.iter().filter(|id| self.fleet.draining.contains(id)).count();
        for hosts in urgent {
            if draining >= max_unavailable {
                return;
            }
            if hosts.iter().any(|id| self.fleet.draining.contains(id)) {
                continue;
            }
            let candidates = hosts.into_iter().filter(|id| !self.fleet.orders.contains_key(id));
            if let Some(id) = candidates.min_by_key(|id| occupancy.runs(id)) {
                self.fleet.draining.insert(id);
                draining += 1;
            }
        }
    }

    /// Returns the hosts in `due` of each step whose long-running tasks need more
    /// than `URGENT_SHARE` of the remaining time to leave them, as many at once
    /// as the step allows to be unavailable.
    fn urgent_steps(&self, due: &[HostId], time_left: Duration) -> Vec<BTreeSet<HostId>> {
        let due: BTreeSet<&HostId> = due.iter().collect();
        let mut steps: BTreeMap<StepKey, (Duration, BTreeSet<HostId>)> = BTreeMap::new();
        for server in self.servers.values() {
            let Some(host) = server.host().filter(|host| due.contains(host)) else {
                continue;
            };
            for task in server.runs.keys() {
                let Some(step) = self.step(task).filter(|step| step.is_long_running) else {
                    continue;
                };
                let key = (task.job.clone(), task.occurrence, task.step);
                let (evacuation_time, hosts) = steps.entry(key).or_default();
                *evacuation_time += EVACUATION_TIME / step.max_unavailable.max(1);
                hosts.insert(host.clone());
            }
        }
        let steps = steps.into_values();
        let urgent = steps.filter(|(time, _)| *time > time_left.mul_f64(URGENT_SHARE));
        urgent.map(|(_, hosts)| hosts).collect()
    }
}
