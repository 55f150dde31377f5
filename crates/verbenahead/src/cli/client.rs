//! Client of the operator API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::timeout;
use verbenahead::settings::Secret;
use verbenahead_core::Generation;

use super::errors::{Error, Result};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of one call. It is long because a burn report waits for nodes that do not answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// `OperatorResponse` is a successful response of a node.
#[derive(Debug)]
pub(crate) struct OperatorResponse {
    /// Response headers.
    pub(crate) headers: HeaderMap,
    /// Response body.
    pub(crate) body: Bytes,
}

impl OperatorResponse {
    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| Error::Malformed(e.to_string()))
    }

    /// Returns the body as text.
    pub(crate) fn text(&self) -> Result<&str> {
        str::from_utf8(&self.body).map_err(|e| Error::Malformed(e.to_string()))
    }

    /// Parses the generation from the entity tag.
    pub(crate) fn generation(&self) -> Option<Generation> {
        let tag = self.headers.get(header::ETAG)?.to_str().ok()?;
        tag.trim_matches('"').parse().ok()
    }
}

/// `OperatorClient` calls the operator API of the first node that accepts a connection.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    key: Secret,
}

impl OperatorClient {
    /// Builds a client. The nodes are tried in the order of `addresses`.
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: Secret) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            addresses,
            key,
        }
    }

    /// Sends a `GET` request for a path.
    pub(crate) async fn get(&self, path: &str) -> Result<OperatorResponse> {
        self.call(Method::GET, path, None, Bytes::new()).await
    }

    /// Publishes a manifest if the head still is the generation `expect`.
    pub(crate) async fn publish(
        &self,
        expect: Generation,
        text: Bytes,
    ) -> Result<OperatorResponse> {
        self.call(Method::PUT, "/v1/manifest", Some(expect), text)
            .await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        expect: Option<Generation>,
        body: Bytes,
    ) -> Result<OperatorResponse> {
        let mut reasons = Vec::new();
        for address in &self.addresses {
            let req = self.build_request(&method, *address, path, expect, body.clone())?;
            match self.send(req).await {
                // Nothing was sent, so even a publication may go to the next node.
                Err(Error::NotReachable(reason)) => reasons.push(format!("{address}: {reason}")),
                result => return result,
            }
        }
        Err(Error::NotReachable(reasons.join("; ")))
    }

    fn build_request(
        &self,
        method: &Method,
        address: SocketAddr,
        path: &str,
        expect: Option<Generation>,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", self.key.expose()),
            );
        if let Some(expect) = expect {
            req = req.header(header::IF_MATCH, format!("\"{expect}\""));
        }
        let req = req.body(Full::new(body));
        req.map_err(|_| Error::NotReachable("the credential is no header value".to_owned()))
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<OperatorResponse> {
        let on_timeout = |_| Error::NoResponse(format!("none in {} s", CALL_TIMEOUT.as_secs()));
        timeout(CALL_TIMEOUT, self.send_without_timeout(req))
            .await
            .map_err(on_timeout)?
    }

    async fn send_without_timeout(&self, req: Request<Full<Bytes>>) -> Result<OperatorResponse> {
        let response = self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                Error::NotReachable(root_cause(&e))
            } else {
                Error::NoResponse(root_cause(&e))
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body
            .map_err(|e| Error::NoResponse(e.to_string()))?
            .to_bytes();
        if parts.status.is_success() {
            return Ok(OperatorResponse {
                headers: parts.headers,
                body,
            });
        }
        Err(Error::Problem(parse_problem(parts.status, &body)))
    }
}

/// Parses the problem details of an error response. A body without them is replaced by its status.
fn parse_problem(status: StatusCode, body: &[u8]) -> Value {
    let json: Option<Value> = serde_json::from_slice(body).ok();
    let document = json.filter(Value::is_object);
    document.unwrap_or_else(|| json!({ "status": status.as_u16() }))
}

fn root_cause(e: &dyn std::error::Error) -> String {
    let mut cause = e;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
