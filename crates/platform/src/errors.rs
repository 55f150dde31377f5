//! The error type of the platform crate.

use thiserror::Error as ThisError;

/// `Result` carries a platform [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why the platform gave no usable answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// The platform could not be reached, or answered that it is down.
    #[error("platform: {service} is unavailable: {reason}")]
    Unavailable {
        /// Name of the platform's service.
        service: &'static str,
        /// What went wrong.
        reason: String,
    },
    /// The platform answered with something that the adapter cannot read.
    #[error("platform: {service} gave a malformed answer: {reason}")]
    Malformed {
        /// Name of the platform's service.
        service: &'static str,
        /// What went wrong.
        reason: String,
    },
}

impl Error {
    /// Builds an [`Error::Unavailable`].
    pub fn unavailable(service: &'static str, reason: impl ToString) -> Self {
        Self::Unavailable {
            service,
            reason: reason.to_string(),
        }
    }

    /// Builds an [`Error::Malformed`].
    pub fn malformed(service: &'static str, reason: impl ToString) -> Self {
        Self::Malformed {
            service,
            reason: reason.to_string(),
        }
    }
}
