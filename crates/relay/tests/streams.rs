//! Tests of responses that are streams of events.

mod support;

use std::time::Duration;

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use rstest::rstest;
use support::{CallResponse, record, request, start};
use tokio::time::{Instant, sleep, timeout};
use verbenahead_services::ReplicaState;
use verbenahead_standins::users::{HandoverBehaviour, ReplicaBehaviour};

fn stream(events: u64) -> ReplicaBehaviour {
    ReplicaBehaviour::Stream(events, Duration::from_millis(2))
}

#[rstest]
#[case::once("/draft/1")]
#[case::resumable("/notes/1")]
#[tokio::test]
async fn a_stream_is_forwarded_completely(#[case] path: &str) {
    let fixture = start(2, stream(40)).await;

    let response = fixture.call(request(Method::POST, path, "r1")).await;

    assert!(response.is_complete && response.is_sealed());
    assert_eq!(response.event_ids(), (1..=40).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn events_are_forwarded_as_they_arrive() {
    let fixture = start(1, ReplicaBehaviour::SilentStream(1)).await;
    let started = Instant::now();

    let response = fixture.open(request(Method::POST, "/draft/1", "r1")).await;

    let mut body = response.expect("an answer").into_body();
    let first = timeout(Duration::from_secs(1), body.frame()).await;
    assert!(first.is_ok());
    assert!(started.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn a_broken_resumable_stream_is_resumed_at_another_replica() {
    let fixture = start(2, ReplicaBehaviour::BreakStream(5)).await;
    fixture.replicas.iter().for_each(|replica| {
        replica.then(ReplicaBehaviour::BreakStream(5));
        replica.set_behaviour(stream(7));
    });

    let response = fixture.call(request(Method::POST, "/notes/1", "r1")).await;

    assert!(response.is_complete);
    // Five events of the first run, then seven more, or five and seven more, of the next runs.
    let ids = response.event_ids();
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert!(ids.len() >= 12, "{ids:?}");
}

#[tokio::test]
async fn a_stream_that_may_not_run_twice_ends_incomplete() {
    let fixture = start(3, ReplicaBehaviour::BreakStream(5)).await;

    let response = fixture.call(request(Method::POST, "/draft/1", "r1")).await;

    assert!(!response.is_complete);
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_ends_with_an_error_status() {
    let fixture = start(3, ReplicaBehaviour::BreakStream(0)).await;

    let response = fixture.call(request(Method::POST, "/draft/1", "r1")).await;

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn a_caller_that_resumes_receives_only_later_events() {
    let fixture = start(1, stream(3)).await;
    let mut req = request(Method::POST, "/notes/1", "r1");
    req.headers_mut().insert("last-event-id", 10.into());

    let response = fixture.call(req).await;

    assert_eq!(response.event_ids(), [11, 12, 13]);
}

#[tokio::test]
async fn a_stalled_stream_of_a_live_replica_is_resumed_elsewhere_after_two_gaps() {
    let fixture = start(2, ReplicaBehaviour::SilentStream(3)).await;
    fixture.replicas.iter().for_each(|replica| {
        replica.then(ReplicaBehaviour::SilentStream(3));
        replica.set_behaviour(stream(4));
    });
    // Only the first run of a replica stalls, and either replica may run the stream first.
    let started = Instant::now();

    let response = fixture.call(request(Method::POST, "/notes/1", "r1")).await;

    let ids = response.event_ids();
    assert!(response.is_complete || ids.len() >= 6, "{ids:?}");
    assert!(started.elapsed() >= Duration::from_millis(700));
}

// Guards against runs that go on past the deadline because their caller reads nothing.
#[rstest]
#[case::once("/draft/1")]
#[case::resumable("/notes/1")]
#[tokio::test]
async fn a_stream_whose_caller_reads_nothing_ends_at_its_deadline(#[case] path: &str) {
    let events = ReplicaBehaviour::Stream(100_000, Duration::from_millis(2));
    let fixture = start(1, events).await;
    let mut req = request(Method::POST, path, "r1");
    let deadline = "1000".parse().expect("a valid header");
    req.headers_mut().insert("deadline-ms", deadline);

    let _unread = fixture.relay.handle(req).await;
    sleep(Duration::from_millis(1_500)).await;

    assert_eq!(fixture.replicas[0].cancelled(), 1);
}

// Guards against a second run at the same replica, whose registration was removed and is there again.
#[tokio::test]
async fn a_resumable_stream_does_not_go_on_at_its_own_replica() {
    let fixture = start(1, ReplicaBehaviour::Stream(60, Duration::from_millis(50))).await;
    let response = fixture.open(request(Method::POST, "/notes/1", "r1")).await;

    let id = "i-0".parse().expect("a valid id");
    fixture.registry.remove(&id);
    let address = fixture.replicas[0].address();
    fixture
        .registry
        .apply(&record("i-0", address, ReplicaState::Ready));
    let response = CallResponse::read(response.expect("an answer")).await;

    assert!(response.is_complete && response.is_sealed());
    assert_eq!(response.event_ids(), (1..=60).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn a_resumable_stream_leaves_a_replica_that_stops() {
    let fixture = start(2, ReplicaBehaviour::Stream(400, Duration::from_millis(10))).await;
    let response = fixture.open(request(Method::POST, "/notes/1", "r1")).await;
    let mut body = response.expect("an answer").into_body();
    body.frame().await.expect("an event").expect("data");
    let first = fixture.replicas.iter().position(|r| !r.runs().is_empty());
    let first = first.expect("a replica runs it");

    let state = ReplicaState::Leaving {
        remaining: Some(Duration::from_millis(900)),
    };
    let address = fixture.replicas[first].address();
    fixture
        .registry
        .apply(&record(&format!("i-{first}"), address, state));

    let other = &fixture.replicas[1 - first];
    for _ in 0..200 {
        if !other.runs().is_empty() {
            break;
        }
        let _ = timeout(Duration::from_millis(20), body.frame()).await;
    }
    assert_eq!(other.runs().len(), 1);
    assert!(other.runs()[0].headers.contains_key("last-event-id"));
    let cancelled = || fixture.replicas[first].cancelled();
    for _ in 0..100 {
        if cancelled() > 0 {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(cancelled(), 1);
}

#[rstest]
#[case::before_the_first_event(0)]
#[case::after_some_events(5)]
#[tokio::test]
async fn a_stream_is_cancelled_when_its_caller_disconnects(#[case] events: u64) {
    let fixture = start(1, ReplicaBehaviour::SilentStream(events)).await;
    let opening = fixture.open(request(Method::POST, "/draft/1", "r1"));
    let opened = timeout(Duration::from_millis(200), opening).await;
    drop(opened);

    for _ in 0..100 {
        if fixture.replicas[0].cancelled() > 0 {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the replica did not cancel the stream");
}

#[tokio::test]
async fn a_stream_ends_incomplete_at_its_time_limit() {
    let fixture = start(
        1,
        ReplicaBehaviour::Stream(1_000, Duration::from_millis(20)),
    )
    .await;
    let mut req = request(Method::POST, "/draft/1", "r1");
    req.headers_mut().insert("deadline-ms", 400.into());
    let started = Instant::now();

    let response = fixture.call(req).await;

    assert!(!response.is_complete);
    assert!(started.elapsed() < Duration::from_millis(900));
}

#[tokio::test]
async fn a_stream_is_counted_once_as_run() {
    let fixture = start(1, stream(3)).await;

    fixture.call(request(Method::POST, "/draft/1", "r1")).await;

    let windows = fixture.usage_tracker.windows();
    let counted: u64 = windows.iter().flat_map(|w| &w.counts).map(|(_, n)| n).sum();
    assert_eq!(counted, 1);
}

/// Opens a stream that may not run again and makes its replica leave while the stream runs, as in a
/// reclaim. Returns the response and the index of the replica.
async fn leave_during_stream(fixture: &support::Fixture) -> (support::CallResponse, usize) {
    let opened = fixture.open(request(Method::POST, "/draft/1", "r1")).await;
    let first = fixture.replicas.iter().position(|r| !r.runs().is_empty());
    let first = first.expect("a replica runs it");
    let state = ReplicaState::Leaving {
        remaining: Some(Duration::from_millis(1_600)),
    };
    let address = fixture.replicas[first].address();
    fixture
        .registry
        .apply(&record(&format!("i-{first}"), address, state));
    (
        support::CallResponse::read(opened.expect("an answer")).await,
        first,
    )
}

fn long_stream() -> ReplicaBehaviour {
    ReplicaBehaviour::Stream(60, Duration::from_millis(10))
}

#[tokio::test]
async fn a_run_that_may_not_be_repeated_is_moved_when_its_replica_leaves() {
    let fixture = start(2, long_stream()).await;

    let (response, first) = leave_during_stream(&fixture).await;

    assert!(response.is_complete && response.is_sealed());
    assert_eq!(response.event_ids(), (1..=60).collect::<Vec<_>>());
    let runs = fixture.replicas[1 - first].runs();
    let from = fixture.replicas[first].address();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].headers["kv-from"], format!("{from}/memory-r1"));
    assert!(runs[0].headers.contains_key("last-event-id"));
}

#[rstest]
#[case::refused(HandoverBehaviour::Refuses, 2)]
#[case::no_other_replica(HandoverBehaviour::Moves, 1)]
#[tokio::test]
async fn a_run_that_cannot_be_moved_continues_at_its_replica(
    #[case] behaviour: HandoverBehaviour,
    #[case] replicas: usize,
) {
    let fixture = start(replicas, long_stream()).await;
    fixture
        .replicas
        .iter()
        .for_each(|r| r.set_handovers(behaviour));

    let (response, _) = leave_during_stream(&fixture).await;

    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=60).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn a_run_that_was_stopped_but_not_moved_is_not_started_elsewhere() {
    let fixture = start(3, long_stream()).await;
    fixture
        .replicas
        .iter()
        .for_each(|r| r.set_handovers(HandoverBehaviour::LosesAnswer));

    let (response, _) = leave_during_stream(&fixture).await;

    assert!(!response.is_complete);
    let ids = response.event_ids();
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}
