//! Exit codes of the program.

use std::process::ExitCode;

use super::errors::Error;

/// `ExitStatus` is how a command ended. The codes are part of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// The command did what it was asked for.
    Done = 0,
    /// There are findings, or the command was refused. Nothing has changed.
    Refused = 1,
    /// The node could not be reached or gave no answer to a read. Nothing has changed.
    NotReachable = 3,
    /// It is not known whether the command has changed anything.
    Unknown = 4,
    /// A manifest is accepted and was not seen in force on every node in time.
    NotInForce = 5,
}

impl ExitStatus {
    /// Returns the status for an error of a command.
    pub(crate) fn of_error(e: &anyhow::Error) -> Self {
        match e.downcast_ref::<Error>() {
            Some(Error::NotReachable(_) | Error::NoAnswer(_)) => Self::NotReachable,
            _ => Self::Refused,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
