//! A non-idempotent call runs at most once, and `not_run` is reported only when the call did not
//! run. The booking stand-in counts the runs.

mod support;

use std::time::Duration;

use anyhow::Result;
use futures_util::future::join_all;
use http::{HeaderMap, Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use support::cluster::{
    BARBER_KEY, MANIFEST, NodeProcess, PlatformProcess, bearer, start_platform, wait_until,
};
use verbenahead_standins::{
    booking::Runs,
    client::{JsonClient, Reply},
    process::Process,
};

const KEY: &str = "booking-1";
const BODY: &str = r#"{"chair":7,"hour":9}"#;

struct Fixture {
    platform: PlatformProcess,
    booking: Process,
    nodes: Vec<NodeProcess>,
}

/// Starts a platform, one booking replica that ignores idempotency keys, and nodes.
async fn start_fixture(node_count: usize, booking_args: &[&str]) -> Fixture {
    let platform = start_platform(&[]);
    let booking = platform.start_booking("b1", "a", booking_args);
    platform.publish(MANIFEST, 0).await;
    let nodes: Vec<_> = (0..node_count)
        .map(|index| platform.start_node(&format!("n{index}"), "a"))
        .collect();
    join_all(nodes.iter().map(NodeProcess::wait_ready)).await;
    Fixture {
        platform,
        booking,
        nodes,
    }
}

impl Fixture {
    fn booking_control(&self) -> JsonClient {
        JsonClient::new(self.booking.address().expect("the replica listens"))
    }

    async fn runs(&self) -> Runs {
        let runs = self.booking_control().get("/control/runs").await;
        runs.expect("the replica reports its runs")
    }

    async fn book(&self, node: usize) -> Result<Reply> {
        self.nodes[node].book(BARBER_KEY, KEY, BODY).await
    }

    async fn set_behaviour(&self, behaviour: Value) {
        let control = self.booking_control();
        let body = behaviour.to_string();
        let reply = control
            .call(Method::PUT, "/control/behaviour", json_headers(), body)
            .await;
        assert!(reply.expect("an answer").status.is_success());
    }

    async fn set_faults(&self, faults: Value) {
        let control = self.platform.control();
        let body = faults.to_string();
        let reply = control
            .call(Method::PUT, "/control/faults", json_headers(), body)
            .await;
        assert!(reply.expect("an answer").status.is_success());
    }

    async fn wait_received(&self) {
        wait_until("the replica received the call", || async {
            self.runs().await.received > 0
        })
        .await;
    }
}

fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = "application/json".parse().expect("a valid header");
    headers.insert("content-type", value);
    headers
}

fn outcome_of(reply: &Reply) -> (String, String) {
    let problem: Value = serde_json::from_slice(&reply.body).expect("a problem document");
    let text = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
    (text("outcome"), text("attempt"))
}

#[tokio::test]
async fn a_repeated_key_gets_the_first_answer() {
    let fixture = start_fixture(2, &[]).await;

    let first = fixture.book(0).await.expect("an answer");
    let second = fixture.book(1).await.expect("an answer");

    assert_eq!(first.status, second.status);
    assert_eq!(first.body, second.body);
    assert_eq!(second.headers["idempotent-replayed"], "true");
    assert_eq!(fixture.runs().await.total, 1);
}

#[tokio::test]
async fn a_key_with_another_body_is_refused() {
    let fixture = start_fixture(1, &[]).await;
    fixture.book(0).await.expect("an answer");

    let reply = fixture.nodes[0]
        .book(BARBER_KEY, KEY, "{}")
        .await
        .expect("an answer");

    assert_eq!(reply.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(fixture.runs().await.total, 1);
}

#[tokio::test]
async fn a_call_without_a_key_is_not_run() {
    let fixture = start_fixture(1, &[]).await;
    let client = JsonClient::new(fixture.nodes[0].callers);

    let path = "/v1/services/booking/bookings";
    let reply = client
        .call(Method::POST, path, bearer(BARBER_KEY), BODY)
        .await;

    let reply = reply.expect("an answer");
    assert_eq!(reply.status, StatusCode::BAD_REQUEST);
    assert_eq!(outcome_of(&reply).0, "not_run");
    assert_eq!(fixture.runs().await.received, 0);
}

#[tokio::test]
async fn five_nodes_at_once_run_a_key_once() {
    let fixture = start_fixture(5, &["--delay-ms", "100"]).await;

    let replies = join_all((0..5).map(|node| fixture.book(node))).await;

    let statuses: Vec<_> = replies.iter().flatten().map(|reply| reply.status).collect();
    assert!(statuses.contains(&StatusCode::CREATED) || statuses.contains(&StatusCode::OK));
    assert_eq!(fixture.runs().await.total, 1, "{statuses:?}");
}

#[rstest]
#[case::run_then_hang(json!({ "run_then_hang": true }), 1)]
#[case::run_then_close(json!({ "run_then_close": true }), 1)]
#[tokio::test]
async fn a_call_whose_answer_was_lost_is_not_sent_again(
    #[case] behaviour: Value,
    #[case] runs: u64,
) {
    let fixture = start_fixture(2, &[]).await;
    fixture.set_behaviour(behaviour).await;
    let first = tokio::spawn({
        let client = JsonClient::new(fixture.nodes[0].callers);
        let mut headers = bearer(BARBER_KEY);
        headers.insert("idempotency-key", KEY.parse().expect("a valid header"));
        let path = "/v1/services/booking/bookings";
        async move { client.call(Method::POST, path, headers, BODY).await }
    });
    fixture.wait_received().await;

    let second = fixture.book(1).await.expect("an answer");

    assert_eq!(
        outcome_of(&second),
        ("unknown".to_owned(), "not_run".to_owned())
    );
    assert!(second.headers.contains_key("retry-after"));
    let first = first.await.expect("the caller runs").expect("an answer");
    assert_eq!(outcome_of(&first).0, "unknown");
    assert_eq!(fixture.runs().await.total, runs);
}

#[rstest]
#[case::before_the_run(json!({ "delay_ms": 1500 }))]
#[case::after_the_run(json!({ "run_then_hang": true }))]
#[tokio::test]
async fn a_killed_node_leaves_at_most_one_run(#[case] behaviour: Value) {
    let mut fixture = start_fixture(2, &[]).await;
    fixture.set_behaviour(behaviour).await;
    let first = tokio::spawn({
        let client = JsonClient::new(fixture.nodes[0].callers);
        let mut headers = bearer(BARBER_KEY);
        headers.insert("idempotency-key", KEY.parse().expect("a valid header"));
        let path = "/v1/services/booking/bookings";
        async move { client.call(Method::POST, path, headers, BODY).await }
    });
    fixture.wait_received().await;

    fixture.nodes[0].process.kill().expect("the node is killed");
    let _ = first.await;
    let second = fixture.book(1).await.expect("an answer");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let third = fixture.book(1).await.expect("an answer");

    assert_ne!(outcome_of(&second).0, "not_run");
    assert_ne!(outcome_of(&third).0, "not_run");
    assert!(fixture.runs().await.total <= 1);
}

#[tokio::test]
async fn lost_table_responses_do_not_cause_a_second_run() {
    let fixture = start_fixture(1, &[]).await;
    fixture.set_faults(json!({ "lost_answers": 6 })).await;

    let reply = fixture.book(0).await.expect("an answer");

    fixture.set_faults(json!({})).await;
    let again = fixture.book(0).await.expect("an answer");
    assert!(reply.status.is_success(), "{reply:?}");
    assert_eq!(again.body, reply.body);
    assert_eq!(fixture.runs().await.total, 1);
}

#[tokio::test]
async fn a_call_is_unknown_and_not_sent_while_the_table_is_down() {
    let fixture = start_fixture(1, &[]).await;
    fixture.set_faults(json!({ "is_down": true })).await;

    let refused = fixture.book(0).await.expect("an answer");
    fixture.set_faults(json!({})).await;

    assert_eq!(
        outcome_of(&refused),
        ("unknown".to_owned(), "not_run".to_owned())
    );
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(fixture.runs().await.received, 0);
    wait_until("the call runs", || async {
        fixture
            .book(0)
            .await
            .is_ok_and(|reply| reply.status.is_success())
    })
    .await;
    assert_eq!(fixture.runs().await.total, 1);
}

#[tokio::test]
async fn a_node_that_resumes_after_a_freeze_runs_no_call_twice() {
    let mut fixture = start_fixture(2, &[]).await;
    fixture
        .set_faults(json!({ "answer_delay_ms": 300, "lost_table": null }))
        .await;
    let first = tokio::spawn({
        let client = JsonClient::new(fixture.nodes[0].callers);
        let mut headers = bearer(BARBER_KEY);
        headers.insert("idempotency-key", KEY.parse().expect("a valid header"));
        let path = "/v1/services/booking/bookings";
        async move { client.call(Method::POST, path, headers, BODY).await }
    });
    tokio::time::sleep(Duration::from_millis(150)).await;

    fixture.nodes[0]
        .process
        .freeze()
        .expect("the node is frozen");
    fixture.set_faults(json!({})).await;
    let second = fixture.book(1).await.expect("an answer");
    fixture.nodes[0]
        .process
        .unfreeze()
        .expect("the node resumes");
    let _ = first.await;
    let third = fixture.book(1).await.expect("an answer");

    assert!(fixture.runs().await.total <= 1, "{second:?} {third:?}");
}
