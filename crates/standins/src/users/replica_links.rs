//! Addresses at which one node reaches the replicas, in place of those that they registered.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use axum::{
    body::Body,
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use http::{StatusCode, header::CONTENT_LENGTH};
use http_body_util::BodyExt;
use serde_json::Value;

/// `ReplicaLinks` holds the address of the link to each replica, by the address of the replica.
pub type ReplicaLinks = HashMap<SocketAddr, SocketAddr>;

/// Replaces the addresses of replicas in the rows of a response.
pub(super) async fn use_links(
    State(links): State<Arc<ReplicaLinks>>,
    req: Request,
    next: Next,
) -> Response {
    let (mut head, body) = next.run(req).await.into_parts();
    let Ok(body) = body.collect().await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let body = body.to_bytes();
    let Ok(mut answer) = serde_json::from_slice::<Value>(&body) else {
        return Response::from_parts(head, Body::from(body));
    };
    for row in answer["rows"].as_array_mut().into_iter().flatten() {
        if let Some(value) = linked_value(row, &links) {
            row["value"] = value.into();
        }
    }
    head.headers.remove(CONTENT_LENGTH);
    Response::from_parts(head, Body::from(answer.to_string()))
}

/// Returns the value of a row with the address of the link, if the row is that of a replica with a link.
fn linked_value(row: &Value, links: &ReplicaLinks) -> Option<String> {
    let bytes = STANDARD.decode(row["value"].as_str()?).ok()?;
    let mut entry: Value = serde_json::from_slice(&bytes).ok()?;
    let address: SocketAddr = entry["address"].as_str()?.parse().ok()?;
    entry["address"] = links.get(&address)?.to_string().into();
    Some(STANDARD.encode(entry.to_string()))
}
