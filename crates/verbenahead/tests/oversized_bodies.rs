//! Crowds of clients whose bodies are far over the limit, at each listener of a relaying node. The process lives, its
//! memory stays within its limit, unread bytes included, and an ordinary request is answered afterwards.

mod crowd_support;
mod relay_support;

use std::{net::SocketAddr, time::Duration};

use crowd_support::{
    Body, Crowd, FAR_OVER, GIB, MAX_BODY, MIB, STOPPED_TIME, Sampler, check_usage, http_head,
    queued_crowd, send_whole,
};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use relay_support::{
    Deployment, HOST, KEY, RelayProcess, configuration, eventually, settings, start_deployment,
    start_node,
};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};

const OK: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::from_millis(2));

const MEMORY_MIB: u64 = 64;
const DESCRIPTORS: u64 = 700;

/// `Door` is a listener of a node, and what is asked there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Door {
    /// Callers, a route with a known key.
    Route,
    /// Callers, a route with an unknown key.
    UnknownKey,
    /// Callers, a path without a route.
    NoRoute,
    /// Other nodes, a request for a known replica.
    Peers,
    /// Other nodes, a request without the headers of a node.
    PeersInvalid,
    /// The balancer.
    Readiness,
    /// Readers of the metrics.
    Metrics,
}

impl Door {
    /// Returns the head of a request up to the fields of its body.
    fn head(self) -> String {
        let (path, key) = match self {
            Self::Route | Self::Peers | Self::PeersInvalid => ("/look/1", KEY),
            Self::UnknownKey => ("/look/1", "guess"),
            Self::NoRoute => ("/none", KEY),
            Self::Readiness => ("/readiness", KEY),
            Self::Metrics => ("/metrics", KEY),
        };
        let forward = match self {
            Self::Peers => {
                "verbenahead-replica: i-0\r\nverbenahead-incarnation: 1772997287021\r\n\
                 verbenahead-limit-ms: 20000\r\nverbenahead-forward: pooled\r\n"
            }
            _ => "",
        };
        format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: crowd\r\ndeadline-ms: 20000\r\n\
             authorization: Bearer {key}\r\n{forward}"
        )
    }
}

/// A relaying node with little memory, and a second one that it knows.
struct SmallNode {
    deployment: Deployment,
    node: RelayProcess,
    _other: RelayProcess,
    peers: SocketAddr,
}

impl SmallNode {
    async fn start() -> Self {
        let deployment = start_deployment(2, OK).await;
        let mut config = configuration(5);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["timeout_ms"] = json!(20_000);
        }
        deployment.platform.put("op", "config", &config);
        let text = settings("n1", "east", deployment.platform.address());
        let mut small: Value = serde_json::from_str(&text).expect("settings are JSON");
        small["limits"] = json!({"memory_mib": MEMORY_MIB, "descriptors": DESCRIPTORS});
        let node = start_node(&small.to_string());
        let other = deployment.start_node("n2").await;
        node.wait_ready().await;
        eventually("the node knows the other one", async || {
            let metrics = node.metrics().await;
            metrics.contains("verbenahead_relay_nodes{state=\"known\"} 2")
        })
        .await;
        let started = node.lines().swap_remove(0);
        let peers = started["peers"].as_str().expect("an address");
        let peers = peers.parse().expect("an address");
        let small = Self {
            deployment,
            node,
            _other: other,
            peers,
        };
        small.check_ordinary_call("before").await;
        small
    }

    fn address(&self, door: Door) -> SocketAddr {
        match door {
            Door::Route | Door::UnknownKey | Door::NoRoute => self.node.callers,
            Door::Peers | Door::PeersInvalid => self.peers,
            Door::Readiness => self.node.readiness,
            Door::Metrics => self.node.metrics,
        }
    }

    fn sampler(&self) -> Sampler {
        let node = &self.node;
        let addresses = [node.callers, node.readiness, node.metrics, self.peers];
        Sampler::start(node.id(), addresses.map(|address| address.port()).into())
    }

    /// Checks that a call is served and that the node says it is ready.
    async fn check_ordinary_call(&self, id: &str) {
        let mut calls = 0;
        eventually("an ordinary call is served", async || {
            calls += 1;
            let id = format!("{id}-{calls}");
            let answer = self.node.ask(Method::POST, "/look/1", &id).await;
            answer.is_some_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
        eventually("the node is ready", async || self.node.is_ready().await).await;
    }
}

// Guards against bodies that take the memory of a machine: buffers that grow and leave holes, and bytes that the kernel
// keeps for connections.
#[rstest]
#[case::route_chunks(Door::Route, Body::Chunks(4_000), 200, 4)]
#[case::route_large_chunks(Door::Route, Body::Chunks(MIB), 200, 4)]
#[case::route_small_chunks(Door::Route, Body::Chunks(1), 200, 1)]
#[case::route_announced(Door::Route, Body::Announced(GIB), 200, 4)]
#[case::route_unasked(Door::Route, Body::AnnouncedUnasked(GIB), 200, 4)]
#[case::no_route_chunks(Door::NoRoute, Body::Chunks(4_000), 200, 4)]
#[case::no_route_announced(Door::NoRoute, Body::Announced(GIB), 200, 4)]
#[case::unknown_key_chunks(Door::UnknownKey, Body::Chunks(4_000), 200, 4)]
#[case::peers_chunks(Door::Peers, Body::Chunks(4_000), 200, 4)]
#[case::peers_announced(Door::Peers, Body::Announced(GIB), 200, 4)]
#[case::peers_invalid(Door::PeersInvalid, Body::Chunks(4_000), 200, 4)]
#[case::readiness_chunks(Door::Readiness, Body::Chunks(4_000), 200, 4)]
#[case::readiness_announced(Door::Readiness, Body::Announced(GIB), 200, 4)]
#[case::metrics_chunks(Door::Metrics, Body::Chunks(4_000), 200, 4)]
#[case::metrics_announced(Door::Metrics, Body::Announced(GIB), 200, 4)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_leave_a_relaying_node_alone(
    #[case] door: Door,
    #[case] body: Body,
    #[case] clients: usize,
    #[case] bodies: usize,
) {
    let small = SmallNode::start().await;
    let crowd = Crowd {
        clients,
        bodies,
        head: http_head(&door.head(), body),
        body,
        size: FAR_OVER,
    };
    let sampler = small.sampler();

    crowd.send(small.address(door)).await;

    let used = sampler.stop();
    small.check_ordinary_call("after").await;
    check_usage(&format!("{door:?} {body:?}"), used, MEMORY_MIB, DESCRIPTORS);
    drop(small.deployment);
}

// Guards against connections that nobody has accepted yet, whose bytes the kernel keeps for the process. They queue
// while it does not run.
#[rstest]
#[case::route(Door::Route)]
#[case::peers(Door::Peers)]
#[case::readiness(Door::Readiness)]
#[case::metrics(Door::Metrics)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_wait_for_a_relaying_node_stay_within_its_memory(#[case] door: Door) {
    let small = SmallNode::start().await;
    let crowd = queued_crowd(
        http_head(&door.head(), Body::Announced(GIB)),
        Body::Announced(GIB),
    );
    let sampler = small.sampler();
    small.node.signal(Signal::SIGSTOP);

    let sent = tokio::spawn(crowd.send(small.address(door)));
    sleep(STOPPED_TIME).await;
    small.node.signal(Signal::SIGCONT);
    sent.await.expect("a crowd does not fail");

    let used = sampler.stop();
    small.check_ordinary_call("after").await;
    check_usage(&format!("{door:?} queued"), used, MEMORY_MIB, DESCRIPTORS);
}

// Guards against a limit that refuses a body that it allows, and against a refusal that is not told.
#[rstest]
#[case::announced(Body::Announced(MAX_BODY as u64), MAX_BODY, "HTTP/1.1 200 OK")]
#[case::chunks(Body::Chunks(4_000), MAX_BODY, "HTTP/1.1 200 OK")]
#[case::one_chunk(Body::Chunks(MAX_BODY), MAX_BODY, "HTTP/1.1 200 OK")]
#[case::announced_over(Body::Announced(MAX_BODY as u64 + 1), MAX_BODY + 1, "HTTP/1.1 413 Payload Too Large")]
#[case::chunks_over(Body::Chunks(4_000), MAX_BODY + 1, "HTTP/1.1 413 Payload Too Large")]
#[tokio::test]
async fn a_body_of_the_limit_is_served_by_a_relaying_node(
    #[case] body: Body,
    #[case] size: usize,
    #[case] expected: &str,
) {
    let small = SmallNode::start().await;

    let answer = send_whole(small.node.callers, &Door::Route.head(), body, size).await;

    assert_eq!(answer, expected);
    let runs = small
        .deployment
        .replicas
        .iter()
        .flat_map(UsersReplica::runs);
    let lengths: Vec<_> = runs
        .filter(|r| r.id == "crowd")
        .map(|r| r.body.len())
        .collect();
    match expected.contains("200") {
        true => assert_eq!(lengths, [size]),
        false => assert!(lengths.is_empty()),
    }
}
