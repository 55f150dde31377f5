//! Errors of commands that talk to a node.

use serde_json::Value;
use thiserror::Error as ThisError;

/// `Result` carries a command's [`Error`].
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why a node gave no usable answer.
#[derive(Debug, ThisError)]
pub(crate) enum Error {
    /// No connection could be made, so nothing was asked.
    #[error("no node could be reached: {0}")]
    NotReachable(String),
    /// The call was sent and no answer came.
    #[error("the node gave no answer: {0}")]
    NoAnswer(String),
    /// The node refused the call.
    #[error("{}", problem_text(.0))]
    Problem(Value),
    /// The answer is not what the operator API gives.
    #[error("the answer of the node cannot be read: {0}")]
    Malformed(String),
}

fn problem_text(problem: &Value) -> String {
    let text = |key: &str| problem.get(key).and_then(Value::as_str);
    let detail = text("detail").or(text("title")).unwrap_or("refused");
    match problem.get("status") {
        Some(status) => format!("{detail} (status {status})"),
        None => detail.to_owned(),
    }
}

impl Error {
    /// Returns whether the node says that it cannot tell the outcome.
    pub(crate) fn is_unknown_outcome(&self) -> bool {
        match self {
            Self::NoAnswer(_) | Self::Malformed(_) => true,
            Self::Problem(problem) => problem["outcome"] == "unknown",
            Self::NotReachable(_) => false,
        }
    }
}
