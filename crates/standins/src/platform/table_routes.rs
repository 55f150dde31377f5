//! Routes of the table service.

use std::{sync::Arc, time::Instant};

use axum::{
    Json, Router,
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;
use verbenahead_services::{
    Mutation, RowKey, Table as _, Write, WriteOutcome,
    http::wire::{
        ListedRow, RefusalBody, RowList, TransactionBody, TransactionDone, entity_tag,
        parse_condition,
    },
};

use super::{
    counts::CallKind,
    faults::Effect,
    state::{PlatformState, Shared},
};

const DEFAULT_LIMIT: usize = 1000;

pub(super) fn routes() -> Router<Arc<PlatformState>> {
    Router::new()
        .route("/v1/table/{table}", get(list_rows))
        .route(
            "/v1/table/{table}/{key}",
            get(read_row).put(put_row).delete(delete_row),
        )
        .route("/v1/transactions", post(transact))
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
    after: Option<String>,
    limit: Option<usize>,
}

async fn read_row(State(state): Shared, Path((table, key)): Path<(String, String)>) -> Response {
    state.counts().count(CallKind::TableRead, Instant::now());
    let key = RowKey::new(state.table_name(&table), key);
    match state.table.read(&key).await {
        Ok(Some(row)) => ([(header::ETAG, entity_tag(row.version))], row.value).into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn list_rows(
    State(state): Shared,
    Path(table): Path<String>,
    Query(query): Query<ListQuery>,
) -> Response {
    state.counts().count(CallKind::TableRead, Instant::now());
    let table = state.table_name(&table);
    let limit = query.limit.unwrap_or(DEFAULT_LIMIT);
    let after = query.after.as_deref();
    let Ok(rows) = state.table.list(table, &query.prefix, after, limit).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let rows = rows.into_iter();
    let rows = rows.map(|(key, row)| ListedRow {
        key,
        row: row.into(),
    });
    Json(RowList {
        rows: rows.collect(),
    })
    .into_response()
}

async fn put_row(
    State(state): Shared,
    Path(path): Path<(String, String)>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    write_row(&state, path, &headers, Mutation::Put(body)).await
}

async fn delete_row(
    State(state): Shared,
    Path(path): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    write_row(&state, path, &headers, Mutation::Delete).await
}

async fn write_row(
    state: &PlatformState,
    (table, key): (String, String),
    headers: &HeaderMap,
    mutation: Mutation,
) -> Response {
    let Some(condition) = parse_condition(headers) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let write = Write {
        key: RowKey::new(state.table_name(&table), key),
        condition,
        mutation,
    };
    commit(state, vec![write], |versions| {
        let tags = versions.iter().map(|version| entity_tag(*version));
        let headers: HeaderMap = tags.map(|tag| (header::ETAG, tag)).collect();
        (StatusCode::NO_CONTENT, headers).into_response()
    })
    .await
}

async fn transact(State(state): Shared, Json(body): Json<TransactionBody>) -> Response {
    let writes = body.writes.into_iter();
    let writes = writes.map(|write| Write {
        key: RowKey::new(state.table_name(&write.table), write.key),
        condition: write.condition.into(),
        mutation: write.mutation.into(),
    });
    commit(&state, writes.collect(), |versions| {
        Json(TransactionDone { versions }).into_response()
    })
    .await
}

async fn commit(
    state: &PlatformState,
    writes: Vec<Write>,
    done: impl FnOnce(Vec<verbenahead_services::Version>) -> Response,
) -> Response {
    state.counts().count(CallKind::TableWrite, Instant::now());
    let tables = writes.iter().map(|write| write.key.table.0.to_owned());
    let effect = Effect {
        tables: tables.collect(),
    };
    match state.table.write(writes).await {
        WriteOutcome::Done(versions) => {
            let mut response = done(versions);
            response.extensions_mut().insert(effect);
            response
        }
        WriteOutcome::Refused(refusal) => {
            let body = RefusalBody::from(refusal);
            (StatusCode::PRECONDITION_FAILED, Json(body)).into_response()
        }
        WriteOutcome::Unknown(_) | WriteOutcome::NotSent(_) => {
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
    }
}
