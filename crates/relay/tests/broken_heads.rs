//! Failure pattern: a replica stops in the middle of its answer, in the head or in the body, and closes or
//! resets the connection. The caller's socket must not show an answer that looks whole.

mod peer_support;
mod support;
mod wire_support;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use rstest::rstest;
use wire_support::{
    Way, WireReplica, WireRequest, WireStep,
    raw_answer::{RawAnswer, call_cut, call_raw, send_and_end},
    start_before,
};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// `Framing` is how an answer shows where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    None,
}

fn head(lines: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: seal\r\n\
         content-type: text/event-stream\r\n{lines}\r\n"
    )
}

/// Returns the bytes of a body in chunks, without the last one.
fn chunks(parts: &[&str]) -> String {
    let chunk = |part: &&str| format!("{:x}\r\n{part}\r\n", part.len());
    parts.iter().map(chunk).collect()
}

/// Returns a whole answer with three events, and the length of its head.
fn whole_answer(framing: Framing) -> (String, usize) {
    let (head, body) = match framing {
        Framing::Length => (
            head(&format!("content-length: {}\r\n", EVENTS.len())),
            EVENTS.to_owned(),
        ),
        Framing::Chunks => (
            head("transfer-encoding: chunked\r\n"),
            chunks(&[&EVENTS[..15], &EVENTS[15..]]) + "0\r\n\r\n",
        ),
        Framing::None => (head("connection: close\r\n"), EVENTS.to_owned()),
    };
    (format!("{head}{body}"), head.len())
}

/// Returns the places at which `text` is cut: before, inside and after each line, name and value, and between
/// the characters of a line end.
fn cuts(text: &str) -> Vec<usize> {
    let mut cuts = Vec::new();
    let mut start = 0;
    for line in text.split_inclusive("\r\n") {
        let end = start + line.len();
        cuts.extend([start, start + line.len() / 4, start + line.len() / 2]);
        cuts.extend(line.find([':', ' ']).map(|at| start + at + 1));
        cuts.extend([end.saturating_sub(3), end.saturating_sub(2), end - 1]);
        start = end;
    }
    cuts.retain(|cut| *cut < text.len());
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

// Guards against a success with an empty body, or a promise of no run, after a head that is cut.
#[rstest]
#[tokio::test]
async fn a_head_that_is_cut_is_no_answer(
    #[values("/look/1", "/file/1", "/draft/1", "/notes/1")] path: &str,
    #[values(WireStep::Close, WireStep::Reset)] end: WireStep,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
    #[values("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")] interim: &str,
) {
    let (answer, head_len) = whole_answer(Framing::Length);
    let max_runs = if matches!(path, "/look/1" | "/notes/1") {
        2
    } else {
        1
    };

    for cut in cuts(&answer[..head_len]) {
        let bytes = format!("{interim}{}", &answer[..cut]);
        let (received, runs) = call_cut(bytes, end.clone(), path, way).await;

        assert!(
            !(200..300).contains(&received.status),
            "at {cut}: {received:?}"
        );
        assert!(!received.says_not_run(), "at {cut}: {received:?}");
        assert!((1..=max_runs).contains(&runs), "at {cut}: {runs} runs");
    }
}

// Guards against a short body that is framed as whole, directly and under the frame of another node.
#[rstest]
#[case::length_closed(Framing::Length, WireStep::Close)]
#[case::length_reset(Framing::Length, WireStep::Reset)]
#[case::chunks_closed(Framing::Chunks, WireStep::Close)]
#[case::chunks_reset(Framing::Chunks, WireStep::Reset)]
#[case::no_framing_reset(Framing::None, WireStep::Reset)]
#[tokio::test]
async fn a_body_that_is_cut_is_not_whole(
    #[case] framing: Framing,
    #[case] end: WireStep,
    #[values("/look/1", "/file/1", "/draft/1", "/notes/1")] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let (answer, head_len) = whole_answer(framing);

    for cut in cuts(&answer).into_iter().filter(|cut| *cut >= head_len) {
        let bytes = answer[..cut].to_owned();
        let (received, _) = call_cut(bytes, end.clone(), path, way).await;

        assert!(!received.is_success(), "at {cut}: {received:?}");
        assert!(!received.says_not_run(), "at {cut}: {received:?}");
        assert!(EVENTS.starts_with(&received.body) || received.status != 200);
    }
}

// Shows that the checks above pass an answer that is whole.
#[rstest]
#[tokio::test]
async fn a_whole_answer_is_whole(
    #[values(Framing::Length, Framing::Chunks, Framing::None)] framing: Framing,
    #[values("/look/1", "/file/1", "/draft/1", "/notes/1")] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let (answer, _) = whole_answer(framing);

    let (received, runs) = call_cut(answer, WireStep::Close, path, way).await;

    assert!(received.is_success(), "{received:?}");
    assert_eq!((received.body.as_str(), runs), (EVENTS, 1));
}

/// Starts three replicas behind a relay. The first request gets three events and a break, the second one
/// `second`, and a third one the rest.
async fn call_resumed(second: Vec<WireStep>, path: &str, way: Way) -> RawAnswer {
    let count = Arc::new(AtomicUsize::new(0));
    let script = move |_: &WireRequest| match count.fetch_add(1, Ordering::Relaxed) {
        0 => {
            let bytes = head("transfer-encoding: chunked\r\n") + &chunks(&[EVENTS]);
            send_and_end(&bytes, &WireStep::Close)
        }
        1 => second.clone(),
        _ => {
            let rest = "id: 4\ndata: d\n\n";
            let bytes = head(&format!("content-length: {}\r\n", rest.len())) + rest;
            send_and_end(&bytes, &WireStep::Close)
        }
    };
    let mut replicas = Vec::new();
    for _ in 0..3 {
        replicas.push(WireReplica::start(script.clone()).await);
    }
    let addresses: Vec<_> = replicas.iter().map(WireReplica::address).collect();
    let fixture = start_before(&addresses, way).await;
    call_raw(fixture.address, path, b"").await
}

// Guards against a stream that ends as if whole where the replica that takes it up stops inside its head.
#[rstest]
#[tokio::test]
async fn a_resumed_stream_does_not_end_with_a_head_that_is_cut(
    #[values(WireStep::Close, WireStep::Reset)] end: WireStep,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let (answer, head_len) = whole_answer(Framing::Length);

    for cut in cuts(&answer[..head_len]) {
        let second = || send_and_end(&answer[..cut], &end);
        let given_up = call_resumed(second(), "/notes/1", way).await;
        let resumed = call_resumed(second(), "/talks/1", way).await;

        assert!(!given_up.is_whole, "at {cut}: {given_up:?}");
        assert_eq!((given_up.status, given_up.body.as_str()), (200, EVENTS));
        assert!(resumed.is_success(), "at {cut}: {resumed:?}");
        assert_eq!(resumed.body, format!("{EVENTS}id: 4\ndata: d\n\n"));
    }
}

// Guards against bodies that are cut or filled up to a length that their framing does not have.
#[rstest]
#[case::smaller_length("transfer-encoding: chunked\r\ncontent-length: 5\r\n")]
#[case::no_length("content-length: 0\r\ntransfer-encoding: chunked\r\n")]
#[case::larger_length("content-length: 5000\r\ntransfer-encoding: chunked\r\n")]
#[case::two_lengths("content-length: 5\r\ncontent-length: 45\r\n")]
#[case::listed_lengths("content-length: 5, 45\r\n")]
#[case::no_number("content-length: 45x\r\n")]
#[case::negative("content-length: -45\r\n")]
#[case::unknown_coding("transfer-encoding: mystery\r\ncontent-length: 5\r\n")]
#[case::coding_twice("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n")]
#[tokio::test]
async fn a_head_that_disagrees_with_itself_does_not_make_a_short_answer(
    #[case] lines: &str,
    #[values("/look/1", "/file/1", "/draft/1", "/notes/1")] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let is_chunked = lines.contains("chunked");
    let body = match is_chunked {
        true => chunks(&[EVENTS]) + "0\r\n\r\n",
        false => EVENTS.to_owned(),
    };
    let bytes = head(lines) + &body;

    let (received, _) = call_cut(bytes, WireStep::Close, path, way).await;

    assert!(
        !received.is_success() || received.body == EVENTS,
        "{received:?}"
    );
    assert!(!received.says_not_run(), "{received:?}");
}

// Guards against a change of protocol that no caller asked for.
#[rstest]
#[tokio::test]
async fn a_change_of_protocol_is_no_answer(
    #[values("/look/1", "/file/1", "/draft/1", "/notes/1")] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let bytes = "HTTP/1.1 101 Switching Protocols\r\nattempt-id: r1\r\nserver-seal: seal\r\n\
                 connection: upgrade\r\nupgrade: other\r\n\r\nbytes of another protocol";

    let (received, _) = call_cut(bytes.to_owned(), WireStep::Close, path, way).await;

    assert_eq!(received.status, 502, "{received:?}");
}
