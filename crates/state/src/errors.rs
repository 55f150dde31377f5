//! Error type of the state crate.

use thiserror::Error as ThisError;
use verbenahead_core::{Digest, FencingNumber, ServiceId};

/// `Result` carries a state [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why stored state could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// An idempotency key has an invalid length or character.
    #[error("state: invalid idempotency key: {reason}")]
    InvalidKey {
        /// Why the key is invalid.
        reason: &'static str,
    },
    /// A row or object cannot be decoded.
    #[error("state: malformed {what}: {reason}")]
    Malformed {
        /// Kind of row or object that was read.
        what: &'static str,
        /// Decoding failure.
        reason: String,
    },
    /// A body in the object store does not have the digest under which it is stored.
    #[error("state: body has digest {actual}, not {expected}")]
    WrongDigest {
        /// Digest under which the body was asked for.
        expected: Digest,
        /// Digest of the body as it was read.
        actual: Digest,
    },
    /// A body that the head names is not in the object store.
    #[error("state: no body with digest {digest}")]
    MissingBody {
        /// Digest under which the body was asked for.
        digest: Digest,
    },
    /// A later lease holder has taken over.
    #[error("state: a later holder has the fencing number {fencing}")]
    Fenced {
        /// Fencing number of the later holder.
        fencing: FencingNumber,
    },
    /// A service has too many pending starts.
    #[error("state: service {service} has too many pending starts")]
    TooManyStarts {
        /// Service whose replicas are being started.
        service: ServiceId,
    },
    /// The platform gave no usable response in time.
    #[error("state: platform unavailable: {reason}")]
    Unavailable {
        /// Why no usable response was received.
        reason: String,
    },
}

impl Error {
    /// Builds an [`Error::InvalidKey`].
    pub fn invalid_key(reason: &'static str) -> Self {
        Self::InvalidKey { reason }
    }

    /// Builds an [`Error::Malformed`].
    pub fn malformed(what: &'static str, reason: impl ToString) -> Self {
        Self::Malformed {
            what,
            reason: reason.to_string(),
        }
    }

    /// Builds an [`Error::Fenced`].
    pub fn fenced(fencing: FencingNumber) -> Self {
        Self::Fenced { fencing }
    }

    /// Builds an [`Error::Unavailable`].
    pub fn unavailable(reason: impl ToString) -> Self {
        Self::Unavailable {
            reason: reason.to_string(),
        }
    }
}

impl From<verbenahead_services::Error> for Error {
    fn from(err: verbenahead_services::Error) -> Self {
        Self::unavailable(err)
    }
}
