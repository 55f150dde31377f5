//! The result for a request that is not admitted.

use std::time::Duration;

use derive_more::Display;

/// `Refusal` states why a request was not admitted and when to retry. The request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{reason}; retry after {} ms", retry_after.as_millis())]
pub struct Refusal {
    /// Delay after which a retry makes sense.
    pub retry_after: Duration,
    /// Reason why the request was refused.
    pub reason: RefusalReason,
}

/// `RefusalReason` is the reason why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// The token limit of the workspace is exhausted.
    #[display("the workspace's token limit is used up")]
    TokenLimit,
    /// The answer could not be complete before the deadline.
    #[display("the answer would not be complete before the deadline")]
    DeadlineUnreachable,
    /// The workspace uses its whole share, and the remaining capacity is reserved for others.
    #[display("the workspace's share of the capacity is used up")]
    ShareUsedUp,
    /// The queue has no room for requests of this priority.
    #[display("the service is overloaded")]
    Overloaded,
    /// The service has no such workspace.
    #[display("the workspace is not known")]
    UnknownWorkspace,
}
