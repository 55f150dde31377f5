//! Error type of the peer crate.

use std::{io, net::SocketAddr, time::Duration};

use thiserror::Error as ThisError;

use crate::journal::JournalRefusal;

/// `Result` carries a peer [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why a call to a peer or the start of the peer listener failed.
#[derive(Debug, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// A message has an invalid field.
    #[error("peer: malformed {field}: {reason}")]
    Malformed {
        /// Name of the field.
        field: &'static str,
        /// Why the field is invalid.
        reason: String,
    },
    /// The peer did not respond within the deadline.
    #[error("peer: {peer} gave no answer within {deadline:?}")]
    DeadlineExceeded {
        /// Address of the peer.
        peer: SocketAddr,
        /// The deadline.
        deadline: Duration,
    },
    /// The peer was unreachable, refused the credential or closed the connection.
    #[error("peer: {peer} is unavailable: {reason}")]
    Unavailable {
        /// Address of the peer.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The peer responded with an error.
    #[error("peer: {peer} refused the call: {reason}")]
    Refused {
        /// Address of the peer.
        peer: SocketAddr,
        /// Message of the error.
        reason: String,
    },
    /// The holder refused to read or change a journal.
    #[error("peer: {0}")]
    Journal(#[from] JournalRefusal),
    /// No reachable peer holds the journal.
    #[error("peer: no journal found at {asked} peers, of which {unreachable} were unreachable")]
    JournalNotFound {
        /// Number of nodes that were asked, including this one.
        asked: usize,
        /// Number of peers that did not respond.
        unreachable: usize,
    },
    /// Too many appends are queued for the holder.
    #[error("peer: too many appends wait for {peer}")]
    Overloaded {
        /// Address of the holder.
        peer: SocketAddr,
    },
    /// The task behind a handle has ended.
    #[error("peer: the task has ended")]
    Closed,
    /// Plaintext is allowed on loopback addresses only.
    #[error("peer: plain text is not allowed on {address}, which is no loopback address")]
    PlaintextRefused {
        /// The address.
        address: SocketAddr,
    },
    /// A key or certificate is invalid.
    #[error("peer: unusable credentials: {reason}")]
    Credentials {
        /// Why it is invalid. Contains no part of a key.
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

    /// Returns whether the connection may have caused the error, so that the next call should open
    /// a new one.
    pub fn is_connection_error(&self) -> bool {
        matches!(
            self,
            Self::DeadlineExceeded { .. } | Self::Unavailable { .. }
        )
    }
}
