//! The client of plain services, which are HTTP services without model engines.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use crate::{
    connections::{Connections, Reuse},
    engine::UpstreamAddress,
    errors::{Error, Result},
    segmented_body::SegmentedBody,
};

/// `PlainCall` is a call to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Method of the call.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path_and_query: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body of the call.
    pub body: Bytes,
    /// Whether the call may be executed more than once.
    pub is_idempotent: bool,
}

/// `PlainReply` is the complete response of a plain service.
#[derive(Debug, Clone)]
pub struct PlainReply {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

/// `PlainServiceClient` sends calls to plain services and reads complete responses.
#[derive(Debug, Clone)]
pub struct PlainServiceClient {
    connections: Connections,
    max_response_bytes: usize,
}

impl PlainServiceClient {
    /// Builds a client that rejects response bodies larger than `max_response_bytes`.
    pub fn new(connections: Connections, max_response_bytes: usize) -> Self {
        Self {
            connections,
            max_response_bytes,
        }
    }

    /// Sends a call and reads the complete response within `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] or [`Error::ConnectionRefused`] when nothing of the call was sent. After any other error the upstream may
    /// have executed it.
    pub async fn call(
        &self,
        to: &UpstreamAddress,
        call: &PlainCall,
        limit: Duration,
    ) -> Result<PlainReply> {
        match timeout(limit, self.exchange(to, call, limit)).await {
            Ok(result) => result,
            Err(_) => Err(Error::interrupted("no whole answer within the time limit")),
        }
    }

    async fn exchange(
        &self,
        to: &UpstreamAddress,
        call: &PlainCall,
        limit: Duration,
    ) -> Result<PlainReply> {
        let req = build_request(to, call)?;
        // A pooled connection may have stopped responding unnoticed, and a non-idempotent call cannot
        // be retried, so it always gets a new connection.
        let reuse = if call.is_idempotent {
            Reuse::Allowed
        } else {
            Reuse::Forbidden
        };
        let res = self.connections.send(req, reuse, limit).await?;
        let (parts, body) = res.into_parts();
        let body = Limited::new(body, self.max_response_bytes)
            .collect()
            .await
            .map_err(Error::interrupted)?
            .to_bytes();
        Ok(PlainReply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

fn build_request(to: &UpstreamAddress, call: &PlainCall) -> Result<Request<SegmentedBody>> {
    let uri: Uri = format!("http://{}{}", to.address, call.path_and_query)
        .parse()
        .map_err(Error::not_sent)?;
    let mut req = Request::new(SegmentedBody::from(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = uri;
    *req.headers_mut() = call.headers.clone();
    Ok(req)
}
