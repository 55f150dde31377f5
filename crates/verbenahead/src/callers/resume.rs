//! `GET /v1/requests/{id}`: the rest of an answer, at any node.

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
        acceptance::{Accepted, build_request, parse_body, start},
        auth::Caller,
        completions::respond,
        problem::{Problem, ProblemKind},
        router::{CallerState, RETRY_AFTER},
    },
    node::journals::JournalFailure,
};

/// Header with the id of the last event that the caller has.
const LAST_EVENT_ID: &str = "last-event-id";

/// Continues the answer of a request after the event that the caller names.
///
/// # Errors
///
/// A [`Problem`] when the request is not known, belongs to another workspace or cannot be taken
/// over at present.
pub async fn resume(
    State(state): State<Arc<CallerState>>,
    Path(id): Path<String>,
    req: Request,
) -> Result<Response, Problem> {
    let caller = state.authenticate(req.headers())?;
    let id: RequestId = id.parse().map_err(|_| unknown_request())?;
    let delivered = last_event_id(req.headers())?;
    let known = read_own(&state, &caller, id).await?;
    let wanted = parse_body(&known.body)?;
    let (service, kind) = service_of(&caller, &known)?;
    let req = build_request(id, &caller, service, kind, &wanted, known.seed)?;
    let admitted = state.readmit(&caller)?;
    let (record, handle) = state
        .serving
        .journals
        .take_over(id)
        .await
        .map_err(|failure| journal_problem(&failure))?;
    tracing::info!(request = %id, workspace = %caller.workspace.id, delivered, "request resumed");
    let accepted = Accepted { record, handle };
    let answer = start(&state, admitted, &wanted, req, accepted, delivered);
    respond(&state, answer).await
}

/// Reads the journal of the caller's own request. Callers of other workspaces learn nothing.
async fn read_own(
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

fn service_of<'a>(
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
