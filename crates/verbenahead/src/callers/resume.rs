//! Handler of `GET /v1/requests/{id}`, which resumes an answer at any node.

use std::sync::Arc;

use axum::{
    extract::{Path, Request, State},
    response::Response,
};
use http::HeaderMap;
use verbenahead_core::RequestId;
use verbenahead_manifest::ServiceKind;
use verbenahead_peer::{JournalRecord, JournalRefusal};

use crate::{
    callers::{
        acceptance::{RequestJournal, build_request, parse_body, start_generation},
        auth::Caller,
        completions::respond,
        problem::{Problem, ProblemKind},
        router::{CallerState, RETRY_AFTER},
    },
    node::journals::JournalFailure,
};

/// Request header with the id of the last event that the caller received.
const LAST_EVENT_ID: &str = "last-event-id";

/// Resumes the answer of a request after the event that the caller received last.
///
/// # Errors
///
/// Returns a [`Problem`] when the request does not exist, belongs to another workspace or currently
/// cannot be taken over.
pub async fn resume(
    State(state): State<Arc<CallerState>>,
    Path(id): Path<String>,
    req: Request,
) -> Result<Response, Problem> {
    let (caller, _) = state.authenticate(&req)?;
    let id: RequestId = id.parse().map_err(|_| unknown_request())?;
    let delivered = last_event_id(req.headers())?;
    let stored = read_own_journal(&state, &caller, id).await?;
    let parsed = parse_body(&stored.body)?;
    let (service, kind) = find_model_service(&caller, &stored)?;
    let req = build_request(id, &caller, service, kind, &parsed, stored.seed)?;
    let guard = state.admit_resumed(&caller)?;
    let (record, handle) = state
        .serving
        .journals
        .take_over(id)
        .await
        .map_err(|failure| journal_problem(&failure))?;
    tracing::info!(request = %id, workspace = %caller.workspace.id, delivered, "request resumed");
    let journal = RequestJournal { record, handle };
    let answer = start_generation(&state, guard, &parsed, req, journal, delivered);
    respond(&state, answer).await
}

/// Reads the journal of a request of the caller's workspace. A request of another workspace is
/// reported as unknown, so that nothing about it leaks.
async fn read_own_journal(
    state: &CallerState,
    caller: &Caller,
    id: RequestId,
) -> Result<JournalRecord, Problem> {
    let record = state
        .serving
        .journals
        .read(id)
        .await
        .map_err(|failure| journal_problem(&failure))?;
    if record.workspace != caller.workspace.id {
        return Err(unknown_request());
    }
    Ok(record)
}

fn find_model_service<'a>(
    caller: &'a Caller,
    record: &JournalRecord,
) -> Result<
    (
        &'a verbenahead_manifest::Service,
        &'a verbenahead_manifest::ModelService,
    ),
    Problem,
> {
    let service = caller.manifest.manifest.service(&record.service);
    match service.map(|service| (service, &service.kind)) {
        Some((service, ServiceKind::Model(kind))) => Ok((service, kind)),
        _ => Err(Problem::not_run(
            ProblemKind::NotFound,
            "the service of the request is no longer offered",
        )),
    }
}

fn last_event_id(headers: &HeaderMap) -> Result<u64, Problem> {
    let Some(value) = headers.get(LAST_EVENT_ID) else {
        return Ok(0);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| {
            Problem::not_run(
                ProblemKind::BadRequest,
                "`Last-Event-ID` is not the id of an event of this answer",
            )
        })
}

fn unknown_request() -> Problem {
    Problem::not_run(ProblemKind::NotFound, "there is no such request")
}

fn journal_problem(failure: &JournalFailure) -> Problem {
    match failure {
        JournalFailure::Refused(JournalRefusal::NotFound) => unknown_request(),
        _ => Problem::not_run(
            ProblemKind::Unavailable,
            "the journal of the request is not reachable at present",
        )
        .with_retry_after(RETRY_AFTER),
    }
}
