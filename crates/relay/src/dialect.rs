//! What the relay needs to know of a wire protocol.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, Request, Response, StatusCode, request, response};
use http_body_util::Full;
use verbenahead_core::{Digest, UpstreamId, WorkspaceId, units::Tokens};

/// `CallerRequestId` is the id that a caller gave to one try of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub struct CallerRequestId(pub Arc<str>);

/// `CallerRequest` is what the head of a caller's request tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id of this try. No two tries have the same id.
    pub id: CallerRequestId,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Digest of the caller's key.
    pub key: Option<Digest>,
    /// Shape of the prompt of a request to a model.
    pub prompt: Option<PromptShape>,
    /// Event after which a resumed stream goes on.
    pub resume_after: Option<EventId>,
}

/// `EventId` numbers the events of a stream. It rises from event to event.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, derive_more::FromStr,
)]
pub struct EventId(pub u64);

/// `PromptShape` is what a request to a model tells of its size and of what it shares with others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Hash of the name of the model.
    pub model: u64,
    /// Size of the prompt.
    pub prompt: Tokens,
    /// Size of the longest answer.
    pub max_answer: Tokens,
    /// Caller's estimate of the size of the answer.
    pub expected_answer: Option<Tokens>,
    /// Parts of the prompt in their order, the last of which may be the request's own.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the size of the prompt and the longest answer together.
    pub fn total(&self) -> Tokens {
        Tokens(self.prompt.0.saturating_add(self.max_answer.0))
    }
}

/// `PromptPart` is a part of a prompt that other requests may have too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Size of the part.
    pub tokens: Tokens,
}

/// `InvalidRequest` says why the head of a request cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
#[display("header `{header}`: {reason}")]
pub struct InvalidRequest {
    /// Name of the header at fault.
    pub header: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// `Dispatch` is what the relay decided about one attempt at a replica.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// Replica that is meant. Another one at its address refuses.
    pub upstream: &'a UpstreamId,
    /// Time that is left for the answer.
    pub remaining: Duration,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceId>,
    /// Urgency at the replica.
    pub urgency: Option<Urgency>,
    /// Event after which the stream goes on.
    pub resume_after: Option<EventId>,
    /// Where the replica finds KV cache that it does not hold.
    pub kv_source: Option<KvSource>,
}

/// `Urgency` orders the requests at a replica, 0 first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Urgency(pub u8);

/// `KvSource` is where a replica finds KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvSource {
    /// Another replica holds a longer prefix of the prompt.
    Prefix(SocketAddr),
    /// The run was moved, and its memory is known by this handle of the replica at this address.
    Moved {
        /// Replica that ran the request before.
        from: SocketAddr,
        /// Handle of the moved memory.
        handle: String,
    },
}

/// `AnswerVerdict` is what the head of a replica's answer tells about the run of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The answer is the replica's, to this request.
    Answered,
    /// The replica did not run the request and will not.
    NotRun(NotRunReason),
    /// The answer is not to this request, or not a replica's. Whether the request ran is unknown.
    Foreign,
}

/// `NotRunReason` is why a replica did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum NotRunReason {
    /// It has no room.
    #[display("full")]
    Full,
    /// Another replica has the address by now.
    #[display("other replica")]
    OtherReplica,
    /// The replica gave another reason, by its status.
    #[display("refused")]
    Refused,
}

/// `ReportedSlots` is a replica's own view of its load, as an answer carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedSlots {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it works on at most.
    pub slots: u32,
}

/// `MoveOutcome` is a replica's answer to the request to move a run.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum MoveOutcome {
    /// The memory is at the target, and the run has stopped.
    #[display("moved")]
    Moved {
        /// Handle of the memory.
        handle: String,
    },
    /// The run has stopped, but the memory is still at the replica that ran it.
    #[display("stopped")]
    Stopped {
        /// Handle of the memory.
        handle: String,
    },
    /// The replica does not run the request.
    #[display("no such run")]
    NoSuchRun,
    /// The run goes on where it is.
    #[display("refused with status {_0}")]
    Refused(StatusCode),
}

/// `Dialect` translates between a wire protocol and the relay.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// When a header that the relay needs is missing or cannot be read.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, InvalidRequest>;

    /// Returns the headers for a replica: those of the caller that are passed on, and those that
    /// say what the relay decided.
    fn upstream_headers(&self, caller: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Reads the head of a replica's answer to a request.
    fn classify_response(&self, id: &CallerRequestId, answer: &response::Parts) -> ResponseClass;

    /// Reads the load that an answer reports.
    fn reported_slots(&self, answer: &HeaderMap) -> Option<ReportedSlots>;

    /// Returns the headers of a replica's answer for the caller.
    fn caller_headers(&self, answer: &HeaderMap) -> HeaderMap;

    /// Adds what an answer of the node's own carries in this dialect.
    fn mark_own_answer(&self, id: &CallerRequestId, headers: &mut HeaderMap);

    /// Builds a request that every live replica answers at once, whatever its load.
    fn probe_request(&self) -> Request<Full<Bytes>>;

    /// Builds the request that moves a run to another replica.
    fn move_request(&self, id: &CallerRequestId, target: SocketAddr) -> Request<Full<Bytes>>;

    /// Reads the answer to a request that moves a run.
    fn read_move_response(&self, answer: &Response<Bytes>) -> MoveOutcome;
}
