//! Errors of commands that call a node.

use serde_json::Value;
use thiserror::Error as ThisError;

/// `Result` is a result with a command's [`Error`].
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// `Error` says why a call to a node has no usable response.
#[derive(Debug, ThisError)]
pub(crate) enum Error {
    /// No connection could be made, so nothing was sent.
    #[error("no node could be reached: {0}")]
    NotReachable(String),
    /// The call was sent and no response came.
    #[error("the node gave no answer: {0}")]
    NoResponse(String),
    /// The node refused the call, with these problem details (RFC 9457).
    #[error("{}", format_problem(.0))]
    Problem(Value),
    /// The response is not in the format of the operator API.
    #[error("the answer of the node cannot be read: {0}")]
    Malformed(String),
}

fn format_problem(problem: &Value) -> String {
    let text = |key: &str| problem.get(key).and_then(Value::as_str);
    let detail = text("detail").or(text("title")).unwrap_or("refused");
    match problem.get("status") {
        Some(status) => format!("{detail} (status {status})"),
        None => detail.to_owned(),
    }
}

impl Error {
    /// Returns whether a publication that failed with this error may still take effect.
    pub(crate) fn is_unknown_outcome(&self) -> bool {
        match self {
            Self::NoResponse(_) | Self::Malformed(_) => true,
            Self::Problem(problem) => problem["outcome"] == "unknown",
            Self::NotReachable(_) => false,
        }
    }
}
