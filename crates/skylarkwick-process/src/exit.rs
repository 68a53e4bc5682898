//! Exit statuses, alike for every binary.

use std::process::{ExitCode, Termination};

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The program did what it was asked to.
    Success,
    /// The program ran and found a fault: a broken promise, a conflict, a refusal.
    Failure,
    /// The arguments or the settings are not valid, or the system can't be reached.
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
