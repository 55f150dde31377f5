//! Answers to non-idempotent calls.

use axum::response::{IntoResponse, Response};
use http::{HeaderName, HeaderValue};
use tokio::time::Instant;
use verbenahead_state::ledger::{Evidence, RowStatus, RunReport};
use verbenahead_upstream::PlainReply;

use crate::{
    callers::{
        problem::{Problem, ProblemKind},
        router::RETRY_AFTER,
        services::plain_answer,
    },
    node::{ledger_call::LedgerCallResult, recorded_answer::replay},
};

/// Header that marks an answer which was given before.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Builds the answer to a non-idempotent call.
///
/// # Errors
///
/// A [`Problem`] when the upstream's answer is not at hand.
pub fn ledger_answer(end: LedgerCallResult) -> Result<Response, Problem> {
    match end {
        LedgerCallResult::Answered(reply) => Ok(plain_answer(reply)),
        LedgerCallResult::FromRow(reading) => from_row(reading),
        LedgerCallResult::GivenUp { report, reason } => {
            Err(Problem::reported(ProblemKind::Unavailable, reason, report)
                .with_retry_after(RETRY_AFTER))
        }
        LedgerCallResult::Lost { reason } => {
            let report = RunReport::decide(Evidence::SentWithoutAnswer, Instant::now());
            Err(
                Problem::reported(ProblemKind::OutcomeUnknown, reason, report)
                    .with_retry_after(RETRY_AFTER),
            )
        }
    }
}

fn from_row(reading: RowStatus) -> Result<Response, Problem> {
    let report = RunReport::decide(Evidence::Row(&reading), Instant::now());
    match reading {
        RowStatus::Answered(answer) => match replay(answer) {
            Some(reply) => Ok(replayed(reply)),
            None => Err(Problem::reported(
                ProblemKind::OutcomeUnknown,
                "the call ran, but its answer was too large to be kept",
                report,
            )),
        },
        RowStatus::InProgress { retry_after } => Err(Problem::reported(
            ProblemKind::InProgress,
            "another request with this key is in progress",
            report,
        )
        .with_retry_after(retry_after)),
        RowStatus::OutcomeUnknown { .. } => Err(Problem::reported(
            ProblemKind::OutcomeUnknown,
            "the call was sent and its outcome is not recorded",
            report,
        )
        .with_retry_after(RETRY_AFTER)),
        RowStatus::KeyReused { .. } => Err(Problem::reported(
            ProblemKind::KeyReused,
            "the key was used for another call",
            report,
        )),
    }
}

fn replayed(reply: PlainReply) -> Response {
    let mut res = plain_answer(reply).into_response();
    let value = HeaderValue::from_static("true");
    res.headers_mut().insert(REPLAYED_HEADER, value);
    res
}
