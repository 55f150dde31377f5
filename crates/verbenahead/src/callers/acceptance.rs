//! Acceptance of model requests.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use axum::body::Bytes;
use rand::Rng;
use tokio::{sync::mpsc, time::Instant};
use verbenahead_core::{RequestId, units::Tokens};
use verbenahead_manifest::{ModelService, Priority, Service};
use verbenahead_peer::JournalRecord;

use crate::{
    callers::{
        auth::Caller,
        chat::{AnswerHead, AnswerStyle, GenerationBody, estimate_tokens},
        problem::{Problem, ProblemKind},
        router::{Admitted, CallerState, RETRY_AFTER},
    },
    node::{
        answer::AnswerEvent,
        generation::{GenerationRequest, GenerationTask},
        journal_writer::JournalWriter,
        journals::JournalHandle,
    },
};

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

/// Parses the body of a model request.
///
/// # Errors
///
/// A [`Problem`] when the body is not the JSON of a request.
pub fn parse_body(body: &Bytes) -> Result<GenerationBody, Problem> {
    serde_json::from_slice(body)
        .map_err(|error| Problem::not_run(ProblemKind::BadRequest, format!("the body: {error}")))
}

/// Accepts a model request: it is admitted and its journal acknowledged by another node.
///
/// # Errors
///
/// A [`Problem`] when the request is refused. It did not run.
pub async fn accept(
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
    let handle = state
        .serving
        .journals
        .put(record.clone())
        .await
        .map_err(|failure| {
            tracing::warn!(request = %id, ?failure, "no journal, request refused");
            Problem::not_run(
                ProblemKind::Unavailable,
                "no other node can back the request",
            )
            .with_retry_after(RETRY_AFTER)
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
        Accepted { record, handle },
        0,
    ))
}

/// Builds the request for the engines.
///
/// # Errors
///
/// A [`Problem`] when the body has no prompt or asks for no token.
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
    let max_tokens = wanted.max_answer(kind.max_answer);
    if max_tokens == Tokens(0) {
        let detail = "an answer has at least one token";
        return Err(Problem::not_run(ProblemKind::BadRequest, detail));
    }
    Ok(GenerationRequest {
        id,
        workspace: caller.workspace.id.clone(),
        service: service.id.clone(),
        manifest: Arc::clone(&caller.manifest.manifest),
        model: wanted.model.clone(),
        prompt,
        seed,
        max_tokens,
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
    pub handle: JournalHandle,
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
    let journal = JournalWriter::new(journals, accepted.record, accepted.handle);
    let serving = Arc::clone(&state.serving);
    let generation = GenerationTask::new(serving, req, journal, tx, tokens, delivered);
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
