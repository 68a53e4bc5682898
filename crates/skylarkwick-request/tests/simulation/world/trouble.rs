//! What goes wrong, and changes of the holder.

use std::{collections::BTreeMap, time::Duration};

use skylarkwick_request::shard::{Shard, Term, Timings, input::AcceptedJob};
use skylarkwick_version::shard_lease;

use super::{super::plan::Plan, LEASE_MS, RELEASE_MS, SERVERS, Successor, World};
use crate::harness::{self, ms, queue};

impl World {
    pub(super) fn make_trouble(&mut self) {
        if !self.has_trouble() {
            self.is_store_up = true;
            return;
        }
        let period = if self.is_store_up { 600 } else { 200 };
        if self.random.is_one_in(period) {
            self.is_store_up = !self.is_store_up;
        }
        for name in SERVERS {
            let machine = self.machines.get_mut(name).unwrap();
            let is_spared = self.plan.spares_cut && machine.is_cut(self.now_ms);
            if machine.life.is_some() && self.random.is_one_in(300) && !is_spared {
                machine.crash(self.now_ms + 20 + self.random.below(1200));
            }
        }
        if self.trouble.has_hand_overs() {
            self.cut_servers();
            if self.random.is_one_in(self.plan.term_period) || self.term_end_ms <= self.now_ms {
                self.end_term();
            }
        }
    }

    /// Cuts servers off for longer than a lease: at times one that has just started again,
    /// around a change of the holder.
    pub(super) fn cut_servers(&mut self) {
        let Plan { cut_ms: (shortest_ms, spread_ms), restart_period, spares_cut, .. } = self.plan;
        for name in SERVERS {
            let machine = self.machines.get_mut(name).unwrap();
            let length_ms = shortest_ms + self.random.below(spread_ms);
            if self.random.is_one_in(800) {
                machine.cut_ms = (self.now_ms, self.now_ms + length_ms);
            }
            let is_spared = spares_cut && machine.is_cut(self.now_ms);
            if machine.life.is_some() && self.random.is_one_in(restart_period) && !is_spared {
                let starts_at_ms = self.now_ms + 50 + self.random.below(500);
                machine.crash(starts_at_ms);
                machine.silent_until_ms = starts_at_ms;
                let cut_ms = starts_at_ms + 100 + self.random.below(1_500);
                machine.cut_ms = (cut_ms, cut_ms + length_ms);
                self.term_end_ms = starts_at_ms + self.random.below(800);
            }
        }
    }

    /// Kills the holder, or stops it as planned; does nothing without one.
    pub(super) fn end_term(&mut self) {
        self.term_end_ms = u64::MAX;
        if self.successor.is_some() {
            return;
        }
        let is_planned = self.random.is_one_in(2);
        let granted_for = match is_planned {
            true => self.harness.now + self.timings.lease_duration,
            false => self.last_renewal + shard_lease::GRANT_LIMIT,
        };
        self.granted_until = self.granted_until.max(granted_for);
        self.successor = Some(match is_planned {
            true => Successor {
                at_ms: self.now_ms + 20 + self.random.below(RELEASE_MS),
                overlap: Duration::ZERO,
                settled: self.harness.shard.settled_servers(self.harness.now),
            },
            false => Successor {
                at_ms: self.now_ms + LEASE_MS + self.random.below(700),
                overlap: shard_lease::HOLDER_OVERLAP,
                settled: BTreeMap::new(),
            },
        });
    }

    /// Begins the term of the next holder if it is due: it starts from the stored jobs.
    pub(super) fn change_holder(&mut self) {
        let is_due = self.successor.as_ref().is_some_and(|next| next.at_ms <= self.now_ms);
        let Some(Successor { overlap, settled, .. }) = self.successor.take_if(|_| is_due) else {
            return;
        };
        self.term += 1;
        let now = self.harness.now;
        let granted = self.granted_until.since(now).mul_f64(1.03);
        let longest = overlap + self.timings.max_lease.mul_f64(1.03);
        let timings = Timings {
            takeover_grace: granted + ms(500),
            longest_grace: longest.max(granted) + ms(500),
            ..self.timings
        };
        let term = Term { fencing_token: self.term, number: self.term, since: now };
        let mut shard = Shard::new(timings, term);
        shard.set_settled_servers(settled);
        if !self.is_earlier_release() {
            shard.set_known_incarnations(self.stored_incarnations.clone());
        }
        shard.set_queues(vec![queue(harness::QUEUE, harness::POOL)]);
        shard.set_hosts(now, Vec::new());
        for job in self.stored.values() {
            let progress = job.progress.clone();
            let accepted = job.accepted.clone();
            let progress_revision = job.revision;
            shard.add_job(now, AcceptedJob { progress, progress_revision, ..accepted });
        }
        self.harness.shard = shard;
        self.last_renewal = now;
    }

    /// Returns whether the holder with this token is at work.
    pub(super) fn is_at_work(&self, token: u64) -> bool {
        self.successor.is_none() && token == self.term
    }
}
