//! Messages by which nodes learn at which software version a stream began.

use derive_more::Display;

use crate::report::NameKey;

/// `StreamKey` identifies a stream by the request whose response brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0:016x}")]
pub struct StreamKey(pub u64);

/// `StreamOrigin` is the software version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// Key of the software version of its replica.
    pub version: NameKey,
}

/// `OriginMessage` is a message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginMessage {
    /// Tells that a stream began.
    Began {
        /// The stream.
        stream: StreamKey,
        /// Key of the software version of its replica.
        version: NameKey,
    },
    /// Asks at which version a stream began.
    Ask {
        /// Number of the question, unique for the asking process.
        number: u64,
        /// The stream.
        stream: StreamKey,
    },
    /// Answers a question.
    Answer {
        /// Number of the question.
        number: u64,
        /// Key of the software version, if the node knows it.
        version: Option<NameKey>,
    },
    /// Hands over origins of open streams, which the receiver keeps in the platform's table.
    Open(Vec<StreamOrigin>),
}
