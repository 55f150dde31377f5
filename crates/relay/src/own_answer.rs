//! Answers that the node gives itself.

use std::time::Duration;

use derive_more::Display;
use http::{HeaderMap, HeaderValue, StatusCode, header};

/// `Ending` is why the node answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum OwnAnswerReason {
    /// The head of the request cannot be read.
    InvalidRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The node has no memory left for bodies.
    NoMemory,
    /// The node has no routes yet.
    NoRoutes,
    /// No route has the request's host and path.
    UnknownRoute,
    /// No workspace has the request's key.
    UnknownKey,
    /// The request has an unknown route or key, which may have been added since the node lost the
    /// platform.
    StaleRoutes,
    /// The quota of the workspace is used up.
    QuotaUsedUp,
    /// The service has no replica that may get work.
    NoReplica,
    /// The service cannot answer in time.
    Overloaded,
    /// Replicas refused the request, and it may not be sent to more of them.
    Refused,
    /// The request was sent, and what became of it is unknown.
    OutcomeUnknown,
    /// The time limit passed before the request was sent.
    NotSentInTime,
    /// The time limit passed after the request was sent.
    TimedOut,
}

impl OwnAnswerReason {
    /// Returns the status code. Only requests that have not run and will not run get one of those
    /// that promise it: 429, 503 and 408.
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
            | Self::NoReplica
            | Self::Overloaded
            | Self::Refused
            | Self::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// `OwnAnswer` is an answer of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnAnswer {
    /// Why the node answers.
    pub ending: OwnAnswerReason,
    /// When another try makes sense.
    pub retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// Builds an answer that does not say when to come back.
    pub fn new(ending: OwnAnswerReason) -> Self {
        Self {
            ending,
            retry_after: None,
        }
    }

    /// Builds an answer that says when to come back.
    pub fn retry_after(ending: OwnAnswerReason, delay: Duration) -> Self {
        Self {
            ending,
            retry_after: Some(delay),
        }
    }

    /// Returns the headers.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            let value = HeaderValue::try_from(seconds).expect("a number fits into a header");
            headers.insert(header::RETRY_AFTER, value);
        }
        headers
    }

    /// Returns the body, a problem document (RFC 9457).
    pub fn body(&self) -> String {
        let status = self.ending.status().as_u16();
        format!(
            r#"{{"type":"about:blank","title":"{}","status":{status}}}"#,
            self.ending
        )
    }
}

const PROBLEM_TYPE: &str = "application/problem+json";
