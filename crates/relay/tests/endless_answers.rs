//! Failure pattern: a replica sends bytes without end, in the head of an answer or in its body, until the
//! connection is closed. The caller gets no success, the node closes the connection, and other callers
//! are served meanwhile.

mod peer_support;
mod support;
mod wire_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use rstest::rstest;
use support::{CallResponse, record, request, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};
use verbenahead_services::ReplicaState;
use verbenahead_standins::users::ReplicaBehaviour;
use wire_support::{Way, WireReplica, WireRequest, WireStep, start_before};

/// Head of a sealed answer to the request `r1` whose body comes in chunks.
const SEALED_HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: seal\r\ncontent-type: \
                           text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Head of an answer without a seal, of unknown length.
const UNSEALED_HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: r1\r\n\r\n";

/// `EndlessReplica` answers each request with some bytes, then with others without end.
struct EndlessReplica {
    address: SocketAddr,
    /// Bytes sent on all connections.
    sent: Arc<AtomicU64>,
    /// Connections that are open.
    open: Arc<AtomicU64>,
}

impl EndlessReplica {
    async fn start(first: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let replica = Self {
            address: listener.local_addr().expect("an address"),
            sent: Arc::default(),
            open: Arc::default(),
        };
        let (sent, open) = (Arc::clone(&replica.sent), Arc::clone(&replica.open));
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (sent, open) = (Arc::clone(&sent), Arc::clone(&open));
                open.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    let mut buf = [0; 4_096];
                    let has_request = stream.read(&mut buf).await.is_ok_and(|read| read > 0);
                    let mut next = first.as_bytes();
                    let block = repeated.repeat(200);
                    while has_request && stream.write_all(next).await.is_ok() {
                        sent.fetch_add(next.len() as u64, Ordering::Relaxed);
                        next = block.as_bytes();
                        sleep(Duration::from_millis(1)).await;
                    }
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        replica
    }

    /// Waits until the node has closed all connections.
    async fn wait_until_closed(&self) {
        for _ in 0..100 {
            if self.open.load(Ordering::Relaxed) == 0 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("a connection stays open");
    }
}

#[rstest]
#[case::header_lines(
    "HTTP/1.1 200 OK\r\n",
    "x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
)]
#[case::one_header_line(
    "HTTP/1.1 200 OK\r\nx-filler: ",
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
)]
#[case::no_http("\u{1}\u{2}", "\u{3}\u{4}garbage without any line end")]
#[case::status_line("HTTP/1.1 200 ", "OKOKOKOKOKOKOKOKOKOKOKOKOK")]
#[case::interim_answers("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")]
#[case::body_without_a_seal(UNSEALED_HEAD, "bytes of nobody, bytes of nobody")]
#[case::body_without_a_length(
    "HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: seal\r\n\r\n",
    "more and more"
)]
#[case::chunks(SEALED_HEAD, "4\r\nabcd\r\n")]
#[case::chunk_extension(SEALED_HEAD, ";extension=aaaaaaaaaaaaaaaaaaaaa")]
#[case::trailers(concat!("HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: seal\r\n",
    "transfer-encoding: chunked\r\n\r\n0\r\n"), "x-trailer: aaaaaaaaaaaaaaaaaaaaaa\r\n")]
#[case::event_without_an_end(SEALED_HEAD, "20\r\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaa\r\n")]
#[tokio::test]
async fn an_answer_without_end_is_no_success_and_is_cut(
    #[case] first: &'static str,
    #[case] repeated: &'static str,
    #[values("/look/1", "/file/1", "/draft/1", "/notes/1")] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let replica = EndlessReplica::start(first, repeated).await;
    let fixture = start_before(&[replica.address], way).await;
    let mut req = request(Method::POST, path, "r1");
    req.headers_mut().insert("deadline-ms", 700.into());
    let started = Instant::now();

    let response = fixture.call(req).await;

    let elapsed = started.elapsed();
    let is_success = response.status.is_success() && response.is_complete;
    assert!(!is_success, "{} {}", response.status, response.body.len());
    assert!(!matches!(response.status.as_u16(), 408 | 421 | 429 | 503));
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
    replica.wait_until_closed().await;
}

#[tokio::test]
async fn other_callers_are_served_while_a_replica_sends_without_end() {
    let replica =
        EndlessReplica::start(SEALED_HEAD, "20\r\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaa\r\n").await;
    // The sound replica answers drafts too, or its failures would close it for all requests.
    let sound = ReplicaBehaviour::Stream(3, Duration::ZERO);
    let fixture = Arc::new(start(1, sound).await);
    let mut endless = Vec::new();
    fixture
        .registry
        .apply(&record("i-endless", replica.address, ReplicaState::Ready));
    for n in 0..8 {
        let fixture = Arc::clone(&fixture);
        endless.push(tokio::spawn(async move {
            let mut req = request(Method::POST, "/draft/1", "r1");
            req.headers_mut().insert("deadline-ms", (700 + n).into());
            fixture.call(req).await.status
        }));
    }

    let mut served = 0;
    for n in 0..30 {
        let response = fixture
            .call(request(Method::GET, "/look/1", &format!("o{n}")))
            .await;
        served += usize::from(response.status == StatusCode::OK && response.is_complete);
    }

    // Requests that may be repeated go to the sound replica after a foreign answer.
    assert!(served >= 27, "{served}");
    for call in endless {
        call.await.expect("no panic");
    }
    replica.wait_until_closed().await;
}

fn send(bytes: &str) -> WireStep {
    WireStep::Send(bytes.to_owned())
}

/// Returns a chunk with the event of this id.
fn event(id: u64) -> WireStep {
    let event = format!("id: {id}\ndata: token {id}\n\n");
    WireStep::Send(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// Returns a whole answer with these events, and a pause before each.
fn events(ids: impl Iterator<Item = u64>, pause: Duration) -> Vec<WireStep> {
    let events = ids.flat_map(|id| [WireStep::Pause(pause), event(id)]);
    let end = send("0\r\n\r\n");
    [send(SEALED_HEAD)]
        .into_iter()
        .chain(events)
        .chain([end])
        .collect()
}

// Guards against bytes without end that reach the caller inside its stream, or keep it waiting, where a stream
// goes on at another replica.
#[rstest]
#[case::header_lines(
    "HTTP/1.1 200 OK\r\n",
    "x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
)]
#[case::no_http("\u{1}\u{2}", "\u{3}\u{4}garbage without any line end")]
#[case::interim_answers("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")]
#[case::body_without_a_length(
    "HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: seal\r\n\r\n",
    "more and more"
)]
#[case::chunk_extension(SEALED_HEAD, ";extension=aaaaaaaaaaaaaaaaaaaaa")]
#[case::comments(SEALED_HEAD, "7\r\n: wait\n\r\n")]
#[case::event_without_an_end(SEALED_HEAD, "20\r\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaa\r\n")]
#[tokio::test]
async fn a_resumed_stream_does_not_take_an_answer_without_end(
    #[case] first: &'static str,
    #[case] repeated: &'static str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let count = Arc::new(AtomicU64::new(0));
    let script = move |_: &WireRequest| match count.fetch_add(1, Ordering::Relaxed) {
        0 => vec![send(SEALED_HEAD), event(1), event(2), WireStep::Close],
        1 => vec![send(first), WireStep::Endless(repeated.to_owned())],
        _ => events(3..=4, Duration::ZERO),
    };
    let mut replicas = Vec::new();
    for _ in 0..3 {
        replicas.push(WireReplica::start(script.clone()).await);
    }
    let addresses: Vec<_> = replicas.iter().map(WireReplica::address).collect();
    let fixture = start_before(&addresses, way).await;
    let mut req = request(Method::POST, "/talks/1", "r1");
    req.headers_mut().insert("deadline-ms", 1_000.into());
    let started = Instant::now();

    let response = fixture.call(req).await;

    let elapsed = started.elapsed();
    let ids = response.event_ids();
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert_eq!(response.is_complete, ids.len() == 4, "{response:?}");
    assert!(!response.text().contains("aaa") && !response.text().contains("more"));
    assert!(elapsed < Duration::from_millis(1_800), "{elapsed:?}");
    for replica in &replicas {
        replica.wait_until_closed().await;
    }
}

/// Asserts that calls to this target were made, and that nothing else was sent on their connections, where an
/// answer that was sent once more would be taken for theirs.
fn assert_own_connections(replica: &WireReplica, target: &str) {
    let requests = replica.requests();
    let calls: Vec<_> = requests.iter().filter(|r| r.target == target).collect();
    assert!(!calls.is_empty(), "{requests:?}");
    for call in calls {
        let on_same = requests.iter().filter(|r| r.connection == call.connection);
        assert_eq!(on_same.count(), 1, "{requests:?}");
    }
}

// Guards against streams that end, or nodes that read on, because of an answer without end to a call that
// moves their run or that probes their replica.
#[rstest]
#[case::move_of_a_run("/draft/1", "POST /kv-move", Duration::from_millis(50))]
#[case::probe("/talks/1", "GET /report", Duration::from_millis(300))]
#[tokio::test]
async fn a_stream_outlives_a_call_whose_answer_has_no_end(
    #[case] path: &'static str,
    #[case] call: &'static str,
    #[case] pause: Duration,
    #[values(
        ("HTTP/1.1 200 OK\r\n", "x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "{\"handle\":\"h1\","),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\n    \r\n"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", " "),
        ("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")
    )]
    (first, repeated): (&'static str, &'static str),
) {
    let count = (Duration::from_millis(1_800).as_millis() / pause.as_millis()) as u64;
    let script = move |req: &WireRequest| match req.target == call {
        true => vec![send(first), WireStep::Endless(repeated.to_owned())],
        false => events(1..=count, pause),
    };
    let replica = WireReplica::start(script).await;
    let fixture = start_before(&[replica.address()], Way::Direct).await;
    let sound = WireReplica::start(|_: &WireRequest| events(1..=1, Duration::ZERO)).await;

    let opened = fixture.open(request(Method::POST, path, "r1")).await;
    let target = record("i-1", sound.address(), ReplicaState::Ready);
    fixture.registry.apply(&target);
    if path == "/draft/1" {
        let remaining = Some(Duration::from_millis(1_600));
        let leaving = record(
            "i-0",
            replica.address(),
            ReplicaState::Leaving { remaining },
        );
        fixture.registry.apply(&leaving);
    }
    let response = CallResponse::read(opened.expect("an answer")).await;

    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.event_ids(), (1..=count).collect::<Vec<_>>());
    assert_own_connections(&replica, call);
    replica.wait_until_closed().await;
}
