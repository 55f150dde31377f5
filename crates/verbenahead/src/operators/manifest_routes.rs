//! Handlers that publish and read manifests.

use std::{str, time::Duration};

use axum::{
    Json,
    extract::{Extension, Path, Query, Request, State},
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use verbenahead_core::{Generation, RunOutcome, units::ByteSize};
use verbenahead_manifest::{Change, Manifest, diff, parse};
use verbenahead_relay::{BodyError, BodyLimits, BodyProgressOptions, drain_body};

use super::{
    access::OperatorName,
    backend::{ManifestHead, Publication, PublicationOutcome, StoredManifest},
    precondition::{entity_tag, expected_generation},
    problem::OperatorProblem,
    router::OperatorApi,
};

/// Maximum size of a manifest.
const MAX_MANIFEST: ByteSize = ByteSize(8 * 1024 * 1024);

/// Maximum time in which the body of a publication must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

const MANIFEST_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/jsonc; charset=utf-8");

/// Number of manifests in a history when the request gives no limit.
const DEFAULT_HISTORY_LIMIT: usize = 20;

/// Maximum number of manifests in a history.
const MAX_HISTORY_LIMIT: usize = 500;

/// `History` lists accepted manifests, newest first.
#[derive(Debug, Serialize)]
struct History {
    manifests: Vec<ManifestHead>,
}

/// `HistoryQuery` holds the query parameters of `GET /v1/manifest/history`.
#[derive(Debug, Deserialize)]
pub(super) struct HistoryQuery {
    limit: Option<usize>,
}

/// Answers `PUT /v1/manifest`, which publishes a manifest if `If-Match` names the head.
pub(super) async fn put(
    State(api): State<OperatorApi>,
    Extension(operator): Extension<OperatorName>,
    req: Request,
) -> Result<Response, OperatorProblem> {
    let expect = expected_generation(req.headers())?;
    let text = read_body(&api, req).await?;
    let manifest = parse_manifest(&text)?;
    let publication = Publication {
        expect,
        publisher: operator.0.clone(),
        text,
        manifest: manifest.clone(),
    };
    let published = api.backend().publish(publication).await;
    tracing::info!(operator = %operator, %expect, ?published, "manifest publication");
    api.metrics().count_publication(&published);
    match published {
        PublicationOutcome::Accepted(head) => Ok(accepted(head)),
        PublicationOutcome::Conflict(head) => Err(conflict(&api, head, &manifest).await),
        PublicationOutcome::NotAccepted(reason) => Err(not_accepted(&reason)),
        PublicationOutcome::Unknown(reason) => Err(unknown(&reason, expect)),
    }
}

async fn read_body(api: &OperatorApi, req: Request) -> Result<Bytes, OperatorProblem> {
    let (head, mut body) = req.into_parts();
    let account = api.memory().account_of(&head.extensions);
    let limits = BodyLimits {
        max: MAX_MANIFEST,
        deadline: Instant::now() + BODY_TIMEOUT,
        progress: BodyProgressOptions::within(BODY_TIMEOUT),
    };
    let text = match verbenahead_relay::read_body(&mut body, &account, limits).await {
        Ok(text) => text.into_bytes().await,
        Err(error) => Err(error),
    };
    text.map_err(|error| {
        drain_body(body, &head.headers, account, MAX_MANIFEST);
        let (kind, status) = match error {
            BodyError::TooLarge => ("too-large", StatusCode::PAYLOAD_TOO_LARGE),
            BodyError::TimedOut => ("slow-request", StatusCode::REQUEST_TIMEOUT),
            BodyError::Invalid => ("bad-request", StatusCode::BAD_REQUEST),
            BodyError::NoMemory => ("overloaded", StatusCode::SERVICE_UNAVAILABLE),
        };
        OperatorProblem::new(kind, status, error).with_outcome(RunOutcome::NotRun)
    })
}

fn parse_manifest(text: &Bytes) -> Result<Manifest, OperatorProblem> {
    let refuse = |kind, status, detail: &str| {
        OperatorProblem::new(kind, status, detail).with_outcome(RunOutcome::NotRun)
    };
    let Ok(text) = str::from_utf8(text) else {
        let detail = "the manifest is not UTF-8";
        return Err(refuse("bad-request", StatusCode::BAD_REQUEST, detail));
    };
    parse("manifest", text).map_err(|findings| {
        let detail = format!("the manifest has {} findings", findings.iter().count());
        let problem = refuse("findings", StatusCode::UNPROCESSABLE_ENTITY, &detail);
        problem.with("findings", &findings)
    })
}

fn accepted(head: ManifestHead) -> Response {
    let tag = entity_tag(head.generation);
    ([(header::ETAG, tag)], Json(head)).into_response()
}

async fn conflict(
    api: &OperatorApi,
    head: Option<ManifestHead>,
    wanted: &Manifest,
) -> OperatorProblem {
    let generation = head
        .as_ref()
        .map(|head| head.generation)
        .unwrap_or_default();
    let detail = format!("the head is generation {generation}");
    let problem = OperatorProblem::new("conflict", StatusCode::PRECONDITION_FAILED, detail)
        .with_outcome(RunOutcome::NotRun)
        .with("head", &head);
    match difference(api, generation, wanted).await {
        Some(changes) => problem.with("difference", changes),
        None => problem,
    }
}

/// Returns the changes from the head to `wanted`, or `None` if the head cannot be read.
async fn difference(
    api: &OperatorApi,
    generation: Generation,
    wanted: &Manifest,
) -> Option<Vec<Change>> {
    let stored = api.backend().manifest(generation).await.ok()??;
    let text = str::from_utf8(&stored.text).ok()?;
    let actual = parse("head", text).ok()?;
    Some(diff(&actual, wanted))
}

fn not_accepted(reason: &str) -> OperatorProblem {
    let detail = format!("the manifest is not accepted: {reason}");
    OperatorProblem::new("not-accepted", StatusCode::SERVICE_UNAVAILABLE, detail)
        .with_outcome(RunOutcome::NotRun)
}

/// Builds the answer to a publication with an unknown outcome. Its status is an error, so that no
/// client takes the publication for accepted.
fn unknown(reason: &str, expect: Generation) -> OperatorProblem {
    let wanted = expect.next();
    let detail = format!(
        "it is not known whether the manifest is accepted: {reason}; read generation {wanted} \
         before publishing again"
    );
    OperatorProblem::new("outcome-unknown", StatusCode::SERVICE_UNAVAILABLE, detail)
        .with_outcome(RunOutcome::Unknown)
        .with("generation", wanted)
}

/// Answers `GET /v1/manifest` with the text of the head.
pub(super) async fn get(State(api): State<OperatorApi>) -> Result<Response, OperatorProblem> {
    let head = api.backend().head().await?;
    let Some(head) = head else {
        return Err(no_generation(Generation(0)));
    };
    get_stored(&api, head.generation).await
}

/// Answers `GET /v1/manifest/{generation}` with the text of that generation.
pub(super) async fn get_generation(
    State(api): State<OperatorApi>,
    Path(generation): Path<String>,
) -> Result<Response, OperatorProblem> {
    let generation = generation.parse().map_err(|e| {
        let kind = "bad-request";
        OperatorProblem::new(kind, StatusCode::BAD_REQUEST, e)
    })?;
    get_stored(&api, generation).await
}

async fn get_stored(
    api: &OperatorApi,
    generation: Generation,
) -> Result<Response, OperatorProblem> {
    let stored = api.backend().manifest(generation).await?;
    let Some(StoredManifest { head, text }) = stored else {
        return Err(no_generation(generation));
    };
    let headers = [
        (header::CONTENT_TYPE, MANIFEST_CONTENT_TYPE),
        (header::ETAG, entity_tag(head.generation)),
    ];
    Ok((headers, text).into_response())
}

fn no_generation(generation: Generation) -> OperatorProblem {
    let detail = match generation {
        Generation(0) => "no manifest is published".to_owned(),
        generation => format!("there is no generation {generation}"),
    };
    OperatorProblem::new("not-found", StatusCode::NOT_FOUND, detail)
}

/// Answers `GET /v1/manifest/history` with the accepted manifests, without their texts.
pub(super) async fn history(
    State(api): State<OperatorApi>,
    Query(query): Query<HistoryQuery>,
) -> Result<Response, OperatorProblem> {
    let limit = query
        .limit
        .unwrap_or(DEFAULT_HISTORY_LIMIT)
        .min(MAX_HISTORY_LIMIT);
    let manifests = api.backend().history(limit).await?;
    Ok(Json(History { manifests }).into_response())
}
