//! Failure pattern: a sound replica is silent for about a second and goes on.

mod support;

use std::{sync::Arc, time::Duration};

use http::Method;
use rstest::rstest;
use support::{Fixture, peer_paths_of_one_node, record, request, start_node, start_replicas};
use tokio::time::{Instant, sleep};
use verbenahead_relay::{RelayOptions, UpstreamRegistry};
use verbenahead_services::ReplicaState;
use verbenahead_standins::{
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
    users::{ReplicaBehaviour, UsersReplica},
};

/// Starts a relay that reaches each replica over a link.
async fn start_linked(behaviour: ReplicaBehaviour) -> (Fixture, Vec<Link>) {
    let replicas = start_replicas(2, behaviour).await;
    let registry = Arc::new(UpstreamRegistry::default());
    let mut links = Vec::new();
    for (n, replica) in replicas.iter().enumerate() {
        let link = Link::start(LinkOptions::new(replica.address())).await;
        let link = link.expect("a free port");
        registry.apply(&record(
            &format!("i-{n}"),
            link.address(),
            ReplicaState::Ready,
        ));
        links.push(link);
    }
    let paths = peer_paths_of_one_node();
    let fixture = start_node(registry, replicas, paths, RelayOptions::default()).await;
    (fixture, links)
}

async fn wait_for_run(replicas: &[UsersReplica]) {
    let end = Instant::now() + Duration::from_secs(5);
    while replicas.iter().all(|replica| replica.runs().is_empty()) {
        assert!(Instant::now() < end, "no run in time");
        sleep(Duration::from_millis(5)).await;
    }
}

// Guards against streams that are begun anew elsewhere, all at once, when a replica pauses.
#[rstest]
#[case::resumable("notes")]
#[case::run_once("draft")]
#[tokio::test]
async fn a_stream_stays_at_a_replica_that_is_silent_for_a_second(#[case] route: &str) {
    let (fixture, links) =
        start_linked(ReplicaBehaviour::Stream(40, Duration::from_millis(25))).await;
    let call = fixture.call(request(Method::POST, &format!("/{route}/1"), "r1"));
    let silence = async {
        wait_for_run(&fixture.replicas).await;
        sleep(Duration::from_millis(200)).await;
        for link in &links {
            link.set(LinkChange {
                delay_ms: Some(1_100),
                ..LinkChange::default()
            });
        }
    };

    let (response, ()) = tokio::join!(call, silence);

    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=40).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn a_stream_leaves_a_replica_that_is_gone_at_once() {
    let (fixture, links) =
        start_linked(ReplicaBehaviour::Stream(40, Duration::from_millis(25))).await;
    let call = fixture.call(request(Method::POST, "/notes/1", "r1"));
    let end = async {
        wait_for_run(&fixture.replicas).await;
        sleep(Duration::from_millis(200)).await;
        let used = fixture.replicas.iter().position(|r| !r.runs().is_empty());
        links[used.expect("a run")].set(LinkChange {
            mode: LinkMode::Silent,
            new_connections: NewConnections::Refused,
            delay_ms: None,
        });
        Instant::now()
    };

    let (response, ended_at) = tokio::join!(call, end);

    let runs = fixture.replicas.iter().flat_map(UsersReplica::runs);
    let last = runs.map(|run| run.at).max().expect("runs");
    assert!(response.is_complete);
    assert!(last.duration_since(ended_at) < Duration::from_millis(600));
}
