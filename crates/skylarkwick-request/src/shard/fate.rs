//! What news about a backend server proves about the runs on it.
//!
//! News comes from the platform's list, reports, results of calls, and silence. Whenever a
//! run may be given up although its server has neither rejected it nor told how it ended,
//! [`Server::fate`] decides. See `docs/DESIGN.md`, section "Jobs".

use skylarkwick_version::moment::Moment;

use super::server::{ActiveRun, Attribution, Server, Stage};

/// News about a server after which runs on it may be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum News {
    /// A complete report of the known incarnation lacks the run.
    NotReported {
        /// When the poll was sent.
        polled: Moment,
    },
    /// A later incarnation is at work.
    Restarted,
    /// Another server answers at the address of the known incarnation.
    Replaced,
    /// Every lease that was granted to the server has expired.
    LeaseExpired,
}

/// What is known of a run after news about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It has ended, or it did not begin and never will.
    Over,
    /// It may be in progress, or may still begin.
    Open,
}

impl Server {
    /// Decides what news about this server proves about one of its runs.
    ///
    /// A restart ends only what an earlier incarnation has reported: a start names the
    /// server, not its incarnation, so one that was sent before the restart was known may
    /// have reached the later incarnation, also if it was answered.
    pub(super) fn fate(&self, active_run: &ActiveRun, news: News) -> Fate {
        let is_over = match (news, active_run.stage) {
            (News::Replaced | News::LeaseExpired, _) => true,
            (News::Restarted, Stage::Planned) => true,
            (News::Restarted, _) => active_run.attribution == Attribution::Reported,
            (News::NotReported { .. }, Stage::Planned | Stage::Starting) => false,
            (News::NotReported { polled }, Stage::Running) => polled > active_run.stage_since,
            (
                News::NotReported { polled },
                Stage::Stopping { acknowledged: Some(acknowledged), .. },
            ) => polled > acknowledged,
            (
                News::NotReported { polled },
                Stage::Unconfirmed | Stage::Stopping { acknowledged: None, .. },
            ) => active_run
                .start_deadline_ms
                .is_some_and(|deadline_ms| self.has_clock_passed(polled, deadline_ms)),
        };
        match is_over {
            true => Fate::Over,
            false => Fate::Open,
        }
    }
}
