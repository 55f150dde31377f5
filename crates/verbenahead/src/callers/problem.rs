//! Problem documents of RFC 9457, with what is known about the run of the call.

use std::time::Duration;

use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use verbenahead_core::{RequestId, RunOutcome};
use verbenahead_state::ledger::{AttemptOutcome, RunReport};

const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// `ProblemKind` is the type of a problem. Its name is stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request cannot be read.
    BadRequest,
    /// The key is missing or not known.
    Unauthorized,
    /// There is no such model, service, path or request.
    NotFound,
    /// The body is too large.
    TooLarge,
    /// The caller sent too slowly.
    SlowRequest,
    /// A non-idempotent call has no `Idempotency-Key`.
    MissingKey,
    /// The key was used with another body.
    KeyReused,
    /// Another request with the same key is in progress.
    InProgress,
    /// The workspace or the system has no capacity for the request at present.
    Overloaded,
    /// The system cannot reach what it needs to answer.
    Unavailable,
    /// The answer did not end before its deadline.
    DeadlineExceeded,
    /// It cannot be told whether the call ran.
    OutcomeUnknown,
    /// Another node has taken the request over.
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

    /// Returns whether the caller has to change the request.
    pub fn is_fault_of_caller(self) -> bool {
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
    /// What went wrong with this request.
    pub detail: String,
    /// What is known about the run of the call, over all its attempts.
    pub outcome: RunOutcome,
    /// What is known about the run of this attempt, where it differs from `outcome`.
    pub attempt: Option<AttemptOutcome>,
    /// When a retry may help.
    pub retry_after: Option<Duration>,
    /// Id of the request, once it has one.
    pub request: Option<RequestId>,
}

impl Problem {
    /// Builds a problem of a call that did not run.
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

    /// Builds a problem of a call whose outcome is not known, although this attempt of it did not
    /// run.
    pub fn attempt_not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            attempt: Some(AttemptOutcome::NotRun),
            ..Self::not_run(kind, detail)
        }
    }

    /// Builds a problem of a call that may have run.
    pub fn unknown(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Builds a problem of a call with what the ledger shows of it.
    pub fn reported(kind: ProblemKind, detail: impl Into<String>, report: RunReport) -> Self {
        Self {
            outcome: report.outcome,
            attempt: Some(report.attempt),
            ..Self::not_run(kind, detail)
        }
    }

    /// Says when a retry may help.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Names the request.
    #[must_use]
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Returns the problem as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&ProblemWire::from(self)).unwrap_or_default()
    }
}

#[derive(Debug, Serialize)]
struct ProblemWire<'a> {
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

impl<'a> From<&'a Problem> for ProblemWire<'a> {
    fn from(problem: &'a Problem) -> Self {
        Self {
            kind: format!("urn:verbenahead:problem:{}", problem.kind.name()),
            title: problem.kind.name(),
            status: problem.kind.status().as_u16(),
            detail: &problem.detail,
            outcome: problem.outcome,
            attempt: problem.attempt,
            retry_after_s: problem.retry_after.map(whole_seconds),
            request: problem.request,
        }
    }
}

/// Rounds up, because a retry before the time does not help.
fn whole_seconds(time: Duration) -> u64 {
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
            headers.insert(header::RETRY_AFTER, whole_seconds(after).into());
        }
        if self.kind == ProblemKind::Unauthorized {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        res
    }
}
