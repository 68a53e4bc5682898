//! Exit statuses, shared by every binary.

use std::process::{ExitCode, Termination};

/// Exit status of a program: 0 for success, 1 if it ran and reports a failure, 2 if it
/// could not do its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The program completed successfully.
    Success,
    /// The program ran, and reports a violated guarantee, a conflict or a rejection.
    Failure,
    /// The program could not do its work: the arguments or settings are invalid, it
    /// could not start, or the system cannot be reached.
    Error,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        match status {
            ExitStatus::Success => ExitCode::from(0),
            ExitStatus::Failure => ExitCode::from(1),
            ExitStatus::Error => ExitCode::from(2),
        }
    }
}

impl Termination for ExitStatus {
    fn report(self) -> ExitCode {
        self.into()
    }
}
