//! Events of an answer on their way from the serving task to the caller.

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
    /// The answer is complete.
    End {
        /// Number of tokens of the answer.
        length: u64,
        /// Why it ended.
        reason: FinishReason,
        /// Whether the caller has this event already, from an earlier connection.
        is_delivered: bool,
    },
    /// The node leaves. The caller gets the rest at another node.
    Moved {
        /// Request to resume.
        request: RequestId,
    },
    /// The answer was given up.
    Failed(Box<Problem>),
}
