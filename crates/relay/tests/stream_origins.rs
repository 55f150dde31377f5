//! Tests of the knowledge of many nodes at which software version streams began, under loss, delay and
//! failures of nodes.

mod network_support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use network_support::{Condition, Link, Network, address, full_roster, node_id, service};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use verbenahead_core::WorkspaceId;
use verbenahead_membership::{NameKey, OriginMessage, StreamKey, StreamOrigin};
use verbenahead_relay::{
    OpenStream, OriginTransport, StreamOrigins, StreamOriginsOptions,
    dialect::CallerRequestId,
    stream_origins::{NotRead, Origin, stream_key},
};

const STREAMS: u64 = 200;

/// Time from the start of a stream until its caller takes it up.
const DELAY: Duration = Duration::from_millis(400);

struct Deployment {
    nodes: Vec<Arc<StreamOrigins>>,
    network: Arc<Network<OriginMessage>>,
}

impl OriginTransport for Link<OriginMessage> {
    fn send(&self, to: &[SocketAddr], message: &OriginMessage) {
        for address in to {
            self.carry(*address, message.clone());
        }
    }
}

fn start(count: usize, seed: u64) -> Deployment {
    let network = Network::new(count, seed);
    let mut nodes = Vec::new();
    for n in 0..count {
        let link = Link {
            from: n,
            network: Arc::clone(&network),
        };
        let origins = Arc::new(StreamOrigins::new(
            StreamOriginsOptions::default(),
            node_id(n),
            full_roster(n, count),
            Arc::new(link),
        ));
        let receiver = Arc::downgrade(&origins);
        network.add_receiver(Arc::new(move |message, from| {
            if let Some(origins) = receiver.upgrade() {
                origins.handle(message, from);
            }
        }));
        nodes.push(origins);
    }
    Deployment { nodes, network }
}

fn open(stream: u64, version: NameKey) -> OpenStream {
    OpenStream {
        stream: StreamKey(stream),
        version,
        service: service(),
        period: Duration::from_secs(20),
    }
}

fn version_of(stream: u64) -> NameKey {
    NameKey(7 + (stream % 3) as u32)
}

/// Begins streams through the first nodes, ends `dead` of these, and takes the streams up at the others.
/// Returns the number of streams whose version was found.
async fn take_up(deployment: &Deployment, dead: usize, seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    for stream in 0..STREAMS {
        let node = rng.random_range(0..dead);
        deployment.nodes[node].record(open(stream, version_of(stream)));
    }
    sleep(DELAY).await;
    for node in 0..dead {
        deployment.network.set_condition(node, Condition::Dead);
    }
    let mut found = 0;
    for stream in 0..STREAMS {
        let node = rng.random_range(dead..deployment.nodes.len());
        let version = deployment.nodes[node].find(StreamKey(stream)).await;
        assert!(version.is_none_or(|version| version == version_of(stream)));
        found += usize::from(version.is_some());
    }
    found
}

#[rstest]
#[case::calm(0.0, 3, 200)]
#[case::loss(0.03, 3, 190)]
#[case::much_loss(0.3, 3, 100)]
#[case::delay(0.0, 40, 200)]
#[tokio::test(start_paused = true)]
async fn the_version_of_a_stream_outlives_its_node(
    #[case] loss: f64,
    #[case] delay_ms: u64,
    #[case] min_found: usize,
    #[values(3, 19, 127, 330)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = start(nodes, seed);
    deployment.network.set_loss(loss);
    deployment
        .network
        .set_delay(Duration::from_millis(delay_ms));

    let found = take_up(&deployment, 1, seed).await;

    assert!(found >= min_found, "{found} of {STREAMS}");
}

/// Failure pattern: a third of the nodes end at the same moment. Half of the streams must go on.
#[rstest]
#[tokio::test(start_paused = true)]
async fn most_versions_outlive_a_third_of_the_nodes(
    #[values(12, 19, 127, 330)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = start(nodes, seed);

    let found = take_up(&deployment, nodes / 3, seed).await;

    assert!(found >= 160, "{found} of {STREAMS}");
}

// Guards against a node that is cut off from the others and takes their silence for an answer.
#[rstest]
#[case::alone(1, 0, Origin::Unknown)]
#[case::all_answer(6, 0, Origin::Unknown)]
#[case::some_answer(6, 3, Origin::Unknown)]
#[case::none_answers(6, 5, Origin::Unanswered)]
#[tokio::test(start_paused = true)]
async fn silence_is_not_taken_for_an_unknown_stream(
    #[case] nodes: usize,
    #[case] silent: usize,
    #[case] expected: Origin,
) {
    let deployment = start(nodes, 1);
    for node in nodes - silent..nodes {
        deployment.network.set_condition(node, Condition::Dead);
    }

    let origin = deployment.nodes[0].ask(StreamKey(1)).await;

    assert_eq!(origin, expected);
}

#[tokio::test(start_paused = true)]
async fn an_unknown_stream_is_found_unknown_in_time() {
    let deployment = start(19, 1);
    let started = Instant::now();

    let version = deployment.nodes[3].find(StreamKey(5)).await;

    assert_eq!(version, None);
    assert!(started.elapsed() < Duration::from_millis(20));
    for node in 0..19 {
        deployment.network.set_condition(node, Condition::Dead);
    }
    deployment.network.set_condition(3, Condition::Running);
    let started = Instant::now();
    assert_eq!(deployment.nodes[3].find(StreamKey(5)).await, None);
    assert!(started.elapsed() <= Duration::from_millis(200));
}

#[tokio::test(start_paused = true)]
async fn a_late_record_does_not_change_the_version_of_a_stream() {
    let deployment = start(3, 1);
    deployment.nodes[0].record(open(1, NameKey(1)));
    sleep(DELAY).await;

    let late = OriginMessage::Began {
        stream: StreamKey(1),
        version: NameKey(2),
    };
    deployment.nodes[1].handle(late, address(0));

    assert_eq!(
        deployment.nodes[1].find(StreamKey(1)).await,
        Some(NameKey(1))
    );
}

/// Failure pattern: a caller whose stream no node knows comes again and again, each time waits for another read of
/// the table, and is never told that its stream is lost.
#[tokio::test(start_paused = true)]
async fn a_caller_that_comes_again_waits_for_the_same_read() {
    let deployment = start(3, 1);
    let node = &deployment.nodes[0];
    let stream = StreamKey(5);
    assert_eq!(node.find_saved(stream).await, Err(NotRead));
    let wanted = *node.reads_wanted().borrow();
    assert_eq!(node.find_saved(stream).await, Err(NotRead));

    node.set_read(wanted);

    assert_eq!(node.find_saved(stream).await, Ok(None));
    assert_eq!(node.find_saved(StreamKey(6)).await, Err(NotRead));
}

/// Failure pattern: a node that has read the table answers only its own callers.
#[tokio::test(start_paused = true)]
async fn a_node_answers_others_from_what_it_has_read() {
    let deployment = start(3, 1);
    let origin = StreamOrigin {
        stream: StreamKey(5),
        version: NameKey(7),
    };

    deployment.nodes[1].load([origin]);

    assert_eq!(
        deployment.nodes[0].find(StreamKey(5)).await,
        Some(NameKey(7))
    );
}

#[test]
fn a_caller_cannot_name_the_streams_of_other_workspaces() {
    let workspace = |name| WorkspaceId::try_new(name).expect("valid id");
    let id = CallerRequestId("a0".into());

    let key = stream_key(Some(&workspace("paving")), &id);

    assert_eq!(key, stream_key(Some(&workspace("paving")), &id));
    assert_ne!(key, stream_key(Some(&workspace("diggers")), &id));
    assert_ne!(key, stream_key(None, &id));
}
