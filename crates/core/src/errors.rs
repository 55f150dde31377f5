//! The error type of the core crate.

use thiserror::Error as ThisError;

/// `Result` is the standard result with the core [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why a core value could not be built.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// A text is not a valid id of the named kind.
    #[error("core: invalid {kind} `{text}`: {reason}")]
    InvalidId {
        /// The kind of id, such as `workspace id`.
        kind: &'static str,
        /// The rejected text.
        text: String,
        /// Why the text was rejected.
        reason: &'static str,
    },
    /// A text is not a valid quantity of the named unit.
    #[error("core: invalid {unit} `{text}`")]
    InvalidUnit {
        /// Name of the unit.
        unit: &'static str,
        /// The rejected text.
        text: String,
    },
}

impl Error {
    /// Builds an [`Error::InvalidId`].
    pub fn invalid_id(kind: &'static str, text: impl Into<String>, reason: &'static str) -> Self {
        Self::InvalidId {
            kind,
            text: text.into(),
            reason,
        }
    }

    /// Builds an [`Error::InvalidUnit`].
    pub fn invalid_unit(unit: &'static str, text: impl Into<String>) -> Self {
        Self::InvalidUnit {
            unit,
            text: text.into(),
        }
    }
}
