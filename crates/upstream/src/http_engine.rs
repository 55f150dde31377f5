//! The client of model engines that use HTTP with server-sent events.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{StreamExt, TryStreamExt};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use tokio::time::timeout;
use verbenahead_core::{AttemptId, FencingNumber};

use crate::{
    connections::{Connections, Reuse, error_chain},
    engine::{
        Engine, Frame, FrameStream, GenerateRequest, KvBlocks, LoadReport, Order, OrderOutcome,
        StartedAnswer, UpstreamAddress,
    },
    errors::{Error, Result},
    response_body::UpstreamBody,
    segmented_body::SegmentedBody,
};

/// Response header in which an engine reports its load, as a [`LoadReport`] in JSON.
pub const LOAD_HEADER: &str = "verbenahead-load";

/// Maximum size of a response body that is not streamed. Exported KV caches are the largest.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Maximum time to read a response body that is not streamed.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `HttpEngine` is the client of engines that use HTTP with server-sent events.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    connections: Connections,
}

impl HttpEngine {
    /// Builds a client over these connections.
    pub fn new(connections: Connections) -> Self {
        Self { connections }
    }

    async fn call(
        &self,
        to: &UpstreamAddress,
        method: Method,
        path: &str,
        body: Bytes,
        reuse: Reuse,
    ) -> Result<Response<UpstreamBody>> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", to.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(SegmentedBody::from(body))
            .map_err(Error::not_sent)?;
        let limit = self.connections.headers_timeout();
        self.connections.send(req, reuse, limit).await
    }

    /// Sends a request and reads the whole response body. A status other than 2xx is an error.
    async fn call_and_read(
        &self,
        to: &UpstreamAddress,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes> {
        let res = self.call(to, method, path, body, Reuse::Forbidden).await?;
        let status = res.status();
        let body = read_body(res).await?;
        if !status.is_success() {
            return Err(refused_error(status, &body));
        }
        Ok(body)
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn generate(&self, to: &UpstreamAddress, req: GenerateRequest) -> Result<StartedAnswer> {
        let body = serde_json::to_vec(&req).map_err(Error::malformed)?;
        let res = self
            .call(
                to,
                Method::POST,
                "/v1/generate",
                body.into(),
                Reuse::Allowed,
            )
            .await?;
        let status = res.status();
        if !status.is_success() {
            let body = read_body(res).await?;
            return Err(refused_error(status, &body));
        }
        Ok(StartedAnswer {
            load: read_load_header(&res),
            frames: decode_frames(res.into_body()),
        })
    }

    async fn load(&self, to: &UpstreamAddress) -> Result<LoadReport> {
        let body = self
            .call_and_read(to, Method::GET, "/v1/load", Bytes::new())
            .await?;
        serde_json::from_slice(&body).map_err(Error::malformed)
    }

    async fn export_kv(&self, to: &UpstreamAddress, attempt: AttemptId) -> Result<KvBlocks> {
        let path = format!("/v1/kv/{attempt}");
        let body = self
            .call_and_read(to, Method::GET, &path, Bytes::new())
            .await?;
        Ok(KvBlocks(body))
    }

    async fn import_kv(&self, to: &UpstreamAddress, blocks: KvBlocks) -> Result<()> {
        self.call_and_read(to, Method::POST, "/v1/kv", blocks.0)
            .await
            .map(|_| ())
    }

    async fn order(&self, to: &UpstreamAddress, order: &Order) -> OrderOutcome {
        let body = match serde_json::to_vec(order) {
            Ok(body) => body,
            Err(error) => return OrderOutcome::Unknown(error.to_string()),
        };
        match self.send_order(to, body.into()).await {
            Ok(outcome) => outcome,
            Err(error) => OrderOutcome::Unknown(error.to_string()),
        }
    }
}

impl HttpEngine {
    async fn send_order(&self, to: &UpstreamAddress, body: Bytes) -> Result<OrderOutcome> {
        let res = self
            .call(to, Method::POST, "/v1/orders", body, Reuse::Forbidden)
            .await?;
        let status = res.status();
        let body = read_body(res).await?;
        match status {
            StatusCode::CONFLICT => {
                let fenced: FencedResponse =
                    serde_json::from_slice(&body).map_err(Error::malformed)?;
                Ok(OrderOutcome::Fenced(fenced.fencing))
            }
            status if status.is_success() => Ok(OrderOutcome::Done),
            status => Err(refused_error(status, &body)),
        }
    }
}

#[derive(Debug, Deserialize)]
struct FencedResponse {
    fencing: FencingNumber,
}

fn read_load_header(res: &Response<UpstreamBody>) -> Option<LoadReport> {
    let value = res.headers().get(LOAD_HEADER)?;
    serde_json::from_slice(value.as_bytes()).ok()
}

fn decode_frames(body: UpstreamBody) -> FrameStream {
    let events = body
        .into_data_stream()
        .map_err(|error| std::io::Error::other(error_chain(&error)))
        .eventsource();
    events
        .map(|event| match event {
            Ok(event) => parse_frame(&event.data),
            Err(error) => Err(Error::interrupted(error)),
        })
        .boxed()
}

fn parse_frame(data: &str) -> Result<Frame> {
    serde_json::from_str(data).map_err(Error::malformed)
}

async fn read_body(res: Response<UpstreamBody>) -> Result<Bytes> {
    let body = Limited::new(res.into_body(), MAX_BODY_BYTES);
    match timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => Err(Error::interrupted(error)),
        Err(_) => Err(Error::interrupted("the answer did not end in time")),
    }
}

fn refused_error(status: StatusCode, body: &Bytes) -> Error {
    Error::refused(status.as_u16(), String::from_utf8_lossy(body))
}
