//! A relaying node that runs as a process: start, configuration, outages, drain and logs.

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

/// Sends a request and returns the status of the answer, if there is one.
async fn status(node: &RelayProcess, method: Method, path: &str, id: &str) -> Option<StatusCode> {
    let answer = node.ask(method, path, id).await;
    answer.map(|(status, _)| status)
}

#[tokio::test]
async fn a_request_is_relayed_and_logged() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;

    let answer = node.ask(Method::GET, "/look/1", "r1").await;

    assert_eq!(answer.expect("an answer").0, StatusCode::OK);
    let request_line = |message: &str| {
        let lines = node.lines_of(message);
        lines.into_iter().find(|line| line["request"] == "r1")
    };
    eventually("the log lines of the request", async || {
        request_line("request sent").is_some() && request_line("request ended").is_some()
    })
    .await;
    let sent = request_line("request sent").expect("a log line");
    assert_eq!(
        (&sent["upstream"], &sent["generation"]),
        (&"i-0".into(), &4.into())
    );
    let ended = request_line("request ended").expect("a log line");
    assert_eq!(
        (&ended["result"], &ended["workspace"]),
        (&"answered".into(), &"paving".into())
    );
}

#[tokio::test]
async fn the_log_names_the_parts_of_a_prompt_whose_answer_broke_off() {
    let deployment = start_deployment(1, ReplicaBehaviour::BreakStream(0)).await;
    let node = deployment.start_node("n1").await;

    node.ask_with_prompt("/notes/1", "r1", "1a:200,2b:50,3c:50")
        .await;

    eventually("the log line of the broken answer", async || {
        let lines = node.lines_of("answer broke off");
        lines
            .iter()
            .any(|l| l["request"] == "r1" && l["parts"] == "1a,2b")
    })
    .await;
    eventually("the log line of the end", async || {
        let lines = node.lines_of("request ended");
        lines
            .iter()
            .any(|l| l["request"] == "r1" && l["parts"] == "1a,2b")
    })
    .await;
}

#[tokio::test]
async fn a_node_whose_store_does_not_answer_refuses_requests_at_once() {
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
async fn a_node_with_a_wrong_store_address_logs_it_and_is_not_ready() {
    let unused = "127.0.0.1:1".parse().expect("an address");

    let node = start_node(&settings("n1", "east", unused));

    eventually("the log line of the lost store", async || {
        !node.lines_of("dependency lost").is_empty()
    })
    .await;
    assert!(!node.is_ready().await);
}

#[tokio::test]
async fn a_new_configuration_is_applied_in_time_and_an_older_one_never() {
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
async fn an_invalid_configuration_leaves_the_previous_one_in_force() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;

    deployment
        .platform
        .put("op", "config", &"no configuration".into());
    eventually("the log line", async || {
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
async fn requests_are_served_during_an_outage_of_the_store(#[case] fault: StoreFault) {
    let deployment = start_deployment(2, OK).await;
    let node = deployment.start_node("n1").await;
    deployment.platform.set_fault(fault);
    // A change ends the held feed call; the next call fails.
    deployment.platform.put("servers", "i-9", &"nothing".into());
    deployment.platform.put("op", "other", &1.into());
    eventually("the loss of the store is logged", async || {
        !node.lines_of("dependency lost").is_empty()
    })
    .await;

    let during = status(&node, Method::POST, "/file/1", "r1").await;
    deployment.platform.set_fault(StoreFault::None);
    deployment.platform.remove("servers", "i-0");
    eventually("the return of the store is logged", async || {
        !node.lines_of("dependency regained").is_empty()
    })
    .await;
    eventually(
        "the replica without a registration is removed",
        async || !node.lines_of("replica removed").is_empty(),
    )
    .await;

    assert_eq!(during, Some(StatusCode::OK));
}

#[tokio::test]
async fn replicas_whose_registrations_expired_in_an_outage_stay_in_use_until_they_register_again() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;
    deployment.platform.set_fault(StoreFault::Busy);
    deployment.platform.remove("servers", "i-0");
    eventually("the loss of the store is logged", async || {
        !node.lines_of("dependency lost").is_empty()
    })
    .await;

    deployment.platform.set_fault(StoreFault::None);
    eventually("the return of the store is logged", async || {
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
async fn invalid_registrations_are_ignored_and_logged_once() {
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
async fn a_replica_restarted_under_the_same_id_gets_requests_at_its_new_address() {
    let deployment = start_deployment(1, OK).await;
    let node = deployment.start_node("n1").await;
    let again = UsersReplica::start("i-0", OK).await.expect("a free port");
    let entry = serde_json::json!({
        "service": "desk", "address": again.address().to_string(), "zone": "east",
        "version": "v1", "slots": 8, "state": "ready", "sequence": 1,
        "born": 1_772_997_299_999_u64,
    });

    deployment.platform.put("servers", "i-0", &entry);

    eventually("a run at the restarted replica", async || {
        let _ = status(&node, Method::GET, "/look/1", "r1").await;
        !again.runs().is_empty()
    })
    .await;
}

#[tokio::test]
async fn a_graceful_shutdown_answers_requests_and_exits_successfully() {
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
async fn an_unread_log_delays_no_request() {
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
async fn a_stopping_node_accepts_no_requests_that_might_outlast_its_grace_period() {
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
async fn the_stop_of_a_node_is_logged_before_it_exits() {
    for _ in 0..5 {
        let deployment = start_deployment(1, OK).await;
        let mut node = deployment.start_node("n1").await;

        node.signal(Signal::SIGTERM);
        assert!(node.wait_end().await);

        // The test may read the last line only after the process has ended.
        eventually("the log line", async || {
            !node.lines_of("node stopped").is_empty()
        })
        .await;
    }
}

#[tokio::test]
async fn a_node_that_never_reached_its_store_is_not_ready_and_stops_on_request() {
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut node = start_node(&settings("n1", "east", unused));

    let answer = status(&node, Method::GET, "/look/1", "r1").await;

    assert_eq!(answer, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(!node.is_ready().await);
    eventually("the log line", async || {
        !node.lines_of("dependency lost").is_empty()
    })
    .await;
    node.signal(Signal::SIGTERM);
    assert!(node.wait_end().await);
}
