//! Events that the relay reports for metrics.

use std::time::Duration;

use verbenahead_core::{ServiceId, WorkspaceId};

use crate::own_answer::OwnAnswerReason;

/// `RequestEnd` describes a request that has ended.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Workspace of the caller, if it has one.
    pub workspace: Option<&'a WorkspaceId>,
    /// What the caller received.
    pub result: RequestResult,
    /// Time from the arrival of the request to its end.
    pub elapsed: Duration,
    /// Time from the arrival of the request to the first event of a stream.
    pub first_event: Option<Duration>,
}

/// `RequestResult` is what the caller of a request received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum RequestResult {
    /// A complete response of a replica without a server error.
    Answered,
    /// A server error that a replica responded with.
    ReplicaFailed,
    /// A response that the node generated itself.
    OwnAnswer,
    /// An incomplete response.
    CutOff,
    /// No complete response, since the caller closed the connection.
    CallerLeft,
}

/// `AttemptResult` is the result of one attempt at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The replica began to respond.
    Answered,
    /// The request did not run.
    NotRun,
    /// Whether the request ran is unknown.
    Unknown,
}

/// `RelayObserver` receives the events of the relay. Its methods must not block.
pub trait RelayObserver: Send + Sync + 'static {
    /// Records the end of an admitted request.
    fn request_ended(&self, end: &RequestEnd<'_>);

    /// Records that the node generated a response itself, since it refused or gave up a request.
    fn own_answer(&self, reason: OwnAnswerReason);

    /// Records the end of an attempt.
    fn attempt_ended(&self, service: &ServiceId, result: AttemptResult);

    /// Records that a stream is resumed at another replica, which runs the request again and
    /// continues after the last delivered event.
    fn stream_resumed(&self, service: &ServiceId);

    /// Records that another node passes on the answer of a replica.
    fn answer_passed_on(&self, service: &ServiceId);

    /// Records that the run of a stream was moved to another replica.
    fn stream_moved(&self, service: &ServiceId);
}

/// `NoopObserver` ignores all events.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoopObserver;

impl RelayObserver for NoopObserver {
    fn request_ended(&self, _: &RequestEnd<'_>) {}

    fn own_answer(&self, _: OwnAnswerReason) {}

    fn attempt_ended(&self, _: &ServiceId, _: AttemptResult) {}

    fn stream_resumed(&self, _: &ServiceId) {}

    fn answer_passed_on(&self, _: &ServiceId) {}

    fn stream_moved(&self, _: &ServiceId) {}
}
