//! How many hosts no pool has needed for a while, so that they can be powered off.
//!
//! A host that waits in another pool has to move to be of use, as one that is powered off has to.
//! So what is beyond the needs and the reserves of all pools together is worth no more than spare
//! hosts. See `docs/DESIGN.md`, section "Hosts and waves".

use std::{collections::VecDeque, time::Duration};

use skylarkwick_version::moment::Moment;

/// Time for which hosts must not have been needed. Powering a host off and on again costs two
/// moves, of some seconds together, so it has to stay off for longer than that.
const WINDOW: Duration = Duration::from_secs(6);

/// The surplus of all pools in the last [`WINDOW`], as a queue in which it rises.
#[derive(Clone, Debug, Default)]
pub(super) struct Parking {
    /// Since when there was a surplus at all.
    since: Option<Moment>,
    /// Lowest surplus from each moment until the next one; later and higher from front to back.
    lows: VecDeque<(Moment, usize)>,
}

impl Parking {
    /// Records the hosts that are beyond the needs and reserves of all pools now, and returns how
    /// many always were in the last [`WINDOW`].
    pub(super) fn record(&mut self, now: Moment, surplus: usize) -> usize {
        let since = *self.since.get_or_insert(now);
        while self.lows.back().is_some_and(|(_, low)| *low >= surplus) {
            self.lows.pop_back();
        }
        self.lows.push_back((now, surplus));
        while self.lows.front().is_some_and(|(at, _)| now.since(*at) > WINDOW) {
            self.lows.pop_front();
        }
        match now.since(since) >= WINDOW {
            true => self.lows.front().map_or(0, |(_, low)| *low),
            false => 0,
        }
    }

    /// Records that this many of them are powered off.
    pub(super) fn record_parked(&mut self, hosts: usize) {
        for (_, low) in &mut self.lows {
            *low = low.saturating_sub(hosts);
        }
    }
}
