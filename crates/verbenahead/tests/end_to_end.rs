//! Tests of requests through a node to an upstream, with separate processes.

mod support;

use http::{Method, StatusCode};
use serde_json::Value;
use support::{
    chat::{ChatCaller, chat_body, expected_text},
    cluster::{CREW_KEY, MANIFEST, start_platform},
};

#[tokio::test]
async fn a_streamed_response_is_complete() {
    let platform = start_platform(&[]);
    let _engine = platform.start_engine("e1", "a", &["--token-ms", "1"]);
    platform.publish(MANIFEST, 0).await;
    let node = platform.start_node("n1", "a");
    node.wait_ready().await;

    let caller = ChatCaller::start(node.callers, CREW_KEY, "plan [n=40]").await;
    let answer = caller.expect("the chat is accepted").read_to_end().await;

    assert_eq!(answer.text, expected_text("plan [n=40]"));
    assert!(answer.is_done);
}

#[tokio::test]
async fn a_buffered_response_is_complete() {
    let platform = start_platform(&[]);
    let _engine = platform.start_engine("e1", "a", &["--token-ms", "1"]);
    platform.publish(MANIFEST, 0).await;
    let node = platform.start_node("n1", "a");
    node.wait_ready().await;

    let body = chat_body("summary [n=20]", false);
    let reply = node
        .call(Method::POST, "/v1/chat/completions", CREW_KEY, body)
        .await;

    let reply = reply.expect("an answer");
    let json: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(
        json["choices"][0]["message"]["content"],
        expected_text("summary [n=20]")
    );
    assert_eq!(json["usage"]["completion_tokens"], 20);
}

#[tokio::test]
async fn a_graceful_shutdown_completes_the_running_stream() {
    let platform = start_platform(&[]);
    let _engine = platform.start_engine("e1", "a", &["--token-ms", "10"]);
    platform.publish(MANIFEST, 0).await;
    let mut node = platform.start_node("n1", "a");
    node.wait_ready().await;
    let caller = ChatCaller::start(node.callers, CREW_KEY, "long plan [n=100]").await;
    let mut caller = caller.expect("the chat is accepted");
    caller.read(3).await;

    let reading = tokio::spawn(caller.read_to_end());
    let has_stopped = tokio::task::spawn_blocking(move || node.stop()).await;
    let answer = reading.await.expect("the caller reads");

    assert!(has_stopped.expect("the node is waited for"));
    assert_eq!(answer.text, expected_text("long plan [n=100]"));
    assert!(answer.is_done);
}
