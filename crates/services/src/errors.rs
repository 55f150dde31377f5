//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Result` carries a platform [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says why a read got no usable answer or an adapter could not be built.
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
    /// No adapter has the given name.
    #[error("platform: no adapter is named `{kind}`")]
    UnknownAdapter {
        /// The unknown name.
        kind: String,
    },
    /// An adapter was given an option that it cannot use.
    #[error("platform: invalid option `{option}`: {reason}")]
    InvalidOption {
        /// Name of the option.
        option: &'static str,
        /// What is wrong with it.
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

    /// Builds an [`Error::UnknownAdapter`].
    pub fn unknown_adapter(kind: impl Into<String>) -> Self {
        Self::UnknownAdapter { kind: kind.into() }
    }

    /// Builds an [`Error::InvalidOption`].
    pub fn invalid_option(option: &'static str, reason: impl ToString) -> Self {
        Self::InvalidOption {
            option,
            reason: reason.to_string(),
        }
    }
}
