//! Responses that the node generates itself instead of relaying one of a replica.

use std::time::Duration;

use derive_more::Display;
use http::{HeaderMap, HeaderValue, StatusCode, header};

/// `OwnAnswerReason` is the reason why the node responds to a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum OwnAnswerReason {
    /// The request is malformed.
    InvalidRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive within the time limit.
    BodyTimeout,
    /// The node has no memory left for request bodies.
    NoMemory,
    /// The node has no routes yet.
    NoRoutes,
    /// No route matches the host and path of the request.
    UnknownRoute,
    /// No workspace has the API key of the request.
    UnknownKey,
    /// The route or key of the request is unknown, but may have been added since the node lost its
    /// connection to the platform.
    StaleRoutes,
    /// The quota of the workspace is used up.
    QuotaUsedUp,
    /// No node that collects the quota of the workspace answers.
    QuotaUnknown,
    /// Content of the request is quarantined, because it crashes replicas.
    Quarantined,
    /// No replica has the software version at which the stream began.
    VersionGone,
    /// No node knows the software version at which the stream began.
    OriginUnknown,
    /// The service has no available replica.
    NoReplica,
    /// The service is overloaded and cannot respond in time.
    Overloaded,
    /// The node stops before the request would end.
    NodeStops,
    /// Replicas refused the request, and no further attempt is allowed.
    Refused,
    /// The request was sent, and whether it ran is unknown.
    OutcomeUnknown,
    /// The time limit passed before the request was sent.
    NotSentInTime,
    /// The time limit passed after the request was sent.
    TimedOut,
}

impl OwnAnswerReason {
    /// Returns the status code. The codes 408, 429 and 503 promise that the request did not run and
    /// will not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::InvalidRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::QuotaUsedUp => StatusCode::TOO_MANY_REQUESTS,
            Self::NoMemory
            | Self::NoRoutes
            | Self::StaleRoutes
            | Self::QuotaUnknown
            | Self::Quarantined
            | Self::VersionGone
            | Self::OriginUnknown
            | Self::NoReplica
            | Self::Overloaded
            | Self::NodeStops
            | Self::Refused
            | Self::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// `OwnAnswer` is a response that the node generates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnAnswer {
    /// Reason of the response.
    pub reason: OwnAnswerReason,
    /// Delay after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// Builds a response without a retry delay.
    pub fn new(reason: OwnAnswerReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Builds a response with a retry delay.
    pub fn retry_after(reason: OwnAnswerReason, delay: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(delay),
        }
    }

    /// Returns the headers of the response.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            let value =
                HeaderValue::try_from(seconds).expect("a decimal number is a valid header value");
            headers.insert(header::RETRY_AFTER, value);
        }
        headers
    }

    /// Returns the body of the response, a problem document (RFC 9457).
    pub fn body(&self) -> String {
        let status = self.reason.status().as_u16();
        format!(
            r#"{{"type":"about:blank","title":"{}","status":{status}}}"#,
            self.reason
        )
    }
}

const PROBLEM_TYPE: &str = "application/problem+json";
