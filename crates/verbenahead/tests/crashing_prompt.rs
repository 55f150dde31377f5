//! Failure pattern: one part of a prompt crashes each replica that begins to answer a request with it,
//! and such requests keep coming at all nodes.

mod relay_support;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
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

/// Part of the prompts that crashes replicas.
const HARMFUL: &str = "bad0";

/// Time after which calm nodes must have reacted, as in the settings of the nodes.
const CALM: Duration = Duration::from_secs(3);

/// Limit on the harmful requests that reach replicas later than `CALM` after the fifth crash.
const MAX_LATE: usize = 3;

/// Time between two harmful requests, and between two sound ones.
const INTERVAL: Duration = Duration::from_millis(60);

fn options() -> FleetOptions {
    FleetOptions {
        replicas: 8,
        behaviour: ReplicaBehaviour::Stream(4, Duration::from_millis(5)),
        make_harmful: |replica: &UsersReplica| replica.crash_on(HARMFUL),
        is_harmful: |run: &RecordedRun| run.has_part(HARMFUL),
    }
}

/// Sends harmful and sound requests to all nodes in turn for `period`. Sound ones have the same key,
/// the same first part and one of a few second parts. Returns the statuses of the sound requests.
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
        let prompt = format!("1a:200,{HARMFUL}:50,{id:x}:50");
        let nodes_of_harmful = Arc::clone(nodes);
        harmful.spawn(async move {
            let node = &nodes_of_harmful[n % nodes_of_harmful.len()];
            node.ask_with_prompt(path, &format!("h{id}"), &prompt).await;
        });
        let prompt = format!("1a:200,c{}:50,{:x}:50", n % 5, id ^ 1);
        let nodes_of_sound = Arc::clone(nodes);
        sound.spawn(async move {
            let node = &nodes_of_sound[(n + 1) % nodes_of_sound.len()];
            let answer = node.ask_with_prompt(path, &format!("s{id}"), &prompt).await;
            answer.map(|(status, _)| status)
        });
        sleep(INTERVAL).await;
    }
    harmful.join_all().await;
    sound.join_all().await
}

/// Guards against the incident BUDGET: requests with one part in their prompts were sent to one replica
/// after the other, and each of them crashed.
#[rstest]
#[case::run_once("/draft/1")]
#[case::resumable("/notes/1")]
#[tokio::test]
async fn a_prompt_part_that_crashed_five_replicas_reaches_no_more(#[case] path: &'static str) {
    let fleet = Fleet::start(options()).await;
    let mut nodes = Vec::new();
    for n in 0..4 {
        nodes.push(fleet.start_node(&format!("n{n}")).await);
    }
    let nodes = Arc::new(nodes);

    send_both(&nodes, path, Duration::from_millis(4_500)).await;
    let statuses = send_both(&nodes, path, Duration::from_millis(2_500)).await;

    let late = fleet.late_runs(5, CALM).await;
    assert!(late <= MAX_LATE, "{late} late");
    assert_most_served(&statuses);
}

/// Sends harmful requests until all nodes know that the part is quarantined.
async fn quarantine_on_all(nodes: &Arc<Vec<RelayProcess>>) {
    for _ in 0..20 {
        send_both(nodes, "/draft/1", Duration::from_millis(500)).await;
        let knows = |node: &RelayProcess| !node.lines_of("content quarantined").is_empty();
        if nodes.iter().all(knows) {
            return;
        }
    }
    panic!("the part is not quarantined on all nodes within 10 s");
}

/// Guards against a quarantine that ends with the processes that know it.
#[rstest]
#[case::nothing_else(false)]
#[case::restored_store(true)]
#[tokio::test]
async fn a_quarantine_outlives_the_end_of_all_nodes(#[case] is_store_restored: bool) {
    let fleet = Fleet::start(options()).await;
    let mut nodes = Vec::new();
    for n in 0..3 {
        nodes.push(fleet.start_node(&format!("n{n}")).await);
    }
    let nodes = Arc::new(nodes);
    let copy = fleet.deployment.lock().await.platform.copy();
    quarantine_on_all(&nodes).await;
    if is_store_restored {
        fleet.deployment.lock().await.platform.restore(copy);
    }
    sleep(Duration::from_secs(1)).await;

    drop(nodes);
    let started = fleet.start_node("n9").await;
    sleep(Duration::from_millis(300)).await;
    let since = Instant::now();
    send_both(&Arc::new(vec![started]), "/draft/1", Duration::from_secs(1)).await;

    assert_eq!(fleet.harmful_runs_after(since).await, 0);
}
