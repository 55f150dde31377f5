//! Answers that have neither a length nor chunks and end with their connection.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use rstest::rstest;
use support::{CallResponse, Fixture, record, request, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::sleep,
};
use verbenahead_services::ReplicaState;
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};

/// Head of a sealed answer to the request `r1` that ends with its connection.
const HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: seal\r\ncontent-type: \
                    text/event-stream\r\nconnection: close\r\n\r\n";

/// `MoveAnswer` is what a replica answers to a request to move the run that it has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveAnswer {
    /// The run has stopped and is at the target.
    Moved,
    /// The run had ended before.
    NoSuchRun,
    /// The connection is closed without an answer.
    None,
    /// The first answer is lost, and the next ones are errors. The stream ends some time after that.
    LostThenErrors,
}

/// `UnframedReplica` streams events without a length or chunks.
struct UnframedReplica {
    address: SocketAddr,
}

#[derive(Clone)]
struct Script {
    /// Bytes after the head, sent one after the other with a pause.
    body: Arc<Vec<String>>,
    move_answer: MoveAnswer,
    /// Ends the stream when the run is to be moved.
    stop: Arc<Notify>,
    /// Calls to stop the run.
    stop_calls: Arc<AtomicUsize>,
}

impl UnframedReplica {
    async fn start(body: Vec<String>, move_answer: MoveAnswer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let script = Script {
            body: Arc::new(body),
            move_answer,
            stop: Arc::default(),
            stop_calls: Arc::default(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream, script.clone()));
            }
        });
        Self { address }
    }
}

async fn answer(mut stream: TcpStream, script: Script) {
    let mut buf = [0; 4_096];
    let read = stream.read(&mut buf).await.unwrap_or_default();
    let req = String::from_utf8_lossy(&buf[..read]);
    if req.starts_with("POST /kv-move") {
        let moved =
            "HTTP/1.1 200 OK\r\ncontent-length: 31\r\n\r\n{\"handle\":\"h1\",\"created_rev\":0}";
        if !req.contains("\"last\":true") {
            // The node may have gone.
            let _ = stream.write_all(moved.as_bytes()).await;
            return;
        }
        let is_first = script.stop_calls.fetch_add(1, Ordering::Relaxed) == 0;
        if script.move_answer == MoveAnswer::LostThenErrors {
            let error = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
            if !is_first {
                // The node may have gone.
                let _ = stream.write_all(error.as_bytes()).await;
                drop(stream);
                sleep(Duration::from_millis(100)).await;
                script.stop.notify_one();
            }
            return;
        }
        script.stop.notify_one();
        // The stream ends before the answer arrives.
        sleep(Duration::from_millis(50)).await;
        let answer = match script.move_answer {
            MoveAnswer::Moved => moved,
            MoveAnswer::NoSuchRun => "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
            MoveAnswer::None | MoveAnswer::LostThenErrors => return,
        };
        // The node may have gone.
        let _ = stream.write_all(answer.as_bytes()).await;
        return;
    }
    let body = script.body.iter().map(String::as_str);
    for part in std::iter::once(HEAD).chain(body) {
        if stream.write_all(part.as_bytes()).await.is_err() {
            return;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(10)) => {}
            () = script.stop.notified() => return,
        }
    }
}

fn events(count: u64) -> Vec<String> {
    (1..=count)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}

/// Starts a relay whose only replica is `replica`.
async fn start_before(replica: &UnframedReplica) -> Fixture {
    let fixture = start(0, ReplicaBehaviour::Full).await;
    let registration = record("i-unframed", replica.address, ReplicaState::Ready);
    fixture.registry.apply(&registration);
    fixture
}

#[rstest]
#[case::once("/draft/1")]
#[case::resumable("/notes/1")]
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_complete(#[case] path: &str) {
    let replica = UnframedReplica::start(events(20), MoveAnswer::None).await;
    let fixture = start_before(&replica).await;

    let response = fixture.call(request(Method::POST, path, "r1")).await;

    assert!(response.is_complete && response.is_sealed());
    assert_eq!(response.event_ids(), (1..=20).collect::<Vec<_>>());
}

#[tokio::test]
async fn an_answer_that_ends_inside_an_event_is_broken_off() {
    let mut body = events(5);
    body.push("id: 6\ndata: tok".to_owned());
    let replica = UnframedReplica::start(body, MoveAnswer::None).await;
    let fixture = start_before(&replica).await;

    let response = fixture.call(request(Method::POST, "/draft/1", "r1")).await;

    assert!(!response.is_complete);
    assert_eq!(response.event_ids(), (1..=5).collect::<Vec<_>>());
}

/// Opens a stream at the unframed replica, which then leaves while another replica can take the run.
async fn move_run(replica: &UnframedReplica) -> CallResponse {
    let fixture = start_before(replica).await;
    let opened = fixture.open(request(Method::POST, "/draft/1", "r1")).await;
    let stream = ReplicaBehaviour::Stream(60, Duration::from_millis(1));
    let target = UsersReplica::start("i-target", stream).await;
    let target = target.expect("a free port");
    let ready = record("i-target", target.address(), ReplicaState::Ready);
    fixture.registry.apply(&ready);
    let state = ReplicaState::Leaving {
        remaining: Some(Duration::from_millis(1_600)),
    };
    fixture
        .registry
        .apply(&record("i-unframed", replica.address, state));
    CallResponse::read(opened.expect("an answer")).await
}

/// Guards against a stream that its replica stopped for a move and that looks complete, because its end
/// is only the end of its connection.
#[tokio::test]
async fn a_run_that_was_stopped_for_a_move_continues_at_the_target() {
    let replica = UnframedReplica::start(events(60), MoveAnswer::Moved).await;

    let response = move_run(&replica).await;

    assert_eq!(response.status, StatusCode::OK);
    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=60).collect::<Vec<_>>());
}

#[rstest]
#[case::no_such_run(MoveAnswer::NoSuchRun, true)]
#[case::no_answer(MoveAnswer::None, false)]
#[case::lost_then_errors(MoveAnswer::LostThenErrors, false)]
#[tokio::test]
async fn a_stream_that_ends_during_a_move_is_complete_only_if_its_run_had_ended(
    #[case] move_answer: MoveAnswer,
    #[case] is_complete: bool,
) {
    let replica = UnframedReplica::start(events(60), move_answer).await;

    let response = move_run(&replica).await;

    assert_eq!(response.is_complete, is_complete);
}
