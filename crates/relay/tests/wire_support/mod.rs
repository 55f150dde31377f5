//! Replicas whose answers are given as bytes, in front of which a relay runs that reaches them directly or
//! through another node.
#![allow(dead_code)]

pub mod raw_answer;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use verbenahead_core::units::ByteSize;
use verbenahead_relay::{RelayOptions, UpstreamRegistry};
use verbenahead_services::ReplicaState;

use crate::{
    peer_support::{peer_paths_to, serve_forwards},
    support::{Fixture, peer_paths_of_one_node, record, route_table_within, start_node},
};

/// An address of this machine at which nothing listens.
const UNREACHABLE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// `WireRequest` is a request that a replica received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireRequest {
    /// Number of the connection, counted from 0 in the order in which they were opened.
    pub connection: usize,
    /// Method and path.
    pub target: String,
    /// Value of the header `attempt-id`.
    pub id: String,
}

/// `WireStep` is what a replica does after it received a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireStep {
    /// Sends bytes.
    Send(String),
    /// Sends bytes again and again until the connection is closed.
    Endless(String),
    /// Waits.
    Pause(Duration),
    /// Reads this many bytes of the body.
    Read(usize),
    /// Ends this side of the connection in order.
    Finish,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// `WireReplica` is a replica that follows a script.
pub struct WireReplica {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<WireRequest>>>,
    /// Connections on which bytes are sent without end.
    endless: Arc<AtomicUsize>,
}

type Script = Arc<dyn Fn(&WireRequest) -> Vec<WireStep> + Send + Sync>;

impl WireReplica {
    /// Starts a replica that takes the steps of `script` for each request.
    pub async fn start(
        script: impl Fn(&WireRequest) -> Vec<WireStep> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let replica = Self {
            address: listener.local_addr().expect("an address"),
            requests: Arc::default(),
            endless: Arc::default(),
        };
        let script: Script = Arc::new(script);
        let requests = Arc::clone(&replica.requests);
        let endless = Arc::clone(&replica.endless);
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
                let endless = Arc::clone(&endless);
                // The node may have closed the connection.
                tokio::spawn(async move {
                    let _ = serve(stream, connection, &script, &requests, &endless).await;
                });
                connection += 1;
            }
        });
        replica
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that the replica received.
    pub fn requests(&self) -> Vec<WireRequest> {
        self.requests.lock().expect("no panic").clone()
    }

    /// Waits until the node has closed all connections on which bytes are sent without end.
    pub async fn wait_until_closed(&self) {
        for _ in 0..100 {
            if self.endless.load(Ordering::Relaxed) == 0 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("a connection stays open");
    }

    /// Returns the connections on which a request arrived, in order.
    pub fn connections_of(&self, id: &str) -> Vec<usize> {
        let requests = self.requests();
        let of_id = requests.iter().filter(|request| request.id == id);
        of_id.map(|request| request.connection).collect()
    }
}

/// Serves requests without a body, one after the other.
async fn serve(
    mut stream: TcpStream,
    connection: usize,
    script: &Script,
    requests: &Mutex<Vec<WireRequest>>,
    endless: &AtomicUsize,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let head = read_head(&mut stream).await?;
        let id = head.lines().find_map(|l| l.strip_prefix("attempt-id: "));
        let request = WireRequest {
            connection,
            target: head.split(" HTTP/").next().unwrap_or_default().to_owned(),
            id: id.unwrap_or_default().to_owned(),
        };
        requests.lock().expect("no panic").push(request.clone());
        for step in script(&request) {
            match step {
                WireStep::Send(bytes) => stream.write_all(bytes.as_bytes()).await?,
                WireStep::Endless(bytes) => {
                    endless.fetch_add(1, Ordering::Relaxed);
                    let block = bytes.repeat(200);
                    while stream.write_all(block.as_bytes()).await.is_ok() {
                        sleep(Duration::from_millis(1)).await;
                    }
                    endless.fetch_sub(1, Ordering::Relaxed);
                    return Ok(());
                }
                WireStep::Pause(time) => sleep(time).await,
                WireStep::Read(bytes) => {
                    let mut body = vec![0; bytes];
                    stream.read_exact(&mut body).await?;
                }
                WireStep::Finish => stream.shutdown().await?,
                WireStep::Close => return Ok(()),
                WireStep::Reset => return stream.set_zero_linger(),
            }
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    String::from_utf8(head).map_err(io::Error::other)
}

/// `Way` is the way from the relay to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Direct,
    /// The relay does not reach the replica and another node does.
    OtherNode,
}

/// Starts a relay that reaches these replicas, with the ids `i-0`, `i-1` and so on.
pub async fn start_before(replicas: &[SocketAddr], way: Way) -> Fixture {
    start_before_within(replicas, way, ByteSize(100_000)).await
}

/// Starts a relay like [`start_before`], with this limit on the size of bodies.
pub async fn start_before_within(replicas: &[SocketAddr], way: Way, max_body: ByteSize) -> Fixture {
    let routes = Arc::new(route_table_within(8, None, max_body));
    let start = async |registry, paths| {
        let fixture = start_node(registry, Vec::new(), paths, RelayOptions::default()).await;
        fixture.routes.send_replace(Some(Arc::clone(&routes)));
        fixture
    };
    let reaching = start(registry_of(replicas), peer_paths_of_one_node()).await;
    if way == Way::Direct {
        return reaching;
    }
    let paths = peer_paths_to(&[(serve_forwards(&reaching.relay).await, "east")]);
    let unreachable: Vec<_> = replicas.iter().map(|_| UNREACHABLE).collect();
    start(registry_of(&unreachable), paths).await
}

fn registry_of(replicas: &[SocketAddr]) -> Arc<UpstreamRegistry> {
    let registry = Arc::new(UpstreamRegistry::default());
    for (n, address) in replicas.iter().enumerate() {
        registry.apply(&record(&format!("i-{n}"), *address, ReplicaState::Ready));
    }
    registry
}
