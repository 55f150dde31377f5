//! The answer to a request that is not admitted.

use std::time::Duration;

use derive_more::Display;

/// `Refusal` tells why a request was not admitted and when to try again. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{reason}; retry after {} ms", retry_after.as_millis())]
pub struct Refusal {
    /// Time after which another try makes sense.
    pub retry_after: Duration,
    /// Why the request was refused.
    pub reason: RefusalReason,
}

/// `RefusalReason` is why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// The workspace has used up its limit.
    #[display("the workspace's token limit is used up")]
    TokenLimit,
    /// The answer could not be complete in time.
    #[display("the answer would not be complete before the deadline")]
    DeadlineUnreachable,
    /// The workspace uses its share, and the rest is kept for the others.
    #[display("the workspace's share of the capacity is used up")]
    ShareUsedUp,
    /// The queue is full for this priority.
    #[display("the service is overloaded")]
    Overloaded,
    /// The workspace is not known to the service.
    #[display("the workspace is not known")]
    UnknownWorkspace,
}
