//! Requests that are in progress when the grace period of a planned stop ends: those that cannot end in time are
//! refused before they run, and all get an answer.

mod relay_support;

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use relay_support::{Deployment, HOST, KEY, RelayProcess, eventually, start_deployment};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use verbenahead_standins::users::ReplicaBehaviour;

const BODY: &str = "0123456789";

/// Starts a node with a grace period of 3 s in front of a replica that takes `work` for an answer.
async fn start(work: Duration) -> (Deployment, RelayProcess) {
    let quick = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);
    let deployment = start_deployment(1, quick).await;
    let node = deployment.start_node("n1").await;
    eventually("a call is served", async || {
        let answer = node.ask(http::Method::GET, "/look/0", "c1").await;
        answer.is_some_and(|(status, _)| status == StatusCode::OK)
    })
    .await;
    let slow = ReplicaBehaviour::Answer(StatusCode::OK, work);
    deployment.replicas[0].set_behaviour(slow);
    (deployment, node)
}

fn head(path: &str) -> String {
    let length = BODY.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: late\r\ndeadline-ms: 4000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Returns what arrives on a connection until it is closed.
async fn read_answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset ends the answer as well.
    let _ = timeout(Duration::from_secs(10), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// `Rest` is the part of a request that is sent after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rest {
    /// The request was sent whole before.
    Nothing,
    /// The last bytes of the body are sent after this time.
    Body(Duration),
    /// The body does not end.
    Missing,
}

// Guards against requests that are passed on although the process ends before their answer, and against
// connections that are closed without an answer.
#[rstest]
#[case::body_ends_late(Rest::Body(Duration::from_millis(1_800)), "HTTP/1.1 503", 0)]
#[case::body_does_not_end(Rest::Missing, "HTTP/1.1 503", 0)]
#[case::replica_at_work(Rest::Nothing, "HTTP/1.1 502", 1)]
#[tokio::test]
async fn a_request_at_the_end_of_the_grace_gets_an_answer(
    #[case] rest: Rest,
    #[case] expected: &str,
    #[case] runs: usize,
    #[values("/file/1", "/look/1", "/draft/1", "/notes/1")] path: &str,
) {
    let (deployment, mut node) = start(Duration::from_secs(4)).await;
    let mut stream = TcpStream::connect(node.callers).await.expect("it accepts");
    let early = match rest {
        Rest::Nothing => BODY,
        Rest::Body(_) | Rest::Missing => &BODY[..4],
    };
    let first = [head(path).as_str(), early].concat();
    stream.write_all(first.as_bytes()).await.expect("sent");
    sleep(Duration::from_millis(200)).await;

    node.signal(Signal::SIGTERM);
    if let Rest::Body(after) = rest {
        sleep(after).await;
        // The node may have answered and closed the connection.
        let _ = stream.write_all(&BODY.as_bytes()[4..]).await;
    }
    let answer = read_answer(stream).await;

    assert!(answer.starts_with(expected), "{answer:?}");
    assert_eq!(answer.contains("retry-after"), runs == 0, "{answer:?}");
    let ran = deployment.replicas[0].runs();
    let late = ran
        .iter()
        .filter(|run| run.is_request(&format!("POST {path}"), BODY));
    let late = late.count().max(ran.len() - 1);
    assert_eq!(late, runs, "{ran:?}");
    assert!(node.wait_end().await);
}

// Guards against refusals of requests that end well within the grace.
#[tokio::test]
async fn a_request_that_ends_within_the_grace_is_served() {
    let (_deployment, mut node) = start(Duration::from_millis(600)).await;
    let mut stream = TcpStream::connect(node.callers).await.expect("it accepts");
    node.signal(Signal::SIGTERM);
    sleep(Duration::from_millis(300)).await;

    let whole = [head("/file/1").as_str(), BODY].concat();
    stream.write_all(whole.as_bytes()).await.expect("sent");
    let answer = read_answer(stream).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(node.wait_end().await);
}
