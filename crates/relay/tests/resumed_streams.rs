//! Failure pattern: a stream has begun and goes on at another replica, which answers with something else.

mod support;

use std::time::Duration;

use http::{Method, StatusCode};
use rstest::rstest;
use support::{
    request,
    scripted::{Step, start_scripted},
};
use verbenahead_relay::RelayOptions;

const EVENTS: &str = "text/event-stream";

fn error() -> Step {
    let text = "id: 6\ndata: out of memory\n\n";
    Step::Whole(StatusCode::INTERNAL_SERVER_ERROR, EVENTS, text)
}

fn no_stream() -> Step {
    Step::Whole(
        StatusCode::OK,
        "text/html",
        "id: 6\ndata: <html></html>\n\n",
    )
}

fn body(text: &'static str) -> Step {
    Step::Whole(StatusCode::OK, EVENTS, text)
}

// Guards against streams that are cut after one useless answer, or that end with foreign bytes or too early.
#[rstest]
#[case::an_error(error())]
#[case::a_client_error(Step::Whole(StatusCode::NOT_FOUND, EVENTS, "id: 6\ndata: none\n\n"))]
#[case::no_stream(no_stream())]
#[case::nothing(body(""))]
#[case::text(body("out of memory"))]
#[case::an_event_without_an_id(body("event: error\ndata: out of memory\n\n"))]
#[case::events_of_another_place(body("id: 9\ndata: token 9\n\n"))]
#[case::events_from_the_start_only(body("id: 1\ndata: token 1\n\n"))]
#[tokio::test]
async fn a_broken_stream_goes_on_after_an_answer_that_does_not_continue_it(#[case] answer: Step) {
    let steps = [Step::BreakAfter(5), answer, Step::Until(10, Duration::ZERO)];
    let fixture = start_scripted(3, steps, RelayOptions::default()).await;

    let response = fixture
        .node
        .call(request(Method::POST, "/talks/1", "r1"))
        .await;

    let all: String = (1..=10)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect();
    assert_eq!(response.text(), all);
    assert!(response.is_complete);
    assert_eq!(fixture.script.work().len(), 3);
}

// Guards against an end as if the stream were complete, though nothing shows that its last event was sent.
#[rstest]
#[case::an_error(error(), 4)]
#[case::no_stream(no_stream(), 4)]
#[case::nothing(body(""), 4)]
#[case::an_event_without_an_id(body("event: error\ndata: out of memory\n\n"), 4)]
#[case::an_event_without_an_id_after_another(
    body("id: 6\ndata: token 6\n\nevent: error\ndata: out of memory\n\n"),
    6
)]
#[tokio::test]
async fn a_broken_stream_that_no_replica_continues_ends_incomplete(
    #[case] answer: Step,
    #[case] max_runs: usize,
) {
    let steps = [Step::BreakAfter(5), answer];
    let fixture = start_scripted(6, steps, RelayOptions::default()).await;

    let response = fixture
        .node
        .call(request(Method::POST, "/talks/1", "r1"))
        .await;

    let ids = response.event_ids();
    assert!(!response.is_complete);
    assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    assert!(!response.text().contains("memory") && !response.text().contains("html"));
    let runs = fixture.script.work().len();
    assert!((2..=max_runs).contains(&runs), "{runs} runs");
}

// Guards against streams that are broken off because of comments, which carry nothing.
#[tokio::test]
async fn comments_of_a_resumed_stream_do_not_break_it() {
    let steps = [
        Step::BreakAfter(5),
        body(": wait\n\nid: 5\ndata: token 5\n\nid: 6\ndata: token 6\n\n: done\n\n"),
    ];
    let fixture = start_scripted(2, steps, RelayOptions::default()).await;

    let response = fixture
        .node
        .call(request(Method::POST, "/talks/1", "r1"))
        .await;

    assert!(response.is_complete);
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5, 6]);
}
