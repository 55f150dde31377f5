//! Tests of requests with one whole answer.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use support::{Fixture, HOST, KEY, quota, record, request, start, start_with, table};
use tokio::time::{Instant, sleep};
use verbenahead_core::units::ByteSize;
use verbenahead_relay::RelayOptions;
use verbenahead_services::ReplicaState;
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};

const OK: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);

fn answer(status: StatusCode) -> ReplicaBehaviour {
    ReplicaBehaviour::Answer(status, Duration::ZERO)
}

#[tokio::test]
async fn a_request_arrives_as_it_was_sent_and_its_answer_comes_back() {
    let fixture = start(1, OK).await;
    let mut req = request(Method::POST, "/file/a%20b?x=1&y=/", "r1");
    *req.body_mut() = Full::from("GET / HTTP/1.1\r\n\r\nsmuggled");

    let answer = fixture.call(req).await;

    assert_eq!(
        (answer.status, answer.text()),
        (StatusCode::OK, "answer to r1")
    );
    assert!(answer.is_sealed());
    let runs = fixture.replicas[0].runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "/file/a%20b?x=1&y=/");
    assert_eq!(runs[0].method, Method::POST);
    assert_eq!(
        runs[0].body,
        Bytes::from_static(b"GET / HTTP/1.1\r\n\r\nsmuggled")
    );
    assert_eq!(runs[0].headers["tenant"], "paving");
    assert!(!runs[0].headers.contains_key("authorization"));
}

#[tokio::test]
async fn a_replica_is_told_what_is_left_of_the_time() {
    let fixture = start(1, OK).await;

    fixture.call(request(Method::GET, "/look/1", "r1")).await;

    let left: u64 = fixture.replicas[0].runs()[0].headers["deadline-ms"]
        .to_str()
        .expect("text")
        .parse()
        .expect("a number");
    assert!((3_000..=4_000).contains(&left), "{left}");
}

#[rstest]
#[case::full(ReplicaBehaviour::Full)]
#[tokio::test]
async fn what_did_not_run_goes_to_another_replica(#[case] behaviour: ReplicaBehaviour) {
    let fixture = start(3, behaviour).await;
    fixture.replicas[2].set_behaviour(OK);

    let answer = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn an_address_that_another_replica_has_now_runs_nothing() {
    let fixture = start(1, OK).await;
    let address = fixture.replicas[0].address();
    fixture.registry.remove(&"i-0".parse().expect("valid id"));
    fixture
        .registry
        .apply(&record("i-gone", address, ReplicaState::Ready));

    let answer = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(fixture.run_ids().is_empty());
}

#[tokio::test]
async fn a_replica_that_is_not_there_ran_nothing() {
    let fixture = start(2, OK).await;
    let gone = "127.0.0.1:1".parse().expect("an address");
    fixture
        .registry
        .apply(&record("i-0", gone, ReplicaState::Ready));

    for n in 0..8 {
        let answer = fixture
            .call(request(Method::POST, "/file/1", &format!("r{n}")))
            .await;
        assert_eq!(answer.status, StatusCode::OK);
    }

    assert_eq!(fixture.run_ids().len(), 8);
}

#[rstest]
#[case::lost(ReplicaBehaviour::LoseAnswer)]
#[case::foreign(ReplicaBehaviour::ForeignId)]
#[case::cut(ReplicaBehaviour::CutBody)]
#[case::unproved(ReplicaBehaviour::Unproved)]
#[tokio::test]
async fn what_may_have_run_is_not_sent_again(#[case] behaviour: ReplicaBehaviour) {
    let fixture = start(3, behaviour).await;

    let answer = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    let arrivals: u64 = fixture.replicas.iter().map(UsersReplica::arrivals).sum();
    assert_eq!(arrivals, 1);
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(!answer.is_sealed());
    assert_eq!(answer.retry_after(), None);
}

#[rstest]
#[case::lost(ReplicaBehaviour::LoseAnswer)]
#[case::foreign(ReplicaBehaviour::ForeignId)]
#[case::cut(ReplicaBehaviour::CutBody)]
#[case::unproved(ReplicaBehaviour::Unproved)]
#[case::failed(ReplicaBehaviour::Answer(StatusCode::INTERNAL_SERVER_ERROR, Duration::ZERO))]
#[tokio::test]
async fn what_may_run_twice_is_sent_again(#[case] behaviour: ReplicaBehaviour) {
    let fixture = start(2, OK).await;
    fixture.replicas[0].set_behaviour(behaviour);

    for n in 0..6 {
        let answer = fixture
            .call(request(Method::GET, "/look/1", &format!("r{n}")))
            .await;
        assert_eq!(answer.status, StatusCode::OK);
    }

    assert!(fixture.replicas[1].runs().len() == 6);
}

#[tokio::test]
async fn no_more_replicas_run_a_request_than_its_route_allows() {
    let fixture = start(4, answer(StatusCode::INTERNAL_SERVER_ERROR)).await;

    let answer = fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(answer.is_sealed());
    assert_eq!(fixture.run_ids(), ["r1", "r1"]);
}

#[tokio::test]
async fn a_failure_of_the_replica_is_passed_on_unchanged() {
    let fixture = start(1, answer(StatusCode::INTERNAL_SERVER_ERROR)).await;

    let answer = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.text(), "answer to r1");
    assert!(answer.is_sealed());
}

#[rstest]
#[case::unknown_path("/nothing/1", HOST, StatusCode::NOT_FOUND)]
#[case::unknown_host("/look/1", "other.example", StatusCode::NOT_FOUND)]
#[tokio::test]
async fn a_request_without_a_route_is_told(
    #[case] path: &str,
    #[case] host: &str,
    #[case] status: StatusCode,
) {
    let fixture = start(1, OK).await;
    let mut req = request(Method::GET, path, "r1");
    req.headers_mut()
        .insert("host", host.parse().expect("valid value"));

    let answer = fixture.call(req).await;

    assert_eq!(answer.status, status);
    assert_eq!(answer.headers["attempt-id"], "r1");
}

#[rstest]
#[case::route(KEY, "/new/1", StatusCode::NOT_FOUND)]
#[case::key("other", "/look/1", StatusCode::UNAUTHORIZED)]
#[tokio::test]
async fn what_may_have_been_added_meanwhile_is_not_called_unknown(
    #[case] key: &str,
    #[case] path: &str,
    #[case] fresh: StatusCode,
) {
    let fixture = start(1, OK).await;
    let call = async || {
        let mut req = request(Method::GET, path, "r1");
        let value = format!("Bearer {key}").parse().expect("valid value");
        req.headers_mut().insert("authorization", value);
        fixture.call(req).await
    };

    fixture.freshness.set_stale(true);
    let stale = call().await;
    fixture.freshness.set_stale(false);
    let current = call().await;

    assert_eq!(stale.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(stale.headers.contains_key("retry-after"));
    assert_eq!(current.status, fresh);
    assert_eq!(fixture.replicas[0].runs().len(), 0);
}

#[tokio::test]
async fn what_is_known_is_served_while_the_routes_may_be_out_of_date() {
    let fixture = start(1, OK).await;
    fixture.freshness.set_stale(true);

    let answer = fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::OK);
}

#[rstest]
#[case::unknown("Bearer other", "/look/1", StatusCode::UNAUTHORIZED)]
#[case::open_route("Bearer other", "/open/1", StatusCode::OK)]
#[tokio::test]
async fn a_key_is_asked_for_where_the_route_is_not_open(
    #[case] credentials: &str,
    #[case] path: &str,
    #[case] status: StatusCode,
) {
    let fixture = start(1, OK).await;
    let mut req = request(Method::GET, path, "r1");
    let value = credentials.parse().expect("valid value");
    req.headers_mut().insert("authorization", value);

    let answer = fixture.call(req).await;

    assert_eq!(answer.status, status);
    let runs = fixture.replicas[0].runs();
    assert!(
        runs.iter()
            .all(|run| !run.headers.contains_key("authorization"))
    );
    assert!(runs.iter().all(|run| !run.headers.contains_key("tenant")));
}

#[tokio::test]
async fn a_node_without_routes_says_when_to_come_back() {
    let fixture = start(1, OK).await;
    fixture.routes.send_replace(None);
    let started = Instant::now();

    let answer = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.retry_after().is_some());
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(fixture.run_ids().is_empty());
}

#[tokio::test]
async fn the_first_request_waits_a_moment_for_the_first_routes() {
    let options = RelayOptions {
        first_routes_wait: Duration::from_secs(5),
        ..RelayOptions::default()
    };
    let fixture = start_with(1, OK, options).await;
    fixture.routes.send_replace(None);
    let routes = fixture.routes.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(50)).await;
        routes.send_replace(Some(Arc::new(table(8, None))));
    });

    let answer = fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn a_service_without_replicas_is_refused_at_once() {
    let fixture = start(0, OK).await;
    let started = Instant::now();

    let answer = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.retry_after().is_some());
    assert!(started.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn a_leaving_replica_gets_no_new_request() {
    let fixture = start(2, OK).await;
    let leaving = fixture.replicas[0].address();
    let state = ReplicaState::Leaving { remaining: None };
    fixture.registry.apply(&record("i-0", leaving, state));

    for n in 0..10 {
        fixture
            .call(request(Method::GET, "/look/1", &format!("r{n}")))
            .await;
    }

    assert_eq!(fixture.replicas[0].arrivals(), 0);
    assert_eq!(fixture.replicas[1].runs().len(), 10);
}

#[tokio::test]
async fn a_used_up_quota_is_told_with_the_time_to_come_back() {
    let fixture = start(1, OK).await;
    fixture
        .routes
        .send_replace(Some(Arc::new(table(8, Some(quota(10.0, 10.0))))));

    let mut statuses = Vec::new();
    let mut delays = Vec::new();
    for n in 0..6 {
        let answer = fixture
            .call(request(Method::GET, "/look/1", &format!("r{n}")))
            .await;
        statuses.push(answer.status);
        delays.extend(answer.retry_after());
    }

    let passed = statuses.iter().filter(|status| status.is_success()).count();
    assert!((1..=3).contains(&passed), "{statuses:?}");
    assert!(statuses.contains(&StatusCode::TOO_MANY_REQUESTS));
    assert!(
        delays.iter().all(|delay| *delay > 0.0 && *delay < 5.0),
        "{delays:?}"
    );
    assert_eq!(fixture.run_ids().len(), passed);
}

#[tokio::test]
async fn a_request_that_did_not_run_takes_nothing_from_the_quota() {
    let fixture = start(1, ReplicaBehaviour::Full).await;
    fixture
        .routes
        .send_replace(Some(Arc::new(table(8, Some(quota(1.0, 10.0))))));

    for n in 0..5 {
        let answer = fixture
            .call(request(Method::GET, "/look/1", &format!("r{n}")))
            .await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        sleep(Duration::from_millis(60)).await;
    }

    assert!(fixture.usage_tracker.quota_use().is_empty());
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let fixture = start(1, OK).await;
    let mut req = request(Method::POST, "/file/1", "r1");
    *req.body_mut() = Full::from(vec![b'x'; 100_001]);

    let answer = fixture.call(req).await;

    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert!(fixture.run_ids().is_empty());
}

#[tokio::test]
async fn a_request_without_an_id_is_refused() {
    let fixture = start(1, OK).await;
    let mut req = request(Method::GET, "/look/1", "r1");
    req.headers_mut().remove("attempt-id");

    let answer = fixture.call(req).await;

    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert!(fixture.run_ids().is_empty());
}

#[rstest]
#[case::by_the_caller("/file/1", 250, 250)]
#[case::by_the_route("/brief/1", 4_000, 300)]
#[tokio::test]
async fn a_replica_that_does_not_answer_is_given_up_in_time(
    #[case] path: &str,
    #[case] patience: u64,
    #[case] limit: u64,
) {
    let fixture = start(1, ReplicaBehaviour::Hang).await;
    let mut req = request(Method::POST, path, "r1");
    req.headers_mut().insert("deadline-ms", patience.into());
    let started = Instant::now();

    let answer = fixture.call(req).await;

    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    let elapsed = started.elapsed().as_millis() as u64;
    assert!((limit - 20..limit + 400).contains(&elapsed), "{elapsed} ms");
}

#[tokio::test]
async fn the_work_of_a_caller_that_left_is_cancelled() {
    let fixture = start(1, ReplicaBehaviour::Hang).await;
    let opening = fixture.open(request(Method::GET, "/look/1", "r1"));
    let left = tokio::time::timeout(Duration::from_millis(200), opening).await;
    assert!(left.is_err());

    let cancelled = eventually(&fixture, |fixture| fixture.replicas[0].cancelled() == 1).await;

    assert!(cancelled);
}

#[tokio::test]
async fn a_draining_relay_asks_for_another_connection() {
    let fixture = start(1, OK).await;
    fixture.relay.start_drain();

    let answer = fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["connection"], "close");
}

#[tokio::test]
async fn a_request_is_counted_once_among_those_that_began_to_run() {
    let fixture = start(2, answer(StatusCode::INTERNAL_SERVER_ERROR)).await;

    fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(fixture.run_ids().len(), 2);
    let windows = fixture.usage_tracker.windows();
    let counted: u64 = windows.iter().flat_map(|w| &w.counts).map(|(_, n)| n).sum();
    assert_eq!(counted, 1);
}

async fn eventually(fixture: &Fixture, is_so: impl Fn(&Fixture) -> bool) -> bool {
    for _ in 0..100 {
        if is_so(fixture) {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

#[tokio::test]
async fn a_body_that_finds_no_memory_is_refused_at_once_and_has_not_run() {
    let options = RelayOptions {
        max_body_memory: ByteSize(10_000),
        ..RelayOptions::default()
    };
    let fixture = start_with(1, OK, options).await;
    let mut large = request(Method::POST, "/file/1", "r1");
    *large.body_mut() = Full::from(vec![b'x'; 20_000]);
    let mut small = request(Method::POST, "/file/1", "r2");
    *small.body_mut() = Full::from(vec![b'x'; 9_000]);

    let refused = fixture.call(large).await;
    let served = fixture.call(small).await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.retry_after().is_some());
    assert_eq!(served.status, StatusCode::OK);
    assert_eq!(fixture.run_ids(), ["r2"]);
}
