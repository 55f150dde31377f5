//! Tests of answers that are streams of events.

mod support;

use std::time::Duration;

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use rstest::rstest;
use support::{record, request, start};
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
async fn a_stream_is_passed_on_whole(#[case] path: &str) {
    let fixture = start(2, stream(40)).await;

    let answer = fixture.call(request(Method::POST, path, "r1")).await;

    assert!(answer.is_whole && answer.is_sealed());
    assert_eq!(answer.event_ids(), (1..=40).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn events_are_passed_on_as_they_come() {
    let fixture = start(1, ReplicaBehaviour::SilentStream(1)).await;
    let started = Instant::now();

    let response = fixture.open(request(Method::POST, "/draft/1", "r1")).await;

    let mut body = response.expect("an answer").into_body();
    let first = timeout(Duration::from_secs(1), body.frame()).await;
    assert!(first.is_ok());
    assert!(started.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn a_resumable_stream_goes_on_at_another_replica() {
    let fixture = start(2, ReplicaBehaviour::BreakStream(5)).await;
    fixture.replicas.iter().for_each(|replica| {
        replica.then(ReplicaBehaviour::BreakStream(5));
        replica.set_behaviour(stream(7));
    });

    let answer = fixture.call(request(Method::POST, "/notes/1", "r1")).await;

    assert!(answer.is_whole);
    // Five of the first run, then seven or five and seven more of the next ones.
    let ids = answer.event_ids();
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert!(ids.len() >= 12, "{ids:?}");
}

#[tokio::test]
async fn a_stream_that_may_not_run_twice_ends_incomplete() {
    let fixture = start(3, ReplicaBehaviour::BreakStream(5)).await;

    let answer = fixture.call(request(Method::POST, "/draft/1", "r1")).await;

    assert!(!answer.is_whole);
    assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5]);
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn a_stream_that_fails_before_its_first_event_is_no_answer() {
    let fixture = start(3, ReplicaBehaviour::BreakStream(0)).await;

    let answer = fixture.call(request(Method::POST, "/draft/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn a_caller_that_resumes_gets_what_it_lacks() {
    let fixture = start(1, stream(3)).await;
    let mut req = request(Method::POST, "/notes/1", "r1");
    req.headers_mut().insert("last-event-id", 10.into());

    let answer = fixture.call(req).await;

    assert_eq!(answer.event_ids(), [11, 12, 13]);
}

#[tokio::test]
async fn a_silent_stream_of_a_live_replica_goes_on_elsewhere_after_two_pauses() {
    let fixture = start(2, ReplicaBehaviour::SilentStream(3)).await;
    fixture.replicas.iter().for_each(|replica| {
        replica.then(ReplicaBehaviour::SilentStream(3));
        replica.set_behaviour(stream(4));
    });
    // Only the first run is silent, at whichever replica it is.
    let started = Instant::now();

    let answer = fixture.call(request(Method::POST, "/notes/1", "r1")).await;

    let ids = answer.event_ids();
    assert!(answer.is_whole || ids.len() >= 6, "{ids:?}");
    assert!(started.elapsed() >= Duration::from_millis(700));
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
#[case::midway(5)]
#[tokio::test]
async fn the_stream_of_a_caller_that_left_is_cancelled(#[case] events: u64) {
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
    panic!("the replica still works");
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

    let answer = fixture.call(req).await;

    assert!(!answer.is_whole);
    assert!(started.elapsed() < Duration::from_millis(900));
}

#[tokio::test]
async fn a_stream_counts_with_its_first_event() {
    let fixture = start(1, stream(3)).await;

    fixture.call(request(Method::POST, "/draft/1", "r1")).await;

    let windows = fixture.usage_tracker.windows();
    let counted: u64 = windows.iter().flat_map(|w| &w.counts).map(|(_, n)| n).sum();
    assert_eq!(counted, 1);
}

/// Pattern: a reclaim empties a replica whose stream may not run a second time.
async fn leave_midway(fixture: &support::Fixture) -> (support::Answer, usize) {
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
        support::Answer::read(opened.expect("an answer")).await,
        first,
    )
}

fn long_stream() -> ReplicaBehaviour {
    ReplicaBehaviour::Stream(60, Duration::from_millis(10))
}

#[tokio::test]
async fn a_run_that_may_not_be_repeated_is_handed_over_when_its_replica_leaves() {
    let fixture = start(2, long_stream()).await;

    let (answer, first) = leave_midway(&fixture).await;

    assert!(answer.is_whole && answer.is_sealed());
    assert_eq!(answer.event_ids(), (1..=60).collect::<Vec<_>>());
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
async fn a_run_that_cannot_be_handed_over_goes_on_where_it_is(
    #[case] behaviour: HandoverBehaviour,
    #[case] replicas: usize,
) {
    let fixture = start(replicas, long_stream()).await;
    fixture
        .replicas
        .iter()
        .for_each(|r| r.set_handovers(behaviour));

    let (answer, _) = leave_midway(&fixture).await;

    assert!(answer.is_whole);
    assert_eq!(answer.event_ids(), (1..=60).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[rstest]
#[case::answer_lost(HandoverBehaviour::LosesAnswer)]
#[case::no_room_anywhere(HandoverBehaviour::NoRoom)]
#[tokio::test]
async fn a_run_that_was_stopped_and_not_handed_over_runs_nowhere_else(
    #[case] behaviour: HandoverBehaviour,
) {
    let fixture = start(3, long_stream()).await;
    fixture
        .replicas
        .iter()
        .for_each(|r| r.set_handovers(behaviour));

    let (answer, _) = leave_midway(&fixture).await;

    assert!(!answer.is_whole);
    let ids = answer.event_ids();
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert_eq!(fixture.run_ids(), ["r1"]);
}
