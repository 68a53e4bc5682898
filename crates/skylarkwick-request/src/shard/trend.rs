//! Trend of a pool's demand, by which hosts are ordered before they are needed.
//!
//! A host runs its first task for a pool some seconds after its move was decided. While a
//! burst builds up, a pool that gets hosts for its present demand is behind for all of that
//! time. See `docs/DESIGN.md`, section "Hosts and waves".

use std::time::Duration;

use skylarkwick_version::moment::Moment;

/// Time from the decision to move a host until it can run a task of its new pool: the move,
/// the start of its server, and the next list of servers.
const LEAD: Duration = Duration::from_millis(2000);
/// Time constant of the moving mean from which the rise of the demand is measured. Single
/// jobs raise the demand as well, so a shorter one would follow them.
const SMOOTHING: Duration = Duration::from_millis(1000);

/// Moving mean of a pool's demand, in thousandths of a core. While the demand rises evenly,
/// it is behind by what the demand rises in `SMOOTHING`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trend {
    mean_millicores: f64,
    updated: Moment,
}

impl Trend {
    /// Creates the trend of a pool whose demand is first known at `now`.
    pub(super) fn new(now: Moment, millicores: u64) -> Trend {
        Trend { mean_millicores: to_f64(millicores), updated: now }
    }

    /// Takes the present demand and returns the one to expect when a host that is ordered now
    /// can be used: more than the present one while the demand rises, never less.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
    pub(super) fn forecast(&mut self, now: Moment, millicores: u64) -> u64 {
        let present = to_f64(millicores);
        let elapsed = now.since(self.updated).as_secs_f64();
        let weight = 1.0 - (-elapsed / SMOOTHING.as_secs_f64()).exp();
        self.mean_millicores += weight * (present - self.mean_millicores);
        self.updated = now;
        let rise_per_second = (present - self.mean_millicores) / SMOOTHING.as_secs_f64();
        let rise = rise_per_second.max(0.0) * LEAD.as_secs_f64();
        millicores.saturating_add(rise as u64)
    }
}

/// Converts processor time, which is far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "a site has far fewer than 2^52 millicores")]
fn to_f64(millicores: u64) -> f64 {
    millicores as f64
}
