//! Every one of a thousand concurrent callers gets the complete answer to its own request, and no
//! token of another one, although engines send foreign and repeated frames and break streams.

mod support;

use std::{net::SocketAddr, time::Duration};

use futures_util::{StreamExt, stream};
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Value, json};
use support::{
    chat::{Answer, ChatCaller, expected_text},
    cluster::{BARBER_KEY, CREW_KEY, MANIFEST, start_platform},
};
use verbenahead_standins::{client::JsonClient, process::Process};

const CALLERS: usize = 1_000;
const CONCURRENT_CALLERS: usize = 100;
const MAX_TRIES: usize = 200;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

async fn control(engine: &Process, method: Method, path: &str, body: &Value) {
    let mut headers = HeaderMap::new();
    let content_type = "application/json".parse().expect("a valid header");
    headers.insert("content-type", content_type);
    let client = JsonClient::new(engine.address().expect("the engine listens"));
    let reply = client.call(method, path, headers, body.to_string()).await;
    assert!(reply.expect("an answer").status.is_success());
}

fn message(index: usize) -> String {
    format!("request {index} [n={}]", 3 + index % 40)
}

/// Sends a chat until it is accepted; a caller that gets 429 is expected to retry.
async fn start_with_retries(node: SocketAddr, key: &str, message: &str) -> ChatCaller {
    for _ in 0..MAX_TRIES {
        match ChatCaller::start(node, key, message).await {
            Ok(caller) => return caller,
            Err(status) => assert_eq!(status, StatusCode::TOO_MANY_REQUESTS),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    panic!("the request was refused {MAX_TRIES} times");
}

#[tokio::test]
async fn a_thousand_concurrent_answers_are_exact() {
    let platform = start_platform(&[]);
    let args = ["--token-ms", "2", "--batch-limit", "512"];
    let engines = ["e1", "e2"].map(|vm| platform.start_engine(vm, "a", &args));
    platform.publish(MANIFEST, 0).await;
    let node = platform.start_node("n1", "a");
    node.wait_ready().await;
    let behaviour = json!({ "token_ms": 2, "is_leaving": false, "is_stalled": false,
        "foreign_frames": true, "repeated_frames": true });
    control(&engines[0], Method::PUT, "/control/behaviour", &behaviour).await;

    let address = node.callers;
    let answers = stream::iter(0..CALLERS).map(|index| async move {
        let key = [CREW_KEY, BARBER_KEY][index % 2];
        (
            index,
            start_with_retries(address, key, &message(index))
                .await
                .read_to_end()
                .await,
        )
    });
    let break_streams = async {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            control(
                &engines[1],
                Method::POST,
                "/control/break-streams",
                &json!({}),
            )
            .await;
        }
    };
    let reading = answers
        .buffer_unordered(CONCURRENT_CALLERS)
        .collect::<Vec<(usize, Answer)>>();
    let (answers, ()) = tokio::join!(reading, break_streams);

    assert_eq!(answers.len(), CALLERS);
    for (index, answer) in answers {
        assert_eq!(
            answer.text,
            expected_text(&message(index)),
            "request {index}"
        );
        assert!(answer.is_done, "request {index}");
    }
    assert!(node.process.log().contains("late frame dropped"));
}
