//! Handler of `/v1/services/{service}/{path}`, which forwards calls to plain services.

use std::{sync::Arc, time::Duration};

use axum::{
    extract::{Path, Request, State},
    response::{IntoResponse, Response},
};
use http::{HeaderMap, HeaderName, header};
use tokio::time::{Instant, sleep};
use verbenahead_core::{
    AttemptId, Digest, RequestId, RunOutcome, ServiceId, WorkspaceId, units::Tokens,
};
use verbenahead_manifest::{CallRule, MissingKeyPolicy, PlainService, Service, ServiceKind};
use verbenahead_policy::{FailedAttempt, RetryCause, RetryDecision, RetryRequest};
use verbenahead_relay::{clock::policy_time, upstream::UpstreamEntry};
use verbenahead_state::{
    UnixMillis,
    ledger::{IdempotencyKey, LedgerKey},
};
use verbenahead_upstream::{Error as UpstreamError, PlainCall, PlainReply};

use crate::{
    callers::{
        auth::Caller,
        body::read_body,
        ledger_answer::ledger_answer,
        problem::{Problem, ProblemKind},
        router::{CallerState, RETRY_AFTER},
    },
    node::{ledger_call::LedgerCall, observer::RequestTimes, recorded_answer::RETURNED_HEADERS},
};

/// Problem detail when a concurrency limit is reached.
const CONCURRENCY_LIMIT_DETAIL: &str = "the node or the workspace has no place for the call";

/// Request headers that are forwarded to the service.
const FORWARDED_HEADERS: [HeaderName; 4] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_TYPE,
    header::USER_AGENT,
];

/// Request header with the idempotency key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Forwards a call to a plain service, through the ledger unless the call is idempotent.
///
/// # Errors
///
/// Returns a [`Problem`] when the call is refused or given up.
pub async fn call(
    State(state): State<Arc<CallerState>>,
    Path((service, path)): Path<(String, String)>,
    req: Request,
) -> Result<Response, Problem> {
    let (caller, account) = state.authenticate(&req)?;
    let (service, plain) = find_service(&caller, &service)?;
    let path = format!("/{path}");
    let method = req.method().clone();
    let rule = plain
        .rule(method.as_str(), &path)
        .ok_or_else(|| Problem::not_run(ProblemKind::NotFound, "the service has no such call"))?;
    let path_and_query = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let received_at = UnixMillis::now();
    let mut headers = copy_headers(req.headers(), &FORWARDED_HEADERS);
    let key = if rule.idempotent {
        None
    } else {
        Some(idempotency_key(req.headers(), rule)?)
    };
    if let Some(value) = key.as_ref().and_then(|key| key.as_str().parse().ok()) {
        headers.insert(IDEMPOTENCY_KEY, value);
    }
    let limits = &state.serving.limits;
    let body = read_body(req, account, limits.max_body, limits.body_timeout).await;
    let body = body.map_err(|problem| match (&key, problem.kind) {
        // An earlier attempt with the same key may have run.
        (Some(_), ProblemKind::Overloaded) => {
            let detail = problem.detail;
            Problem::attempt_not_run(problem.kind, detail).with_retry_after(RETRY_AFTER)
        }
        _ => problem,
    })?;
    let call = PlainCall {
        method,
        path_and_query,
        headers,
        body,
        is_idempotent: rule.idempotent,
    };
    let _in_progress = state.serving.observer.in_progress(&service.id);
    let started = Instant::now();
    let workspace = caller.workspace.id.clone();
    let Some(key) = key else {
        let reply = call_idempotent(&state, &workspace, service, &call).await;
        record_result(&state, &workspace, service, started, reply.is_ok());
        return reply.map(plain_response);
    };
    let call = LedgerCall {
        key: LedgerKey::new(workspace.clone(), key),
        fingerprint: call_fingerprint(service, &call),
        service: service.id.clone(),
        retention: plain.ledger_retention,
        limit: service.request_timeout,
        received_at,
        call,
    };
    let answer = call_with_ledger(&state, call).await;
    let problem = answer.as_ref().err();
    let outcome = problem.map_or(RunOutcome::Run, |problem| problem.outcome);
    state.serving.observer.ledger_call(&outcome.to_string());
    let is_caller_fault = problem.is_some_and(|problem| problem.kind.is_caller_fault());
    if !is_caller_fault {
        record_result(&state, &workspace, service, started, answer.is_ok());
    }
    answer
}

fn record_result(
    state: &CallerState,
    workspace: &WorkspaceId,
    service: &Service,
    started: Instant,
    is_answered: bool,
) {
    let observer = &state.serving.observer;
    if !is_answered {
        observer.given_up(workspace, &service.id);
        return;
    }
    let times = RequestTimes {
        first_token: Some(started.elapsed()),
        inter_token: None,
    };
    observer.answered(workspace, &service.id, times);
}

/// Returns the idempotency key of the request, or generates one if the manifest allows it.
fn idempotency_key(headers: &HeaderMap, rule: &CallRule) -> Result<IdempotencyKey, Problem> {
    let Some(value) = headers.get(&IDEMPOTENCY_KEY) else {
        return match rule.missing_key {
            MissingKeyPolicy::Generate => Ok(generate_key()),
            MissingKeyPolicy::Refuse => Err(Problem::not_run(
                ProblemKind::MissingKey,
                "the call may run only once, so it needs an `Idempotency-Key`",
            )),
        };
    };
    let text = value.to_str().unwrap_or_default();
    IdempotencyKey::try_new(text)
        .map_err(|error| Problem::not_run(ProblemKind::BadRequest, error.to_string()))
}

fn generate_key() -> IdempotencyKey {
    let id = RequestId::random(&mut rand::rng());
    IdempotencyKey::try_new(id.to_string()).expect("hex digits are a valid key")
}

/// Returns a digest of the call, which tells apart different calls with the same idempotency key.
fn call_fingerprint(service: &Service, call: &PlainCall) -> Digest {
    let head = format!("{} {} {}\n", call.method, service.id, call.path_and_query);
    Digest::of([head.as_bytes(), &call.body].concat())
}

async fn call_with_ledger(state: &CallerState, call: LedgerCall) -> Result<Response, Problem> {
    // The ledger was not read, so an earlier request with the same key may have run.
    let _permit = state
        .concurrency_limiter
        .try_acquire(&call.key.workspace)
        .ok_or_else(|| {
            Problem::attempt_not_run(ProblemKind::Overloaded, CONCURRENCY_LIMIT_DETAIL)
                .with_retry_after(RETRY_AFTER)
        })?;
    ledger_answer(call.run(Arc::clone(&state.serving)).await)
}

fn find_service<'a>(
    caller: &'a Caller,
    service: &str,
) -> Result<(&'a Service, &'a PlainService), Problem> {
    let not_found = || Problem::not_run(ProblemKind::NotFound, "there is no such plain service");
    let id = ServiceId::try_new(service).map_err(|_| not_found())?;
    let service = caller
        .manifest
        .manifest
        .service(&id)
        .ok_or_else(not_found)?;
    match &service.kind {
        ServiceKind::Plain(plain) => Ok((service, plain)),
        ServiceKind::Model(_) => Err(not_found()),
    }
}

fn copy_headers(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    names
        .iter()
        .filter_map(|name| Some((name.clone(), headers.get(name)?.clone())))
        .collect()
}

/// Sends an idempotent call and retries it at other upstreams after failures.
async fn call_idempotent(
    state: &CallerState,
    workspace: &WorkspaceId,
    service: &Service,
    call: &PlainCall,
) -> Result<PlainReply, Problem> {
    let _permit = state
        .concurrency_limiter
        .try_acquire(workspace)
        .ok_or_else(|| {
            Problem::not_run(ProblemKind::Overloaded, CONCURRENCY_LIMIT_DETAIL)
                .with_retry_after(RETRY_AFTER)
        })?;
    let deadline = Instant::now() + service.request_timeout;
    let mut avoided = Vec::new();
    loop {
        let error = match attempt(state, service, call, deadline, &mut avoided).await {
            Ok(reply) => {
                state.serving.routing.on_success(&service.id);
                return Ok(reply);
            }
            Err(error) => error,
        };
        let req = RetryRequest {
            failed_attempt: FailedAttempt::Repeatable,
            cause: RetryCause::Failure,
            attempts: avoided.len() as u32 + 1,
            deadline: policy_time(deadline),
            expected_time: Duration::ZERO,
            retry_after: None,
        };
        match state.serving.routing.decide_retry(&service.id, &req) {
            RetryDecision::RetryAfter(delay) => sleep(delay).await,
            RetryDecision::GiveUp(_) => return Err(give_up_problem(&error)),
        }
    }
}

async fn attempt(
    state: &CallerState,
    service: &Service,
    call: &PlainCall,
    deadline: Instant,
    avoided: &mut Vec<Arc<UpstreamEntry>>,
) -> Result<PlainReply, UpstreamError> {
    let chosen = state.serving.routing.choose_plain(&service.id, avoided);
    let upstream = chosen.ok_or_else(|| UpstreamError::not_sent("no upstream is available"))?;
    let id = AttemptId::random(&mut rand::rng());
    let _work = upstream.track_request(id.0 as u64, Tokens::default());
    let limit = deadline
        .saturating_duration_since(Instant::now())
        .min(service.progress_timeout);
    let result = state
        .serving
        .plain
        .call(&upstream.address, call, limit)
        .await;
    match &result {
        Ok(_) => upstream.record_success(),
        Err(error) => {
            upstream.record_error(error);
            avoided.push(upstream);
        }
    }
    result
}

fn give_up_problem(error: &UpstreamError) -> Problem {
    let problem = match error {
        UpstreamError::NotSent { .. } | UpstreamError::ConnectionRefused { .. } => Problem::not_run,
        _ => Problem::outcome_unknown,
    };
    problem(ProblemKind::Unavailable, error.to_string()).with_retry_after(RETRY_AFTER)
}

/// Builds the response that forwards the reply of a plain service.
pub fn plain_response(reply: PlainReply) -> Response {
    let headers = copy_headers(&reply.headers, &RETURNED_HEADERS);
    (reply.status, headers, reply.body).into_response()
}
