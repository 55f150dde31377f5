//! Load on a deployment, at a fixed rate or with a fixed number of streams.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, ensure};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::overhead::deployment::{Deployment, KEY, MODEL, Target};

/// Number of unmeasured requests at the start, which open connections.
pub const WARM_UP: usize = 200;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

fn request(
    target: Target,
    address: SocketAddr,
    tokens: u64,
    index: usize,
) -> anyhow::Result<Request<Full<Bytes>>> {
    let prompt = format!("request {index} [n={tokens}]");
    let (path, body) = match target {
        Target::Engine => (
            "/v1/generate",
            serde_json::json!({
                "attempt": format!("{index:032x}"),
                "model": MODEL, "prompt": prompt, "generated": [], "seed": 1,
                "max_tokens": tokens, "priority": 255,
            }),
        ),
        Target::Node => (
            "/v1/completions",
            serde_json::json!({
                "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true,
            }),
        ),
    };
    let req = Request::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    Ok(req)
}

/// Measures the time to the end of a short streamed answer, in microseconds, at `rate` requests
/// per second.
///
/// # Errors
///
/// Returns an error if a call fails.
pub async fn measure_latency(
    deployment: &Deployment,
    target: Target,
    requests: usize,
    rate: f64,
) -> anyhow::Result<Histogram<u64>> {
    let address = deployment.address(target)?;
    let client = client();
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for index in 0..WARM_UP + requests {
        let at = start + Duration::from_secs_f64(index as f64 / rate);
        sleep_until(at).await;
        let client = client.clone();
        let req = request(target, address, 2, index)?;
        calls.spawn(async move {
            let started = Instant::now();
            read_whole(&client, req).await?;
            anyhow::Ok((index, started.elapsed()))
        });
    }
    let mut times = Histogram::new(3)?;
    while let Some(call) = calls.join_next().await {
        let (index, time) = call??;
        if index >= WARM_UP {
            times.record(time.as_micros() as u64)?;
        }
    }
    Ok(times)
}

async fn read_whole(client: &HttpClient, req: Request<Full<Bytes>>) -> anyhow::Result<Bytes> {
    let res = client.request(req).await.context("no answer")?;
    ensure!(res.status().is_success(), "refused with {}", res.status());
    Ok(res.into_body().collect().await?.to_bytes())
}

/// Reads `streams` concurrent answers of `tokens` tokens through a node and returns the total
/// number of tokens.
///
/// # Errors
///
/// Returns an error if a call fails.
pub async fn stream_tokens(
    deployment: &Deployment,
    streams: usize,
    tokens: u64,
) -> anyhow::Result<u64> {
    let address = deployment.address(Target::Node)?;
    let client = client();
    let mut calls = JoinSet::new();
    for index in 0..streams {
        let client = client.clone();
        let req = request(Target::Node, address, tokens, index)?;
        calls.spawn(async move { read_whole(&client, req).await });
    }
    let mut total = 0;
    while let Some(call) = calls.join_next().await {
        let answer = call??;
        ensure!(
            answer.ends_with(b"data: [DONE]\n\n"),
            "a streamed answer is incomplete"
        );
        total += tokens;
    }
    Ok(total)
}

/// Opens streams through a node and returns their bodies, unread.
///
/// # Errors
///
/// Returns an error if a call fails.
pub async fn open_streams(deployment: &Deployment, count: usize) -> anyhow::Result<Vec<Incoming>> {
    let address = deployment.address(Target::Node)?;
    let client = client();
    let mut streams = Vec::with_capacity(count);
    for index in 0..count {
        let req = request(Target::Node, address, 1_000, index)?;
        let res = client.request(req).await.context("no answer")?;
        ensure!(res.status().is_success(), "refused with {}", res.status());
        streams.push(res.into_body());
    }
    Ok(streams)
}
