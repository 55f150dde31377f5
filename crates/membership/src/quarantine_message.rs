//! Messages by which nodes find out which part of the prompts crashes replicas.

use verbenahead_core::{PartKey, QuarantinedPart};

use crate::report::NameKey;

/// `CrashReport` tells of the crash of a replica that was about to answer requests of the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Key of the incarnation of the replica.
    pub replica: NameKey,
    /// Parts of the prompts of these requests that the sender does not know to be sound, in the order
    /// of each prompt.
    pub suspects: Vec<PartKey>,
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
    /// Asks whether the receiver knows parts to be sound.
    Inquiry(Vec<PartKey>),
    /// Tells that requests with these parts were recently answered completely.
    Sound(Vec<PartKey>),
    /// Tells that parts are quarantined.
    Quarantined(Vec<QuarantinedPart>),
}
