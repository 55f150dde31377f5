//! JSON client for tests and for the control routes of stand-ins.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// `Reply` is a completely received response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// `JsonClient` sends JSON requests to one address. It opens a new connection for each request, so
/// that no request depends on the connection state of an earlier one.
#[derive(Debug, Clone)]
pub struct JsonClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    /// Builds a client for the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(HttpConnector::new());
        Self { address, client }
    }

    /// Sends a request with the given headers and body, and reads the whole response.
    ///
    /// # Errors
    ///
    /// When the request is invalid, or no complete response arrives within 30 s.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
    ) -> Result<Reply> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body.into()))?;
        *req.headers_mut() = headers;
        timeout(CALL_TIMEOUT, self.send_and_collect(req))
            .await
            .with_context(|| format!("standins: no answer for {path} in time"))?
    }

    /// Sends a GET request and decodes the JSON body of the response.
    ///
    /// # Errors
    ///
    /// When there is no response, its status is not 2xx, or its body cannot be decoded.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let headers = HeaderMap::new();
        let reply = self.call(Method::GET, path, headers, Bytes::new()).await?;
        decode(path, &reply)
    }

    /// Sends a PUT request with a JSON body and ignores the body of the response.
    ///
    /// # Errors
    ///
    /// When there is no response or its status is not 2xx.
    pub async fn put(&self, path: &str, value: &impl Serialize) -> Result<()> {
        self.send(Method::PUT, path, value).await.map(drop)
    }

    /// Sends a POST request with a JSON body and decodes the JSON body of the response.
    ///
    /// # Errors
    ///
    /// When there is no response, its status is not 2xx, or its body cannot be decoded.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, value: &impl Serialize) -> Result<T> {
        let reply = self.send(Method::POST, path, value).await?;
        decode(path, &reply)
    }

    async fn send(&self, method: Method, path: &str, value: &impl Serialize) -> Result<Reply> {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, "application/json".parse()?);
        let body = serde_json::to_vec(value)?;
        let reply = self.call(method, path, headers, body).await?;
        check_status(path, &reply)?;
        Ok(reply)
    }

    async fn send_and_collect(&self, req: Request<Full<Bytes>>) -> Result<Reply> {
        let (head, body) = self.client.request(req).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

fn check_status(path: &str, reply: &Reply) -> Result<()> {
    if !reply.status.is_success() {
        let body = String::from_utf8_lossy(&reply.body);
        bail!("standins: {path} answered {}: {body}", reply.status);
    }
    Ok(())
}

fn decode<T: DeserializeOwned>(path: &str, reply: &Reply) -> Result<T> {
    check_status(path, reply)?;
    serde_json::from_slice(&reply.body)
        .with_context(|| format!("standins: the answer of {path} cannot be read"))
}
