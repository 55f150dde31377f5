//! `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/models`.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use axum::{
    Json,
    body::{Body, Bytes},
    extract::{Request, State},
    response::{IntoResponse, Response},
};
use http::{HeaderName, HeaderValue, StatusCode, header};
use rand::Rng;
use tokio::{
    sync::mpsc,
    time::{Instant, interval_at},
};
use verbenahead_core::{RequestId, units::Tokens};
use verbenahead_manifest::{ModelService, Priority, Service};
use verbenahead_peer::JournalRecord;

use crate::{
    callers::{
        answer_body::AnswerBody,
        auth::Caller,
        body::read_body,
        chat::{AnswerHead, AnswerStyle, GenerationBody, ModelList, estimate_tokens},
        problem::{Problem, ProblemKind},
        router::{Admitted, CallerState},
    },
    node::{
        answer::AnswerEvent,
        generation::{Generation, GenerationRequest},
        journal_writer::JournalWriter,
        journals::JournalTicket,
    },
};

/// Header that names the accepted request.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("verbenahead-request-id");

/// Events of one answer that wait for the caller at most.
const EVENT_CHANNEL_CAPACITY: usize = 32;

/// `AcceptedAnswer` is what a handler needs to send the answer of an accepted request.
pub struct AcceptedAnswer {
    /// What all documents of the answer share.
    pub head: AnswerHead,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
    /// Events of the answer.
    pub events: mpsc::Receiver<AnswerEvent>,
}

/// Answers `GET /v1/models`.
///
/// # Errors
///
/// A [`Problem`] when the caller is not authenticated.
pub async fn models(
    State(state): State<Arc<CallerState>>,
    req: Request,
) -> Result<Json<ModelList>, Problem> {
    let caller = state.authenticate(req.headers())?;
    let services = &caller.manifest.manifest.services;
    let models = services.iter().flat_map(|service| match &service.kind {
        verbenahead_manifest::ServiceKind::Model(kind) => kind
            .models
            .iter()
            .map(|model| (model.clone(), service.id.to_string()))
            .collect(),
        verbenahead_manifest::ServiceKind::Plain(_) => Vec::new(),
    });
    Ok(Json(ModelList::new(models)))
}

/// Answers `POST /v1/chat/completions` and `POST /v1/completions`.
///
/// # Errors
///
/// A [`Problem`] when the request is refused or given up.
pub async fn complete(
    State(state): State<Arc<CallerState>>,
    req: Request,
) -> Result<Response, Problem> {
    let caller = state.authenticate(req.headers())?;
    let limits = &state.serving.limits;
    let body = read_body(req.into_body(), limits.max_body_bytes, limits.body_timeout).await?;
    let wanted = parse_body(&body)?;
    let answer = accept(&state, &caller, wanted, body).await?;
    respond(&state, answer).await
}

/// Parses the body of a model request.
///
/// # Errors
///
/// A [`Problem`] when the body is not the JSON of a request.
pub fn parse_body(body: &Bytes) -> Result<GenerationBody, Problem> {
    serde_json::from_slice(body)
        .map_err(|error| Problem::not_run(ProblemKind::BadRequest, format!("the body: {error}")))
}

async fn accept(
    state: &Arc<CallerState>,
    caller: &Caller,
    wanted: GenerationBody,
    body: Bytes,
) -> Result<AcceptedAnswer, Problem> {
    let manifest = caller.manifest.clone();
    let (service, kind) = manifest
        .manifest
        .service_of_model(&wanted.model)
        .ok_or_else(|| no_model(&wanted.model))?;
    let id = RequestId::random(&mut rand::rng());
    let seed = wanted.seed.unwrap_or_else(|| rand::rng().random());
    let req = build_request(id, caller, service, kind, &wanted, seed)?;
    let admitted = state.admit(caller, &req)?;
    let record = JournalRecord {
        request: id,
        workspace: caller.workspace.id.clone(),
        service: service.id.clone(),
        owner: state.serving.node.clone(),
        epoch: 1,
        seed,
        body,
        tokens: Vec::new(),
        is_finished: false,
    };
    let ticket = state
        .serving
        .journals
        .accept(record.clone())
        .await
        .map_err(|failure| {
            tracing::warn!(request = %id, ?failure, "no journal, request refused");
            Problem::not_run(
                ProblemKind::Unavailable,
                "no other node can back the request",
            )
            .with_retry_after(crate::callers::router::RETRY_AFTER)
        })?;
    tracing::info!(
        request = %id,
        workspace = %caller.workspace.id,
        service = %service.id,
        "request accepted",
    );
    Ok(start(
        state,
        admitted,
        &wanted,
        req,
        Accepted { record, ticket },
        0,
    ))
}

/// Builds the request for the engines.
///
/// # Errors
///
/// A [`Problem`] when the body has no prompt.
pub fn build_request(
    id: RequestId,
    caller: &Caller,
    service: &Service,
    kind: &ModelService,
    wanted: &GenerationBody,
    seed: u64,
) -> Result<GenerationRequest, Problem> {
    let prompt = wanted.prompt_text().ok_or_else(|| {
        Problem::not_run(
            ProblemKind::BadRequest,
            "the body has neither `messages` nor `prompt`",
        )
    })?;
    Ok(GenerationRequest {
        id,
        workspace: caller.workspace.id.clone(),
        service: service.id.clone(),
        manifest: Arc::clone(&caller.manifest.manifest),
        model: wanted.model.clone(),
        prompt,
        seed,
        max_tokens: wanted.max_answer(kind.max_answer),
        priority: engine_priority(caller.workspace.priority),
        deadline: Instant::now() + service.request_timeout,
        progress_timeout: service.progress_timeout,
    })
}

fn engine_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Batch => 0,
        Priority::Normal => 128,
        Priority::Interactive => 255,
    }
}

fn no_model(model: &str) -> Problem {
    Problem::not_run(
        ProblemKind::NotFound,
        format!("there is no model `{model}`"),
    )
}

/// `Accepted` is the journal of an accepted request.
pub struct Accepted {
    /// The journal.
    pub record: JournalRecord,
    /// Where it is held.
    pub ticket: JournalTicket,
}

/// Starts the task that carries out an accepted request. The caller has `delivered` tokens.
pub fn start(
    state: &Arc<CallerState>,
    mut admitted: Admitted,
    wanted: &GenerationBody,
    req: GenerationRequest,
    accepted: Accepted,
    delivered: u64,
) -> AcceptedAnswer {
    let (tx, rx) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let head = AnswerHead {
        request: req.id,
        model: wanted.model.clone(),
        style: AnswerStyle::of(wanted),
        created: unix_seconds(),
    };
    let prompt_tokens = estimate_tokens(&req.prompt);
    let req_service = req.service.clone();
    let journals = Arc::clone(&state.serving.journals);
    let tokens = accepted.record.tokens.clone();
    let journal = JournalWriter::new(journals, accepted.record, accepted.ticket);
    let serving = Arc::clone(&state.serving);
    let generation = Generation::new(serving, req, journal, tx, tokens, delivered);
    let counted = state.serving.observer.in_progress(&req_service);
    state.serving.work.spawn(async move {
        let _counted = counted;
        let answer = generation.run().await;
        admitted.settle(prompt_tokens + answer);
    });
    AcceptedAnswer {
        head,
        prompt_tokens,
        is_streamed: wanted.stream,
        events: rx,
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}

/// Sends the answer of an accepted request, streamed or whole.
///
/// # Errors
///
/// A [`Problem`] when a whole answer was given up.
pub async fn respond(state: &CallerState, answer: AcceptedAnswer) -> Result<Response, Problem> {
    if answer.is_streamed {
        return Ok(streamed(state, answer));
    }
    whole(answer).await
}

fn streamed(state: &CallerState, answer: AcceptedAnswer) -> Response {
    let period = state.serving.limits.keepalive_interval;
    let keepalive = interval_at(Instant::now() + period, period);
    let id = answer.head.request;
    let body = AnswerBody::new(answer.head, answer.events, keepalive);
    let mut res = Response::new(Body::from_stream(body));
    let headers = res.headers_mut();
    let content_type = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, content_type);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    insert_request_id(&mut res, id);
    res
}

async fn whole(mut answer: AcceptedAnswer) -> Result<Response, Problem> {
    let id = answer.head.request;
    let mut text = String::new();
    while let Some(event) = answer.events.recv().await {
        match event {
            AnswerEvent::Token { text: token, .. } => text.push_str(&token),
            AnswerEvent::End { length, reason } => {
                let answer_tokens = Tokens(length);
                let json = answer
                    .head
                    .whole(&text, reason, answer.prompt_tokens, answer_tokens);
                let content_type = [(header::CONTENT_TYPE, "application/json")];
                let mut res = (content_type, json).into_response();
                insert_request_id(&mut res, id);
                return Ok(res);
            }
            AnswerEvent::Moved { request } => return Ok(redirect(request)),
            AnswerEvent::Failed(problem) => return Err(*problem),
        }
    }
    Err(Problem::not_run(ProblemKind::Unavailable, "the answer broke off").with_request(id))
}

fn redirect(request: RequestId) -> Response {
    let location = format!("/v1/requests/{request}");
    let mut res = (StatusCode::SEE_OTHER, [(header::LOCATION, location)]).into_response();
    // The caller should come back over a new connection, which the balancer gives to another node.
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
