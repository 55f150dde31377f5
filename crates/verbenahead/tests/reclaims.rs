//! An accepted request survives the loss of its node, of its upstream and of an availability zone.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use http::{HeaderMap, Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use support::{
    chat::{Answer, ChatCaller, chat_body, expected_text},
    cluster::{
        BARBER_KEY, CREW_KEY, MANIFEST, NodeProcess, PlatformProcess, start_platform, wait_until,
    },
};
use verbenahead_standins::process::Process;

const MESSAGE: &str = "long plan [n=200]";

const SHORT_DRAIN: &str = r#"{ "balancer_pause_ms": 50, "limit_ms": 300 }"#;

struct Deployment {
    platform: PlatformProcess,
    engines: Vec<Process>,
    nodes: Vec<NodeProcess>,
}

/// Starts three nodes and three engines in three zones, and waits until the nodes know each other.
async fn start_deployment(drain: &str) -> Deployment {
    let platform = start_platform(&[]);
    let zones = ["a", "b", "c"];
    let engine = |zone| platform.start_engine(&format!("e-{zone}"), zone, &["--token-ms", "10"]);
    let engines = zones.iter().map(|zone| engine(zone)).collect();
    platform.publish(MANIFEST, 0).await;
    let nodes: Vec<_> = zones
        .iter()
        .map(|zone| platform.start_node_with(&format!("n-{zone}"), zone, drain))
        .collect();
    join_all(nodes.iter().map(NodeProcess::wait_ready)).await;
    for node in &nodes {
        node.wait_members(nodes.len()).await;
    }
    Deployment {
        platform,
        engines,
        nodes,
    }
}

impl Deployment {
    /// Starts a chat at the first node and reads its first 20 events.
    async fn start_chat(&self) -> ChatCaller {
        let caller = ChatCaller::start(self.nodes[0].callers, CREW_KEY, MESSAGE).await;
        let mut caller = caller.expect("the chat is accepted");
        assert!(caller.read(20).await);
        caller
    }

    /// Resumes an answer at another node and reads it to the end.
    async fn finish_at(&self, node: usize, answer: Answer) -> Answer {
        let caller = ChatCaller::resume(self.nodes[node].callers, CREW_KEY, answer).await;
        caller.expect("the answer goes on").read_to_end().await
    }

    async fn reclaim(&self, what: Value) {
        self.control(Method::POST, "/control/reclaim", what).await;
    }

    async fn control(&self, method: Method, path: &str, body: Value) {
        let mut headers = HeaderMap::new();
        let json = "application/json".parse().expect("a valid header");
        headers.insert("content-type", json);
        let control = self.platform.control();
        let reply = control.call(method, path, headers, body.to_string()).await;
        assert!(reply.expect("an answer").status.is_success());
    }
}

fn assert_complete(answer: &Answer) {
    assert_eq!(answer.text, expected_text(MESSAGE));
    assert!(answer.is_done);
}

#[tokio::test]
async fn a_killed_node_loses_no_answer() {
    let mut deployment = start_deployment(SHORT_DRAIN).await;
    let caller = deployment.start_chat().await;

    deployment.nodes[0]
        .process
        .kill()
        .expect("the node is killed");
    let partial = caller.read_to_end().await;
    assert!(!partial.is_done);
    let answer = deployment.finish_at(1, partial).await;

    assert_complete(&answer);
}

#[rstest]
#[case::holder_first(1, 0)]
#[case::other_first(2, 0)]
#[tokio::test]
async fn two_nodes_killed_one_after_another_lose_no_answer(
    #[case] first: usize,
    #[case] second: usize,
) {
    let mut deployment = start_deployment(SHORT_DRAIN).await;
    let mut caller = deployment.start_chat().await;

    deployment.nodes[first]
        .process
        .kill()
        .expect("a node is killed");
    // The owner detects the loss of the holder when a message to it fails or through the
    // membership.
    assert!(caller.read(100).await);
    deployment.nodes[second]
        .process
        .kill()
        .expect("a node is killed");
    let partial = caller.read_to_end().await;
    let survivor = 3 - first - second;
    let answer = deployment.finish_at(survivor, partial).await;

    assert_complete(&answer);
}

#[tokio::test]
async fn a_short_drain_moves_streams_to_another_node() {
    let mut deployment = start_deployment(SHORT_DRAIN).await;
    let caller = deployment.start_chat().await;

    deployment.nodes[0]
        .process
        .terminate()
        .expect("the signal is sent");
    let partial = caller.read_to_end().await;

    let (name, data) = partial
        .named
        .clone()
        .expect("the node sends an event with the path to resume");
    assert_eq!(name, "moved");
    assert!(data.contains(&partial.request));
    assert_complete(&deployment.finish_at(1, partial).await);
    let status = deployment.nodes[0].process.wait(Duration::from_secs(20));
    assert!(
        status
            .expect("the node is waited for")
            .is_some_and(|status| status.success())
    );
}

#[tokio::test]
async fn a_non_streaming_caller_is_redirected_to_another_node() {
    let mut deployment = start_deployment(SHORT_DRAIN).await;
    let client = deployment.nodes[0].client();
    let call = tokio::spawn(async move {
        let body = chat_body(MESSAGE, false);
        let headers = support::cluster::bearer(CREW_KEY);
        client
            .call(Method::POST, "/v1/chat/completions", headers, body)
            .await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;

    deployment.nodes[0]
        .process
        .terminate()
        .expect("the signal is sent");
    let reply = call.await.expect("the caller runs").expect("an answer");
    assert_eq!(reply.status, StatusCode::SEE_OTHER);
    let location = reply.headers["location"]
        .to_str()
        .expect("a text")
        .to_owned();
    let rest = deployment.nodes[1]
        .call(Method::GET, &location, CREW_KEY, "")
        .await;

    let json: Value = serde_json::from_slice(&rest.expect("an answer").body).expect("JSON");
    assert_eq!(
        json["choices"][0]["message"]["content"],
        expected_text(MESSAGE)
    );
}

#[rstest]
#[case::one_upstream(json!({ "vm": "e-a", "remaining_ms": 1500 }))]
#[case::a_whole_zone(json!({ "zone": "a", "remaining_ms": 1500 }))]
#[tokio::test]
async fn a_reclaim_notice_for_upstreams_loses_no_answer(#[case] what: Value) {
    let mut deployment = start_deployment(SHORT_DRAIN).await;
    let callers = join_all((0..6).map(|_| deployment.start_chat())).await;

    deployment.reclaim(what).await;
    let reading = callers
        .into_iter()
        .map(|caller| tokio::spawn(caller.read_to_end()));
    let reading: Vec<_> = reading.collect();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    deployment.engines[0].kill().expect("the engine is killed");

    for answer in join_all(reading).await {
        assert_complete(&answer.expect("the caller reads"));
    }
}

#[tokio::test]
async fn a_reclaim_notice_for_the_vm_of_a_node_moves_all_streams() {
    let mut deployment =
        start_deployment(r#"{ "balancer_pause_ms": 50, "limit_ms": 60000 }"#).await;
    let entry = json!({ "zone": "a", "incarnation": 1 });
    deployment
        .control(Method::PUT, "/control/entry-vms/n-a", entry)
        .await;
    let callers = join_all((0..4).map(|_| deployment.start_chat())).await;

    deployment
        .reclaim(json!({ "vm": "n-a", "remaining_ms": 3000 }))
        .await;
    let reading = callers.into_iter().map(ChatCaller::read_to_end);
    let partial = join_all(reading).await;

    for answer in partial {
        let answer = match answer.is_done {
            true => answer,
            false => deployment.finish_at(1, answer).await,
        };
        assert_complete(&answer);
    }
    let status = deployment.nodes[0].process.wait(Duration::from_secs(20));
    assert!(
        status
            .expect("waited")
            .is_some_and(|status| status.success())
    );
}

#[tokio::test]
async fn a_reclaimed_zone_of_nodes_and_upstreams_loses_no_answer() {
    let drain = r#"{ "balancer_pause_ms": 50, "limit_ms": 60000 }"#;
    let mut deployment = start_deployment(drain).await;
    let entry = json!({ "zone": "a", "incarnation": 1 });
    deployment
        .control(Method::PUT, "/control/entry-vms/n-a", entry)
        .await;
    let callers = join_all((0..4).map(|_| deployment.start_chat())).await;

    deployment
        .reclaim(json!({ "zone": "a", "remaining_ms": 3000 }))
        .await;
    let reading: Vec<_> = callers
        .into_iter()
        .map(|caller| tokio::spawn(caller.read_to_end()))
        .collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    deployment.engines[0].kill().expect("the engine is killed");
    deployment.nodes[0]
        .process
        .kill()
        .expect("the node is killed");

    for answer in join_all(reading).await {
        let answer = answer.expect("the caller reads");
        let answer = match answer.is_done {
            true => answer,
            false => deployment.finish_at(1, answer).await,
        };
        assert_complete(&answer);
    }
}

#[tokio::test]
async fn a_second_signal_ends_the_drain_with_a_failure_status() {
    let mut deployment = start_deployment(r#"{ "balancer_pause_ms": 0, "limit_ms": 60000 }"#).await;
    let caller = deployment.start_chat().await;

    deployment.nodes[0]
        .process
        .terminate()
        .expect("the signal is sent");
    wait_until("the node drains", || async {
        deployment.nodes[0].process.log().contains("node drains")
    })
    .await;
    deployment.nodes[0]
        .process
        .terminate()
        .expect("the signal is sent");

    let status = deployment.nodes[0].process.wait(Duration::from_secs(20));
    let status = status
        .expect("the node is waited for")
        .expect("the node ends");
    assert!(!status.success());
    let partial = caller.read_to_end().await;
    assert!(!partial.is_done);
    assert_complete(&deployment.finish_at(1, partial).await);
}

#[tokio::test]
async fn resuming_a_complete_answer_repeats_nothing() {
    let deployment = start_deployment(SHORT_DRAIN).await;
    let whole = deployment.start_chat().await.read_to_end().await;
    let last_event_id = whole.last_event_id;

    let again = deployment.finish_at(1, whole).await;

    assert_complete(&again);
    assert_eq!(again.last_event_id, last_event_id);
}

#[tokio::test]
async fn a_reclaim_during_an_outage_of_the_platform_loses_no_answer() {
    let mut deployment = start_deployment(SHORT_DRAIN).await;
    let caller = deployment.start_chat().await;

    deployment
        .platform
        .process
        .kill()
        .expect("the platform is killed");
    deployment.engines[0].kill().expect("an engine is killed");
    deployment.nodes[0]
        .process
        .kill()
        .expect("a node is killed");
    let partial = caller.read_to_end().await;
    let answer = deployment.finish_at(2, partial).await;

    assert_complete(&answer);
}

#[tokio::test]
async fn another_workspace_cannot_find_a_request() {
    let deployment = start_deployment(SHORT_DRAIN).await;
    let caller = deployment.start_chat().await;
    let other_answer = caller.answer.clone();

    let other_resume =
        ChatCaller::resume(deployment.nodes[1].callers, BARBER_KEY, other_answer).await;
    let unknown_answer = Answer {
        request: "0".repeat(32),
        ..Answer::default()
    };
    let unknown_resume =
        ChatCaller::resume(deployment.nodes[1].callers, BARBER_KEY, unknown_answer).await;

    assert_eq!(other_resume.err(), Some(StatusCode::NOT_FOUND));
    assert_eq!(unknown_resume.err(), Some(StatusCode::NOT_FOUND));
    assert_complete(&caller.read_to_end().await);
}

#[tokio::test]
async fn a_rolling_stop_under_load_interrupts_no_answer() {
    let mut deployment =
        start_deployment(r#"{ "balancer_pause_ms": 50, "limit_ms": 20000 }"#).await;
    for node in 0..2 {
        let callers = (0..4).map(|_| async {
            let caller = ChatCaller::start(deployment.nodes[node].callers, CREW_KEY, MESSAGE).await;
            caller.expect("the chat is accepted")
        });
        let callers = join_all(callers).await;
        let reading: Vec<_> = callers
            .into_iter()
            .map(|caller| tokio::spawn(caller.read_to_end()))
            .collect();

        deployment.nodes[node]
            .process
            .terminate()
            .expect("the signal is sent");

        for answer in join_all(reading).await {
            assert_complete(&answer.expect("the caller reads"));
        }
        let status = deployment.nodes[node].process.wait(Duration::from_secs(20));
        assert!(
            status
                .expect("waited")
                .is_some_and(|status| status.success())
        );
    }
    wait_until("the last node serves", || async {
        ChatCaller::start(deployment.nodes[2].callers, CREW_KEY, MESSAGE)
            .await
            .is_ok()
    })
    .await;
}
