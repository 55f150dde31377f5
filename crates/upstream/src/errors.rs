//! The error type of the upstream crate.

use thiserror::Error as ThisError;

/// `Result` carries an upstream [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why an upstream gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// No connection was made, so nothing was sent.
    #[error("upstream: not sent: {reason}")]
    NotSent {
        /// What went wrong.
        reason: String,
    },
    /// The upstream refused the work before starting it.
    #[error("upstream: refused with status {status}: {reason}")]
    Refused {
        /// HTTP status code of the refusal.
        status: u16,
        /// What the upstream said.
        reason: String,
    },
    /// The connection broke or went silent after the request was sent.
    #[error("upstream: interrupted: {reason}")]
    Interrupted {
        /// What went wrong.
        reason: String,
    },
    /// The upstream answered with something that cannot be read.
    #[error("upstream: malformed answer: {reason}")]
    Malformed {
        /// What went wrong.
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
