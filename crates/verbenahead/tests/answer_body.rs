//! Failure pattern: the task that generates an answer ends by a fault, so nobody sends its end.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio::{sync::mpsc, time::interval};
use verbenahead::{
    callers::{
        answer_body::AnswerBody,
        chat::{AnswerMetadata, CompletionApi},
    },
    node::answer::AnswerEvent,
};
use verbenahead_core::RequestId;
use verbenahead_upstream::FinishReason;

fn token() -> AnswerEvent {
    AnswerEvent::Token {
        position: 0,
        text: "word".to_owned(),
    }
}

fn end() -> AnswerEvent {
    AnswerEvent::End {
        length: 1,
        reason: FinishReason::Stop,
        is_delivered: false,
    }
}

// Guards against a streamed answer that looks complete because its task is gone.
#[rstest]
#[case::no_event(vec![], false)]
#[case::without_its_end(vec![token()], false)]
#[case::whole(vec![token(), end()], true)]
#[tokio::test]
async fn an_answer_is_complete_only_with_its_end(
    #[case] events: Vec<AnswerEvent>,
    #[case] is_complete: bool,
) {
    let metadata = AnswerMetadata {
        request: RequestId::random(&mut StdRng::seed_from_u64(1)),
        model: "m".to_owned(),
        api: CompletionApi::Chat,
        created: 1,
    };
    let (tx, rx) = mpsc::channel(4);
    for event in events {
        tx.send(event).await.expect("a receiver");
    }
    drop(tx);

    let body = AnswerBody::new(metadata, rx, interval(Duration::from_secs(60)));
    let parts: Vec<Result<Bytes, _>> = body.take(10).collect().await;

    let is_cut_off = parts.iter().any(Result::is_err);
    assert_eq!(is_cut_off, !is_complete);
}
