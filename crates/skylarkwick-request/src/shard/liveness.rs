//! Whether a run can still be in progress, by what is known of its backend server.
//!
//! The platform's list, reports, results of calls and silence tell of a server. Whenever a
//! run may be given up although its server has neither rejected it nor told how it ended,
//! [`Server::liveness`] decides. See `docs/DESIGN.md`, section "Jobs".

use skylarkwick_version::moment::Moment;

use super::server::{ActiveRun, Attribution, Server, Stage};

/// Evidence about a server by which runs on it may be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
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

/// Whether a run can still be in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Liveness {
    /// It has ended, or it did not begin and never will.
    Ended,
    /// It may be in progress, or may still begin.
    Possible,
}

impl Server {
    /// Decides what the evidence proves about a run on this server.
    ///
    /// A restart ends only what an earlier incarnation has reported: a start names the
    /// server, not its incarnation, so one that was sent before the restart was known may
    /// have reached the later incarnation, also if it was answered.
    pub(super) fn liveness(&self, active_run: &ActiveRun, evidence: Evidence) -> Liveness {
        let is_over = match (evidence, active_run.stage) {
            (Evidence::Replaced | Evidence::LeaseExpired, _) => true,
            (Evidence::Restarted, Stage::Planned) => true,
            (Evidence::Restarted, _) => active_run.attribution == Attribution::Reported,
            (Evidence::NotReported { .. }, Stage::Planned | Stage::Starting) => false,
            (Evidence::NotReported { polled }, Stage::Running) => polled > active_run.stage_since,
            (
                Evidence::NotReported { polled },
                Stage::Stopping { acknowledged: Some(acknowledged), .. },
            ) => polled > acknowledged,
            (
                Evidence::NotReported { polled },
                Stage::Unconfirmed | Stage::Stopping { acknowledged: None, .. },
            ) => active_run
                .start_deadline_ms
                .is_some_and(|deadline_ms| self.has_clock_passed(polled, deadline_ms)),
        };
        match is_over {
            true => Liveness::Ended,
            false => Liveness::Possible,
        }
    }
}
