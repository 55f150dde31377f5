//! Errors from loading settings and secrets.

use thiserror::Error as ThisError;

use super::secret::SecretReference;

/// `Result` is a result with a settings [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says which document or secret could not be loaded. It never contains a secret.
#[derive(Debug, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// A document could not be read.
    #[error("settings: cannot read {origin}: {reason}")]
    Unreadable {
        /// Name of the file or environment variable.
        origin: String,
        /// Cause of the failure.
        reason: String,
    },
    /// A secret could not be read.
    #[error("settings: cannot read the secret from {reference}: {reason}")]
    Secret {
        /// Reference to the secret.
        reference: SecretReference,
        /// Cause of the failure.
        reason: String,
    },
}

impl Error {
    /// Builds an [`Error::Unreadable`].
    pub fn unreadable(origin: impl ToString, reason: impl ToString) -> Self {
        Self::Unreadable {
            origin: origin.to_string(),
            reason: reason.to_string(),
        }
    }

    /// Builds an [`Error::Secret`].
    pub fn secret(reference: &SecretReference, reason: impl ToString) -> Self {
        Self::Secret {
            reference: reference.clone(),
            reason: reason.to_string(),
        }
    }
}
