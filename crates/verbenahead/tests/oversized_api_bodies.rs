//! Crowds of clients whose bodies are far over the limit, at each listener of a node that serves by manifests. The process
//! lives, its memory stays within its limit, unread bytes included, and an ordinary request is answered afterwards.

mod crowd_support;
mod relay_support;
mod support;

use std::net::SocketAddr;

use crowd_support::{
    Body, Crowd, FAR_OVER, GIB, MAX_BODY, STOPPED_TIME, Sampler, check_usage, grpc_head, http_head,
    queued_crowd, send_whole,
};
use relay_support::eventually;
use rstest::rstest;
use serde_json::json;
use support::{
    chat::{ChatCaller, expected_text},
    cluster::{
        BARBER_KEY, CREW_KEY, MANIFEST, NodeProcess, OPERATOR_KEY, PlatformProcess, start_platform,
    },
};
use tokio::time::sleep;
use verbenahead_standins::process::Process;

/// Bytes that a client of HTTP/2 may send before the node has read any.
const WINDOW: usize = 1_000_000;

/// Memory and connections of a node that serves by manifests.
const API_MEMORY_MIB: u64 = 112;
const API_CONNECTIONS: u64 = 320;

/// Descriptors of its connections to three listeners, and 128 of files, the platform and upstreams.
const API_DESCRIPTORS: u64 = 3 * API_CONNECTIONS + 128;

/// A body of a tenth of the limit, which costs far more when each chunk is kept by itself.
const MANY_CHUNKS: usize = 400_000;

/// `ApiDoor` is a listener of a node that serves by manifests, and what is asked there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ApiDoor {
    /// Callers, a chat with a known key.
    Chat,
    /// Callers, a call of a plain service with a known key.
    Booking,
    /// Callers, a chat with an unknown key.
    UnknownKey,
    /// Operators, a publication.
    Publication,
    /// Operators, a publication with an unknown key.
    UnknownOperator,
    /// Operators, the readiness check.
    Readiness,
    /// Operators, the metrics.
    Metrics,
    /// Other nodes.
    Peers,
}

impl ApiDoor {
    /// Returns the head of a request up to the fields of its body.
    fn head(self) -> String {
        let (line, key) = match self {
            Self::Chat => ("POST /v1/chat/completions", CREW_KEY),
            Self::Booking => ("POST /v1/services/booking/bookings", CREW_KEY),
            Self::UnknownKey => ("POST /v1/chat/completions", "guess"),
            Self::Publication => ("PUT /v1/manifest", OPERATOR_KEY),
            Self::UnknownOperator => ("PUT /v1/manifest", "guess"),
            Self::Readiness => ("GET /readyz", "guess"),
            Self::Metrics => ("GET /metrics", OPERATOR_KEY),
            Self::Peers => ("POST /", "guess"),
        };
        format!(
            "{line} HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {key}\r\nidempotency-key: crowd\r\n\
             if-match: \"7\"\r\n"
        )
    }
}

impl ApiDoor {
    /// Returns the whole head of a request.
    fn request_head(self, body: Body) -> Vec<u8> {
        match body {
            Body::Message(length) => grpc_head("/verbenahead.peer.v1.Peer/PushNews", length),
            _ => http_head(&self.head(), body),
        }
    }
}

/// A node that serves by manifests, with little memory.
struct ApiNode {
    _platform: PlatformProcess,
    _engine: Process,
    node: NodeProcess,
}

impl ApiNode {
    async fn start() -> Self {
        let platform = start_platform(&[]);
        let engine = platform.start_engine("e1", "a", &["--token-ms", "0"]);
        platform.publish(MANIFEST, 0).await;
        let limits =
            json!({"memory_mib": API_MEMORY_MIB, "max_connections": API_CONNECTIONS}).to_string();
        let node = platform.start_node_with_limits("n1", "a", &limits);
        node.wait_ready().await;
        let small = Self {
            _platform: platform,
            _engine: engine,
            node,
        };
        small.check_ordinary_call().await;
        small
    }

    fn address(&self, door: ApiDoor) -> SocketAddr {
        match door {
            ApiDoor::Chat | ApiDoor::Booking | ApiDoor::UnknownKey => self.node.callers,
            ApiDoor::Peers => self.peers(),
            _ => self.node.operators,
        }
    }

    fn peers(&self) -> SocketAddr {
        let process = &self.node.process;
        process.address_of("peers").expect("an address")
    }

    fn sampler(&self) -> Sampler {
        let addresses = [self.node.callers, self.node.operators, self.peers()];
        let ports = addresses.map(|address| address.port());
        Sampler::start(self.node.process.id(), ports.into())
    }

    /// Checks that a chat is served and that the node is ready.
    async fn check_ordinary_call(&self) {
        eventually("an ordinary chat is served", async || {
            let caller = ChatCaller::start(self.node.callers, BARBER_KEY, "honest [n=5]").await;
            match caller {
                Ok(caller) => caller.read_to_end().await.text == expected_text("honest [n=5]"),
                Err(_) => false,
            }
        })
        .await;
        self.node.wait_ready().await;
    }
}

// Guards against bodies that are collected without a bound over all connections, and against chunks that each cost
// more than they carry.
#[rstest]
#[case::chat_chunks(ApiDoor::Chat, Body::Chunks(4_000), 300, FAR_OVER)]
#[case::chat_small_chunks(ApiDoor::Chat, Body::Chunks(1), 60, MANY_CHUNKS)]
#[case::chat_announced(ApiDoor::Chat, Body::Announced(GIB), 300, FAR_OVER)]
#[case::chat_unasked(ApiDoor::Chat, Body::AnnouncedUnasked(GIB), 300, FAR_OVER)]
#[case::booking_chunks(ApiDoor::Booking, Body::Chunks(4_000), 300, FAR_OVER)]
#[case::unknown_key_chunks(ApiDoor::UnknownKey, Body::Chunks(4_000), 300, FAR_OVER)]
#[case::publication_chunks(ApiDoor::Publication, Body::Chunks(4_000), 60, FAR_OVER)]
#[case::publication_small_chunks(ApiDoor::Publication, Body::Chunks(1), 60, MANY_CHUNKS)]
#[case::publication_announced(ApiDoor::Publication, Body::Announced(GIB), 60, FAR_OVER)]
#[case::unknown_operator_chunks(ApiDoor::UnknownOperator, Body::Chunks(4_000), 300, FAR_OVER)]
#[case::readiness_chunks(ApiDoor::Readiness, Body::Chunks(4_000), 300, FAR_OVER)]
#[case::metrics_announced(ApiDoor::Metrics, Body::Announced(GIB), 300, FAR_OVER)]
#[case::peers_announced(ApiDoor::Peers, Body::Message(GIB as u32), 300, FAR_OVER)]
#[case::peers_stop_short(ApiDoor::Peers, Body::Message(MAX_BODY as u32), 300, WINDOW)]
#[case::peers_chunks(ApiDoor::Peers, Body::Chunks(4_000), 300, FAR_OVER)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_far_over_the_limit_leave_a_node_of_manifests_alone(
    #[case] door: ApiDoor,
    #[case] body: Body,
    #[case] clients: usize,
    #[case] size: usize,
) {
    let small = ApiNode::start().await;
    let crowd = Crowd {
        clients,
        bodies: 1,
        head: door.request_head(body),
        body,
        size,
    };
    let sampler = small.sampler();

    crowd.send(small.address(door)).await;

    let used = sampler.stop();
    small.check_ordinary_call().await;
    check_usage(
        &format!("{door:?} {body:?}"),
        used,
        API_MEMORY_MIB,
        API_DESCRIPTORS,
    );
}

// Guards against connections that nobody has accepted yet, whose bytes the kernel keeps for the process. They queue
// while it does not run.
#[rstest]
#[case::chat(ApiDoor::Chat, Body::Announced(GIB))]
#[case::readiness(ApiDoor::Readiness, Body::Announced(GIB))]
#[case::peers(ApiDoor::Peers, Body::Message(GIB as u32))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_wait_for_a_node_of_manifests_stay_within_its_memory(
    #[case] door: ApiDoor,
    #[case] body: Body,
) {
    let mut small = ApiNode::start().await;
    let crowd = queued_crowd(door.request_head(body), body);
    let sampler = small.sampler();
    small.node.process.freeze().expect("the node stops");

    let sent = tokio::spawn(crowd.send(small.address(door)));
    sleep(STOPPED_TIME).await;
    small.node.process.unfreeze().expect("the node continues");
    sent.await.expect("a crowd does not fail");

    let used = sampler.stop();
    small.check_ordinary_call().await;
    check_usage(
        &format!("{door:?} queued"),
        used,
        API_MEMORY_MIB,
        API_DESCRIPTORS,
    );
}

// Guards against a limit that refuses a body that it allows, and against a refusal that is not told.
#[rstest]
#[case::announced(Body::Announced(MAX_BODY as u64), MAX_BODY, "HTTP/1.1 400 Bad Request")]
#[case::chunks(Body::Chunks(4_000), MAX_BODY, "HTTP/1.1 400 Bad Request")]
#[case::announced_over(Body::Announced(GIB), MAX_BODY + 1, "HTTP/1.1 413 Payload Too Large")]
#[case::chunks_over(Body::Chunks(4_000), MAX_BODY + 1, "HTTP/1.1 413 Payload Too Large")]
#[tokio::test]
async fn a_body_of_the_limit_is_read_by_a_node_of_manifests(
    #[case] body: Body,
    #[case] size: usize,
    #[case] expected: &str,
) {
    let small = ApiNode::start().await;

    // The body is no JSON, which shows only once it has been read.
    let answer = send_whole(small.node.callers, &ApiDoor::Chat.head(), body, size).await;

    assert_eq!(answer, expected);
}
