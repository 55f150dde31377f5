//! The error type of the upstream crate.

use std::io;

use thiserror::Error as ThisError;

/// `Result` carries an upstream [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` states why an upstream gave no usable response.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// Nothing of the request was sent, so the upstream cannot have acted on it.
    #[error("upstream: not sent: {reason}")]
    NotSent {
        /// Description of the failure.
        reason: String,
    },
    /// The address of the upstream refused the connection, so no process listens there.
    #[error("upstream: not sent: {reason}")]
    ConnectionRefused {
        /// Description of the failure.
        reason: String,
    },
    /// The upstream refused the request before it started work on it.
    #[error("upstream: refused with status {status}: {reason}")]
    Refused {
        /// HTTP status code of the refusal.
        status: u16,
        /// Body of the response.
        reason: String,
    },
    /// No response arrived in time after the request may have been sent.
    #[error("upstream: interrupted: no answer within the time limit")]
    TimedOut,
    /// The connection failed after the request may have been sent.
    #[error("upstream: interrupted: {reason}")]
    Interrupted {
        /// Description of the failure.
        reason: String,
    },
    /// The response cannot be parsed.
    #[error("upstream: malformed answer: {reason}")]
    Malformed {
        /// Description of the failure.
        reason: String,
    },
}

impl Error {
    /// Builds an [`Error::NotSent`].
    pub fn not_sent(reason: impl ToString) -> Self {
        Self::NotSent {
            reason: reason.to_string(),
        }
    }

    /// Builds the error for a connection that could not be opened.
    pub fn not_connected(error: &io::Error) -> Self {
        let reason = error.to_string();
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::ConnectionRefused { reason },
            _ => Self::NotSent { reason },
        }
    }

    /// Builds an [`Error::Refused`].
    pub fn refused(status: u16, reason: impl ToString) -> Self {
        Self::Refused {
            status,
            reason: reason.to_string(),
        }
    }

    /// Builds an [`Error::Interrupted`].
    pub fn interrupted(reason: impl ToString) -> Self {
        Self::Interrupted {
            reason: reason.to_string(),
        }
    }

    /// Builds an [`Error::Malformed`].
    pub fn malformed(reason: impl ToString) -> Self {
        Self::Malformed {
            reason: reason.to_string(),
        }
    }
}
