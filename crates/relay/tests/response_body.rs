//! Failure pattern: nobody sends the rest of a body.

use bytes::Bytes;
use http_body_util::BodyExt;
use rstest::rstest;
use verbenahead_relay::{CutOff, ResponseBody};

// Guards against a body that looks complete because its sender is gone, whatever its length.
#[rstest]
#[tokio::test]
async fn a_body_is_complete_only_if_its_sender_says_so(
    #[values(None, Some(6), Some(100))] length: Option<u64>,
    #[values(false, true)] is_complete: bool,
) {
    let (tx, mut body) = ResponseBody::streamed(4, length);
    tx.send(Bytes::from("abcdef")).await.expect("a body");

    match is_complete {
        true => tx.complete(),
        false => drop(tx),
    }

    let first = body.frame().await.expect("a chunk").expect("a chunk");
    assert_eq!(first.into_data().expect("data"), "abcdef");
    let end = body.frame().await.map(|frame| frame.map(|_| ()));
    assert_eq!(end, (!is_complete).then_some(Err(CutOff)));
}

#[tokio::test]
async fn a_sender_learns_that_its_body_is_gone() {
    let (tx, body) = ResponseBody::streamed(4, None);

    drop(body);

    tx.closed().await;
    assert!(tx.is_closed());
    assert!(tx.send(Bytes::from("a")).await.is_err());
}
