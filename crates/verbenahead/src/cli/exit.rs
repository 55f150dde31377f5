//! Exit codes of the program.

use std::process::ExitCode;

/// `ExitStatus` is how a command ended. The codes are part of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// The command did what it was asked for.
    Done = 0,
    /// There are findings, or the command was refused. Nothing has changed.
    Refused = 1,
}

impl ExitStatus {
    /// Returns the status for an error of a command.
    pub(crate) fn of_error(_: &anyhow::Error) -> Self {
        Self::Refused
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
