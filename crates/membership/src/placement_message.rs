//! Messages about the load of replicas, to and from the nodes that coordinate the placement of prompts.

use std::time::Duration;

use verbenahead_core::units::Tokens;

use crate::report::NameKey;

/// `PlacementMessage` is a message between two nodes about one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementMessage {
    /// Key of the incarnation of the replica.
    pub replica: NameKey,
    /// Number of the request, unique for the node that sends it to a replica.
    pub number: u32,
    /// What is told or asked.
    pub body: PlacementBody,
}

/// `PlacementBody` is what a message tells or asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementBody {
    /// Asks for the load of the replica.
    Inquire,
    /// Answers an inquiry.
    Load(PlacementLoad),
    /// A prompt is sent to the replica.
    Placed {
        /// Tokens that the replica is expected to process.
        uncached: Tokens,
        /// Tokens of the whole prompt.
        prompt: Tokens,
    },
    /// Something became known of a prompt or of the load of the replica.
    Observed {
        /// What became of the prompt.
        progress: PromptProgress,
        /// Load that the replica stated, if it did.
        stated: Option<ObservedLoad>,
    },
}

/// `PlacementLoad` is the estimated load of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementLoad {
    /// Time to process the queued prompts at the usual speed, in whole milliseconds.
    pub queued: Duration,
    /// Requests that run.
    pub streams: u32,
    /// Time that work takes now, in percent of the usual.
    pub time_percent: u32,
    /// Time since the replica stated its load, in whole milliseconds.
    pub stated_age: Option<Duration>,
    /// Whether the coordinator has known the replica long enough to know all queued prompts.
    pub is_complete: bool,
}

/// `PromptProgress` is what became of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptProgress {
    /// It is still processed.
    Queued,
    /// Its first event came.
    Started,
    /// The request has ended, or did not run.
    Ended,
}

/// `ObservedLoad` is the load that a replica stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time that work takes now, in percent of the usual.
    pub time_percent: u32,
    /// Time since the replica stated it, in whole milliseconds.
    pub age: Duration,
}
