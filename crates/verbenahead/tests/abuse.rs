//! Tests that malformed, slow and excessive requests are refused properly and do not affect other
//! callers.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use futures_util::future::join_all;
use http::{HeaderMap, Method, StatusCode};
use rstest::rstest;
use serde_json::Value;
use support::{
    chat::{ChatCaller, MODEL, expected_text},
    cluster::{
        BARBER_KEY, CREW_KEY, MANIFEST, NodeProcess, PlatformProcess, bearer, start_platform,
    },
};
use verbenahead_standins::{client::JsonClient, process::Process};

const CHAT: &str = "/v1/chat/completions";

struct Deployment {
    _platform: PlatformProcess,
    engine: Process,
    node: NodeProcess,
}

async fn start(engine_args: &[&str]) -> Deployment {
    let platform = start_platform(&[]);
    let engine = platform.start_engine("e1", "a", engine_args);
    platform.publish(MANIFEST, 0).await;
    let node = platform.start_node("n1", "a");
    node.wait_ready().await;
    Deployment {
        _platform: platform,
        engine,
        node,
    }
}

impl Deployment {
    async fn attempts(&self) -> u64 {
        let client = JsonClient::new(self.engine.address().expect("the engine listens"));
        let counts: Value = client
            .get("/control/counts")
            .await
            .expect("the engine counts");
        counts["attempts"].as_u64().expect("a number of attempts")
    }

    /// Checks that a well-behaved caller is served.
    async fn check_other_caller_is_served(&self) {
        let caller = ChatCaller::start(self.node.callers, BARBER_KEY, "honest [n=5]").await;
        let answer = caller.expect("the chat is accepted").read_to_end().await;
        assert_eq!(answer.text, expected_text("honest [n=5]"));
    }
}

#[rstest]
#[case::malformed_json("{\"model\":", StatusCode::BAD_REQUEST)]
#[case::invalid_utf8("\u{fffd}\u{0}", StatusCode::BAD_REQUEST)]
#[case::wrong_type("{\"model\":3,\"messages\":[]}", StatusCode::BAD_REQUEST)]
#[case::no_prompt("{\"model\":\"draft-small\"}", StatusCode::BAD_REQUEST)]
#[case::no_token(
    "{\"model\":\"draft-small\",\"prompt\":\"x\",\"max_tokens\":0}",
    StatusCode::BAD_REQUEST
)]
#[case::unknown_model("{\"model\":\"none\",\"prompt\":\"x\"}", StatusCode::NOT_FOUND)]
#[tokio::test]
async fn an_invalid_request_is_refused_and_not_run(
    #[case] body: &'static str,
    #[case] status: StatusCode,
) {
    let deployment = start(&["--token-ms", "0"]).await;

    let reply = deployment
        .node
        .call(Method::POST, CHAT, CREW_KEY, body)
        .await;

    let reply = reply.expect("an answer");
    let problem: Value = serde_json::from_slice(&reply.body).expect("a problem document");
    assert_eq!(reply.status, status);
    assert_eq!(problem["outcome"], "not_run");
    assert_eq!(deployment.attempts().await, 0);
}

#[rstest]
#[case::no_key(HeaderMap::new())]
#[case::wrong_key(bearer("guess"))]
#[tokio::test]
async fn a_caller_without_a_known_key_is_refused(#[case] headers: HeaderMap) {
    let deployment = start(&["--token-ms", "0"]).await;
    let client = deployment.node.client();

    let reply = client.call(Method::POST, CHAT, headers, "{}").await;

    let reply = reply.expect("an answer");
    assert_eq!(reply.status, StatusCode::UNAUTHORIZED);
    assert!(reply.headers.contains_key("www-authenticate"));
}

#[tokio::test]
async fn an_oversized_body_is_refused() {
    let deployment = start(&["--token-ms", "0"]).await;
    let prompt = "x".repeat(5 * 1024 * 1024);
    let body = format!("{{\"model\":\"{MODEL}\",\"prompt\":\"{prompt}\"}}");

    let reply = deployment
        .node
        .call(Method::POST, CHAT, CREW_KEY, body)
        .await;

    assert_eq!(
        reply.expect("an answer").status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
    deployment.check_other_caller_is_served().await;
}

/// Sends `request` and returns the first line of the response, or an empty text when the connection
/// ends without one.
fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the node accepts");
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).expect("a valid timeout");
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let mut buf = [0; 1024];
    while let Ok(count) = stream.read(&mut buf) {
        answer.extend_from_slice(&buf[..count]);
        if count == 0 || answer.contains(&b'\n') {
            break;
        }
    }
    let text = String::from_utf8_lossy(&answer);
    text.lines().next().unwrap_or_default().to_owned()
}

#[rstest]
#[case::many(2_000, 10)]
#[case::large(4, 100_000)]
#[tokio::test]
async fn excessive_headers_are_refused(#[case] count: usize, #[case] size: usize) {
    let deployment = start(&["--token-ms", "0"]).await;
    let mut request = b"GET /v1/models HTTP/1.1\r\nhost: n\r\n".to_vec();
    for index in 0..count {
        let line = format!("x-{index}: {}\r\n", "y".repeat(size));
        request.extend_from_slice(line.as_bytes());
    }
    request.extend_from_slice(b"\r\n");
    let address = deployment.node.callers;

    let line = tokio::task::spawn_blocking(move || exchange(address, &request)).await;

    let line = line.expect("the exchange ends");
    assert!(
        line.is_empty() || line.contains("431") || line.contains("400"),
        "{line}"
    );
    deployment.check_other_caller_is_served().await;
}

#[tokio::test]
async fn stalled_callers_do_not_delay_others() {
    let deployment = start(&["--token-ms", "0"]).await;
    let address = deployment.node.callers;
    let half_sent =
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: n\r\ncontent-length: 100\r\n\r\n{";
    let body = support::chat::chat_body("unread [n=2000]", true);
    let unread = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {CREW_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut connections = Vec::new();
    for request in [half_sent.as_slice(), unread.as_bytes(), b"GET /"] {
        for _ in 0..8 {
            let mut stream = TcpStream::connect(address).expect("the node accepts");
            stream.write_all(request).expect("the request is sent");
            connections.push(stream);
        }
    }

    deployment.check_other_caller_is_served().await;

    drop(connections);
}

#[tokio::test]
async fn excessive_load_of_one_workspace_leaves_capacity_for_another() {
    let deployment = start(&["--token-ms", "5", "--batch-limit", "8"]).await;
    let address = deployment.node.callers;
    let flood = (0..200).map(|index| {
        tokio::spawn(async move {
            let message = format!("flood {index} [n=40]");
            match ChatCaller::start(address, CREW_KEY, &message).await {
                Ok(caller) => Some((caller.read_to_end().await, message)),
                Err(status) => {
                    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
                    None
                }
            }
        })
    });
    let flood: Vec<_> = flood.collect();

    deployment.check_other_caller_is_served().await;

    for call in join_all(flood).await {
        if let Some((answer, message)) = call.expect("the caller runs") {
            assert_eq!(answer.text, expected_text(&message));
        }
    }
}

#[tokio::test]
async fn a_refused_request_carries_a_retry_delay() {
    let deployment = start(&["--token-ms", "50", "--batch-limit", "1"]).await;
    let body = support::chat::chat_body("busy [n=200]", false);
    let calls = (0..80).map(|_| {
        deployment
            .node
            .call(Method::POST, CHAT, CREW_KEY, body.clone())
    });

    let first_refusal = async {
        let mut calls: futures_util::stream::FuturesUnordered<_> = calls.collect();
        while let Some(reply) = futures_util::StreamExt::next(&mut calls).await {
            let reply = reply.expect("an answer");
            if reply.status == StatusCode::TOO_MANY_REQUESTS {
                return reply;
            }
        }
        panic!("no caller was refused");
    };
    let reply = first_refusal.await;

    assert!(reply.headers.contains_key("retry-after"));
    let problem: Value = serde_json::from_slice(&reply.body).expect("a problem document");
    assert_eq!(problem["outcome"], "not_run");
}
