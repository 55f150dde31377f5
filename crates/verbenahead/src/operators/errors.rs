//! The error type of the operator API.

use thiserror::Error as ThisError;

/// `Result` carries an operator [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is the reason why a read for an operator failed.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// The data is stored on the platform, which does not answer.
    #[error("operators: the platform gives no answer: {reason}")]
    Unavailable {
        /// Cause of the failure.
        reason: String,
    },
}

impl Error {
    /// Builds an [`Error::Unavailable`].
    pub fn unavailable(reason: impl ToString) -> Self {
        Self::Unavailable {
            reason: reason.to_string(),
        }
    }
}
