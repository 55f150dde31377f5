//! Messages by which nodes find out which content of requests crashes replicas.

use verbenahead_core::{ContentKey, QuarantinedContent};

use crate::report::NameKey;

/// `CrashReport` tells of the crash of a replica that was about to answer requests of the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Key of the incarnation of the replica.
    pub replica: NameKey,
    /// Content of these requests that the sender does not know to be sound, the more specific after
    /// the more general.
    pub suspects: Vec<ContentKey>,
}

/// `QuarantineMessage` is a message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineMessage {
    /// Reports the recent crashes that the sender saw.
    Crashes {
        /// Number of the message, unique for the sending process.
        number: u64,
        /// The crashes.
        crashes: Vec<CrashReport>,
    },
    /// Acknowledges reported crashes.
    Received {
        /// Number of the message that reported them.
        number: u64,
    },
    /// Asks whether the receiver knows content to be sound.
    Inquiry(Vec<ContentKey>),
    /// Tells that requests with this content were recently answered completely.
    Sound(Vec<ContentKey>),
    /// Tells that content is quarantined.
    Quarantined(Vec<QuarantinedContent>),
}
