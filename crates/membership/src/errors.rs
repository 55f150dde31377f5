//! The error type of the membership crate.

use std::net::SocketAddr;

use thiserror::Error as ThisError;
use verbenahead_core::{NodeId, findings::Findings};

/// `Result` carries a membership [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why a membership or news operation failed.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// The embedded state chart of members is invalid.
    #[error("membership: the chart of members is faulty:\n{findings}")]
    Chart {
        /// All errors in the chart.
        findings: Findings,
    },
    /// The task behind a handle has ended.
    #[error("membership: the task has ended")]
    Closed,
    /// A message was addressed to another node.
    #[error("membership: the message is for node `{wanted}`, this is `{actual}`")]
    WrongNode {
        /// Node to which the message was addressed.
        wanted: NodeId,
        /// Node that received the message.
        actual: NodeId,
    },
    /// A call to a peer failed or timed out.
    #[error("membership: the call to {peer} failed: {reason}")]
    Call {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
}

impl Error {
    /// Builds an [`Error::Call`].
    pub fn call(peer: SocketAddr, reason: impl ToString) -> Self {
        Self::Call {
            peer,
            reason: reason.to_string(),
        }
    }
}
