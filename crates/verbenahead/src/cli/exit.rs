//! Exit codes of the program.

use std::process::ExitCode;

use super::errors::Error;

/// `ExitStatus` is the result of a command. The exit codes are part of the public interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// There are findings, or the command failed or was refused. Nothing has changed.
    Refused = 1,
    /// No node could be reached, or a read had no response. Nothing has changed.
    NotReachable = 3,
    /// It is not known whether the command has changed anything.
    OutcomeUnknown = 4,
    /// The manifest is accepted, but was not in force on every node within the time limit.
    NotInForce = 5,
}

impl ExitStatus {
    /// Returns the status for an error of a command.
    pub(crate) fn from_error(e: &anyhow::Error) -> Self {
        match e.downcast_ref::<Error>() {
            Some(Error::NotReachable(_) | Error::NoResponse(_)) => Self::NotReachable,
            _ => Self::Refused,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
