//! A leaving upstream gets no new work; a later incarnation of its VM does.

mod support;

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use http::{HeaderMap, Method};
use rstest::rstest;
use serde_json::{Value, json};
use support::{
    chat::ChatCaller,
    cluster::{CREW_KEY, MANIFEST, NodeProcess, PlatformProcess, start_platform, wait_until},
};
use verbenahead_standins::{client::JsonClient, process::Process};

/// Time after a reclaim notice in which nodes may still send new work.
const NOTICE_PROPAGATION_TIME: Duration = Duration::from_secs(3);

const ENGINE_ARGS: &[&str] = &["--token-ms", "0"];

async fn start_nodes(platform: &PlatformProcess, count: usize) -> Vec<NodeProcess> {
    let nodes: Vec<_> = (0..count)
        .map(|index| platform.start_node(&format!("n{index}"), ["a", "b", "c"][index % 3]))
        .collect();
    join_all(nodes.iter().map(NodeProcess::wait_ready)).await;
    for node in &nodes {
        node.wait_members(count).await;
    }
    nodes
}

async fn attempts(engine: &Process) -> u64 {
    let client = JsonClient::new(engine.address().expect("the engine listens"));
    let counts: Value = client
        .get("/control/counts")
        .await
        .expect("the engine reports its counts");
    counts["attempts"].as_u64().expect("a number of attempts")
}

async fn reclaim(platform: &PlatformProcess, vm: &str, remaining_ms: u64) {
    let mut headers = HeaderMap::new();
    let content_type = "application/json".parse().expect("a valid header");
    headers.insert("content-type", content_type);
    let body = json!({ "vm": vm, "remaining_ms": remaining_ms }).to_string();
    let control = platform.control();
    let reply = control
        .call(Method::POST, "/control/reclaim", headers, body)
        .await;
    assert!(reply.expect("an answer").status.is_success());
}

/// Sends `count` chats to each node, one after another, and waits until they are answered.
async fn send_chats(nodes: &[NodeProcess], count: usize) {
    let calls = nodes.iter().map(|node| send_chats_to(node.callers, count));
    join_all(calls).await;
}

async fn send_chats_to(address: SocketAddr, count: usize) {
    for index in 0..count {
        let message = format!("question {index} of {address} [n=3]");
        let caller = ChatCaller::start(address, CREW_KEY, &message).await;
        let answer = caller.expect("the chat is accepted").read_to_end().await;
        assert!(answer.is_done);
    }
}

#[rstest]
#[case::four_nodes(4)]
#[case::eight_nodes(8)]
#[tokio::test]
async fn no_new_work_goes_to_a_leaving_upstream(#[case] count: usize) {
    let platform = start_platform(&[]);
    let leaving = platform.start_engine("e1", "a", ENGINE_ARGS);
    let _other = platform.start_engine("e2", "b", ENGINE_ARGS);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform, count).await;
    wait_until("the upstream gets work", || async {
        send_chats(&nodes, 2).await;
        attempts(&leaving).await > 0
    })
    .await;

    reclaim(&platform, "e1", 60_000).await;
    tokio::time::sleep(NOTICE_PROPAGATION_TIME).await;
    let before = attempts(&leaving).await;
    send_chats(&nodes, 6).await;

    assert_eq!(attempts(&leaving).await, before);
}

#[tokio::test]
async fn a_later_incarnation_of_a_vm_gets_work() {
    let platform = start_platform(&[]);
    let mut first = platform.start_engine("e1", "a", ENGINE_ARGS);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform, 2).await;
    send_chats(&nodes, 1).await;
    reclaim(&platform, "e1", 1_000).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    first.kill().expect("the engine is killed");

    let second = platform.start_engine("e1", "a", &["--token-ms", "0", "--incarnation", "2"]);

    wait_until("the new incarnation gets work", || async {
        for node in &nodes {
            if let Ok(caller) = ChatCaller::start(node.callers, CREW_KEY, "again [n=3]").await {
                caller.read_to_end().await;
            }
        }
        attempts(&second).await > 0
    })
    .await;
}
