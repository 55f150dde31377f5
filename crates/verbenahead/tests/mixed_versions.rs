//! Failure pattern: replicas of two software versions serve side by side, and streams that are
//! interrupted go on at the other version.

mod relay_support;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use relay_support::{
    Deployment, RelayProcess, register_version, settings, start_deployment, start_node,
    streams::{OpenStream, open_stream},
};
use rstest::rstest;
use tokio::{task::JoinSet, time::sleep};
use verbenahead_standins::{
    link::{Link, LinkChange, LinkMode, LinkOptions},
    users::{ReplicaBehaviour, UsersReplica},
};

const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Streams that are interrupted in a test.
const STREAMS: usize = 24;

/// Events that a caller has before its stream is interrupted.
const EVENTS_BEFORE: u64 = 3;

/// Limit on the streams with events of two versions.
const MAX_MIXED: usize = 2;

fn slow_stream() -> ReplicaBehaviour {
    ReplicaBehaviour::Stream(40, Duration::from_millis(25))
}

/// Starts a platform with `count` replicas of the two versions in turn.
async fn start_mixed(count: usize, behaviour: ReplicaBehaviour) -> Deployment {
    let mut deployment = start_deployment(0, behaviour.clone()).await;
    for n in 0..count {
        let id = format!("i-{n}");
        let replica = UsersReplica::start(&id, behaviour.clone()).await;
        let replica = replica.expect("a free port");
        register_version(&deployment.platform, &id, &replica, version_of(n));
        deployment.replicas.push(replica);
    }
    deployment
}

fn version_of(replica: usize) -> &'static str {
    VERSIONS[replica % VERSIONS.len()]
}

/// Returns the versions at which the requests with each id ran, by the number at the end of the id.
fn versions_by_number(deployment: &Deployment) -> HashMap<String, Vec<&'static str>> {
    let mut versions: HashMap<String, Vec<&str>> = HashMap::new();
    for (n, replica) in deployment.replicas.iter().enumerate() {
        for run in replica.runs() {
            let number = run.id.trim_start_matches(char::is_alphabetic).to_owned();
            versions.entry(number).or_default().push(version_of(n));
        }
    }
    versions
}

/// Returns the number of streams that ran at two versions.
fn mixed(deployment: &Deployment) -> usize {
    let versions = versions_by_number(deployment);
    let is_mixed = |versions: &&Vec<&str>| versions.iter().any(|v| *v != versions[0]);
    versions.values().filter(is_mixed).count()
}

/// Guards against the incident ORDER: a stream whose replica broke off or left went on within its response
/// at a replica of another software version.
#[tokio::test]
async fn a_stream_goes_on_within_its_response_only_at_its_version() {
    let deployment = start_mixed(8, ReplicaBehaviour::Stream(10, Duration::from_millis(5))).await;
    for replica in &deployment.replicas {
        for _ in 0..3 {
            replica.then(ReplicaBehaviour::BreakStream(EVENTS_BEFORE));
        }
    }
    let node = Arc::new(deployment.start_node("n1").await);

    let mut streams = JoinSet::new();
    for n in 0..STREAMS {
        let node = Arc::clone(&node);
        streams.spawn(async move {
            let answer = node.ask(Method::POST, "/notes/1", &format!("s{n}")).await;
            answer.is_some_and(|(status, _)| status == StatusCode::OK)
        });
    }
    let complete = streams.join_all().await;

    assert_eq!(mixed(&deployment), 0);
    let complete = complete.into_iter().filter(|is| *is).count();
    assert!(complete * 2 > STREAMS, "{complete}");
}

/// Starts streams through `node` and reads their first events.
async fn begin_streams(node: &RelayProcess) -> Vec<OpenStream> {
    let mut streams = Vec::new();
    for n in 0..STREAMS {
        let stream = open_stream(node, "/notes/1", &format!("s{n}"), &[]).await;
        streams.push(stream.expect("an answer"));
    }
    for stream in &mut streams {
        stream.read_to_event(EVENTS_BEFORE).await;
    }
    streams
}

/// Takes streams up at the nodes in turn, as their callers do. Returns how many went on to their end.
async fn take_up(nodes: Vec<RelayProcess>, streams: Vec<OpenStream>) -> usize {
    let nodes = Arc::new(nodes);
    let mut taken_up = JoinSet::new();
    for (n, stream) in streams.into_iter().enumerate() {
        let nodes = Arc::clone(&nodes);
        taken_up.spawn(async move {
            let last = stream.last_event.to_string();
            let began = format!("s{n}");
            let headers = [("last-event-id", last.as_str()), ("resumes", &began)];
            let node = &nodes[n % nodes.len()];
            let again = open_stream(node, "/notes/1", &format!("t{n}"), &headers).await;
            match again {
                Some(mut again) if again.status == StatusCode::OK => again.read_to_end().await,
                _ => false,
            }
        });
    }
    let complete = taken_up.join_all().await;
    complete.into_iter().filter(|is| *is).count()
}

/// Guards against the incident ORDER: a stream that its caller took up through another node went on at a
/// replica of another software version.
#[tokio::test]
async fn a_stream_that_its_caller_takes_up_goes_on_only_at_its_version() {
    let deployment = start_mixed(6, slow_stream()).await;
    let mut nodes = Vec::new();
    for n in 0..5 {
        nodes.push(deployment.start_node(&format!("n{n}")).await);
    }
    sleep(Duration::from_secs(1)).await;
    let streams = begin_streams(&nodes[0]).await;

    nodes.remove(0).signal(Signal::SIGKILL);
    let complete = take_up(nodes, streams).await;

    let mixed = mixed(&deployment);
    assert!(mixed <= MAX_MIXED, "{mixed} mixed, {complete} complete");
    assert!(complete * 2 > STREAMS, "{complete} complete");
}

/// Failure pattern: a release ends while streams of the version before are still to be taken up.
#[tokio::test]
async fn a_stream_is_refused_when_its_version_is_gone() {
    let deployment = start_mixed(6, slow_stream()).await;
    let mut nodes = Vec::new();
    for n in 0..3 {
        nodes.push(deployment.start_node(&format!("n{n}")).await);
    }
    sleep(Duration::from_secs(1)).await;
    let streams = begin_streams(&nodes[0]).await;
    for n in (0..6).step_by(2) {
        deployment.platform.remove("servers", &format!("i-{n}"));
    }
    sleep(Duration::from_millis(500)).await;

    take_up(nodes.split_off(1), streams).await;

    assert_eq!(mixed(&deployment), 0);
}

/// Starts a deployment with streams under way, ends all its nodes at once and starts others. `at_end` is
/// called while no node runs.
async fn restart_all_nodes(
    deployment: &Deployment,
    at_end: impl Fn(),
) -> (Vec<RelayProcess>, Vec<OpenStream>) {
    let mut nodes = Vec::new();
    for n in 0..3 {
        nodes.push(deployment.start_node(&format!("n{n}")).await);
    }
    sleep(Duration::from_secs(1)).await;
    let streams = begin_streams(&nodes[0]).await;
    for node in &nodes {
        node.signal(Signal::SIGKILL);
    }
    drop(nodes);
    at_end();
    let mut restarted = Vec::new();
    for n in 0..3 {
        restarted.push(deployment.start_node(&format!("n{n}")).await);
    }
    (restarted, streams)
}

/// Failure pattern: all nodes end at once as the last replicas of a version leave, and old replicas of the
/// other version are all that the nodes find when they start again.
#[tokio::test]
async fn a_stream_is_not_joined_from_two_versions_after_the_end_of_all_nodes() {
    let deployment = start_mixed(6, slow_stream()).await;
    let (nodes, streams) = restart_all_nodes(&deployment, || {
        for n in (0..6).step_by(2) {
            deployment.platform.remove("servers", &format!("i-{n}"));
        }
    })
    .await;

    take_up(nodes, streams).await;

    assert_eq!(mixed(&deployment), 0);
}

/// Failure pattern: all nodes end at once while replicas of two versions serve.
#[tokio::test]
async fn streams_are_taken_up_at_their_version_after_the_end_of_all_nodes() {
    let deployment = start_mixed(6, slow_stream()).await;
    let (nodes, streams) = restart_all_nodes(&deployment, || {}).await;

    let complete = take_up(nodes, streams).await;

    assert_eq!(mixed(&deployment), 0);
    assert!(complete * 2 > STREAMS, "{complete} complete");
}

/// Registers replicas of the second version beside those of the first.
async fn release(deployment: &mut Deployment, count: usize) {
    for n in 0..count {
        let id = format!("i-new-{n}");
        let replica = UsersReplica::start(&id, slow_stream()).await;
        let replica = replica.expect("a free port");
        register_version(&deployment.platform, &id, &replica, VERSIONS[1]);
        deployment.replicas.push(replica);
    }
}

/// Returns the numbers of the streams that ran at some of the replicas.
fn numbers(replicas: &[UsersReplica]) -> HashSet<String> {
    let runs = replicas.iter().flat_map(UsersReplica::runs);
    let number = |id: String| id.trim_start_matches(char::is_alphabetic).to_owned();
    runs.map(|run| number(run.id)).collect()
}

// Guards against a node that has no news, takes the version that it knows for the only one, and lets streams go on
// there that began at another one through other nodes.
#[rstest]
#[case::cut_off_from_the_store(false)]
#[case::standing_still(true)]
#[tokio::test]
async fn a_node_that_is_out_of_step_joins_no_streams_of_two_versions(#[case] stands_still: bool) {
    const OLD: usize = 2;
    let mut deployment = start_deployment(OLD, slow_stream()).await;
    let options = LinkOptions::new(deployment.platform.address());
    let link = Link::start(options).await.expect("a free port");
    // No node of its zone passes news on.
    let late = start_node(&settings("n0", "west", link.address()));
    late.wait_ready().await;
    let mut nodes = Vec::new();
    for n in 1..6 {
        nodes.push(deployment.start_node(&format!("n{n}")).await);
    }
    // Nodes know after the timeout of the route that no other version served before they started.
    sleep(Duration::from_millis(5_200)).await;
    match stands_still {
        true => late.signal(Signal::SIGSTOP),
        false => link.set(LinkChange {
            mode: LinkMode::Silent,
            ..LinkChange::default()
        }),
    }
    release(&mut deployment, 4).await;
    sleep(Duration::from_millis(600)).await;
    let streams = begin_streams(&nodes[0]).await;
    let (old, new) = deployment.replicas.split_at(OLD);
    let began_at_new = numbers(new);

    if stands_still {
        late.signal(Signal::SIGCONT);
    }
    take_up(vec![late], streams).await;

    let joined = numbers(old).intersection(&began_at_new).count();
    assert!(began_at_new.len() > 4, "{}", began_at_new.len());
    assert_eq!(joined, 0, "of {}", began_at_new.len());
}
