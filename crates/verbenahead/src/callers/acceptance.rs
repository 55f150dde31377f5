//! Acceptance of model requests: admission, the journal and the start of the generation.

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
        chat::{AnswerMetadata, CompletionApi, CompletionBody, estimate_tokens},
        problem::{Problem, ProblemKind},
        router::{AdmissionGuard, CallerState, RETRY_AFTER},
    },
    node::{
        answer::AnswerEvent,
        generation::{GenerationRequest, GenerationTask},
        journal_writer::JournalWriter,
        journals::JournalHandle,
    },
};

/// Maximum number of events of one answer that are buffered for the caller.
const EVENT_CHANNEL_CAPACITY: usize = 32;

/// `PendingAnswer` is the answer of an accepted request, whose events arrive while it is generated.
pub struct PendingAnswer {
    /// Fields that all documents of the answer share.
    pub metadata: AnswerMetadata,
    /// Estimated number of tokens of the prompt.
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
/// Returns a [`Problem`] when the body is not the JSON of a request.
pub fn parse_body(body: &Bytes) -> Result<CompletionBody, Problem> {
    serde_json::from_slice(body)
        .map_err(|error| Problem::not_run(ProblemKind::BadRequest, format!("the body: {error}")))
}

/// Accepts a model request: admits it, stores its journal at another node and starts the generation.
///
/// # Errors
///
/// Returns a [`Problem`] when the request is refused. Such a request did not run.
pub async fn accept(
    state: &Arc<CallerState>,
    caller: &Caller,
    parsed: CompletionBody,
    body: Bytes,
) -> Result<PendingAnswer, Problem> {
    let manifest = caller.manifest.clone();
    let (service, kind) = manifest
        .manifest
        .service_of_model(&parsed.model)
        .ok_or_else(|| unknown_model(&parsed.model))?;
    let id = RequestId::random(&mut rand::rng());
    let seed = parsed.seed.unwrap_or_else(|| rand::rng().random());
    let req = build_request(id, caller, service, kind, &parsed, seed)?;
    let guard = state.admit(caller, &req)?;
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
            tracing::warn!(
                request = %id,
                ?failure,
                "no other node stored the journal, request refused",
            );
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
    Ok(start_generation(
        state,
        guard,
        &parsed,
        req,
        RequestJournal { record, handle },
        0,
    ))
}

/// Builds the generation request for the engines.
///
/// # Errors
///
/// Returns a [`Problem`] when the body has no prompt or allows no token.
pub fn build_request(
    id: RequestId,
    caller: &Caller,
    service: &Service,
    kind: &ModelService,
    parsed: &CompletionBody,
    seed: u64,
) -> Result<GenerationRequest, Problem> {
    let prompt = parsed.prompt_text().ok_or_else(|| {
        Problem::not_run(
            ProblemKind::BadRequest,
            "the body has neither `messages` nor `prompt`",
        )
    })?;
    let max_tokens = parsed.max_answer(kind.max_answer);
    if max_tokens == Tokens(0) {
        let detail = "an answer has at least one token";
        return Err(Problem::not_run(ProblemKind::BadRequest, detail));
    }
    Ok(GenerationRequest {
        id,
        workspace: caller.workspace.id.clone(),
        service: service.id.clone(),
        manifest: Arc::clone(&caller.manifest.manifest),
        model: parsed.model.clone(),
        prompt,
        seed,
        max_tokens,
        priority: engine_priority(caller.workspace.priority),
        deadline: Instant::now() + service.request_timeout,
        progress_timeout: service.progress_timeout,
    })
}

/// Returns the priority on the scale of the engines, where a larger value goes first.
fn engine_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Batch => 0,
        Priority::Normal => 128,
        Priority::Interactive => 255,
    }
}

fn unknown_model(model: &str) -> Problem {
    Problem::not_run(
        ProblemKind::NotFound,
        format!("there is no model `{model}`"),
    )
}

/// `RequestJournal` is the journal of an accepted request and its location.
pub struct RequestJournal {
    /// Content of the journal.
    pub record: JournalRecord,
    /// Handle of the stored journal.
    pub handle: JournalHandle,
}

/// Starts the task that generates the answer of an accepted request. `delivered` is the number of
/// tokens that the caller has received already.
pub fn start_generation(
    state: &Arc<CallerState>,
    mut guard: AdmissionGuard,
    parsed: &CompletionBody,
    req: GenerationRequest,
    journal: RequestJournal,
    delivered: u64,
) -> PendingAnswer {
    let (tx, rx) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let metadata = AnswerMetadata {
        request: req.id,
        model: parsed.model.clone(),
        api: CompletionApi::from_body(parsed),
        created: unix_seconds(),
    };
    let prompt_tokens = estimate_tokens(&req.prompt);
    let req_service = req.service.clone();
    let journals = Arc::clone(&state.serving.journals);
    let tokens = journal.record.tokens.clone();
    let writer = JournalWriter::new(journals, journal.record, journal.handle);
    let serving = Arc::clone(&state.serving);
    let generation = GenerationTask::new(serving, req, writer, tx, tokens, delivered);
    let in_progress = state.serving.observer.in_progress(&req_service);
    state.serving.work.spawn(async move {
        let _in_progress = in_progress;
        let answer = generation.run().await;
        guard.set_used_tokens(prompt_tokens + answer);
    });
    PendingAnswer {
        metadata,
        prompt_tokens,
        is_streamed: parsed.stream,
        events: rx,
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}
