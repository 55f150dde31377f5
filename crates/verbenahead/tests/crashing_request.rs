//! Failure pattern: one request crashes each replica that begins to run it, and comes again at all
//! nodes with the same path, caller and body.

mod relay_support;

use std::{sync::Arc, time::Duration};

use http::{Method, StatusCode};
use relay_support::{
    RelayProcess,
    fleet::{Fleet, FleetOptions, assert_most_served},
};
use rstest::rstest;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use verbenahead_standins::users::{RecordedRun, ReplicaBehaviour, UsersReplica};

/// Body of the request that crashes replicas.
const HARMFUL: &str = "a harmful filing";

/// Paths of the request that crashes replicas, on each kind of route.
const PATHS: [&str; 4] = ["/look/bad", "/file/bad", "/draft/bad", "/notes/bad"];

/// Time after which calm nodes must have reacted, as in the settings of the nodes.
const CALM: Duration = Duration::from_secs(3);

/// Limit on the sends of the request to replicas later than `CALM` after the third crash.
const MAX_LATE: usize = 3;

/// Time between two sends of the harmful request, and between two sound ones.
const INTERVAL: Duration = Duration::from_millis(60);

fn options(behaviour: ReplicaBehaviour) -> FleetOptions {
    let make_harmful = |replica: &UsersReplica| {
        PATHS
            .iter()
            .for_each(|path| replica.crash_on_request(path, HARMFUL));
    };
    let is_harmful = |run: &RecordedRun| PATHS.iter().any(|path| run.is_request(path, HARMFUL));
    FleetOptions {
        replicas: 4,
        behaviour,
        make_harmful,
        is_harmful,
    }
}

async fn start_nodes(fleet: &Fleet, count: usize) -> Arc<Vec<RelayProcess>> {
    let mut nodes = Vec::new();
    for n in 0..count {
        nodes.push(fleet.start_node(&format!("n{n}")).await);
    }
    Arc::new(nodes)
}

/// Sends the harmful request and sound ones of the same route and caller to all nodes in turn for
/// `period`. Half of the sound ones have the path of the harmful one, and no two have the same body.
/// Returns the statuses of the sound requests.
async fn send_both(
    nodes: &Arc<Vec<RelayProcess>>,
    path: &'static str,
    period: Duration,
) -> Vec<Option<StatusCode>> {
    let started = Instant::now();
    let mut sound = JoinSet::new();
    let mut harmful = JoinSet::new();
    let mut n: usize = 0;
    while started.elapsed() < period {
        n += 1;
        let id: u64 = rand::random();
        let nodes_of_harmful = Arc::clone(nodes);
        harmful.spawn(async move {
            let node = &nodes_of_harmful[n % nodes_of_harmful.len()];
            node.ask_with_body(Method::POST, path, &format!("h{id}"), HARMFUL)
                .await;
        });
        let nodes_of_sound = Arc::clone(nodes);
        sound.spawn(async move {
            let node = &nodes_of_sound[(n + 1) % nodes_of_sound.len()];
            let sound_path = match n % 2 {
                0 => path.to_owned(),
                _ => format!("{path}{n}"),
            };
            let (request_id, body) = (format!("s{id}"), format!("filing {id}"));
            let answer = node.ask_with_body(Method::POST, &sound_path, &request_id, &body);
            answer.await.map(|(status, _)| status)
        });
        sleep(INTERVAL).await;
    }
    harmful.join_all().await;
    sound.join_all().await
}

/// Guards against the incident BUDGET: a request that had crashed three replicas was sent to one replica
/// after the other whenever it came again, and each of them crashed.
#[rstest]
#[case::idempotent(PATHS[0], ReplicaBehaviour::Answer(StatusCode::OK, Duration::from_millis(5)))]
#[case::run_once(PATHS[1], ReplicaBehaviour::Answer(StatusCode::OK, Duration::from_millis(5)))]
#[case::stream(PATHS[2], ReplicaBehaviour::Stream(4, Duration::from_millis(5)))]
#[case::resumable_stream(PATHS[3], ReplicaBehaviour::Stream(4, Duration::from_millis(5)))]
#[tokio::test]
async fn a_request_that_crashed_three_replicas_reaches_no_more(
    #[case] path: &'static str,
    #[case] behaviour: ReplicaBehaviour,
) {
    let fleet = Fleet::start(options(behaviour)).await;
    let nodes = start_nodes(&fleet, 4).await;

    send_both(&nodes, path, Duration::from_millis(4_500)).await;
    let statuses = send_both(&nodes, path, Duration::from_millis(2_500)).await;

    let late = fleet.late_runs(3, CALM).await;
    assert!(late <= MAX_LATE, "{late} late");
    assert_most_served(&statuses);
}

/// Guards against a quarantine of a request that ends with the processes that know it.
#[tokio::test]
async fn a_quarantine_of_a_request_outlives_the_end_of_all_nodes() {
    let behaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::from_millis(5));
    let fleet = Fleet::start(options(behaviour)).await;
    let nodes = start_nodes(&fleet, 3).await;
    let saved = |node: &RelayProcess| !node.lines_of("quarantined content saved").is_empty();
    for _ in 0..20 {
        send_both(&nodes, PATHS[0], Duration::from_millis(500)).await;
        if nodes.iter().any(saved) {
            break;
        }
    }
    assert!(nodes.iter().any(saved));

    drop(nodes);
    let started = Arc::new(vec![fleet.start_node("n9").await]);
    sleep(Duration::from_millis(300)).await;
    let since = Instant::now();
    send_both(&started, PATHS[0], Duration::from_secs(1)).await;

    assert_eq!(fleet.harmful_runs_after(since).await, 0);
}
