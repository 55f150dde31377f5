//! Requests that a node sends to replicas through another node, since it does not reach them itself.

mod peer_support;
mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderValue, Method, StatusCode};
use peer_support::{peer_paths_to, serve_forwards};
use rstest::rstest;
use support::{Fixture, record, request, start_node, start_replicas};
use tokio::time::{Instant, sleep};
use verbenahead_relay::{PeerPaths, RelayOptions, UpstreamRegistry};
use verbenahead_services::ReplicaState;
use verbenahead_standins::{
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
    users::{ReplicaBehaviour, UsersReplica},
};

const OK: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);

/// Time in which a test expects an effect.
const EFFECT_TIME: Duration = Duration::from_secs(5);

/// Open connections live on, and new ones are refused.
const REFUSED: LinkChange = LinkChange {
    mode: LinkMode::Pass,
    new_connections: NewConnections::Refused,
    delay_ms: None,
};

/// Connections hang, and packets of open ones are lost.
const HANGING: LinkChange = LinkChange {
    mode: LinkMode::Silent,
    new_connections: NewConnections::Unanswered,
    delay_ms: None,
};

/// `Nodes` are a node whose links to the replicas can be cut and another node, which has links as well.
struct Nodes {
    cut: Fixture,
    other: Fixture,
    links: Vec<Link>,
    other_links: Vec<Link>,
    /// Link from the first node to the other one.
    between: Link,
    replicas: Vec<UsersReplica>,
}

impl Nodes {
    /// Cuts the first node off from all replicas.
    async fn cut_off(&self, change: LinkChange) {
        set_all(&self.links, change).await;
    }

    fn runs_of(&self, id: &str) -> usize {
        let runs = self.replicas.iter().flat_map(UsersReplica::runs);
        runs.filter(|run| run.id == id).count()
    }
}

async fn set_all(links: &[Link], change: LinkChange) {
    for link in links {
        link.set(change);
    }
    // The links change their listeners in tasks of their own.
    sleep(Duration::from_millis(200)).await;
}

async fn link_to(address: SocketAddr) -> Link {
    let link = Link::start(LinkOptions::new(address)).await;
    link.expect("a free port")
}

async fn links_to(replicas: &[UsersReplica]) -> (Vec<Link>, Arc<UpstreamRegistry>) {
    let registry = Arc::new(UpstreamRegistry::default());
    let mut links = Vec::new();
    for (n, replica) in replicas.iter().enumerate() {
        let link = link_to(replica.address()).await;
        let id = format!("i-{n}");
        registry.apply(&record(&id, link.address(), ReplicaState::Ready));
        links.push(link);
    }
    (links, registry)
}

/// Returns the paths through the node at `other`, if there is one.
fn peer_paths(other: Option<SocketAddr>) -> PeerPaths {
    let others: Vec<_> = other.map(|address| (address, "east")).into_iter().collect();
    peer_paths_to(&others)
}

async fn start_nodes(count: usize, behaviour: ReplicaBehaviour) -> Nodes {
    let replicas = start_replicas(count, behaviour).await;
    let (other_links, registry) = links_to(&replicas).await;
    let options = RelayOptions::default();
    let other = start_node(registry, Vec::new(), peer_paths(None), options.clone()).await;
    let between = link_to(serve_forwards(&other.relay).await).await;
    let (links, registry) = links_to(&replicas).await;
    let paths = peer_paths(Some(between.address()));
    let cut = start_node(registry, Vec::new(), paths, options).await;
    Nodes {
        cut,
        other,
        links,
        other_links,
        between,
        replicas,
    }
}

async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + EFFECT_TIME;
    while !holds() {
        assert!(Instant::now() < end, "{what}: not in time");
        sleep(Duration::from_millis(10)).await;
    }
}

#[rstest]
#[case::refused(REFUSED)]
#[case::hanging(HANGING)]
#[tokio::test]
async fn a_request_is_passed_on_unchanged_and_runs_once(#[case] change: LinkChange) {
    let nodes = start_nodes(2, OK).await;
    nodes.cut_off(change).await;
    let mut req = request(Method::POST, "/file/a%20b?x=1", "r1");
    let forged = HeaderValue::from_static("i-9");
    req.headers_mut().insert("verbenahead-replica", forged);
    *req.body_mut() = "a filing".into();

    let response = nodes.cut.call(req).await;

    assert_eq!(
        (response.status, response.text()),
        (StatusCode::OK, "answer to r1")
    );
    assert!(response.is_sealed() && !response.headers.contains_key("verbenahead-outcome"));
    let mut runs = nodes.replicas.iter().flat_map(UsersReplica::runs);
    let run = runs.next().expect("a run");
    assert_eq!(run.target, "/file/a%20b?x=1");
    assert_eq!(run.body, "a filing");
    assert_eq!(run.headers["tenant"], "paving");
    let forwarding = |name: &&http::HeaderName| name.as_str().starts_with("verbenahead");
    assert_eq!(run.headers.keys().find(forwarding), None);
    assert!(runs.next().is_none());
}

#[tokio::test]
async fn a_filing_at_a_node_that_ends_meanwhile_is_not_repeated() {
    let slow = ReplicaBehaviour::Answer(StatusCode::OK, Duration::from_millis(600));
    let nodes = start_nodes(2, slow).await;
    nodes.cut_off(REFUSED).await;
    let call = nodes.cut.call(request(Method::POST, "/file/1", "r1"));
    let end = async {
        eventually("the run", || nodes.runs_of("r1") == 1).await;
        nodes.between.set(LinkChange {
            mode: LinkMode::Cut,
            ..LinkChange::default()
        });
    };

    let (response, ()) = tokio::join!(call, end);

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(nodes.runs_of("r1"), 1);
}

#[tokio::test]
async fn a_node_that_is_cut_off_as_well_passes_nothing_on() {
    let nodes = start_nodes(2, OK).await;
    nodes.cut_off(REFUSED).await;
    set_all(&nodes.other_links, REFUSED).await;

    let response = nodes.cut.call(request(Method::POST, "/file/1", "r1")).await;

    assert_eq!(
        (response.status, nodes.runs_of("r1")),
        (StatusCode::SERVICE_UNAVAILABLE, 0),
        "{response:?}"
    );
}

#[tokio::test]
async fn a_replica_stops_when_the_caller_of_a_cut_off_node_leaves() {
    let nodes = start_nodes(
        1,
        ReplicaBehaviour::Stream(1_000, Duration::from_millis(10)),
    )
    .await;
    nodes.cut_off(REFUSED).await;
    let response = nodes
        .cut
        .open(request(Method::POST, "/notes/1", "r1"))
        .await;
    let response = response.expect("an answer");
    let left_at = Instant::now();

    drop(response);

    eventually("the end of the run", || nodes.replicas[0].cancelled() == 1).await;
    assert!(left_at.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn a_stream_goes_on_when_the_node_that_passes_it_on_ends() {
    let nodes = start_nodes(2, ReplicaBehaviour::Stream(20, Duration::from_millis(25))).await;
    nodes.cut_off(REFUSED).await;
    let call = nodes.cut.call(request(Method::POST, "/notes/1", "r1"));
    let end = async {
        eventually("the run", || nodes.runs_of("r1") == 1).await;
        sleep(Duration::from_millis(120)).await;
        nodes.between.set(LinkChange {
            mode: LinkMode::Cut,
            new_connections: NewConnections::Pass,
            delay_ms: None,
        });
    };

    let (response, ()) = tokio::join!(call, end);

    let ids = response.event_ids();
    assert!(response.is_complete, "{ids:?}");
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert_eq!(nodes.runs_of("r1"), 2);
}

#[tokio::test]
async fn an_answer_that_breaks_off_at_the_replica_is_not_complete() {
    let nodes = start_nodes(1, ReplicaBehaviour::BreakStream(3)).await;
    nodes.cut_off(REFUSED).await;

    let response = nodes
        .cut
        .call(request(Method::POST, "/draft/1", "r1"))
        .await;

    assert_eq!(response.event_ids(), [1, 2, 3]);
    assert!(!response.is_complete);
}

#[tokio::test]
async fn both_nodes_learn_that_a_replica_leaves() {
    let nodes = start_nodes(1, OK).await;
    nodes.cut_off(REFUSED).await;
    nodes.replicas[0].set_leaving(true);

    nodes.cut.call(request(Method::GET, "/look/1", "r1")).await;

    for fixture in [&nodes.cut, &nodes.other] {
        assert!(fixture.registry.live(&support::service()).is_empty());
    }
}

#[tokio::test]
async fn requests_go_directly_again_after_the_cut() {
    let nodes = start_nodes(2, OK).await;
    nodes.cut_off(REFUSED).await;
    for n in 0..4 {
        nodes
            .cut
            .call(request(Method::GET, "/look/1", &format!("r{n}")))
            .await;
    }

    set_all(&nodes.links, LinkChange::default()).await;
    sleep(Duration::from_secs(1)).await;
    let accepted = nodes.between.accepted();
    nodes.between.set(REFUSED);
    let response = nodes.cut.call(request(Method::POST, "/file/1", "r9")).await;

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(nodes.between.accepted(), accepted);
}

// Guards against quarantined content of requests whose connections were reset by a cut.
#[tokio::test]
async fn a_cut_is_not_taken_for_a_crash_of_the_replica() {
    let nodes = start_nodes(2, ReplicaBehaviour::Hang).await;
    let call = |n: usize| {
        nodes
            .cut
            .call(request(Method::POST, "/file/1", &format!("r{n}")))
    };
    let cut = async {
        eventually("the runs", || {
            (0..6).all(|n| nodes.runs_of(&format!("r{n}")) == 1)
        })
        .await;
        nodes
            .cut_off(LinkChange {
                mode: LinkMode::Cut,
                ..REFUSED
            })
            .await;
    };

    tokio::join!(call(0), call(1), call(2), call(3), call(4), call(5), cut);

    sleep(Duration::from_secs(1)).await;
    for replica in &nodes.replicas {
        replica.set_behaviour(OK);
    }
    let response = nodes.cut.call(request(Method::POST, "/file/1", "r9")).await;
    assert_eq!(response.status, StatusCode::OK);
}

// Guards against requests that ask node after node for a replica that is down.
#[tokio::test]
async fn a_replica_that_no_node_reaches_is_left_out_after_one_request() {
    let nodes = start_nodes(2, OK).await;
    for links in [&nodes.links, &nodes.other_links] {
        set_all(&links[..1], HANGING).await;
    }

    let mut slow = 0;
    for n in 0..20 {
        let started = Instant::now();
        let req = request(Method::POST, "/file/1", &format!("r{n}"));
        assert_eq!(nodes.cut.call(req).await.status, StatusCode::OK);
        slow += u32::from(started.elapsed() > Duration::from_millis(200));
    }

    assert!(slow <= 1, "{slow}");
}

// Guards against replicas that are taken for down because a whole zone is cut off from them.
#[tokio::test]
async fn a_node_whose_zone_is_cut_off_uses_nodes_of_other_zones() {
    let replicas = start_replicas(3, OK).await;
    let mut links = Vec::new();
    let mut others = Vec::new();
    let mut fixtures = Vec::new();
    for n in 0..6 {
        let (of_node, registry) = links_to(&replicas).await;
        let options = RelayOptions::default();
        let fixture = start_node(registry, Vec::new(), peer_paths(None), options).await;
        let zone = if n < 5 { "east" } else { "west" };
        others.push((serve_forwards(&fixture.relay).await, zone));
        fixtures.push(fixture);
        if n < 5 {
            links.extend(of_node);
        } else {
            std::mem::forget(of_node);
        }
    }
    let (of_node, registry) = links_to(&replicas).await;
    links.extend(of_node);
    let paths = peer_paths_to(&others);
    let cut = start_node(registry, Vec::new(), paths, RelayOptions::default()).await;
    set_all(&links, HANGING).await;

    let mut served = 0;
    for n in 0..20 {
        let req = request(Method::POST, "/file/1", &format!("r{n}"));
        served += u32::from(cut.call(req).await.status == StatusCode::OK);
    }

    assert!(served >= 19, "{served}");
}
