//! Events of an answer, passed from the serving task to the response body.

use verbenahead_core::RequestId;
use verbenahead_upstream::FinishReason;

use crate::callers::problem::Problem;

/// `AnswerEvent` is one event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// The next token.
    Token {
        /// Position in the answer, from 0.
        position: u64,
        /// Text of the token.
        text: String,
    },
    /// End of a complete answer.
    End {
        /// Number of tokens of the answer.
        length: u64,
        /// Why it ended.
        reason: FinishReason,
        /// Whether the caller already received this event over an earlier connection.
        is_delivered: bool,
    },
    /// The node drains; the caller gets the rest of the answer from another node.
    Moved {
        /// Request to resume.
        request: RequestId,
    },
    /// The answer cannot be completed.
    Failed(Box<Problem>),
}
