//! Connections of callers to a relaying node: their number and how long they may stay idle.

mod relay_support;

use std::{net::SocketAddr, time::Duration};

use http::{Request, StatusCode, header::CONNECTION};
use http_body_util::{BodyExt, Full};
use hyper::{body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use relay_support::{HOST, KEY, configuration, eventually, settings, start_deployment, start_node};
use serde_json::{Value, json};
use tokio::{net::TcpStream, time::timeout};
use verbenahead_standins::users::ReplicaBehaviour;

const OK: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);

/// Connections that a node with few descriptors takes from callers.
const PLACES: usize = 16;

/// `Caller` keeps its connection open.
struct Caller {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Caller {
    async fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.expect("a connection");
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("a connection");
        tokio::spawn(connection);
        Self { sender }
    }

    /// Returns the status and whether the connection stays open, or nothing without an answer.
    async fn ask(&mut self, id: &str) -> Option<(StatusCode, bool)> {
        let req = Request::get("/look/1")
            .header("host", HOST)
            .header("attempt-id", id)
            .header("deadline-ms", "4000")
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::default());
        let sent = self.sender.send_request(req.expect("valid request"));
        let response = timeout(Duration::from_secs(1), sent).await.ok()?.ok()?;
        let closes = response
            .headers()
            .get(CONNECTION)
            .is_some_and(|v| v == "close");
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some((status, !closes))
    }
}

/// Returns settings with descriptors for few connections.
fn few_descriptors(store: SocketAddr) -> String {
    let text = settings("n1", "east", store);
    let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
    settings["limits"]["descriptors"] = json!(256 + 2 * PLACES);
    settings.to_string()
}

#[tokio::test]
async fn callers_that_keep_connections_do_not_shut_others_out() {
    let deployment = start_deployment(1, OK).await;
    let node = start_node(&few_descriptors(deployment.platform.address()));
    node.wait_ready().await;

    let mut kept = Vec::new();
    for n in 0..4 * PLACES {
        let mut caller = Caller::connect(node.callers).await;
        let answer = caller.ask(&format!("r{n}")).await;
        let (status, stays_open) = answer.expect("each caller gets an answer");
        assert_eq!(status, StatusCode::OK);
        if stays_open {
            kept.push(caller);
        }
    }

    assert!(
        (PLACES / 2..PLACES).contains(&kept.len()),
        "{} kept",
        kept.len()
    );
}

#[tokio::test]
async fn idle_connections_stay_for_as_long_as_the_operator_states() {
    let deployment = start_deployment(1, OK).await;
    let mut config = configuration(9);
    config["limits"]["idle_timeout_ms"] = json!(700);
    config["limits"]["header_timeout_ms"] = json!(300);
    deployment.platform.put("op", "config", &config);
    let node = deployment.start_node("n1").await;
    let mut caller = Caller::connect(node.callers).await;
    caller.ask("r1").await.expect("an answer");

    tokio::time::sleep(Duration::from_millis(560)).await;
    let within = caller.ask("r2").await;
    eventually("the idle connection is closed", async || {
        caller.sender.is_closed()
    })
    .await;

    assert_eq!(within, Some((StatusCode::OK, true)));
}
