//! Callers' connections to a relaying node: how many it keeps open and how long they may be idle.

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

/// Most callers' connections of a node with few file descriptors.
const MAX_CONNECTIONS: usize = 16;

/// `Caller` is a client with one persistent connection.
struct Caller {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Caller {
    async fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to)
            .await
            .expect("the node accepts connections");
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("the node accepts connections");
        tokio::spawn(connection);
        Self { sender }
    }

    /// Sends a request. Returns the status and whether the connection stays open, or `None` without an
    /// answer.
    async fn send(&mut self, id: &str) -> Option<(StatusCode, bool)> {
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

/// Returns settings that allow `MAX_CONNECTIONS` callers. The node reserves 256 descriptors and needs
/// two per caller.
fn few_descriptors(store: SocketAddr) -> String {
    let text = settings("n1", "east", store);
    let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
    settings["limits"]["descriptors"] = json!(256 + 2 * MAX_CONNECTIONS);
    settings.to_string()
}

#[tokio::test]
async fn persistent_connections_do_not_lock_out_new_callers() {
    let deployment = start_deployment(1, OK).await;
    let node = start_node(&few_descriptors(deployment.platform.address()));
    node.wait_ready().await;

    let mut kept = Vec::new();
    for n in 0..4 * MAX_CONNECTIONS {
        let mut caller = Caller::connect(node.callers).await;
        let answer = caller.send(&format!("r{n}")).await;
        let (status, stays_open) = answer.expect("each caller gets an answer");
        assert_eq!(status, StatusCode::OK);
        if stays_open {
            kept.push(caller);
        }
    }

    assert!(
        (MAX_CONNECTIONS / 2..MAX_CONNECTIONS).contains(&kept.len()),
        "{} kept",
        kept.len()
    );
}

#[tokio::test]
async fn idle_connections_stay_open_for_the_configured_idle_timeout() {
    let deployment = start_deployment(1, OK).await;
    let mut config = configuration(9);
    config["limits"]["idle_timeout_ms"] = json!(700);
    config["limits"]["header_timeout_ms"] = json!(300);
    deployment.platform.put("op", "config", &config);
    let node = deployment.start_node("n1").await;
    let mut caller = Caller::connect(node.callers).await;
    caller.send("r1").await.expect("an answer");

    tokio::time::sleep(Duration::from_millis(560)).await;
    let within = caller.send("r2").await;
    eventually("the idle connection is closed", async || {
        caller.sender.is_closed()
    })
    .await;

    assert_eq!(within, Some((StatusCode::OK, true)));
}
