//! What the holder publishes from time to time: its waiting jobs and the needs of workspaces.

use std::time::Duration;

use skylarkwick_connection::{control::Orders, store::row::BacklogRow};
use skylarkwick_version::moment::Moment;
use slog::warn;

use super::{
    super::{allotments, saver::SaveRequest},
    Holder,
};

/// Minimum time between two writes of the backlog, the waiting jobs of each queue; entry
/// hosts take jobs accepted since the last write as waiting too.
const BACKLOG_PERIOD: Duration = Duration::from_millis(700);
/// Time between two reports of what the workspaces need.
const QUOTA_REPORT_PERIOD: Duration = Duration::from_millis(150);

impl<O: Orders> Holder<O> {
    /// Reports what the workspaces need to the duty that agrees on quotas with other shards,
    /// every [`QUOTA_REPORT_PERIOD`] and after each change of the limits. If its ring is full, it
    /// has not taken earlier reports yet; the next one replaces this one.
    pub(super) fn report_needs(&mut self, now: Moment) {
        let Some(allotments) = self.allotments.as_ref().filter(|_| now >= self.quota_report_due)
        else {
            return;
        };
        self.quota_report_due = now + QUOTA_REPORT_PERIOD;
        if self.shard.quota_needs().is_empty() {
            return;
        }
        let report = allotments::Report {
            limits_version: self.quota_limits_version,
            workspaces: self.shard.workspaces().clone(),
            needs: self.shard.quota_needs().clone(),
        };
        let _ = allotments.try_send(report);
    }

    /// Requests a write of the waiting jobs of each queue and of the room for further jobs, for the
    /// entry hosts to read, if [`BACKLOG_PERIOD`] has passed since the last attempt. The
    /// incarnations of servers are written with it if they have changed, for the next holder.
    /// It is skipped and logged if the saver's ring is full.
    pub(super) fn publish_backlog(&mut self, now: Moment) {
        if now < self.backlog_due {
            return;
        }
        self.backlog_due = now + BACKLOG_PERIOD;
        let room = self.shard_bytes.saturating_sub(self.shard.kept().bytes);
        if room == 0 {
            warn!(self.log, "no room for jobs"; "limit_bytes" => self.shard_bytes);
        }
        let row = BacklogRow::new(self.shard.backlog(), room);
        let incarnations = self.shard.known_incarnations();
        let changed = (incarnations != self.saved_incarnations).then(|| incarnations.clone());
        match self.saver.try_send(SaveRequest::Backlog(row, changed)) {
            Ok(()) => self.saved_incarnations = incarnations,
            Err(_) => {
                warn!(self.log, "backlog not saved"; "because" => "the saver's ring is full");
            }
        }
    }
}
