//! A relaying node as a process: start, configuration, outage, drain and logs.

mod relay_support;

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use relay_support::{
    OutputReader, RelayProcess, configuration, eventually, register, settings, start_deployment,
    start_node, start_node_with,
};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use verbenahead_standins::users::{ReplicaBehaviour, StoreFault, UsersPlatform, UsersReplica};

const OK: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);

async fn status(node: &RelayProcess, method: Method, path: &str, id: &str) -> Option<StatusCode> {
    let answer = node.ask(method, path, id).await;
    answer.map(|(status, _)| status)
}

#[tokio::test]
async fn a_request_goes_through_and_is_explained_in_the_log() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;

    let answer = node.ask(Method::GET, "/look/1", "r1").await;

    assert_eq!(answer.expect("an answer").0, StatusCode::OK);
    let of_request = |message: &str| {
        let lines = node.lines_of(message);
        lines.into_iter().find(|line| line["request"] == "r1")
    };
    eventually("the lines of the request", async || {
        of_request("request sent").is_some() && of_request("request ended").is_some()
    })
    .await;
    let sent = of_request("request sent").expect("a line");
    assert_eq!(
        (&sent["upstream"], &sent["generation"]),
        (&"i-0".into(), &4.into())
    );
    let ended = of_request("request ended").expect("a line");
    assert_eq!(
        (&ended["result"], &ended["workspace"]),
        (&"answered".into(), &"paving".into())
    );
}

#[tokio::test]
async fn a_node_without_the_store_answers_at_once_that_it_is_not_ready() {
    let platform = UsersPlatform::start().await.expect("a free port");
    platform.set_fault(StoreFault::Silent);
    let node = start_node(&settings("n1", "east", platform.address()));
    let started = Instant::now();

    let answer = status(&node, Method::POST, "/file/1", "r1").await;

    assert_eq!(answer, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(started.elapsed() < Duration::from_secs(1));
    assert!(!node.is_ready().await);
}

#[tokio::test]
async fn a_node_with_a_wrong_address_of_the_store_says_so_and_waits() {
    let nobody = "127.0.0.1:1".parse().expect("an address");

    let node = start_node(&settings("n1", "east", nobody));

    eventually("the line of the lost store", async || {
        !node.lines_of("dependency lost").is_empty()
    })
    .await;
    assert!(!node.is_ready().await);
}

#[tokio::test]
async fn a_new_configuration_is_in_force_soon_and_an_old_one_never_again() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;
    let mut next = configuration(9);
    next["routes"][0]["prefix"] = "/moved/".into();

    deployment.platform.put("op", "config", &next);
    let started = Instant::now();
    eventually("the moved route", async || {
        status(&node, Method::GET, "/moved/1", "r1").await == Some(StatusCode::OK)
    })
    .await;
    let elapsed = started.elapsed();
    deployment.platform.put("op", "config", &configuration(4));
    sleep(Duration::from_millis(500)).await;

    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    let moved = status(&node, Method::GET, "/moved/1", "r2").await;
    assert_eq!(moved, Some(StatusCode::OK));
    let old = status(&node, Method::GET, "/look/1", "r3").await;
    assert_eq!(old, Some(StatusCode::NOT_FOUND));
}

#[tokio::test]
async fn a_configuration_that_cannot_be_read_leaves_the_old_one() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;

    deployment
        .platform
        .put("op", "config", &"no configuration".into());
    eventually("the line about it", async || {
        !node
            .lines_of("routes cannot be read, the old ones stay")
            .is_empty()
    })
    .await;

    let answer = status(&node, Method::GET, "/look/1", "r1").await;
    assert_eq!(answer, Some(StatusCode::OK));
}

#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::reset(StoreFault::Reset)]
#[tokio::test]
async fn an_outage_of_the_store_stops_no_request(#[case] fault: StoreFault) {
    let deployment = start_deployment(2, OK).await;
    let node = deployment.start_node("n1").await;
    deployment.platform.set_fault(fault);
    // The feed ends with a change, and is refused from then on.
    deployment.platform.put("servers", "i-9", &"nothing".into());
    deployment.platform.put("op", "other", &1.into());
    eventually("the lost store", async || {
        !node.lines_of("dependency lost").is_empty()
    })
    .await;

    let during = status(&node, Method::POST, "/file/1", "r1").await;
    deployment.platform.set_fault(StoreFault::None);
    deployment.platform.remove("servers", "i-0");
    eventually("the store again", async || {
        !node.lines_of("dependency regained").is_empty()
    })
    .await;
    eventually("the replica that did not come back", async || {
        !node.lines_of("replica removed").is_empty()
    })
    .await;

    assert_eq!(during, Some(StatusCode::OK));
}

#[tokio::test]
async fn registrations_that_lapsed_in_an_outage_stay_in_use_until_they_come_back() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;
    deployment.platform.set_fault(StoreFault::Busy);
    deployment.platform.remove("servers", "i-0");
    eventually("the lost store", async || {
        !node.lines_of("dependency lost").is_empty()
    })
    .await;

    deployment.platform.set_fault(StoreFault::None);
    eventually("the store again", async || {
        !node.lines_of("dependency regained").is_empty()
    })
    .await;
    let between = status(&node, Method::GET, "/look/1", "r1").await;
    register(&deployment.platform, "i-0", &deployment.replicas[0]);
    sleep(Duration::from_millis(2_800)).await;

    assert_eq!(between, Some(StatusCode::OK));
    let later = status(&node, Method::GET, "/look/1", "r2").await;
    assert_eq!(later, Some(StatusCode::OK));
    assert!(node.lines_of("replica removed").is_empty());
}

#[tokio::test]
async fn foreign_registrations_are_logged_once_and_name_no_replica() {
    let deployment = start_deployment(1, OK).await;
    deployment
        .platform
        .put_raw("servers", "i-8", "AAAA".to_owned());
    let node = deployment.start_node("n1").await;
    deployment
        .platform
        .put("servers", "i-8", &serde_json::json!({"service": 7}));
    deployment
        .platform
        .put("servers", "i-8", &serde_json::json!({"service": 8}));
    sleep(Duration::from_millis(800)).await;

    let answer = status(&node, Method::GET, "/look/1", "r1").await;

    assert_eq!(answer, Some(StatusCode::OK));
    assert_eq!(node.lines_of("registration names no replica").len(), 1);
}

#[tokio::test]
async fn a_replica_that_starts_again_under_its_id_is_another_one() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;
    let again = UsersReplica::start("i-0", OK).await.expect("a free port");
    let entry = serde_json::json!({
        "service": "desk", "address": again.address().to_string(), "zone": "east",
        "version": "v1", "slots": 8, "state": "ready", "sequence": 1,
        "born": 1_772_997_299_999_u64,
    });

    deployment.platform.put("servers", "i-0", &entry);

    eventually("a run at the new life", async || {
        let _ = status(&node, Method::GET, "/look/1", "r1").await;
        !again.runs().is_empty()
    })
    .await;
}

#[tokio::test]
async fn a_planned_stop_serves_what_comes_and_ends_well() {
    let slow = ReplicaBehaviour::Answer(StatusCode::OK, Duration::from_millis(1_200));
    let deployment = start_deployment(1, slow).await;
    let mut node = deployment.start_node("n1").await;
    let asked = node.ask(Method::POST, "/file/1", "r1");
    let stopping = async {
        sleep(Duration::from_millis(100)).await;
        node.signal(Signal::SIGTERM);
        sleep(Duration::from_millis(300)).await;
        node.is_ready().await
    };

    let (answer, is_ready) = tokio::join!(asked, stopping);

    assert_eq!(answer.expect("an answer").0, StatusCode::OK);
    assert!(!is_ready);
    assert!(node.wait_end().await);
    assert_eq!(node.lines_of("node stopped").len(), 1);
}

#[tokio::test]
async fn a_log_that_nobody_reads_delays_no_request() {
    let deployment = start_deployment(1, OK).await;
    let text = settings("n1", "east", deployment.platform.address());
    let node = start_node_with(&text, OutputReader::Stops);
    node.wait_ready().await;
    let started = Instant::now();

    for n in 0..1_500 {
        let answer = status(&node, Method::GET, "/look/1", &format!("r{n}")).await;
        assert_eq!(answer, Some(StatusCode::OK));
    }

    assert!(started.elapsed() < Duration::from_secs(60));
}

#[tokio::test]
async fn metrics_count_requests_by_route_and_reason() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;
    status(&node, Method::GET, "/look/1", "r1").await;
    status(&node, Method::GET, "/nothing/1", "r2").await;

    let metrics = node.metrics().await;

    for line in [
        r#"verbenahead_relay_requests_total{result="answered",route="look"} 1"#,
        r#"verbenahead_relay_own_answers_total{reason="unknown_route"} 1"#,
        "verbenahead_relay_routes_generation 4",
        "verbenahead_relay_store_reachable 1",
    ] {
        assert!(metrics.contains(line), "{line} is missing in\n{metrics}");
    }
}

#[tokio::test]
async fn a_node_that_stops_takes_nothing_that_may_outlast_its_grace_period() {
    let deployment = start_deployment(1, OK).await;
    let text = settings("n1", "east", deployment.platform.address());
    let node = start_node(&text.replace(r#""grace_s":3"#, r#""grace_s":8"#));
    node.wait_ready().await;

    node.signal(Signal::SIGTERM);
    sleep(Duration::from_millis(2_300)).await;
    let before = status(&node, Method::GET, "/look/1", "r1").await;
    sleep(Duration::from_millis(600)).await;
    let after = status(&node, Method::GET, "/look/1", "r2").await;

    assert_eq!(before, Some(StatusCode::OK));
    assert_eq!(after, None);
}

#[tokio::test]
async fn the_last_line_of_a_node_says_that_it_stopped() {
    for _ in 0..5 {
        let deployment = start_deployment(1, OK).await;
        let mut node = deployment.start_node("n1").await;

        node.signal(Signal::SIGTERM);
        assert!(node.wait_end().await);

        // The reader of the output may be behind the end of the process.
        eventually("the line", async || {
            !node.lines_of("node stopped").is_empty()
        })
        .await;
    }
}

#[tokio::test]
async fn a_node_without_a_store_is_not_ready_and_says_when_to_come_back() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut node = start_node(&settings("n1", "east", nobody));

    let answer = status(&node, Method::GET, "/look/1", "r1").await;

    assert_eq!(answer, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(!node.is_ready().await);
    eventually("the line", async || {
        !node.lines_of("dependency lost").is_empty()
    })
    .await;
    node.signal(Signal::SIGTERM);
    assert!(node.wait_end().await);
}
