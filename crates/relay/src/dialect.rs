//! Interface between the relay and the wire protocol of callers and replicas.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, Request, Response, StatusCode, request, response};
use verbenahead_core::{
    Digest, UpstreamId, WorkspaceId,
    units::{RequestRate, Tokens},
};
use verbenahead_policy::TimePercent;
use verbenahead_upstream::SegmentedBody;

/// `CallerRequestId` is the id that a caller gives to a request. A caller that sends a request
/// again gives it a new id. All attempts that the relay makes for a request carry the same id.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub struct CallerRequestId(pub Arc<str>);

/// `CallerRequest` is the data read from the head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id of the request.
    pub id: CallerRequestId,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Digest of the caller's API key.
    pub key: Option<Digest>,
    /// Size and shared parts of the prompt, if the request has one.
    pub prompt: Option<PromptShape>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub resume_after: Option<EventId>,
    /// Id of the request whose response brought the first event of the stream that is resumed.
    pub resumes: Option<CallerRequestId>,
}

impl CallerRequest {
    /// Returns the parts of the prompt that other prompts may contain too.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt.as_ref().map_or(&[], PromptShape::shared_parts)
    }
}

/// `EventId` is the number of an event in a stream. It increases from event to event.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, derive_more::FromStr,
)]
pub struct EventId(pub u64);

/// `PromptShape` describes the size of a prompt, its expected output and the parts that it shares
/// with other prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Hash of the name of the model.
    pub model: u64,
    /// Number of tokens in the prompt.
    pub prompt: Tokens,
    /// Maximum number of output tokens.
    pub max_answer: Tokens,
    /// Number of output tokens that the caller expects.
    pub expected_answer: Option<Tokens>,
    /// Parts of the prompt in order. The last one may be specific to this request.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the sum of prompt tokens and maximum output tokens.
    pub fn total(&self) -> Tokens {
        Tokens(self.prompt.0.saturating_add(self.max_answer.0))
    }

    /// Returns the parts that other prompts may contain too. The last part is specific to the request
    /// or its session.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// `PromptPart` is a part of a prompt that other prompts may contain too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: Tokens,
}

/// `PartIds` displays the ids of parts for a log line, at most [`PartIds::MAX_SHOWN`] of them.
#[derive(Debug, Clone, Copy)]
pub struct PartIds<'a>(pub &'a [PromptPart]);

impl PartIds<'_> {
    /// Largest number of ids in a log line.
    pub const MAX_SHOWN: usize = 8;
}

impl fmt::Display for PartIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().take(Self::MAX_SHOWN).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{:x}", part.id)?;
        }
        Ok(())
    }
}

/// `InvalidRequest` is the error for a request head that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
#[display("header `{header}`: {reason}")]
pub struct InvalidRequest {
    /// Name of the missing or malformed header.
    pub header: &'static str,
    /// What is wrong with the header.
    pub reason: &'static str,
}

/// `Dispatch` holds what the relay adds to a request for one attempt at a replica.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// Replica that should run the request. A different replica at the same address refuses it.
    pub upstream: &'a UpstreamId,
    /// Time left for the response.
    pub remaining: Duration,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceId>,
    /// Priority of the request in the queue of the replica.
    pub urgency: Option<Urgency>,
    /// Id of the event after which the replica continues the stream.
    pub resume_after: Option<EventId>,
    /// Source of KV cache that the replica does not hold.
    pub kv_source: Option<KvSource>,
}

/// `Urgency` is the priority of a request in the queue of a replica. 0 comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Urgency(pub u8);

/// `KvSource` is the source from which a replica fetches KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvSource {
    /// The replica at this address holds a longer prefix of the prompt.
    Prefix(SocketAddr),
    /// The run was moved; its KV cache is identified by a handle of the replica that ran it before.
    Moved {
        /// Address of the replica that ran the request before.
        from: SocketAddr,
        /// Handle of the moved KV cache.
        handle: String,
    },
}

/// `ResponseClass` tells whether a replica ran a request, as far as the head of its response shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The response comes from the replica and belongs to this request.
    Answered,
    /// The replica did not run the request and will not run it.
    NotRun(NotRunReason),
    /// The response belongs to another request or does not come from a replica. Whether the request
    /// ran is unknown.
    Foreign,
}

/// `NotRunReason` is the reason why a replica did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum NotRunReason {
    /// The replica is at its capacity.
    #[display("full")]
    Full,
    /// Another replica now has the address.
    #[display("other replica")]
    OtherReplica,
    /// Any other reason, given by the status code.
    #[display("refused")]
    Refused,
}

/// `ReportedSlots` is the load of a replica as reported in the headers of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedSlots {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub slots: u32,
    /// Time that work takes on the machine, if it is stated.
    pub time_percent: Option<TimePercent>,
}

/// `ReplicaNotice` is what a response says of the replica that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReplicaNotice {
    /// Whether the replica is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// Time for which the replica wants no requests from this node.
    pub closed_for: Option<Duration>,
    /// Limit on the requests of all nodes together.
    pub limit: StatedLimit,
    /// Rejections per second for want of room above which the replica falls over.
    pub max_rejections: StatedLimit,
}

impl ReplicaNotice {
    /// Returns the notice without the end of a limit. Only the response to a request of a caller tells
    /// that a limit has ended.
    #[must_use]
    pub fn without_limit_end(self) -> Self {
        let without_end = |stated| match stated {
            StatedLimit::None => StatedLimit::Unknown,
            limit => limit,
        };
        Self {
            limit: without_end(self.limit),
            max_rejections: without_end(self.max_rejections),
            ..self
        }
    }
}

/// `StatedLimit` is what a response says of the limit of its replica.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// Nothing, since the response is of another replica or cannot be read.
    #[default]
    Unknown,
    /// The replica has no limit.
    None,
    /// The replica accepts this rate.
    Rate(RequestRate),
}

/// `MovePhase` is the part of a move that a replica is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MovePhase {
    /// Copies the KV cache while the run continues.
    Copy,
    /// Stops the run and copies what is new.
    Stop,
}

/// `MoveOutcome` is the result that a replica reports for a request to move a run.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum MoveOutcome {
    /// The KV cache is at the target. After [`MovePhase::Stop`], the run has stopped.
    #[display("moved")]
    Moved {
        /// Handle of the KV cache.
        handle: String,
    },
    /// The run has stopped, but its KV cache is still at the replica that ran it.
    #[display("stopped")]
    Stopped {
        /// Handle of the KV cache.
        handle: String,
    },
    /// The replica does not run the request.
    #[display("no such run")]
    NoSuchRun,
    /// The replica carries out an earlier call for the run.
    #[display("in progress")]
    InProgress,
    /// The response has another status or lacks the handle. The run is taken to continue at the
    /// replica.
    #[display("refused with status {_0}")]
    Refused(StatusCode),
}

/// `Dialect` translates between a wire protocol and the types of the relay.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a required header is missing or malformed.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, InvalidRequest>;

    /// Returns the headers of a request to a replica: the forwarded headers of the caller and those
    /// that express `dispatch`.
    fn upstream_headers(&self, caller: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Classifies the response of a replica to the request `id` by its head.
    fn classify_response(&self, id: &CallerRequestId, response: &response::Parts) -> ResponseClass;

    /// Reads what the head of a response says of its replica.
    fn replica_notice(&self, response: &response::Parts) -> ReplicaNotice;

    /// Reads the load that a replica reports in the headers of a response.
    fn reported_slots(&self, headers: &HeaderMap) -> Option<ReportedSlots>;

    /// Returns the headers of a replica's response that are forwarded to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the headers of this dialect to a response that the node generates itself.
    fn mark_own_answer(&self, id: &CallerRequestId, headers: &mut HeaderMap);

    /// Builds a request to which a live replica responds at once, whatever its load.
    fn probe_request(&self) -> Request<SegmentedBody>;

    /// Builds the request to move a run to the replica at `target`.
    fn move_request(
        &self,
        id: &CallerRequestId,
        target: SocketAddr,
        phase: MovePhase,
    ) -> Request<SegmentedBody>;

    /// Builds the request that gives a copy back. Returns `None` for a handle that no request can name.
    fn release_request(&self, handle: &str) -> Option<Request<SegmentedBody>>;

    /// Reads the response to a request to move a run.
    fn read_move_response(&self, response: &Response<Bytes>) -> MoveOutcome;
}
