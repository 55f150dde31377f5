//! Failure pattern: a replica in trouble answers with a status that HTTP does not define. Callers cannot interpret it, so
//! the caller's socket must not show it.

mod peer_support;
mod support;
mod wire_support;

use rstest::rstest;
use wire_support::{Way, WireStep, raw_answer::call_cut};

const HEAD: &str = "attempt-id: r1\r\nserver-seal: seal\r\ncontent-type: text/event-stream\r\n";

const EVENT: &str = "id: 1\ndata: a\n\n";

// Guards against an answer with a status that a caller cannot interpret.
#[rstest]
#[tokio::test]
async fn a_status_that_http_does_not_define_is_no_answer(
    #[values(
        "HTTP/1.1 000 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 101 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 0",
        "HTTP/1.1 0200 X",
        "HTTP/1.0 000 X",
        "200 OK",
        "ok"
    )]
    status_line: &str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] interim: &str,
    #[values("/look/1", "/file/1", "/draft/1", "/notes/1")] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let length = EVENT.len();
    let answer = format!("{interim}{status_line}\r\n{HEAD}content-length: {length}\r\n\r\n{EVENT}");

    let (answer, runs) = call_cut(answer, WireStep::Close, path, way).await;

    answer.assert_none_of_a_replica();
    assert_eq!(answer.status, 502);
    assert!((1..=2).contains(&runs));
}
