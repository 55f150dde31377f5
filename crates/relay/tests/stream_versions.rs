//! Tests of streams while replicas of several software versions serve, on one node.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use support::{
    CallResponse, Fixture, peer_paths_of_one_node, record, request, service, start,
    start_node_unread, start_replicas,
};
use tokio::time::{Instant, sleep, timeout};
use verbenahead_core::{Incarnation, time::UnixMillis};
use verbenahead_membership::NameKey;
use verbenahead_relay::{RelayOptions, ServedVersion, UpstreamRegistry};
use verbenahead_services::{ReplicaRecord, ReplicaState};
use verbenahead_standins::users::ReplicaBehaviour;

fn long_stream() -> ReplicaBehaviour {
    ReplicaBehaviour::Stream(60, Duration::from_millis(10))
}

fn leaving_in(millis: u64) -> ReplicaState {
    ReplicaState::Leaving {
        remaining: Some(Duration::from_millis(millis)),
    }
}

/// Returns the registration of a replica whose software has this version.
fn versioned(id: &str, address: SocketAddr, version: &str) -> ReplicaRecord {
    ReplicaRecord {
        software: version.into(),
        ..record(id, address, ReplicaState::Ready)
    }
}

/// Starts a node with one replica of each of the versions.
async fn start_versions(versions: &[&str], behaviour: ReplicaBehaviour) -> Fixture {
    let fixture = start(versions.len(), behaviour).await;
    for (n, version) in versions.iter().enumerate() {
        let (id, address) = (format!("i-{n}"), fixture.replicas[n].address());
        let id_of_other = record(&id, address, ReplicaState::Ready).id;
        fixture.registry.remove(&id_of_other);
        let again = ReplicaRecord {
            incarnation: Incarnation(2),
            ..versioned(&id, address, version)
        };
        fixture.registry.apply(&again);
    }
    // The replicas of the fixture had another version.
    sleep(Duration::from_millis(20)).await;
    fixture
}

/// Marks a replica as leaving.
fn leave(fixture: &Fixture, replica: usize, version: &str, state: ReplicaState) {
    let address = fixture.replicas[replica].address();
    fixture.registry.apply(&ReplicaRecord {
        incarnation: Incarnation(2),
        state,
        ..versioned(&format!("i-{replica}"), address, version)
    });
}

/// Returns the only replica that runs a request.
fn running(fixture: &Fixture) -> usize {
    let mut replicas = fixture.replicas.iter();
    let first = replicas.position(|replica| !replica.runs().is_empty());
    first.expect("a run")
}

/// Returns a request that takes a stream up after an event.
fn take_up(id: &str, began: &str, last_event: u64) -> Request<Full<Bytes>> {
    let mut req = request(Method::POST, "/notes/1", id);
    let began = HeaderValue::from_str(began).expect("valid header");
    req.headers_mut().insert("resumes", began);
    req.headers_mut()
        .insert("last-event-id", HeaderValue::from(last_event));
    req
}

/// Begins a stream, reads its first part and closes the connection.
async fn begin(fixture: &Fixture, id: &str) {
    let opened = fixture.open(request(Method::POST, "/notes/1", id)).await;
    let mut body = opened.expect("an answer").into_body();
    body.frame().await.expect("a part").expect("its bytes");
}

#[tokio::test]
async fn a_stream_that_is_taken_up_goes_on_at_its_version() {
    let versions = ["v1", "v2", "v2", "v2"];
    for first in 0..8 {
        let fixture = start_versions(&versions, long_stream()).await;
        begin(&fixture, "r1").await;
        let began_at = running(&fixture);

        let response = fixture.call(take_up("r2", "r1", 1)).await;

        assert_eq!(response.status, StatusCode::OK, "{first}");
        let replicas = fixture.replicas.iter().enumerate();
        let at = |id: &str| {
            let ran = replicas
                .clone()
                .find(|(_, r)| r.runs().iter().any(|run| run.id == id));
            versions[ran.expect("a run").0]
        };
        assert_eq!(at("r2"), versions[began_at]);
    }
}

#[rstest]
#[case::not_known("another")]
#[case::not_named("")]
#[tokio::test]
async fn a_stream_of_unknown_origin_is_refused_while_several_versions_serve(#[case] began: &str) {
    let fixture = start_versions(&["v1", "v2"], long_stream()).await;
    let started = Instant::now();

    let response = fixture.call(take_up("r2", began, 1)).await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.retry_after(), None);
    assert!(response.text().contains("origin_unknown"));
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(fixture.run_ids().is_empty());
}

#[tokio::test]
async fn a_stream_of_unknown_origin_goes_on_while_all_replicas_have_one_version() {
    let fixture = start(2, long_stream()).await;

    let response = fixture.call(take_up("r2", "another", 4)).await;

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.event_ids().first(), Some(&5));
}

#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let fixture = start_versions(&["v1"], long_stream()).await;
    begin(&fixture, "r1").await;
    let address = fixture.replicas[0].address();
    fixture.registry.apply(&versioned("i-9", address, "v2"));
    leave(&fixture, 0, "v1", leaving_in(5_000));

    let response = fixture.call(take_up("r2", "r1", 1)).await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.text().contains("version_gone"));
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn requests_that_take_no_stream_up_go_to_any_version() {
    let fixture = start_versions(&["v1", "v2"], ReplicaBehaviour::Stream(2, Duration::ZERO)).await;

    for n in 0..30 {
        fixture
            .call(request(Method::POST, "/notes/1", &format!("r{n}")))
            .await;
    }

    assert!(fixture.replicas.iter().all(|r| !r.runs().is_empty()));
}

/// Failure pattern: the last replicas of a version leave while they serve streams.
#[tokio::test]
async fn a_stream_stays_at_the_last_replica_of_its_version() {
    let fixture = start_versions(&["v1", "v2"], long_stream()).await;
    let opened = fixture.open(request(Method::POST, "/notes/1", "r1")).await;
    let first = running(&fixture);
    leave(&fixture, first, ["v1", "v2"][first], leaving_in(900));

    let response = CallResponse::read(opened.expect("an answer")).await;

    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=60).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[rstest]
#[case::resumed("/notes/1", 900)]
#[case::moved("/draft/1", 1_600)]
#[tokio::test]
async fn a_stream_leaves_its_replica_only_for_one_of_its_version(
    #[case] path: &str,
    #[case] leaves_in: u64,
) {
    let versions = ["v1", "v1", "v2", "v2", "v2", "v2", "v2"];
    for _ in 0..6 {
        let fixture = start_versions(&versions, long_stream()).await;
        let opened = fixture.open(request(Method::POST, path, "r1")).await;
        let first = running(&fixture);
        leave(&fixture, first, versions[first], leaving_in(leaves_in));

        let response = CallResponse::read(opened.expect("an answer")).await;

        assert!(response.is_complete);
        let ids = response.event_ids();
        // A stand-in that resumes a stream sends 60 more events.
        assert!(ids.len() >= 60, "{ids:?}");
        assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
        let ran = |n: &usize| !fixture.replicas[*n].runs().is_empty();
        let used: Vec<&str> = (0..versions.len())
            .filter(ran)
            .map(|n| versions[n])
            .collect();
        assert_eq!(used, [versions[first]; 2]);
    }
}

#[tokio::test]
async fn a_broken_stream_without_another_replica_of_its_version_ends_incomplete() {
    let fixture = start_versions(&["v1", "v2"], ReplicaBehaviour::BreakStream(3)).await;
    let call = fixture.call(request(Method::POST, "/notes/1", "r1"));

    let response = timeout(Duration::from_secs(2), call).await;

    let response = response.expect("an end in time");
    assert!(!response.is_complete);
    assert_eq!(response.event_ids(), [1, 2, 3]);
    assert_eq!(fixture.run_ids(), ["r1"]);
}

/// Time for which streams may last in the tests of the sole version.
const PERIOD: Duration = Duration::from_millis(200);

fn registration(id: &str, version: &str, born: u64) -> ReplicaRecord {
    ReplicaRecord {
        incarnation: Incarnation(born),
        ..versioned(id, SocketAddr::from(([127, 0, 0, 1], 1)), version)
    }
}

#[tokio::test(start_paused = true)]
async fn a_version_is_the_sole_one_when_streams_of_others_have_ended() {
    let registry = UpstreamRegistry::default();
    registry.load_versions(Some(&[served("v1")]));
    assert_eq!(registry.sole_version(&service(), PERIOD), None);
    registry.apply(&registration("i-1", "v1", 1));
    assert_eq!(
        registry.sole_version(&service(), PERIOD),
        Some(NameKey::of("v1"))
    );

    registry.apply(&registration("i-2", "v2", 1));
    assert_eq!(registry.sole_version(&service(), PERIOD), None);
    registry.remove(&registration("i-1", "v1", 1).id);
    assert_eq!(registry.sole_version(&service(), PERIOD), None);
    sleep(PERIOD).await;

    assert_eq!(
        registry.sole_version(&service(), PERIOD),
        Some(NameKey::of("v2"))
    );
}

/// Failure pattern: a replica starts again under its id, with another version of its software.
#[tokio::test(start_paused = true)]
async fn the_version_of_a_replaced_incarnation_is_not_forgotten_at_once() {
    let registry = UpstreamRegistry::default();
    registry.apply(&registration("i-1", "v1", 1));

    registry.apply(&registration("i-1", "v2", 2));

    assert_eq!(registry.sole_version(&service(), PERIOD), None);
    sleep(PERIOD).await;
    assert_eq!(
        registry.sole_version(&service(), PERIOD),
        Some(NameKey::of("v2"))
    );
}

fn served(version: &str) -> ServedVersion {
    ServedVersion {
        service: NameKey::from(&service()),
        version: NameKey::of(version),
    }
}

/// Failure pattern: a node starts as a release ends, and does not know the replicas that are gone. The age
/// of a replica says nothing about others.
#[rstest]
#[case::young(UnixMillis::now().0)]
#[case::old(1)]
#[tokio::test(start_paused = true)]
async fn a_node_that_has_just_started_does_not_take_the_replicas_for_all_there_were(
    #[case] born: u64,
    #[values(false, true)] is_table_empty: bool,
) {
    let registry = UpstreamRegistry::default();
    if is_table_empty {
        registry.load_versions(None);
    }
    registry.apply(&registration("i-1", "v2", born));
    assert_eq!(registry.sole_version(&service(), PERIOD), None);

    sleep(PERIOD).await;

    assert_eq!(
        registry.sole_version(&service(), PERIOD),
        Some(NameKey::of("v2"))
    );
}

/// Failure pattern: all nodes end at once as the last replicas of a version leave.
#[tokio::test(start_paused = true)]
async fn a_version_that_is_gone_since_the_end_of_all_nodes_is_not_forgotten_at_once() {
    let registry = UpstreamRegistry::default();
    registry.load_versions(Some(&[served("v1"), served("v2")]));

    registry.apply(&registration("i-1", "v2", 1));

    assert_eq!(registry.sole_version(&service(), PERIOD), None);
    sleep(PERIOD).await;
    assert_eq!(
        registry.sole_version(&service(), PERIOD),
        Some(NameKey::of("v2"))
    );
}

/// Starts a node that has not read from the store what served before it started.
async fn start_unread(count: usize) -> Fixture {
    let registry = Arc::new(UpstreamRegistry::default());
    let replicas = start_replicas(count, long_stream()).await;
    for (n, replica) in replicas.iter().enumerate() {
        let ready = ReplicaState::Ready;
        registry.apply(&record(&format!("i-{n}"), replica.address(), ready));
    }
    start_node_unread(
        registry,
        replicas,
        peer_paths_of_one_node(),
        RelayOptions::default(),
    )
    .await
}

/// Guards against the incident LOST: a node that had just started refused streams that callers took up as if
/// waiting did not help.
#[rstest]
#[case::no_replicas(0, "no_replica")]
#[case::no_history(2, "origin_unknown")]
#[tokio::test]
async fn a_node_that_has_just_started_asks_callers_to_take_their_streams_up_later(
    #[case] replicas: usize,
    #[case] reason: &str,
) {
    let fixture = start_unread(replicas).await;

    let response = fixture.call(take_up("r2", "another", 1)).await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after().is_some());
    assert!(response.text().contains(reason), "{}", response.text());
    assert!(fixture.run_ids().is_empty());
}

#[tokio::test]
async fn a_stream_that_is_taken_up_waits_until_the_node_knows_what_served_before() {
    let fixture = start_unread(2).await;
    let call = fixture.call(take_up("r2", "another", 4));
    let load = async {
        sleep(Duration::from_millis(30)).await;
        fixture.registry.load_versions(Some(&[served("v1")]));
    };

    let (response, ()) = tokio::join!(call, load);

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.event_ids().first(), Some(&5));
}
