//! Failure pattern: nodes lose their paths to all replicas, while callers, the store and the other nodes
//! still reach them. Their callers are served as well as those of the other nodes.

mod relay_support;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use relay_support::{Deployment, RelayProcess, eventually, settings, start_deployment, start_node};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    task::JoinSet,
    time::{sleep, timeout},
};
use verbenahead_standins::{
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
    server::Server,
    users::{ReplicaBehaviour, ReplicaLinks, UsersReplica},
};

/// Nodes that are cut off, as many as the others.
const CUT_NODES: usize = 2;

/// Replicas of the service.
const REPLICAS: usize = 4;

/// Requests of each kind to each node that is cut off.
const REQUESTS: usize = 40;

/// Time between two requests of one kind to one node.
const PAUSE: Duration = Duration::from_millis(40);

/// Time from the cut to the first request that counts.
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// Smallest part of the requests that is served at the first try.
const MIN_SERVED: f64 = 0.95;

/// Connections hang, and packets of open ones are lost.
const HANGING: LinkChange = LinkChange {
    mode: LinkMode::Silent,
    new_connections: NewConnections::Unanswered,
    delay_ms: None,
};

/// Open connections are closed, and new ones are refused.
const RESET: LinkChange = LinkChange {
    mode: LinkMode::Cut,
    new_connections: NewConnections::Refused,
    delay_ms: None,
};

/// Open connections live on, and new ones are refused.
const REFUSED: LinkChange = LinkChange {
    mode: LinkMode::Pass,
    new_connections: NewConnections::Refused,
    delay_ms: None,
};

/// `CutNode` is a node with links of its own to the replicas.
struct CutNode {
    node: RelayProcess,
    links: Vec<Link>,
    _store: Server,
}

impl CutNode {
    async fn start(deployment: &Deployment, name: &str, zone: &str) -> Self {
        let mut links = Vec::new();
        let mut addresses = ReplicaLinks::default();
        for replica in &deployment.replicas {
            let link = Link::start(LinkOptions::new(replica.address())).await;
            let link = link.expect("a free port");
            addresses.insert(replica.address(), link.address());
            links.push(link);
        }
        let store = deployment.platform.open_view(addresses).await;
        let store = store.expect("a free port");
        let node = start_node(&settings(name, zone, store.address()));
        node.wait_ready().await;
        Self {
            node,
            links,
            _store: store,
        }
    }

    fn set_links(&self, change: LinkChange) {
        for link in &self.links {
            link.set(change);
        }
    }
}

/// `Nodes` are nodes that will be cut off, and others. A zone holds one node, so that each node reads the
/// store for itself.
struct Nodes {
    cut: Vec<CutNode>,
    others: Vec<RelayProcess>,
}

async fn start_nodes(deployment: &Deployment) -> Nodes {
    let mut nodes = Nodes {
        cut: Vec::new(),
        others: Vec::new(),
    };
    for n in 0..CUT_NODES {
        let store = deployment.platform.address();
        let other = start_node(&settings(
            &format!("other-{n}"),
            &format!("zone-{n}"),
            store,
        ));
        other.wait_ready().await;
        nodes.others.push(other);
        let zone = format!("cut-zone-{n}");
        let cut = CutNode::start(deployment, &format!("cut-{n}"), &zone).await;
        nodes.cut.push(cut);
    }
    let live = format!(
        "verbenahead_relay_nodes{{state=\"live\"}} {}",
        2 * CUT_NODES
    );
    for node in nodes.cut.iter().map(|cut| &cut.node).chain(&nodes.others) {
        eventually("all nodes know each other", async || {
            node.metrics().await.contains(&live)
        })
        .await;
    }
    nodes
}

/// Sends requests of one kind to each cut node and returns how many of them got a status, by status.
async fn send_requests(nodes: &Nodes, method: &Method, route: &str) -> HashMap<u16, usize> {
    let mut statuses = HashMap::new();
    for cut in &nodes.cut {
        let answers = send_to(&cut.node, method, route).await;
        for status in answers {
            *statuses.entry(status).or_default() += 1;
        }
    }
    statuses
}

/// Sends requests to a node and returns the statuses of their answers, 0 for one without a whole answer.
async fn send_to(node: &RelayProcess, method: &Method, route: &str) -> Vec<u16> {
    let mut answers = JoinSet::new();
    for n in 0..REQUESTS {
        let (to, method, route) = (node.callers, method.clone(), route.to_owned());
        answers.spawn(async move {
            sleep(PAUSE * n as u32).await;
            let id = format!("{route}-{n}-{}", to.port());
            let req = relay_support::request(method, &format!("/{route}/{n}"), &id);
            let answer = relay_support::call(to, req).await;
            answer.map_or(0, |(status, _)| status.as_u16())
        });
    }
    answers.join_all().await
}

fn served_part(statuses: &HashMap<u16, usize>) -> f64 {
    let served = statuses.get(&200).copied().unwrap_or_default();
    served as f64 / (REQUESTS * CUT_NODES) as f64
}

const PLAIN: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);
const STREAM: ReplicaBehaviour = ReplicaBehaviour::Stream(4, Duration::from_millis(10));

// Guards against the incident RECOVER: a node without a path to the replicas refused its callers, though
// its neighbours reached all of them.
#[rstest]
#[case::lookup_while_connections_hang("look", Method::GET, PLAIN, HANGING)]
#[case::lookup_while_connections_are_reset("look", Method::GET, PLAIN, RESET)]
#[case::lookup_while_new_connections_are_refused("look", Method::GET, PLAIN, REFUSED)]
#[case::filing_while_connections_hang("file", Method::POST, PLAIN, HANGING)]
#[case::filing_while_new_connections_are_refused("file", Method::POST, PLAIN, REFUSED)]
#[case::stream_while_connections_hang("notes", Method::POST, STREAM, HANGING)]
#[case::stream_while_connections_are_reset("notes", Method::POST, STREAM, RESET)]
#[case::draft_while_new_connections_are_refused("draft", Method::POST, STREAM, REFUSED)]
#[tokio::test]
async fn cut_off_nodes_serve_their_callers(
    #[case] route: &str,
    #[case] method: Method,
    #[case] behaviour: ReplicaBehaviour,
    #[case] change: LinkChange,
) {
    let deployment = start_deployment(REPLICAS, behaviour).await;
    let nodes = start_nodes(&deployment).await;
    send_requests(&nodes, &method, route).await;
    for cut in &nodes.cut {
        cut.set_links(change);
    }
    let warm_up = send_requests(&nodes, &method, "look");
    tokio::join!(sleep(DETECTION_TIME), warm_up);

    let statuses = send_requests(&nodes, &method, &format!("{route}/counted")).await;

    let served = served_part(&statuses);
    assert!(served >= MIN_SERVED, "{served} of {statuses:?}");
    let mut runs = HashMap::new();
    for run in deployment.replicas.iter().flat_map(UsersReplica::runs) {
        *runs.entry(run.id).or_insert(0) += 1;
    }
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(
        route == "look" || route == "notes" || twice.is_empty(),
        "{twice:?}"
    );
}

/// Sends a request to pass something on to the replica `i-0` from an IP address, and returns the answer.
async fn ask_to_pass_on(peers: SocketAddr, from: &str) -> String {
    let socket = TcpSocket::new_v4().expect("a socket");
    let from = format!("{from}:0").parse().expect("an address");
    socket
        .bind(from)
        .expect("an address of the loopback interface");
    let mut stream = socket.connect(peers).await.expect("a connection");
    let req = "GET /look/1 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: r1\r\ndeadline-ms: 4000\r\n\
               verbenahead-replica: i-0\r\nverbenahead-incarnation: 1772997287021\r\n\
               verbenahead-limit-ms: 4000\r\nverbenahead-forward: fresh\r\nconnection: close\r\n\r\n";
    // The node may close the connection before it reads the request.
    let _ = stream.write_all(req.as_bytes()).await;
    let mut answer = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
    let _ = read.expect("an end of the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn requests_are_passed_on_for_nodes_only() {
    let deployment = start_deployment(1, PLAIN).await;
    let node = deployment.start_node("n1").await;
    let other = deployment.start_node("n2").await;
    eventually("the nodes know each other", async || {
        node.metrics()
            .await
            .contains("verbenahead_relay_nodes{state=\"live\"} 2")
    })
    .await;
    let peers = node.lines()[0]["peers"].as_str().map(str::to_owned);
    let peers = peers.expect("an address").parse().expect("an address");

    let of_stranger = ask_to_pass_on(peers, "127.0.0.2").await;
    let runs_of_stranger = deployment.replicas[0].runs().len();
    let of_node = ask_to_pass_on(peers, "127.0.0.1").await;

    assert_eq!((of_stranger.as_str(), runs_of_stranger), ("", 0));
    assert!(of_node.contains("answer to r1"), "{of_node}");
    drop(other);
}
