//! The start of a term and the end of its takeover grace, for the log. See `docs/OPERATIONS.md`,
//! section "Long-running tasks without a run".

use std::time::{SystemTime, UNIX_EPOCH};

use skylarkwick_request::shard::{
    Shard, Timings,
    takeover::{Takeover, Unanswered},
};
use skylarkwick_version::moment::{Moment, millis};
use slog::{Logger, info};

use super::lease::{Acquisition, Readings};

/// How far the takeover of this term was logged.
#[derive(Debug, Default)]
pub(super) struct TakeoverLog {
    is_grace_logged: bool,
    is_complete: bool,
}

impl TakeoverLog {
    /// Logs the end of the takeover grace: how many servers have not answered by then, and how many
    /// jobs have waited for them; once more when those that may have longer leases are not waited
    /// for either.
    pub(super) fn log(&mut self, now: Moment, shard: &Shard, log: &Logger) {
        if self.is_complete {
            return;
        }
        let Takeover { is_grace_over, given_up, awaited } = shard.takeover(now);
        let is_complete = is_grace_over && awaited == Unanswered::default();
        if is_complete || (is_grace_over && !self.is_grace_logged) {
            info!(log, "takeover grace over"; "unanswered_servers" => given_up.servers,
                "waited_jobs" => given_up.jobs, "awaited_servers" => awaited.servers,
                "waiting_jobs" => awaited.jobs);
        }
        (self.is_grace_logged, self.is_complete) = (is_grace_over, is_complete);
    }
}

/// Logs the start of a term: how long it waits for earlier holders and their runs, and the readings
/// of the store's clock and of this host's.
pub(super) fn log_begin(acquisition: &Acquisition, timings: &Timings, log: &Logger) {
    let Acquisition { number, since, earlier, settled, readings, .. } = acquisition;
    let Readings { store_ms, estimated_ms, renewed_ms, unchanged } = readings;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    info!(log, "term begins"; "number" => number, "overlap_ms" => millis(earlier.overlap),
        "granted_ms" => millis(earlier.granted),
        "grace_ms" => millis(timings.takeover_grace),
        "longest_grace_ms" => millis(timings.longest_grace),
        "run_lease_ms" => millis(timings.lease_duration),
        "max_lease_ms" => millis(timings.max_lease), "settled_servers" => settled.len(),
        "unchanged_ms" => millis(*unchanged), "store_ms" => store_ms,
        "store_estimate_ms" => estimated_ms, "renewed_ms" => renewed_ms,
        "boot_ms" => millis(since.since_start()), "unix_ms" => millis(unix));
}
