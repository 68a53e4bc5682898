//! Waves: maintenance that operators ask for, of some hosts within a time.
//!
//! Hosts that are idle anyway are maintained first. Others are emptied only as
//! fast as the time that is left demands, because a host that is being emptied
//! gets no work. See `docs/DESIGN.md`, section "Hosts and waves".

use std::time::Duration;

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::Effect,
    fleet::{Occupancy, Purpose, Runs},
    input::{HostId, HostState, MaintenanceWave},
};

/// Part of a wave's time in which all its hosts should have begun; the rest is
/// for hosts that are hard to empty.
const BEGUN_WITHIN: f64 = 0.45;
/// Part of a wave's time in which idle hosts alone would be maintained one after
/// another; it bounds how many idle hosts are down at once.
const IDLE_WITHIN: f64 = 0.4;
/// Hosts that are emptied at any time, as lasting tasks leave one after another.
const MIN_EMPTYING: usize = 2;

/// Progress of a wave.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) wave: MaintenanceWave,
    /// When this holder was told of it.
    asked: Moment,
    is_stored: bool,
    is_completed: bool,
}

impl Round {
    /// Tells whether a host is still to be maintained.
    pub(super) fn is_due(&self, host: &HostId) -> bool {
        !self.is_completed && self.wave.hosts.contains(host) && !self.wave.started.contains(host)
    }

    /// Returns how many hosts should have begun by now.
    fn expected(&self, now: Moment) -> usize {
        let time_left = self.wave.time_left.mul_f64(BEGUN_WITHIN);
        let share = now.since(self.asked).as_secs_f64() / time_left.as_secs_f64().max(f64::EPSILON);
        part(self.wave.hosts.len(), share.min(1.0))
    }

    /// Returns how many idle hosts are maintained at once.
    fn idle_at_once(&self, maintenance: Duration) -> usize {
        let time_left = self.wave.time_left.mul_f64(IDLE_WITHIN);
        part(self.wave.hosts.len(), maintenance.as_secs_f64() / time_left.as_secs_f64().max(0.001))
    }
}

/// Returns a part of a number, rounded up.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "hosts are far fewer than 2^52"
)]
fn part(number: usize, share: f64) -> usize {
    (number as f64 * share.clamp(0.0, 1.0)).ceil() as usize
}

impl Shard {
    /// Puts a wave in force.
    pub fn add_wave(&mut self, now: Moment, wave: MaintenanceWave) {
        let round = Round { wave, asked: now, is_stored: false, is_completed: false };
        self.fleet.waves.entry(round.wave.number).or_insert(round);
    }

    /// Notes that the progress of a wave is stored.
    pub fn handle_wave_saved(&mut self, number: u64, is_completed: bool) {
        if let Some(round) = self.fleet.waves.get_mut(&number) {
            round.is_stored = true;
            round.is_completed = is_completed;
        }
    }

    /// Notes that the progress of a wave may not be stored.
    pub fn handle_wave_save_failed(&mut self, number: u64) {
        if let Some(round) = self.fleet.waves.get_mut(&number) {
            round.is_stored = false;
        }
    }

    /// Notes that a host's maintenance has begun.
    pub(super) fn begin_maintenance(&mut self, number: u64, id: &HostId) {
        self.fleet.emptying.remove(id);
        if let Some(round) = self.fleet.waves.get_mut(&number) {
            round.is_stored &= !round.wave.started.insert(id.clone());
        }
    }

    /// Goes on with every wave.
    pub(super) fn maintain(&mut self, now: Moment, occupancy: &Occupancy) {
        let numbers: Vec<u64> = self.fleet.waves.keys().copied().collect();
        for number in numbers {
            self.go_on(now, number, occupancy);
        }
    }

    fn go_on(&mut self, now: Moment, number: u64, occupancy: &Occupancy) {
        let Some(round) = self.fleet.waves.get(&number).filter(|round| !round.is_completed) else {
            return;
        };
        let due: Vec<HostId> = round
            .wave
            .hosts
            .iter()
            .filter(|host| !round.wave.started.contains(host))
            .filter(|host| self.fleet.hosts.contains_key(host))
            .cloned()
            .collect();
        let started = round.wave.hosts.len() - due.len();
        let late = round.expected(now).saturating_sub(started);
        let at_once = round.idle_at_once(self.timings.maintenance_duration).max(late);
        let max_unavailable = round.wave.max_unavailable.max(1);
        if due.is_empty() || !round.is_stored {
            self.store_wave(now, number, due.is_empty());
        }
        let down = self.down_for(number);
        let free = max_unavailable.min(at_once).saturating_sub(down);
        self.begin_idle(number, &due, free, occupancy);
        let emptying = late.saturating_sub(down).max(MIN_EMPTYING).min(max_unavailable);
        self.empty_next(&due, emptying, occupancy);
    }

    /// Begins with hosts that run nothing; those that are off come first, and
    /// those that were emptied for it.
    fn begin_idle(&mut self, number: u64, due: &[HostId], free: usize, occupancy: &Occupancy) {
        let mut idle: Vec<(bool, &HostId)> = due
            .iter()
            .filter(|id| occupancy.is_idle(id) && !self.fleet.orders.contains_key(id))
            .map(|id| (!self.fleet.is_off(id) && !self.fleet.emptying.contains(id), id))
            .collect();
        idle.sort();
        for (_, id) in idle.into_iter().take(free) {
            self.order(id.clone(), Purpose::Maintain(number));
            self.effects.push(Effect::MaintainHost { host: id.clone(), wave: number });
        }
    }

    fn store_wave(&mut self, now: Moment, number: u64, is_completed: bool) {
        let Some(round) = self.fleet.waves.get_mut(&number) else {
            return;
        };
        round.is_stored = true;
        round.is_completed = is_completed;
        let time_left = round.wave.time_left.saturating_sub(now.since(round.asked));
        let started = round.wave.started.clone();
        self.effects.push(Effect::SaveWave { wave: number, started, time_left, is_completed });
    }

    /// Counts the hosts that are down for a wave, or may be: an order of the last
    /// holder may not have been stored.
    fn down_for(&self, number: u64) -> usize {
        let Some(round) = self.fleet.waves.get(&number) else {
            return 0;
        };
        let is_busy = |id: &HostId| {
            self.fleet.hosts.get(id).is_some_and(|host| host.state == HostState::Busy)
        };
        let is_ordered = |id: &HostId| self.fleet.is_ordered_to(id, &Purpose::Maintain(number));
        round.wave.hosts.iter().filter(|id| is_ordered(id) || is_busy(id)).count()
    }

    /// Keeps some of the due hosts that are busy free of new work; those with the
    /// fewest runs that have to end by themselves come first.
    fn empty_next(&mut self, due: &[HostId], wanted: usize, occupancy: &Occupancy) {
        let is_busy = |id: &&HostId| !occupancy.is_idle(id);
        let emptying = due.iter().filter(|id| self.fleet.emptying.contains(id)).filter(is_busy);
        let emptying = emptying.count();
        let mut candidates: Vec<(Runs, HostId)> = due
            .iter()
            .filter(|id| !self.fleet.is_ordered(id))
            .filter(is_busy)
            .filter_map(|id| Some((occupancy.runs(id)?, id.clone())))
            .collect();
        candidates.sort();
        for (_, id) in candidates.into_iter().take(wanted.saturating_sub(emptying)) {
            self.fleet.emptying.insert(id);
        }
    }
}
