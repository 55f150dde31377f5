//! RFC 9457 problem documents of the callers' API, with the known outcome of the call.

use std::time::Duration;

use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use verbenahead_core::{RequestId, RunOutcome};
use verbenahead_state::ledger::{AttemptOutcome, RunReport};

const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// `ProblemKind` is the type of a problem. Callers may rely on its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The model, service, path or request does not exist.
    NotFound,
    /// The body is too large.
    TooLarge,
    /// The body of the request did not arrive in time.
    SlowRequest,
    /// A non-idempotent call has no `Idempotency-Key`.
    MissingKey,
    /// The idempotency key was used for a different call.
    KeyReused,
    /// Another request with the same idempotency key is in progress.
    InProgress,
    /// The workspace or the system currently has no capacity for the request.
    Overloaded,
    /// Something that the answer depends on is not reachable.
    Unavailable,
    /// The answer did not end before its deadline.
    DeadlineExceeded,
    /// It is not known whether the call ran.
    OutcomeUnknown,
    /// Another node has taken over the request.
    TakenOver,
}

impl ProblemKind {
    /// Returns the stable name of the kind.
    pub fn name(self) -> &'static str {
        self.describe().0
    }

    /// Returns the HTTP status of the kind.
    pub fn status(self) -> StatusCode {
        self.describe().1
    }

    /// Returns whether the caller has to change the request. Such a problem is not a failure of the
    /// service.
    pub fn is_caller_fault(self) -> bool {
        matches!(
            self,
            Self::BadRequest
                | Self::Unauthorized
                | Self::NotFound
                | Self::TooLarge
                | Self::SlowRequest
                | Self::MissingKey
                | Self::KeyReused
                | Self::InProgress
        )
    }

    fn describe(self) -> (&'static str, StatusCode) {
        match self {
            Self::BadRequest => ("bad-request", StatusCode::BAD_REQUEST),
            Self::Unauthorized => ("unauthorized", StatusCode::UNAUTHORIZED),
            Self::NotFound => ("not-found", StatusCode::NOT_FOUND),
            Self::TooLarge => ("too-large", StatusCode::PAYLOAD_TOO_LARGE),
            Self::SlowRequest => ("slow-request", StatusCode::REQUEST_TIMEOUT),
            Self::MissingKey => ("missing-idempotency-key", StatusCode::BAD_REQUEST),
            Self::KeyReused => ("idempotency-key-reused", StatusCode::UNPROCESSABLE_ENTITY),
            Self::InProgress => ("in-progress", StatusCode::CONFLICT),
            Self::Overloaded => ("overloaded", StatusCode::TOO_MANY_REQUESTS),
            Self::Unavailable => ("unavailable", StatusCode::SERVICE_UNAVAILABLE),
            Self::DeadlineExceeded => ("deadline-exceeded", StatusCode::GATEWAY_TIMEOUT),
            Self::OutcomeUnknown => ("outcome-unknown", StatusCode::BAD_GATEWAY),
            Self::TakenOver => ("taken-over", StatusCode::CONFLICT),
        }
    }
}

/// `Problem` is the answer to a request that was refused or given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Type of the problem.
    pub kind: ProblemKind,
    /// Explanation for this request.
    pub detail: String,
    /// Known outcome of the call over all its attempts.
    pub outcome: RunOutcome,
    /// Known outcome of this attempt, where it may differ from `outcome`.
    pub attempt: Option<AttemptOutcome>,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Id of the request, if one was assigned.
    pub request: Option<RequestId>,
}

impl Problem {
    /// Builds a problem for a call that did not run.
    pub fn not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            outcome: RunOutcome::NotRun,
            attempt: None,
            retry_after: None,
            request: None,
        }
    }

    /// Builds a problem for a call of which this attempt did not run, but an earlier one may have.
    pub fn attempt_not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            attempt: Some(AttemptOutcome::NotRun),
            ..Self::not_run(kind, detail)
        }
    }

    /// Builds a problem for a call that may have run.
    pub fn outcome_unknown(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Builds a problem for a call with the outcome that the ledger reports.
    pub fn from_report(kind: ProblemKind, detail: impl Into<String>, report: RunReport) -> Self {
        Self {
            outcome: report.outcome,
            attempt: Some(report.attempt),
            ..Self::not_run(kind, detail)
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the id of the request.
    #[must_use]
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Returns the problem as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&ProblemDocument::from(self)).unwrap_or_default()
    }
}

#[derive(Debug, Serialize)]
struct ProblemDocument<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    outcome: RunOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempt: Option<AttemptOutcome>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<RequestId>,
}

impl<'a> From<&'a Problem> for ProblemDocument<'a> {
    fn from(problem: &'a Problem) -> Self {
        Self {
            kind: format!("urn:verbenahead:problem:{}", problem.kind.name()),
            title: problem.kind.name(),
            status: problem.kind.status().as_u16(),
            detail: &problem.detail,
            outcome: problem.outcome,
            attempt: problem.attempt,
            retry_after_s: problem.retry_after.map(ceil_seconds),
            request: problem.request,
        }
    }
}

/// Returns the seconds, rounded up so that a retry does not come too early.
fn ceil_seconds(time: Duration) -> u64 {
    time.as_millis()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u64::MAX)
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let mut res = (self.kind.status(), self.to_json()).into_response();
        let headers = res.headers_mut();
        let content_type = HeaderValue::from_static(PROBLEM_CONTENT_TYPE);
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(after) = self.retry_after {
            headers.insert(header::RETRY_AFTER, ceil_seconds(after).into());
        }
        if self.kind == ProblemKind::Unauthorized {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        res
    }
}
