//! Failure pattern: a faulty replica writes an earlier refusal once more on a connection that is in use
//! again.

mod peer_support;
mod support;
mod wire_support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use rstest::rstest;
use support::request;
use tokio::time::sleep;
use wire_support::{Way, WireReplica, WireRequest, WireStep, start_before};

/// Time for which a replica that was full gets no requests, and more.
const FULL_PAUSE: Duration = Duration::from_millis(600);

/// Time from the copy of a refusal to the answer.
const RUN_TIME: Duration = Duration::from_millis(300);

fn refusal(id: &str) -> WireStep {
    WireStep::Send(format!(
        "HTTP/1.1 503 Service Unavailable\r\nattempt-id: {id}\r\nnot-executed: 1\r\n\
         content-length: 0\r\n\r\n"
    ))
}

fn misdirected(id: &str) -> WireStep {
    WireStep::Send(format!(
        "HTTP/1.1 421 Misdirected Request\r\nattempt-id: {id}\r\ncontent-length: 0\r\n\r\n"
    ))
}

fn answer(id: &str) -> WireStep {
    let body = format!("id: 1\ndata: answer to {id}\n\n");
    WireStep::Send(format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Refuses the request `r0` and runs all others. Writes `copy` before the answer to `r1`.
fn copies_before_r1(copy: WireStep) -> impl Fn(&WireRequest) -> Vec<WireStep> {
    move |request| match request.id.as_str() {
        "r0" => vec![refusal("r0")],
        "r1" => vec![copy.clone(), WireStep::Pause(RUN_TIME), answer("r1")],
        id => vec![answer(id)],
    }
}

// Guards against callers who are told that a request was not run that a replica runs.
#[rstest]
#[case::idempotent("/look/1")]
#[case::resumable("/notes/1")]
#[tokio::test]
async fn a_copy_of_an_earlier_refusal_is_no_refusal_of_the_next_request(
    #[case] path: &str,
    #[values(refusal("r0"), misdirected("r0"))] copy: WireStep,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let replica = WireReplica::start(copies_before_r1(copy)).await;
    let fixture = start_before(&[replica.address()], way).await;
    let refused = fixture.call(request(Method::POST, path, "r0")).await;
    sleep(FULL_PAUSE).await;

    let response = fixture.call(request(Method::POST, path, "r1")).await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let ids: Vec<_> = replica.requests().into_iter().map(|r| r.id).collect();
    assert_eq!(ids, ["r0", "r1"]);
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
}

// Guards against requests that may run once and run twice after a copy of an earlier refusal.
#[rstest]
#[case::once("/file/1")]
#[case::stream("/draft/1")]
#[tokio::test]
async fn a_request_that_may_run_once_does_not_meet_a_copy_of_an_earlier_refusal(
    #[case] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let replica = WireReplica::start(|request: &WireRequest| match request.id.as_str() {
        "r0" => vec![refusal("r0")],
        id if request.connection == 0 => vec![refusal("r0"), answer(id)],
        id => vec![answer(id)],
    })
    .await;
    let fixture = start_before(&[replica.address()], way).await;
    fixture.call(request(Method::GET, "/look/1", "r0")).await;
    sleep(FULL_PAUSE).await;

    let response = fixture.call(request(Method::POST, path, "r1")).await;

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(replica.connections_of("r1"), [1]);
}

// Guards against a second run of a request whose replica begins with the refusal of another one.
#[rstest]
#[tokio::test]
async fn a_request_that_may_run_once_is_not_repeated_after_the_refusal_of_another_one(
    #[values("/file/1", "/draft/1")] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let script = |request: &WireRequest| vec![refusal("r0"), answer(&request.id)];
    let (first, second) = (
        WireReplica::start(script).await,
        WireReplica::start(script).await,
    );
    let fixture = start_before(&[first.address(), second.address()], way).await;

    let response = fixture.call(request(Method::POST, path, "r1")).await;

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    let (first, second) = (first.requests(), second.requests());
    assert_eq!(first.len() + second.len(), 1, "{first:?} {second:?}");
}

// Guards against requests that get the answer to the request before, one after the other, on a connection
// on which a copy of a refusal arrived.
#[rstest]
#[tokio::test]
async fn a_connection_with_a_foreign_answer_is_not_used_again(
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let replica = WireReplica::start(copies_before_r1(refusal("r0"))).await;
    let fixture = start_before(&[replica.address()], way).await;
    fixture.call(request(Method::GET, "/look/1", "r0")).await;
    sleep(FULL_PAUSE).await;
    fixture.call(request(Method::GET, "/look/1", "r1")).await;

    let response = fixture.call(request(Method::GET, "/look/1", "r2")).await;

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.text(), "id: 1\ndata: answer to r2\n\n");
    assert_eq!(replica.connections_of("r1"), [0]);
    assert_eq!(replica.connections_of("r2"), [1]);
}

fn stream_head() -> WireStep {
    WireStep::Send(
        "HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: seal\r\nconnection: close\r\n\r\n"
            .into(),
    )
}

fn event(id: u64) -> WireStep {
    WireStep::Send(format!("id: {id}\ndata: token {id}\n\n"))
}

/// Refuses the first request for the stream, streams for longer than the refusal counts and breaks the stream
/// off inside an event, and then runs the rest. Where that arrives on the connection of the refusal, a copy of
/// the refusal goes first.
fn copies_before_the_rest() -> impl Fn(&WireRequest) -> Vec<WireStep> + Clone {
    let count = Arc::new(AtomicUsize::new(0));
    move |request| {
        if request.id.is_empty() {
            return vec![answer("")];
        }
        match count.fetch_add(1, Ordering::Relaxed) {
            0 => vec![refusal("r1")],
            1 => {
                let events = (1..=4).flat_map(|id| [event(id), WireStep::Pause(FULL_PAUSE / 4)]);
                let cut = WireStep::Send("id: 5\ndata: tok".to_owned());
                [stream_head()]
                    .into_iter()
                    .chain(events)
                    .chain([cut, WireStep::Close])
                    .collect()
            }
            _ => {
                let copy = (request.connection == 0).then(|| refusal("r1"));
                let rest = [stream_head(), event(5), event(6), WireStep::Close];
                copy.into_iter().chain(rest).collect()
            }
        }
    }
}

// Guards against a run that is taken for refused, since its request came back to a replica that had refused it
// and that writes this refusal once more.
#[rstest]
#[tokio::test]
async fn a_request_that_comes_back_to_a_replica_does_not_meet_its_own_refusal(
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let script = copies_before_the_rest();
    let (first, second) = (
        WireReplica::start(script.clone()).await,
        WireReplica::start(script).await,
    );
    let fixture = start_before(&[first.address(), second.address()], way).await;

    let response = fixture.call(request(Method::POST, "/talks/1", "r1")).await;

    let mut connections = [first.connections_of("r1"), second.connections_of("r1")];
    connections.sort();
    assert!(response.is_complete, "{connections:?} {response:?}");
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5, 6]);
    assert_eq!(connections, [vec![0], vec![0, 1]]);
}
