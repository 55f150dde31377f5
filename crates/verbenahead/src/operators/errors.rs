//! The error type of the operator API.

use thiserror::Error as ThisError;

/// `Result` carries an operator [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why a read of an operator could not be answered.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// What was asked for lies in the platform's service, which gives no answer.
    #[error("operators: the platform gives no answer: {reason}")]
    Unavailable {
        /// What went wrong.
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
