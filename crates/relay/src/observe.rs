//! What the relay tells about its work, for metrics.

use std::time::Duration;

use verbenahead_core::{ServiceId, WorkspaceId};

use crate::own_answer::OwnAnswerReason;

/// `RequestEnd` is how one request ended.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Workspace of the caller, if it has one.
    pub workspace: Option<&'a WorkspaceId>,
    /// What the caller got.
    pub result: RequestResult,
    /// Time from the arrival to the end.
    pub elapsed: Duration,
    /// Time from the arrival to the first event of a stream.
    pub first_event: Option<Duration>,
}

/// `RequestResult` is what the caller of a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum RequestResult {
    /// A whole answer of a replica that is no failure.
    Answered,
    /// A failure that a replica answered.
    ReplicaFailed,
    /// An answer of the node.
    OwnAnswer,
    /// An answer that was broken off.
    CutOff,
    /// Nothing, since the caller had left.
    CallerLeft,
}

/// `AttemptResult` is how one attempt at a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The replica began to answer.
    Answered,
    /// The request did not run.
    NotRun,
    /// Whether the request ran is unknown.
    Unknown,
}

/// `RelayObserver` is told what the relay does. It must not wait.
pub trait RelayObserver: Send + Sync + 'static {
    /// Notes the end of a request that was taken on.
    fn request_ended(&self, end: &RequestEnd<'_>);

    /// Notes a request that was refused or given up by the node.
    fn own_answer(&self, ending: OwnAnswerReason);

    /// Notes the end of an attempt.
    fn attempt_ended(&self, service: &ServiceId, result: AttemptResult);

    /// Notes that a stream goes on at another replica, which runs it anew from its last event.
    fn stream_resumed(&self, service: &ServiceId);

    /// Notes that the run of a stream was handed over to another replica.
    fn stream_moved(&self, service: &ServiceId);
}

/// `Unobserved` notes nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unobserved;

impl RelayObserver for Unobserved {
    fn request_ended(&self, _: &RequestEnd<'_>) {}

    fn own_answer(&self, _: OwnAnswerReason) {}

    fn attempt_ended(&self, _: &ServiceId, _: AttemptResult) {}

    fn stream_resumed(&self, _: &ServiceId) {}

    fn stream_moved(&self, _: &ServiceId) {}
}
