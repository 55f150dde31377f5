//! Failure pattern: a replica answers a long upload before it has read it, without a length, and ends the connection
//! while the rest is written. The caller's socket must not show an answer that looks whole.

mod peer_support;
mod support;
mod wire_support;

use std::time::Duration;

use rstest::rstest;
use support::Fixture;
use verbenahead_core::units::ByteSize;
use wire_support::{
    Way, WireReplica, WireRequest, WireStep, raw_answer::call_raw, start_before_within,
};

/// Size of an upload that no socket takes over at once.
const UPLOAD: usize = 12 * 1024 * 1024;

const HEAD: &str = "attempt-id: r1\r\nserver-seal: seal\r\ncontent-type: text/event-stream\r\n";

const PART: &str = "id: 1\ndata: a\n\n";

/// Starts a relay before two replicas, with a limit on bodies above [`UPLOAD`].
async fn start(script: Vec<WireStep>, way: Way) -> (Fixture, [WireReplica; 2]) {
    let script = move |_: &WireRequest| script.clone();
    let replicas = [
        WireReplica::start(script.clone()).await,
        WireReplica::start(script).await,
    ];
    let addresses = [replicas[0].address(), replicas[1].address()];
    let max_body = ByteSize(2 * UPLOAD as u64);
    (
        start_before_within(&addresses, way, max_body).await,
        replicas,
    )
}

// Guards against a part of an answer that is forwarded as the whole one, and against a promise of no run.
#[rstest]
#[case::reset_at_once(vec![WireStep::Reset])]
#[case::reset_in_motion(vec![WireStep::Read(1_000_000), WireStep::Pause(Duration::from_millis(2)), WireStep::Reset])]
#[case::end_at_once(vec![WireStep::Finish, WireStep::Pause(Duration::from_millis(20)), WireStep::Reset])]
#[case::end_in_motion(vec![WireStep::Read(1_000_000), WireStep::Finish, WireStep::Pause(Duration::from_millis(20)), WireStep::Reset])]
#[tokio::test]
async fn an_answer_that_ends_while_the_upload_is_written_is_not_whole(
    #[case] end: Vec<WireStep>,
    #[values("/look/1", "/file/1", "/draft/1", "/notes/1")] path: &str,
    #[values(Way::Direct, Way::OtherNode)] way: Way,
) {
    let answer = format!("HTTP/1.1 200 OK\r\n{HEAD}connection: close\r\n\r\n{PART}");
    let script = [vec![WireStep::Send(answer)], end].concat();
    let (fixture, replicas) = start(script, way).await;

    let answer = call_raw(fixture.address, path, &vec![b'x'; UPLOAD]).await;

    answer.assert_none_of_a_replica();
    assert!(
        replicas
            .iter()
            .any(|replica| !replica.requests().is_empty())
    );
}
