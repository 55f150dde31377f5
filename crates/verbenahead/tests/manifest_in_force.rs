//! Tests that an accepted manifest comes in force on all nodes and that no node returns to an older
//! one.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Value, json};
use support::cluster::{
    MANIFEST, NodeProcess, OPERATOR_KEY, PlatformProcess, bearer, start_platform, wait_until,
};
use verbenahead_standins::client::{JsonClient, Reply};

const ZONES: [&str; 3] = ["a", "b", "c"];

async fn start_nodes(platform: &PlatformProcess) -> Vec<NodeProcess> {
    let nodes: Vec<_> = ZONES
        .iter()
        .map(|zone| platform.start_node(&format!("n-{zone}"), zone))
        .collect();
    join_all(nodes.iter().map(NodeProcess::wait_ready)).await;
    for node in &nodes {
        node.wait_members(ZONES.len()).await;
    }
    nodes
}

/// Publishes the example manifest under another deployment name.
async fn publish(node: &NodeProcess, name: &str, expect: u64) -> Reply {
    let text = MANIFEST.replace("\"quickstart\"", &format!("\"{name}\""));
    let mut headers = bearer(OPERATOR_KEY);
    let expected = format!("\"{expect}\"").parse().expect("a valid header");
    headers.insert("if-match", expected);
    let client = JsonClient::new(node.operators);
    let reply = client
        .call(Method::PUT, "/v1/manifest", headers, text)
        .await;
    reply.expect("an answer")
}

/// Returns the generation that is in force on a node, as its status report says.
async fn generation(node: &NodeProcess) -> u64 {
    let status = status(node).await;
    let own = status["nodes"].as_array().and_then(|nodes| {
        let name = &status["node"];
        nodes.iter().find(|entry| entry["node"] == *name)
    });
    own.and_then(|entry| entry["generation"].as_u64())
        .unwrap_or_default()
}

async fn status(node: &NodeProcess) -> Value {
    let client = JsonClient::new(node.operators);
    let headers = bearer(OPERATOR_KEY);
    let reply = client.call(Method::GET, "/v1/status", headers, "").await;
    reply
        .ok()
        .and_then(|reply| serde_json::from_slice(&reply.body).ok())
        .unwrap_or_default()
}

async fn wait_generation(nodes: &[&NodeProcess], wanted: u64) {
    for node in nodes {
        wait_until("the generation is in force", || async {
            generation(node).await == wanted
        })
        .await;
    }
}

async fn set_faults(platform: &PlatformProcess, faults: Value) {
    let mut headers = HeaderMap::new();
    let json = "application/json".parse().expect("a valid header");
    headers.insert("content-type", json);
    let control = platform.control();
    let body = faults.to_string();
    let reply = control
        .call(Method::PUT, "/control/faults", headers, body)
        .await;
    assert!(reply.expect("an answer").status.is_success());
}

#[tokio::test]
async fn one_of_concurrent_publications_is_accepted_and_applied_by_all_nodes() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform).await;

    let names = ["first", "second", "third"];
    let publications = names
        .iter()
        .zip(&nodes)
        .map(|(name, node)| publish(node, name, 1));
    let replies = join_all(publications).await;

    let accepted = replies
        .iter()
        .filter(|reply| reply.status.is_success())
        .count();
    let refused = replies
        .iter()
        .filter(|reply| reply.status == StatusCode::PRECONDITION_FAILED)
        .count();
    assert_eq!((accepted, refused), (1, 2), "{replies:?}");
    wait_generation(&nodes.iter().collect::<Vec<_>>(), 2).await;
}

#[tokio::test]
async fn a_publication_whose_answer_is_lost_is_accepted_once() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform).await;
    set_faults(
        &platform,
        json!({ "lost_answers": 1, "lost_table": "manifest" }),
    )
    .await;

    let reply = publish(&nodes[0], "changed", 1).await;

    assert!(reply.status.is_success(), "{reply:?}");
    wait_generation(&nodes.iter().collect::<Vec<_>>(), 2).await;
}

#[tokio::test]
async fn a_manifest_accepted_just_before_an_outage_is_in_force_everywhere() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform).await;

    let reply = publish(&nodes[0], "changed", 1).await;
    set_faults(&platform, json!({ "is_down": true })).await;

    assert!(reply.status.is_success(), "{reply:?}");
    wait_generation(&nodes.iter().collect::<Vec<_>>(), 2).await;
}

// Guards against an accepted manifest whose body no node has when the object store is away.
#[tokio::test]
async fn an_accepted_manifest_is_in_force_everywhere_without_a_read_of_its_body() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform).await;
    set_faults(&platform, json!({ "refuse_object_reads": true })).await;

    let reply = publish(&nodes[0], "changed", 1).await;

    assert!(reply.status.is_success(), "{reply:?}");
    wait_generation(&nodes.iter().collect::<Vec<_>>(), 2).await;
}

#[tokio::test]
async fn a_node_that_starts_in_an_outage_reads_the_manifest_from_its_peers() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform).await;
    publish(&nodes[0], "changed", 1).await;
    wait_generation(&nodes.iter().collect::<Vec<_>>(), 2).await;
    set_faults(&platform, json!({ "is_down": true })).await;

    let seed = nodes[0].process.address_of("peers").expect("an address");
    let late = platform.start_node_with_seeds("n-late", "a", &[seed]);

    late.wait_ready().await;
    assert_eq!(generation(&late).await, 2);
}

#[tokio::test]
async fn a_node_that_starts_alone_in_an_outage_is_not_ready() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    set_faults(&platform, json!({ "is_down": true })).await;

    let node = platform.start_node("n-alone", "a");
    tokio::time::sleep(Duration::from_secs(3)).await;

    let client = JsonClient::new(node.operators);
    let reply = client
        .call(Method::GET, "/readyz", HeaderMap::new(), "")
        .await;
    assert_eq!(
        reply.expect("an answer").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    set_faults(&platform, json!({})).await;
    node.wait_ready().await;
}

#[tokio::test]
async fn a_resumed_node_applies_the_newest_manifest_and_no_older_one() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    let mut nodes = start_nodes(&platform).await;

    nodes[2].process.freeze().expect("the node is frozen");
    publish(&nodes[0], "second", 1).await;
    publish(&nodes[0], "third", 2).await;
    wait_generation(&[&nodes[0], &nodes[1]], 3).await;
    let seen = status(&nodes[0]).await;
    nodes[2].process.unfreeze().expect("the node resumes");

    let frozen = seen["nodes"]
        .as_array()
        .and_then(|all| all.iter().find(|entry| entry["node"] == "n-c").cloned());
    assert_eq!(frozen.expect("the node is listed")["state"], "suspect");
    wait_generation(&[&nodes[2]], 3).await;
    assert!(!nodes[2].process.log().contains("invariant broken"));
}

#[tokio::test]
async fn a_rollback_is_a_new_generation() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform).await;
    publish(&nodes[0], "second", 1).await;
    wait_generation(&nodes.iter().collect::<Vec<_>>(), 2).await;

    let reply = publish(&nodes[1], "quickstart", 2).await;

    assert!(reply.status.is_success(), "{reply:?}");
    wait_generation(&nodes.iter().collect::<Vec<_>>(), 3).await;
}

#[tokio::test]
async fn a_rejected_manifest_changes_nothing() {
    let platform = start_platform(&[]);
    platform.publish(MANIFEST, 0).await;
    let nodes = start_nodes(&platform).await;
    let client = JsonClient::new(nodes[0].operators);
    let mut headers = bearer(OPERATOR_KEY);
    headers.insert("if-match", "\"1\"".parse().expect("a valid header"));

    let text = r#"{ "deployment": "x", "workspaces": 3 }"#;
    let reply = client
        .call(Method::PUT, "/v1/manifest", headers, text)
        .await;

    assert_eq!(
        reply.expect("an answer").status,
        StatusCode::UNPROCESSABLE_ENTITY
    );
    assert_eq!(generation(&nodes[0]).await, 1);
}
