//! RFC 9457 problem documents of the operator API.

use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode, header};
use serde_json::{Map, Value, json};
use verbenahead_core::RunOutcome;

use super::errors::Error;

const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// `Retry-After` of answers with status 503, in seconds.
const RETRY_AFTER_SECONDS: &str = "2";

/// `OperatorProblem` is the answer to a call that was refused or failed.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorProblem {
    kind: &'static str,
    status: StatusCode,
    detail: String,
    outcome: Option<RunOutcome>,
    members: Map<String, Value>,
}

impl OperatorProblem {
    /// Builds a problem. `kind` is the stable name in its `type`.
    pub fn new(kind: &'static str, status: StatusCode, detail: impl ToString) -> Self {
        Self {
            kind,
            status,
            detail: detail.to_string(),
            outcome: None,
            members: Map::new(),
        }
    }

    /// Sets whether the call took effect.
    #[must_use]
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Adds an extension member to the document.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl serde::Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or_default();
        self.members.insert(name.to_owned(), value);
        self
    }
}

impl From<Error> for OperatorProblem {
    fn from(e: Error) -> Self {
        Self::new("unavailable", StatusCode::SERVICE_UNAVAILABLE, e)
    }
}

impl IntoResponse for OperatorProblem {
    fn into_response(self) -> Response {
        let mut document = json!({
            "type": format!("urn:verbenahead:problem:{}", self.kind),
            "title": self.status.canonical_reason(),
            "status": self.status.as_u16(),
            "detail": self.detail,
        });
        if let Value::Object(members) = &mut document {
            members.extend(self.members);
            if let Some(outcome) = self.outcome {
                members.insert("outcome".to_owned(), json!(outcome));
            }
        }
        let mut response = (self.status, document.to_string()).into_response();
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static(PROBLEM_CONTENT_TYPE);
        headers.insert(header::CONTENT_TYPE, content_type);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = HeaderValue::from_static(RETRY_AFTER_SECONDS);
            headers.insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}
