//! Headers by which a node asks another one to pass a request on to a replica.
//!
//! They are read only on the listener for nodes. A caller's headers with these names are replaced or
//! removed.

use std::time::Duration;

use derive_more::{Display, FromStr};
use http::{HeaderMap, HeaderName, HeaderValue};
use verbenahead_core::{Incarnation, UpstreamId};
use verbenahead_upstream::{Reuse, UpstreamAddress};

/// Id of the replica.
const REPLICA: HeaderName = HeaderName::from_static("verbenahead-replica");
/// Incarnation of the replica.
const INCARNATION: HeaderName = HeaderName::from_static("verbenahead-incarnation");
/// Time limit for the head of the response, in milliseconds.
const LIMIT_MS: HeaderName = HeaderName::from_static("verbenahead-limit-ms");
/// What is asked for, as [`ForwardKind`].
const KIND: HeaderName = HeaderName::from_static("verbenahead-forward");
/// Outcome of a request that brought no response of the replica, as [`ForwardOutcome`].
const OUTCOME: HeaderName = HeaderName::from_static("verbenahead-outcome");

/// `ForwardKind` is what a node asks of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum ForwardKind {
    /// Send the request, over a pooled connection if there is one.
    Pooled,
    /// Send the request over a new connection.
    Fresh,
    /// Only find out whether the replica accepts a connection.
    Check,
}

impl From<Reuse> for ForwardKind {
    fn from(reuse: Reuse) -> Self {
        match reuse {
            Reuse::Allowed => Self::Pooled,
            Reuse::Forbidden => Self::Fresh,
        }
    }
}

/// `ForwardOutcome` tells why there is no response of the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum ForwardOutcome {
    /// The replica accepts connections. Answers a check only.
    Reached,
    /// Nothing was sent: the node did not reach the replica.
    Unreachable,
    /// Nothing was sent: the node itself is cut off from the replica.
    CutOff,
    /// Nothing was sent: the node does not know the replica, or the replica accepts no requests.
    Unavailable,
    /// Nothing was sent: the node has no room for requests of other nodes.
    Busy,
    /// Nothing was sent: the request cannot be read.
    Invalid,
    /// The connection to the replica broke after the request may have been sent.
    Interrupted,
    /// The replica did not respond within the time limit.
    TimedOut,
}

/// `ForwardRequest` names the replica for which a request is meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRequest {
    /// Id of the replica.
    pub upstream: UpstreamId,
    /// Incarnation of the replica.
    pub incarnation: Incarnation,
    /// Time limit for the head of the response.
    pub limit: Duration,
    /// What is asked for.
    pub kind: ForwardKind,
}

impl ForwardRequest {
    /// Builds a request for the replica at `address`.
    pub fn new(address: &UpstreamAddress, limit: Duration, kind: ForwardKind) -> Self {
        Self {
            upstream: address.upstream.clone(),
            incarnation: address.incarnation,
            limit,
            kind,
        }
    }

    /// Adds the request to `headers`, in place of what they say of another one.
    pub fn write(&self, headers: &mut HeaderMap) {
        let text = |text: String| HeaderValue::try_from(text).ok();
        let limit = u64::try_from(self.limit.as_millis()).unwrap_or(u64::MAX);
        let values = [
            (REPLICA, text(self.upstream.to_string())),
            (INCARNATION, Some(HeaderValue::from(self.incarnation.0))),
            (LIMIT_MS, Some(HeaderValue::from(limit))),
            (KIND, text(self.kind.to_string())),
        ];
        for (name, value) in values {
            headers.remove(&name);
            if let Some(value) = value {
                headers.insert(name, value);
            }
        }
    }

    /// Takes the request out of `headers`. Returns `None` if it is incomplete or cannot be read.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut text = |name: &HeaderName| {
            let value = headers.remove(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let (upstream, incarnation) = (text(&REPLICA), text(&INCARNATION));
        let (limit, kind) = (text(&LIMIT_MS), text(&KIND));
        Some(Self {
            upstream: UpstreamId::try_new(upstream?).ok()?,
            incarnation: Incarnation(incarnation?.parse().ok()?),
            limit: Duration::from_millis(limit?.parse().ok()?),
            kind: kind?.parse().ok()?,
        })
    }
}

/// Reads the outcome from the headers of a node's response. Returns `None` for a response of the replica.
pub fn read_outcome(headers: &HeaderMap) -> Option<ForwardOutcome> {
    let outcome = headers.get(OUTCOME)?.to_str().ok()?;
    outcome.parse().ok()
}

/// Adds an outcome to the headers of a response.
pub fn write_outcome(outcome: ForwardOutcome, headers: &mut HeaderMap) {
    let value = HeaderValue::try_from(outcome.to_string());
    headers.insert(OUTCOME, value.expect("an outcome is a valid header value"));
}

/// Removes what only a node may say from the headers of a replica's response.
pub fn remove_outcome(headers: &mut HeaderMap) {
    headers.remove(OUTCOME);
}
