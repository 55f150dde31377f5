//! An answer has every token exactly once and in order, whatever happens to its attempts.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use rstest::rstest;
use support::{
    scripted_engine::{Script, ScriptedEngine, Step, text},
    serving::{directory, manifest, service, single_node_serving, vm},
    single_node::NoJournals,
};
use tokio::{sync::mpsc, time::Instant};
use verbenahead::node::{
    answer::AnswerEvent,
    generation::{GenerationRequest, GenerationTask},
    journal_writer::JournalWriter,
    journals::JournalHandle,
    serving::ServingContext,
};
use verbenahead_core::{
    AttemptId, Incarnation, NodeId, RequestId, UpstreamId, WorkspaceId, units::Tokens,
};
use verbenahead_peer::JournalRecord;
use verbenahead_upstream::Error;

const REQUEST: RequestId = RequestId(7);

fn request() -> GenerationRequest {
    GenerationRequest {
        id: REQUEST,
        workspace: WorkspaceId::try_new("crew").expect("a valid id"),
        service: service(),
        manifest: manifest(),
        model: "m".to_owned(),
        prompt: "prompt".to_owned(),
        seed: 1,
        max_tokens: Tokens(100),
        priority: 0,
        deadline: Instant::now() + Duration::from_secs(60),
        progress_timeout: Duration::from_secs(2),
    }
}

fn record(tokens: &[String]) -> JournalRecord {
    JournalRecord {
        request: REQUEST,
        workspace: WorkspaceId::try_new("crew").expect("a valid id"),
        service: service(),
        owner: NodeId::try_new("n1").expect("a valid id"),
        epoch: 1,
        seed: 1,
        body: Bytes::new(),
        tokens: tokens.to_vec(),
        is_finished: false,
    }
}

fn start(
    serving: Arc<ServingContext>,
    tokens: Vec<String>,
    delivered: u64,
) -> mpsc::Receiver<AnswerEvent> {
    let (tx, rx) = mpsc::channel(4);
    let handle = JournalHandle {
        request: REQUEST,
        epoch: 1,
        holder: None,
    };
    let journal = JournalWriter::new(Arc::new(NoJournals), record(&tokens), handle);
    let generation = GenerationTask::new(serving, request(), journal, tx, tokens, delivered);
    tokio::spawn(generation.run());
    rx
}

/// Collects the text, the positions of its tokens, and the last event that is not a token.
async fn collect(mut rx: mpsc::Receiver<AnswerEvent>) -> (String, Vec<u64>, Option<AnswerEvent>) {
    let mut answer_text = String::new();
    let mut positions = Vec::new();
    let mut last = None;
    while let Some(event) = rx.recv().await {
        match event {
            AnswerEvent::Token { position, text } => {
                positions.push(position);
                answer_text.push_str(&text);
            }
            other => last = Some(other),
        }
    }
    (answer_text, positions, last)
}

fn is_end(event: Option<&AnswerEvent>, expected: u64) -> bool {
    matches!(event, Some(AnswerEvent::End { length, .. }) if *length == expected)
}

#[rstest]
#[case::single_attempt(vec![Script::Run(vec![Step::Tokens(10), Step::End])])]
#[case::broken_stream(vec![
    Script::Run(vec![Step::Tokens(4), Step::Break]),
    Script::Run(vec![Step::Tokens(6), Step::End]),
])]
#[case::ended_early(vec![
    Script::Run(vec![Step::Tokens(4)]),
    Script::Run(vec![Step::Tokens(6), Step::End]),
])]
#[case::silent_stream(vec![
    Script::Run(vec![Step::Tokens(4), Step::Silence]),
    Script::Run(vec![Step::Tokens(6), Step::End]),
])]
#[case::refused_then_served(vec![
    Script::Refuse(Error::refused(503, "full")),
    Script::Run(vec![Step::Tokens(10), Step::End]),
])]
#[case::frame_of_another_attempt(vec![
    Script::Run(vec![Step::Tokens(4), Step::ExtraFrame(Some(AttemptId(9)), 4), Step::Tokens(6), Step::End]),
])]
#[case::repeated_frame(vec![
    Script::Run(vec![Step::Tokens(4), Step::ExtraFrame(None, 2), Step::Tokens(6), Step::End]),
])]
#[case::missing_frame(vec![
    Script::Run(vec![Step::Tokens(4), Step::ExtraFrame(None, 5)]),
    Script::Run(vec![Step::Tokens(6), Step::End]),
])]
#[tokio::test(start_paused = true)]
async fn the_answer_is_complete(#[case] scripts: Vec<Script>) {
    let engine = Arc::new(ScriptedEngine::new(scripts));
    let upstreams = directory(&[vm("u1", 1, "a"), vm("u2", 1, "b")]);

    let (answer_text, _, last) =
        collect(start(single_node_serving(engine, upstreams), Vec::new(), 0)).await;

    assert_eq!(answer_text, text(10));
    assert!(is_end(last.as_ref(), 10), "{last:?}");
}

#[rstest]
#[case::journal_behind_the_caller(3, 6)]
#[case::journal_ahead_of_the_caller(6, 3)]
#[case::from_the_start(6, 0)]
#[case::only_the_last_event_is_missing(6, 10)]
#[tokio::test(start_paused = true)]
async fn a_resumed_answer_has_no_repeated_or_missing_token(
    #[case] known: u64,
    #[case] delivered: u64,
) {
    let rest = Script::Run(vec![Step::Tokens(10 - known), Step::End]);
    let engine = Arc::new(ScriptedEngine::new([rest]));
    let tokens: Vec<_> = (0..known).map(support::scripted_engine::token).collect();
    let serving = single_node_serving(engine.clone(), directory(&[vm("u1", 1, "a")]));

    let (_, positions, last) = collect(start(serving, tokens.clone(), delivered)).await;

    assert_eq!(positions, (delivered..10).collect::<Vec<_>>());
    assert_eq!(engine.requests()[0].1.generated, tokens);
    assert!(is_end(last.as_ref(), 10), "{last:?}");
}

#[tokio::test(start_paused = true)]
async fn an_answer_moves_away_from_a_leaving_upstream() {
    let slow = Step::Wait(Duration::from_secs(1));
    let engine = Arc::new(ScriptedEngine::new([
        Script::Run(vec![
            Step::Tokens(4),
            slow.clone(),
            slow.clone(),
            Step::Tokens(6),
            Step::End,
        ]),
        Script::Run(vec![Step::Tokens(6), Step::End]),
    ]));
    let upstreams = directory(&[vm("u1", 1, "a")]);
    let rx = start(
        single_node_serving(engine.clone(), upstreams.clone()),
        Vec::new(),
        0,
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    upstreams.apply_list(&[vm("u1", 1, "a"), vm("u2", 1, "b")]);

    let first = UpstreamId::try_new("u1").expect("a valid id");
    upstreams.mark_leaving(&first, Incarnation(1), Duration::from_secs(3));
    let (answer_text, _, last) = collect(rx).await;

    assert_eq!(answer_text, text(10));
    assert!(is_end(last.as_ref(), 10), "{last:?}");
    let requests = engine.requests();
    assert_eq!(requests[1].0.upstream.as_str(), "u2");
    assert_eq!(requests[1].1.generated.len(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_failed_answer_has_a_retry_after_time() {
    let refusals = (0..10).map(|_| Script::Refuse(Error::refused(503, "full")));
    let engine = Arc::new(ScriptedEngine::new(refusals));
    let serving = single_node_serving(engine, directory(&[vm("u1", 1, "a")]));

    let (_, _, last) = collect(start(serving, Vec::new(), 0)).await;

    let Some(AnswerEvent::Failed(problem)) = last else {
        panic!("the answer was not given up: {last:?}");
    };
    assert!(problem.retry_after.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_stalled_caller_ends_only_its_own_request() {
    let engine = Arc::new(ScriptedEngine::new([
        Script::Run(vec![Step::Tokens(50), Step::End]),
        Script::Run(vec![Step::Tokens(10), Step::End]),
    ]));
    let serving = single_node_serving(engine, directory(&[vm("u1", 1, "a")]));
    let stalled = start(serving.clone(), Vec::new(), 0);
    tokio::time::sleep(Duration::from_millis(1)).await;

    let (answer_text, _, _) = collect(start(serving, Vec::new(), 0)).await;
    tokio::time::sleep(Duration::from_secs(6)).await;

    assert_eq!(answer_text, text(10));
    assert!(stalled.is_closed());
}
