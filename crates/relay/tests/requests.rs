//! Tests of requests whose response is not a stream.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use support::{Fixture, HOST, KEY, quota, record, request, route_table, start, start_with};
use tokio::time::{Instant, sleep};
use verbenahead_core::units::ByteSize;
use verbenahead_relay::{DrainTimes, RelayOptions};
use verbenahead_services::ReplicaState;
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};

const OK: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);

fn respond_with(status: StatusCode) -> ReplicaBehaviour {
    ReplicaBehaviour::Answer(status, Duration::ZERO)
}

#[tokio::test]
async fn a_request_is_forwarded_unchanged_and_its_response_is_returned() {
    let fixture = start(1, OK).await;
    let mut req = request(Method::POST, "/file/a%20b?x=1&y=/", "r1");
    *req.body_mut() = Full::from("GET / HTTP/1.1\r\n\r\nsmuggled");

    let response = fixture.call(req).await;

    assert_eq!(
        (response.status, response.text()),
        (StatusCode::OK, "answer to r1")
    );
    assert!(response.is_sealed());
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
async fn a_replica_receives_the_remaining_time() {
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
async fn a_request_that_did_not_run_is_sent_to_another_replica(
    #[case] behaviour: ReplicaBehaviour,
) {
    let fixture = start(3, behaviour).await;
    fixture.replicas[2].set_behaviour(OK);

    let response = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[tokio::test]
async fn a_request_to_a_reassigned_address_does_not_run() {
    let fixture = start(1, OK).await;
    let address = fixture.replicas[0].address();
    fixture.registry.remove(&"i-0".parse().expect("valid id"));
    fixture
        .registry
        .apply(&record("i-gone", address, ReplicaState::Ready));

    let response = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(fixture.run_ids().is_empty());
}

#[tokio::test]
async fn a_request_to_an_unreachable_replica_is_sent_to_another_one() {
    let fixture = start(2, OK).await;
    let gone = "127.0.0.1:1".parse().expect("an address");
    fixture
        .registry
        .apply(&record("i-0", gone, ReplicaState::Ready));

    for n in 0..8 {
        let response = fixture
            .call(request(Method::POST, "/file/1", &format!("r{n}")))
            .await;
        assert_eq!(response.status, StatusCode::OK);
    }

    assert_eq!(fixture.run_ids().len(), 8);
}

#[rstest]
#[case::lost_response(ReplicaBehaviour::LoseAnswer)]
#[case::foreign_id(ReplicaBehaviour::ForeignId)]
#[case::truncated_body(ReplicaBehaviour::CutBody)]
#[case::no_seal(ReplicaBehaviour::Unproved)]
#[tokio::test]
async fn a_non_idempotent_request_that_may_have_run_is_not_retried(
    #[case] behaviour: ReplicaBehaviour,
) {
    let fixture = start(3, behaviour).await;

    let response = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    let arrivals: u64 = fixture.replicas.iter().map(UsersReplica::arrivals).sum();
    assert_eq!(arrivals, 1);
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(!response.is_sealed());
    assert_eq!(response.retry_after(), None);
}

#[rstest]
#[case::lost_response(ReplicaBehaviour::LoseAnswer)]
#[case::foreign_id(ReplicaBehaviour::ForeignId)]
#[case::truncated_body(ReplicaBehaviour::CutBody)]
#[case::no_seal(ReplicaBehaviour::Unproved)]
#[case::failed(ReplicaBehaviour::Answer(StatusCode::INTERNAL_SERVER_ERROR, Duration::ZERO))]
#[tokio::test]
async fn an_idempotent_request_that_may_have_run_is_retried(#[case] behaviour: ReplicaBehaviour) {
    let fixture = start(2, OK).await;
    fixture.replicas[0].set_behaviour(behaviour);

    for n in 0..6 {
        let response = fixture
            .call(request(Method::GET, "/look/1", &format!("r{n}")))
            .await;
        assert_eq!(response.status, StatusCode::OK);
    }

    assert!(fixture.replicas[1].runs().len() == 6);
}

#[tokio::test]
async fn no_more_replicas_run_a_request_than_its_route_allows() {
    let fixture = start(4, respond_with(StatusCode::INTERNAL_SERVER_ERROR)).await;

    let response = fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(response.is_sealed());
    assert_eq!(fixture.run_ids(), ["r1", "r1"]);
}

#[tokio::test]
async fn a_server_error_of_the_replica_is_forwarded_unchanged() {
    let fixture = start(1, respond_with(StatusCode::INTERNAL_SERVER_ERROR)).await;

    let response = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(response.text(), "answer to r1");
    assert!(response.is_sealed());
}

#[rstest]
#[case::unknown_path("/nothing/1", HOST, StatusCode::NOT_FOUND)]
#[case::unknown_host("/look/1", "other.example", StatusCode::NOT_FOUND)]
#[tokio::test]
async fn a_request_without_a_route_is_refused(
    #[case] path: &str,
    #[case] host: &str,
    #[case] status: StatusCode,
) {
    let fixture = start(1, OK).await;
    let mut req = request(Method::GET, path, "r1");
    req.headers_mut()
        .insert("host", host.parse().expect("valid value"));

    let response = fixture.call(req).await;

    assert_eq!(response.status, status);
    assert_eq!(response.headers["attempt-id"], "r1");
}

#[rstest]
#[case::route(KEY, "/new/1", StatusCode::NOT_FOUND)]
#[case::key("other", "/look/1", StatusCode::UNAUTHORIZED)]
#[tokio::test]
async fn an_unknown_route_or_key_is_refused_with_a_retry_delay_while_routes_are_stale(
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
async fn a_known_route_is_served_while_routes_are_stale() {
    let fixture = start(1, OK).await;
    fixture.freshness.set_stale(true);

    let response = fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(response.status, StatusCode::OK);
}

#[rstest]
#[case::unknown("Bearer other", "/look/1", StatusCode::UNAUTHORIZED)]
#[case::open_route("Bearer other", "/open/1", StatusCode::OK)]
#[tokio::test]
async fn a_key_is_required_unless_the_route_is_open(
    #[case] credentials: &str,
    #[case] path: &str,
    #[case] status: StatusCode,
) {
    let fixture = start(1, OK).await;
    let mut req = request(Method::GET, path, "r1");
    let value = credentials.parse().expect("valid value");
    req.headers_mut().insert("authorization", value);

    let response = fixture.call(req).await;

    assert_eq!(response.status, status);
    let runs = fixture.replicas[0].runs();
    assert!(
        runs.iter()
            .all(|run| !run.headers.contains_key("authorization"))
    );
    assert!(runs.iter().all(|run| !run.headers.contains_key("tenant")));
}

#[tokio::test]
async fn a_node_without_routes_refuses_with_a_retry_delay() {
    let fixture = start(1, OK).await;
    fixture.routes.send_replace(None);
    let started = Instant::now();

    let response = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after().is_some());
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(fixture.run_ids().is_empty());
}

#[tokio::test]
async fn a_request_waits_for_the_first_routes_of_a_new_node() {
    let options = RelayOptions {
        first_routes_wait: Duration::from_secs(5),
        ..RelayOptions::default()
    };
    let fixture = start_with(1, OK, options).await;
    fixture.routes.send_replace(None);
    let routes = fixture.routes.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(50)).await;
        routes.send_replace(Some(Arc::new(route_table(8, None))));
    });

    let response = fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test]
async fn a_service_without_replicas_is_refused_at_once() {
    let fixture = start(0, OK).await;
    let started = Instant::now();

    let response = fixture.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.retry_after().is_some());
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
async fn a_request_above_the_quota_is_refused_with_a_retry_delay() {
    let fixture = start(1, OK).await;
    fixture
        .routes
        .send_replace(Some(Arc::new(route_table(8, Some(quota(10.0, 10.0))))));

    let mut statuses = Vec::new();
    let mut delays = Vec::new();
    for n in 0..6 {
        let response = fixture
            .call(request(Method::GET, "/look/1", &format!("r{n}")))
            .await;
        statuses.push(response.status);
        delays.extend(response.retry_after());
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
async fn the_quota_of_a_request_that_did_not_run_is_refunded() {
    let fixture = start(1, ReplicaBehaviour::Full).await;
    fixture
        .routes
        .send_replace(Some(Arc::new(route_table(8, Some(quota(1.0, 10.0))))));

    for n in 0..5 {
        let response = fixture
            .call(request(Method::GET, "/look/1", &format!("r{n}")))
            .await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        sleep(Duration::from_millis(60)).await;
    }

    // Without the refunds, the five requests would leave a debt of 50 units.
    let routes = fixture.relay.routes().expect("routes");
    let workspace = routes.workspaces().next().expect("a workspace");
    let charged = fixture
        .quotas
        .charge(&routes, workspace, None, verbenahead_membership::NameKey(1))
        .await;
    assert!(matches!(charged, Ok(Some(_))), "{charged:?}");
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let fixture = start(1, OK).await;
    let mut req = request(Method::POST, "/file/1", "r1");
    *req.body_mut() = Full::from(vec![b'x'; 100_001]);

    let response = fixture.call(req).await;

    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert!(fixture.run_ids().is_empty());
}

#[tokio::test]
async fn a_request_without_an_id_is_refused() {
    let fixture = start(1, OK).await;
    let mut req = request(Method::GET, "/look/1", "r1");
    req.headers_mut().remove("attempt-id");

    let response = fixture.call(req).await;

    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert!(fixture.run_ids().is_empty());
}

#[rstest]
#[case::by_the_caller("/file/1", 250, 250)]
#[case::by_the_route("/brief/1", 4_000, 300)]
#[tokio::test]
async fn a_request_to_a_hung_replica_ends_at_its_time_limit(
    #[case] path: &str,
    #[case] patience: u64,
    #[case] limit: u64,
) {
    let fixture = start(1, ReplicaBehaviour::Hang).await;
    let mut req = request(Method::POST, path, "r1");
    req.headers_mut().insert("deadline-ms", patience.into());
    let started = Instant::now();

    let response = fixture.call(req).await;

    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    let elapsed = started.elapsed().as_millis() as u64;
    assert!((limit - 20..limit + 400).contains(&elapsed), "{elapsed} ms");
}

#[tokio::test]
async fn a_request_is_cancelled_when_its_caller_disconnects() {
    let fixture = start(1, ReplicaBehaviour::Hang).await;
    let opening = fixture.open(request(Method::GET, "/look/1", "r1"));
    let left = tokio::time::timeout(Duration::from_millis(200), opening).await;
    assert!(left.is_err());

    let cancelled = eventually(&fixture, |fixture| fixture.replicas[0].cancelled() == 1).await;

    assert!(cancelled);
}

#[tokio::test]
async fn a_draining_relay_asks_callers_to_close_the_connection() {
    let fixture = start(1, OK).await;
    let refuses_at = Instant::now() + Duration::from_secs(2);
    fixture.relay.start_drain(DrainTimes {
        refuses_at,
        ends_at: refuses_at + Duration::from_secs(5),
    });

    let response = fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["connection"], "close");
}

#[tokio::test]
async fn a_request_is_counted_once_among_those_that_began_to_run() {
    let fixture = start(2, respond_with(StatusCode::INTERNAL_SERVER_ERROR)).await;

    fixture.call(request(Method::GET, "/look/1", "r1")).await;

    assert_eq!(fixture.run_ids().len(), 2);
    let windows = fixture.usage_tracker.windows();
    let counted: u64 = windows.iter().flat_map(|w| &w.counts).map(|(_, n)| n).sum();
    assert_eq!(counted, 1);
}

async fn eventually(fixture: &Fixture, condition: impl Fn(&Fixture) -> bool) -> bool {
    for _ in 0..100 {
        if condition(fixture) {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

#[tokio::test]
async fn a_body_above_the_memory_budget_is_refused_and_does_not_run() {
    let options = RelayOptions {
        client_memory: ByteSize(10_000),
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

/// Failure pattern: most replicas have just crashed, and their registrations have not lapsed yet. Their
/// addresses refuse connections.
#[rstest]
#[case::repeatable("/look/1")]
#[case::once("/file/1")]
#[tokio::test]
async fn replicas_that_refuse_connections_are_left_out_at_once(#[case] path: &str) {
    let fixture = start(9, OK).await;
    fixture.replicas[..8].iter().for_each(UsersReplica::crash);

    let mut served = 0;
    for n in 0..40 {
        let response = fixture
            .call(request(Method::GET, path, &format!("r{n}")))
            .await;
        served += usize::from(response.status == StatusCode::OK);
    }

    // Each crashed replica refuses one connection. The first request makes six attempts, the second one
    // finds the other two.
    assert!(served >= 39, "{served}");
}

// Guards against refused requests of nodes whose connections failed: nothing arrives at a replica then.
#[tokio::test]
async fn connections_that_fail_need_no_retry_budget() {
    let fixture = start(3, OK).await;
    while fixture.usage_tracker.try_retry(&support::service()) {}
    fixture.replicas[0].crash();
    fixture.replicas[1].crash();

    let mut statuses = Vec::new();
    for n in 0..20 {
        let req = request(Method::POST, "/file/1", &format!("r{n}"));
        statuses.push(fixture.call(req).await.status);
    }

    assert_eq!(statuses, [StatusCode::OK; 20]);
}
