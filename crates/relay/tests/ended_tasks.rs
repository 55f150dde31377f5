//! Failure pattern: the task that forwards a response ends by a fault, or with its runtime, in the middle of
//! the response.

mod peer_support;
mod support;
mod wire_support;

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use support::{Fixture, request};
use tokio::{runtime::Runtime, time::timeout};
use wire_support::{Way, WireReplica, WireRequest, WireStep, start_before};

/// Time within which the next part of a body arrives.
const LIMIT: Duration = Duration::from_secs(5);

/// Size of a body that is not buffered as a whole, in bytes.
const LARGE: usize = 3_000_000;

/// Starts a relay before a replica that sends a head and these bytes, and then nothing.
async fn start(lines: &'static str, body: String, way: Way) -> (WireReplica, Fixture) {
    let replica = WireReplica::start(move |_: &WireRequest| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: seal\r\n\
             content-type: text/event-stream\r\n{lines}\r\n"
        );
        vec![
            WireStep::Send(head + &body),
            WireStep::Pause(Duration::from_secs(60)),
        ]
    })
    .await;
    let fixture = start_before(&[replica.address()], way).await;
    (replica, fixture)
}

/// Reads the first bytes of a body, ends the runtime of its tasks and reads on. Returns whether the body ends
/// as if it were complete.
async fn is_complete_after_end<B>(response: Response<B>, runtime: Runtime) -> bool
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Debug,
{
    let mut body = response.into_body();
    let first = timeout(LIMIT, body.frame()).await.expect("a first part");
    first.expect("a first part").expect("a first part");
    runtime.shutdown_background();
    loop {
        match timeout(LIMIT, body.frame()).await.expect("an end") {
            None => return true,
            Some(Err(_)) => return false,
            Some(Ok(_)) => {}
        }
    }
}

// Guards against streams and large bodies that look complete because the task that forwards them is gone.
#[rstest]
#[case::once("/file/1", "content-length: 4000000\r\n", "x".repeat(LARGE))]
#[case::once_in_chunks("/file/1", "transfer-encoding: chunked\r\n",
    format!("{LARGE:x}\r\n{}\r\n", "x".repeat(LARGE)))]
#[case::stream("/draft/1", "connection: close\r\n", "id: 1\ndata: a\n\n".to_owned())]
#[case::resumable("/notes/1", "connection: close\r\n", "id: 1\ndata: a\n\n".to_owned())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_whose_task_ends_is_cut_off(
    #[case] path: &'static str,
    #[case] lines: &'static str,
    #[case] body: String,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let (_replica, fixture) = start(lines, body, way).await;
    let runtime = Runtime::new().expect("a runtime");
    let relay = fixture.relay.clone();

    let handled = async move { relay.handle(request(Method::POST, path, "r1")).await };
    let response = runtime.spawn(handled).await.expect("an answer");

    assert_eq!(response.status(), 200);
    assert!(!is_complete_after_end(response, runtime).await);
}

/// Returns a request of another node for the replica `i-0`.
fn forwarded_request() -> Request<Full<Bytes>> {
    let mut req = request(Method::POST, "/draft/1", "r1");
    let headers = [
        ("verbenahead-replica", "i-0"),
        ("verbenahead-incarnation", "1"),
        ("verbenahead-limit-ms", "4000"),
        ("verbenahead-forward", "fresh"),
    ];
    for (name, value) in headers {
        req.headers_mut()
            .insert(name, value.parse().expect("valid"));
    }
    req
}

// Guards against responses to other nodes that look complete because the task of their connection is gone.
#[rstest]
#[case::length("content-length: 100\r\n", "id: 1\ndata: a\n\n")]
#[case::chunks("transfer-encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n")]
#[case::no_framing("connection: close\r\n", "id: 1\ndata: a\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_to_another_node_whose_connection_task_ends_is_cut_off(
    #[case] lines: &'static str,
    #[case] body: &str,
) {
    let (_replica, fixture) = start(lines, body.to_owned(), Way::Direct).await;
    let runtime = Runtime::new().expect("a runtime");
    let relay = fixture.relay.clone();

    let forwarded = async move { relay.forward(forwarded_request()).await };
    let response = runtime.spawn(forwarded).await.expect("an answer");

    assert_eq!(response.status(), 200);
    assert!(!is_complete_after_end(response, runtime).await);
}
