//! A replica records which side ended a run first.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::{net::TcpStream, time::sleep};
use verbenahead_standins::users::{ReplicaBehaviour, RunEnd, UsersReplica};

/// Limit on the time in which a replica notices the end of a connection.
const NOTICE_LIMIT: Duration = Duration::from_secs(5);

const PAUSE: Duration = Duration::from_millis(5);

async fn send(replica: &UsersReplica, target: &str, body: &str) -> Option<Incoming> {
    let stream = TcpStream::connect(replica.address()).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let req = Request::builder()
        .method(Method::POST)
        .uri(target)
        .header("host", "desk.example")
        .header("attempt-id", "r1")
        .body(Full::new(Bytes::from(body.to_owned())));
    let response = sender.send_request(req.expect("a valid request")).await;
    response.ok().map(http::Response::into_body)
}

/// Returns the end of the only run of a replica, as soon as it has one.
async fn end_of(replica: &UsersReplica) -> Option<RunEnd> {
    let until = tokio::time::Instant::now() + NOTICE_LIMIT;
    loop {
        let end = replica.runs().first().and_then(|run| run.end);
        if end.is_some() || tokio::time::Instant::now() >= until {
            return end.map(|(end, _)| end);
        }
        sleep(PAUSE).await;
    }
}

/// Guards against a replica that takes its own end for that of its caller, or the other way round.
#[rstest]
#[case::plain(
    ReplicaBehaviour::Answer(http::StatusCode::OK, PAUSE),
    RunEnd::Complete
)]
#[case::whole_stream(ReplicaBehaviour::Stream(3, PAUSE), RunEnd::Complete)]
#[case::broken_stream(ReplicaBehaviour::BreakStream(3), RunEnd::BrokenOff)]
#[case::lost_answer(ReplicaBehaviour::LoseAnswer, RunEnd::BrokenOff)]
#[case::cut_body(ReplicaBehaviour::CutBody, RunEnd::BrokenOff)]
#[tokio::test]
async fn the_end_that_a_replica_makes_is_recorded(
    #[case] behaviour: ReplicaBehaviour,
    #[case] expected: RunEnd,
) {
    let replica = UsersReplica::start("i-1", behaviour).await.expect("starts");

    if let Some(body) = send(&replica, "/draft/r1", "x").await {
        // A broken response has no whole body.
        let _ = body.collect().await;
    }

    assert_eq!(end_of(&replica).await, Some(expected));
}

/// Guards against a caller that left unnoticed.
#[tokio::test]
async fn a_caller_that_leaves_is_recorded() {
    let behaviour = ReplicaBehaviour::Stream(1_000, PAUSE);
    let replica = UsersReplica::start("i-1", behaviour).await.expect("starts");
    let body = send(&replica, "/draft/r1", "x").await;

    drop(body);

    assert_eq!(end_of(&replica).await, Some(RunEnd::CallerLeft));
}

/// Guards against an exit that is taken for a caller that left.
#[rstest]
#[case::streaming(ReplicaBehaviour::Stream(1_000, PAUSE))]
#[case::silent(ReplicaBehaviour::SilentStream(1))]
#[tokio::test]
async fn an_exit_is_recorded(#[case] behaviour: ReplicaBehaviour) {
    let replica = UsersReplica::start("i-1", behaviour).await.expect("starts");
    let body = send(&replica, "/draft/r1", "x").await;

    replica.crash();

    assert_eq!(end_of(&replica).await, Some(RunEnd::Exited));
    drop(body);
}

/// Guards against a stopped run that is taken for one that its replica broke off.
#[tokio::test]
async fn a_stopped_run_is_recorded() {
    let behaviour = ReplicaBehaviour::Stream(1_000, PAUSE);
    let replica = UsersReplica::start("i-1", behaviour).await.expect("starts");
    let body = send(&replica, "/draft/r1", "x").await;

    let call = r#"{"id":"r1","target":"127.0.0.1:1","last":true}"#;
    let moved = send(&replica, "/kv-move", call).await;

    assert!(moved.is_some());
    assert_eq!(end_of(&replica).await, Some(RunEnd::Stopped));
    drop(body);
}
