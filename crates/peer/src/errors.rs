//! The error type of the peer crate.

use std::{io, net::SocketAddr, time::Duration};

use thiserror::Error as ThisError;

use crate::journal::JournalRefusal;

/// `Result` carries a peer [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why a call to a peer or the start of the peer listener failed.
#[derive(Debug, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// A message has a field that cannot be read.
    #[error("peer: malformed {field}: {reason}")]
    Malformed {
        /// Name of the field.
        field: &'static str,
        /// Why it cannot be read.
        reason: String,
    },
    /// The peer gave no answer within the deadline.
    #[error("peer: {peer} gave no answer within {deadline:?}")]
    DeadlineExceeded {
        /// Address of the peer.
        peer: SocketAddr,
        /// The deadline.
        deadline: Duration,
    },
    /// The peer could not be reached, refused the credential or broke the connection off.
    #[error("peer: {peer} is unavailable: {reason}")]
    Unavailable {
        /// Address of the peer.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The peer answered with an error.
    #[error("peer: {peer} refused the call: {reason}")]
    Refused {
        /// Address of the peer.
        peer: SocketAddr,
        /// What the peer said.
        reason: String,
    },
    /// The holder refused a change of a journal.
    #[error("peer: {0}")]
    Journal(#[from] JournalRefusal),
    /// No peer holds the journal, as far as could be found out.
    #[error("peer: no journal found at {asked} peers, of which {unreachable} were unreachable")]
    JournalNotFound {
        /// Peers that were asked.
        asked: usize,
        /// Peers that gave no answer.
        unreachable: usize,
    },
    /// Too many changes wait for this holder.
    #[error("peer: too many appends wait for {peer}")]
    Overloaded {
        /// Address of the holder.
        peer: SocketAddr,
    },
    /// The task behind a handle has ended.
    #[error("peer: the task has ended")]
    Closed,
    /// Plain text is allowed on loopback addresses only.
    #[error("peer: plain text is not allowed on {address}, which is no loopback address")]
    PlainTextRefused {
        /// The address.
        address: SocketAddr,
    },
    /// A key or certificate cannot be used.
    #[error("peer: unusable credentials: {reason}")]
    Credentials {
        /// What is wrong, without any part of a key.
        reason: String,
    },
    /// The listener could not be opened.
    #[error("peer: cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
}

impl Error {
    /// Builds an [`Error::Malformed`].
    pub fn malformed(field: &'static str, reason: impl ToString) -> Self {
        Self::Malformed {
            field,
            reason: reason.to_string(),
        }
    }

    /// Builds an [`Error::Credentials`].
    pub fn credentials(reason: impl ToString) -> Self {
        Self::Credentials {
            reason: reason.to_string(),
        }
    }

    /// Returns whether the connection may be at fault, so that a new one should be tried.
    pub fn is_connection_fault(&self) -> bool {
        matches!(
            self,
            Self::DeadlineExceeded { .. } | Self::Unavailable { .. }
        )
    }
}
