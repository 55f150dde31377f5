//! Failure pattern: a replica in need names in its answers how many requests a second it takes from all
//! nodes together, and callers send more than that through all nodes.

mod relay_support;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use relay_support::{Deployment, RelayProcess, start_deployment};
use rstest::rstest;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};

/// Time after which calm nodes must heed a limit, as in the settings of the nodes.
const CALM: Duration = Duration::from_secs(3);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(40);

const REPLICAS: usize = 4;

/// Returns how many requests a replica may get in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

async fn start_nodes(deployment: &Deployment, count: usize) -> Arc<Vec<RelayProcess>> {
    let mut nodes = Vec::new();
    for n in 0..count {
        nodes.push(deployment.start_node(&format!("n{n}")).await);
    }
    Arc::new(nodes)
}

/// Sends requests to the nodes in turn for `period`. Returns the status of each answer and the time that
/// it took.
async fn send(
    nodes: &Arc<Vec<RelayProcess>>,
    period: Duration,
) -> Vec<(Option<StatusCode>, Duration)> {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    let mut n = 0;
    while started.elapsed() < period {
        n += 1;
        let nodes = Arc::clone(nodes);
        let id: u64 = rand::random();
        calls.spawn(async move {
            let node = &nodes[n % nodes.len()];
            let sent_at = Instant::now();
            let prompt = format!("1a:200,{:x}:50,{id:x}:50", id ^ 1);
            let answer = node
                .ask_with_prompt("/notes/1", &format!("r{id}"), &prompt)
                .await;
            (answer.map(|(status, _)| status), sent_at.elapsed())
        });
        sleep(INTERVAL).await;
    }
    calls.join_all().await
}

/// Returns the times of the runs of a replica since `since`.
fn runs_since(replica: &UsersReplica, since: Instant) -> Vec<Instant> {
    let runs = replica.runs().into_iter().map(|run| run.at);
    runs.filter(|at| *at >= since).collect()
}

/// Returns the most runs in a window.
fn most_in_window(runs: &[Instant]) -> usize {
    let in_window = |first: &Instant| {
        let is_within = |at: &&Instant| **at >= *first && **at < *first + WINDOW;
        runs.iter().filter(is_within).count()
    };
    runs.iter().map(in_window).max().unwrap_or_default()
}

/// Guards against the incident LIMIT: a replica that had named a limit got more requests from the nodes
/// that it had told.
#[rstest]
#[case::one_a_second("1", 1.0)]
#[case::three_a_second("3", 3.0)]
#[tokio::test]
async fn a_replica_gets_no_more_requests_than_its_limit(#[case] text: &str, #[case] limit: f64) {
    let behaviour = ReplicaBehaviour::Stream(3, Duration::from_millis(5));
    let deployment = start_deployment(REPLICAS, behaviour).await;
    let nodes = start_nodes(&deployment, 4).await;
    let limited = &deployment.replicas[0];
    limited.set_limit(Some(text));

    send(&nodes, CALM).await;
    let since = Instant::now();
    let answers = send(&nodes, Duration::from_secs(8)).await;

    let runs = runs_since(limited, since);
    let most = most_in_window(&runs);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    // At least half of what the replica takes is used, and the other replicas take the rest.
    assert!(runs.len() as f64 >= limit * 4.0, "{} runs", runs.len());
    let served = answers.iter().filter(|(s, _)| *s == Some(StatusCode::OK));
    assert_eq!(served.count(), answers.len());
}

#[tokio::test]
async fn callers_are_refused_at_once_while_all_replicas_are_at_their_limits() {
    let behaviour = ReplicaBehaviour::Stream(3, Duration::from_millis(5));
    let deployment = start_deployment(REPLICAS, behaviour).await;
    let nodes = start_nodes(&deployment, 4).await;
    deployment
        .replicas
        .iter()
        .for_each(|r| r.set_limit(Some("2")));

    send(&nodes, CALM).await;
    let since = Instant::now();
    let answers = send(&nodes, Duration::from_secs(8)).await;

    for replica in &deployment.replicas {
        let most = most_in_window(&runs_since(replica, since));
        assert!(most <= allowed(2.0), "{most} of {}", allowed(2.0));
    }
    let of = |wanted: StatusCode| {
        let is_wanted =
            move |(status, _): &&(Option<StatusCode>, Duration)| *status == Some(wanted);
        answers.iter().filter(is_wanted).collect::<Vec<_>>()
    };
    let (served, refused) = (of(StatusCode::OK), of(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(served.len() + refused.len(), answers.len());
    // Four replicas take 64 requests in 8 s; at least half of that is used.
    assert!(served.len() >= 32, "{}", served.len());
    let slow = refused
        .iter()
        .filter(|(_, took)| *took > Duration::from_millis(400));
    assert_eq!(slow.count(), 0);
}

#[tokio::test]
async fn a_replica_whose_limit_has_ended_gets_its_part_again() {
    let behaviour = ReplicaBehaviour::Stream(3, Duration::from_millis(5));
    let deployment = start_deployment(REPLICAS, behaviour).await;
    let nodes = start_nodes(&deployment, 4).await;
    let limited = &deployment.replicas[0];
    limited.set_limit(Some("2"));
    send(&nodes, Duration::from_secs(4)).await;

    limited.set_limit(None);
    send(&nodes, Duration::from_secs(4)).await;
    let since = Instant::now();
    let answers = send(&nodes, Duration::from_secs(4)).await;

    let runs = runs_since(limited, since).len();
    assert!(runs * 8 >= answers.len(), "{runs} of {}", answers.len());
}
