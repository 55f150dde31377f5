//! Responses to non-idempotent calls, built from what the ledger records.

use axum::response::{IntoResponse, Response};
use http::{HeaderName, HeaderValue};
use tokio::time::Instant;
use verbenahead_state::ledger::{Evidence, RowStatus, RunReport};
use verbenahead_upstream::PlainReply;

use crate::{
    callers::{
        problem::{Problem, ProblemKind},
        router::RETRY_AFTER,
        services::plain_response,
    },
    node::{ledger_call::LedgerCallResult, recorded_answer::replay},
};

/// Response header that marks the replay of a recorded answer.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Builds the response to a non-idempotent call.
///
/// # Errors
///
/// Returns a [`Problem`] when the answer of the upstream is not available.
pub fn ledger_answer(result: LedgerCallResult) -> Result<Response, Problem> {
    match result {
        LedgerCallResult::Answered(reply) => Ok(plain_response(reply)),
        LedgerCallResult::FromRow(status) => answer_from_row(status),
        LedgerCallResult::GivenUp { report, reason } => {
            Err(
                Problem::from_report(ProblemKind::Unavailable, reason, report)
                    .with_retry_after(RETRY_AFTER),
            )
        }
        LedgerCallResult::Lost { reason } => {
            let report = RunReport::decide(Evidence::SentWithoutAnswer, Instant::now());
            Err(
                Problem::from_report(ProblemKind::OutcomeUnknown, reason, report)
                    .with_retry_after(RETRY_AFTER),
            )
        }
    }
}

fn answer_from_row(status: RowStatus) -> Result<Response, Problem> {
    let report = RunReport::decide(Evidence::Row(&status), Instant::now());
    match status {
        RowStatus::Answered(answer) => match replay(answer) {
            Some(reply) => Ok(replayed_response(reply)),
            None => Err(Problem::from_report(
                ProblemKind::OutcomeUnknown,
                "the call ran, but its answer was too large to be kept",
                report,
            )),
        },
        RowStatus::InProgress { retry_after } => Err(Problem::from_report(
            ProblemKind::InProgress,
            "another request with this key is in progress",
            report,
        )
        .with_retry_after(retry_after)),
        RowStatus::OutcomeUnknown { .. } => Err(Problem::from_report(
            ProblemKind::OutcomeUnknown,
            "the call was sent and its outcome is not recorded",
            report,
        )
        .with_retry_after(RETRY_AFTER)),
        RowStatus::KeyReused { .. } => Err(Problem::from_report(
            ProblemKind::KeyReused,
            "the key was used for another call",
            report,
        )),
    }
}

fn replayed_response(reply: PlainReply) -> Response {
    let mut res = plain_response(reply).into_response();
    let value = HeaderValue::from_static("true");
    res.headers_mut().insert(REPLAYED_HEADER, value);
    res
}
