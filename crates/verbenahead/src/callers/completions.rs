//! Handlers of `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/models`.

use std::sync::Arc;

use axum::{
    Json,
    body::Body,
    extract::{Request, State},
    response::{IntoResponse, Response},
};
use http::{HeaderName, HeaderValue, StatusCode, header};
use tokio::time::{Instant, interval_at};
use verbenahead_core::{RequestId, units::Tokens};
use verbenahead_manifest::ServiceKind;

use crate::{
    callers::{
        acceptance::{PendingAnswer, accept, parse_body},
        answer_body::AnswerBody,
        body::read_body,
        chat::ModelList,
        problem::{Problem, ProblemKind},
        router::CallerState,
    },
    node::answer::AnswerEvent,
};

/// Response header with the id of the accepted request.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("verbenahead-request-id");

/// Answers `GET /v1/models`.
///
/// # Errors
///
/// Returns a [`Problem`] when the caller is not authenticated.
pub async fn models(
    State(state): State<Arc<CallerState>>,
    req: Request,
) -> Result<Json<ModelList>, Problem> {
    let (caller, _) = state.authenticate(&req)?;
    let services = &caller.manifest.manifest.services;
    let models = services.iter().flat_map(|service| match &service.kind {
        ServiceKind::Model(kind) => kind
            .models
            .iter()
            .map(|model| (model.clone(), service.id.to_string()))
            .collect(),
        ServiceKind::Plain(_) => Vec::new(),
    });
    Ok(Json(ModelList::new(models)))
}

/// Answers `POST /v1/chat/completions` and `POST /v1/completions`.
///
/// # Errors
///
/// Returns a [`Problem`] when the request is refused or given up.
pub async fn complete(
    State(state): State<Arc<CallerState>>,
    req: Request,
) -> Result<Response, Problem> {
    let (caller, account) = state.authenticate(&req)?;
    let limits = &state.serving.limits;
    let body = read_body(req, account, limits.max_body, limits.body_timeout).await?;
    let parsed = parse_body(&body)?;
    let answer = accept(&state, &caller, parsed, body).await?;
    respond(&state, answer).await
}

/// Builds the response to an accepted request, streamed or in one piece.
///
/// # Errors
///
/// Returns a [`Problem`] when an answer that is not streamed was given up.
pub async fn respond(state: &CallerState, answer: PendingAnswer) -> Result<Response, Problem> {
    if answer.is_streamed {
        return Ok(streamed_response(state, answer));
    }
    complete_response(answer).await
}

fn streamed_response(state: &CallerState, answer: PendingAnswer) -> Response {
    let period = state.serving.limits.keepalive_interval;
    let keepalive = interval_at(Instant::now() + period, period);
    let id = answer.metadata.request;
    let body = AnswerBody::new(answer.metadata, answer.events, keepalive);
    let mut res = Response::new(Body::from_stream(body));
    let headers = res.headers_mut();
    let content_type = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, content_type);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    insert_request_id(&mut res, id);
    res
}

/// Collects all events of an answer and builds the response from them.
async fn complete_response(mut answer: PendingAnswer) -> Result<Response, Problem> {
    let id = answer.metadata.request;
    let mut text = String::new();
    while let Some(event) = answer.events.recv().await {
        match event {
            AnswerEvent::Token { text: token, .. } => text.push_str(&token),
            AnswerEvent::End { length, reason, .. } => {
                let answer_tokens = Tokens(length);
                let json = answer.metadata.complete_answer(
                    &text,
                    reason,
                    answer.prompt_tokens,
                    answer_tokens,
                );
                let content_type = [(header::CONTENT_TYPE, "application/json")];
                let mut res = (content_type, json).into_response();
                insert_request_id(&mut res, id);
                return Ok(res);
            }
            AnswerEvent::Moved { request } => return Ok(redirect_to_resume(request)),
            AnswerEvent::Failed(problem) => return Err(*problem),
        }
    }
    Err(Problem::not_run(ProblemKind::Unavailable, "the answer broke off").with_request(id))
}

fn redirect_to_resume(request: RequestId) -> Response {
    let location = format!("/v1/requests/{request}");
    let mut res = (StatusCode::SEE_OTHER, [(header::LOCATION, location)]).into_response();
    // Closing the connection makes the caller open a new one, which the load balancer assigns to
    // another node.
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    insert_request_id(&mut res, request);
    res
}

fn insert_request_id(res: &mut Response, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        res.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
