//! Failure pattern: a replica sends bytes without end, in the head of an answer or in its body, until the
//! connection is closed. The caller gets no success, the node closes the connection, and other callers
//! are served meanwhile.

mod support;

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
use support::{Fixture, record, request, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};
use verbenahead_services::ReplicaState;
use verbenahead_standins::users::ReplicaBehaviour;

const OK: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);

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

/// Starts a relay whose only replica is `replica`.
async fn relay_before(replica: &EndlessReplica) -> Fixture {
    let fixture = start(0, OK).await;
    let registration = record("i-endless", replica.address, ReplicaState::Ready);
    fixture.registry.apply(&registration);
    fixture
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
    #[values("/file/1", "/draft/1")] path: &str,
) {
    let replica = EndlessReplica::start(first, repeated).await;
    let fixture = relay_before(&replica).await;
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
