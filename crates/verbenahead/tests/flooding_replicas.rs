//! Replicas that send bytes without end to a node with 112 MiB: what the node holds of them stays within its
//! memory, unread bytes included, and the callers of other services are served meanwhile.

mod load_support;
mod relay_support;

use std::{net::SocketAddr, time::Duration};

use load_support::OrdinaryCaller;
use relay_support::{
    HOST, KEY, RelayProcess, configuration, eventually, settings, start_deployment, start_node,
};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep},
};
use verbenahead_standins::users::ReplicaBehaviour;

const MEMORY_MIB: u64 = 112;

/// Callers of the faulty replica.
const CALLERS: usize = 100;
const MANY_CALLERS: usize = 700;

/// Time for which the replica is called.
const FLOOD_TIME: Duration = Duration::from_secs(4);

/// Share of the ordinary calls that are served meanwhile.
const MIN_SERVED: f64 = 0.97;

/// `Flood` is what a faulty replica sends after the head of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flood {
    /// An event, then nearly 1 MiB of one that does not end.
    OpenEvent,
    /// The same without an event before it.
    OpenFirstEvent,
    /// Events of 60 KiB without end.
    LargeEvents,
    /// Bytes without end.
    PlainBody,
}

impl Flood {
    fn path(self) -> &'static str {
        match self {
            Self::PlainBody => "/look-models/1",
            Self::OpenEvent | Self::OpenFirstEvent | Self::LargeEvents => "/draft/1",
        }
    }

    /// Returns what is sent once, and what is sent after that without end.
    fn bytes(self) -> (Vec<u8>, Vec<u8>) {
        let event = |id: u64, size: usize| format!("id: {id}\ndata: {}\n\n", "x".repeat(size));
        let open = format!("data: {}", "x".repeat((1 << 20) - 64)).into_bytes();
        match self {
            Self::OpenEvent => ([event(1, 8).into_bytes(), open].concat(), Vec::new()),
            Self::OpenFirstEvent => (open, Vec::new()),
            Self::LargeEvents => (Vec::new(), event(1, 60 << 10).into_bytes()),
            Self::PlainBody => (Vec::new(), vec![b'x'; 64 << 10]),
        }
    }
}

/// Starts a replica that floods each caller.
async fn start_flooding(flood: Flood) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // The node closes the connection in the end.
            tokio::spawn(async move {
                let _ = answer(stream, flood).await;
            });
        }
    });
    address
}

async fn answer(mut stream: TcpStream, flood: Flood) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let id = head.lines().find_map(|l| l.strip_prefix("attempt-id: "));
    let media_type = match flood {
        Flood::PlainBody => "text/plain",
        _ => "text/event-stream",
    };
    let id = id.unwrap_or_default();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal\r\ncontent-type: {media_type}\r\n\r\n"
    );
    stream.write_all(answer.as_bytes()).await?;
    let (first, repeated) = flood.bytes();
    stream.write_all(&first).await?;
    while !repeated.is_empty() {
        stream.write_all(&repeated).await?;
    }
    // Waits for the end of the connection.
    stream.read_u8().await.map(drop)
}

/// Bytes that callers read before they stop reading. The kernel has enlarged the buffers of a fast connection by
/// then.
const READ_FIRST: usize = 16 << 20;

/// Calls the faulty replica again and again, and stops reading an answer after `limit` bytes.
async fn call_repeatedly(
    node: SocketAddr,
    path: &str,
    caller: usize,
    until: Instant,
    limit: usize,
) {
    let mut call = 0;
    while Instant::now() < until {
        call += 1;
        let socket = TcpSocket::new_v4().expect("a socket");
        if limit == 0 {
            socket.set_recv_buffer_size(4_096).expect("a small buffer");
        }
        let Ok(mut stream) = socket.connect(node).await else {
            return;
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: f{caller}-{call}\r\ndeadline-ms: 4000\r\n\
             authorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
        );
        let mut buf = vec![0; 64 << 10];
        if stream.write_all(head.as_bytes()).await.is_err() {
            continue;
        }
        let first = tokio::time::timeout_at(until, stream.read(&mut buf)).await;
        let is_served = matches!(first, Ok(Ok(count)) if buf[..count].starts_with(b"HTTP/1.1 200"));
        let mut read = 0;
        while is_served
            && read < limit
            && let Ok(Ok(count @ 1..)) = tokio::time::timeout_at(until, stream.read(&mut buf)).await
        {
            read += count;
        }
        match is_served {
            true => tokio::time::sleep_until(until).await,
            false => sleep(Duration::from_millis(100)).await,
        }
    }
}

/// Returns the configuration with two services: `desk`, and `models` for drafts and for one more route.
fn two_services() -> Value {
    let mut config = configuration(5);
    let mut plain = config["routes"][0].clone();
    plain["name"] = json!("look-models");
    plain["prefix"] = json!("/look-models/");
    let routes = config["routes"].as_array_mut().expect("routes");
    routes.push(plain);
    for route in &mut routes[2..] {
        route["service"] = json!("models");
    }
    config["services"] = json!(["desk", "models"].map(|name| json!({
        "name": name, "health_path": "/health", "max_connections": MANY_CALLERS,
    })));
    config
}

/// Returns the memory that a process takes and the bytes that wait in its connections to `replica`, in KiB.
fn memory_kib(node: &RelayProcess, replica: SocketAddr) -> (u64, u64) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.id())).expect("it runs");
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
    let remote = format!(":{:04X}", replica.port());
    let unread = sockets.lines().filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let (_, queue) = fields.get(4)?.split_once(':')?;
        let is_of_node = fields.get(2)?.ends_with(&remote);
        is_of_node.then(|| u64::from_str_radix(queue, 16).ok())?
    });
    (resident.expect("a number"), unread.sum::<u64>() / 1_024)
}

// Guards against a faulty replica that takes all memory of the nodes that call it, by bytes that are kept for an
// event without an end, or that the kernel keeps for callers that read slowly.
#[rstest]
#[case::open_event(Flood::OpenEvent, CALLERS, 0)]
#[case::open_first_event(Flood::OpenFirstEvent, CALLERS, 0)]
#[case::large_events(Flood::LargeEvents, CALLERS, 0)]
#[case::plain_body(Flood::PlainBody, CALLERS, 0)]
#[case::plain_body_read_first(Flood::PlainBody, 16, READ_FIRST)]
#[case::plain_body_many(Flood::PlainBody, MANY_CALLERS, 0)]
#[case::large_events_many(Flood::LargeEvents, MANY_CALLERS, 0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_without_end_stay_within_the_memory_of_a_node(
    #[case] flood: Flood,
    #[case] callers: usize,
    #[case] limit: usize,
) {
    let deployment = start_deployment(
        2,
        ReplicaBehaviour::Answer(http::StatusCode::OK, Duration::ZERO),
    );
    let deployment = deployment.await;
    deployment.platform.put("op", "config", &two_services());
    let replica = start_flooding(flood).await;
    let entry = json!({
        "service": "models", "address": replica.to_string(), "zone": "east", "version": "v1",
        "slots": MANY_CALLERS, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        "born": 1_772_997_287_021_u64,
    });
    deployment.platform.put("servers", "m-0", &entry);
    let text = settings("n1", "east", deployment.platform.address());
    let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
    settings["limits"] = json!({"memory_mib": MEMORY_MIB, "descriptors": 2870});
    let node = start_node(&settings.to_string());
    node.wait_ready().await;
    let mut calls = 0;
    eventually("a call is served", async || {
        calls += 1;
        let answer = node
            .ask(http::Method::GET, "/look/1", &format!("c{calls}"))
            .await;
        answer.is_some_and(|(status, _)| status.is_success())
    })
    .await;
    let ordinary = OrdinaryCaller::start(node.callers);
    let until = Instant::now() + FLOOD_TIME;
    for caller in 0..callers {
        let path = flood.path();
        tokio::spawn(call_repeatedly(node.callers, path, caller, until, limit));
    }

    let mut peak = (0, 0);
    while Instant::now() < until {
        let now = memory_kib(&node, replica);
        peak = std::cmp::max_by_key(peak, now, |(resident, unread)| resident + unread);
        sleep(Duration::from_millis(50)).await;
    }
    let served = ordinary.stop().await;

    println!(
        "{flood:?}: {} KiB resident and {} KiB unread, {served:?}",
        peak.0, peak.1
    );
    assert!(peak.0 + peak.1 <= MEMORY_MIB * 1_024, "{peak:?}");
    let least = served.calls as f64 * MIN_SERVED;
    assert!(
        served.calls >= 10 && served.served as f64 >= least,
        "{served:?}"
    );
}
