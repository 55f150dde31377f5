//! Tests of the engine stand-in.

mod support;

use anyhow::{Context as _, Result};
use http::{HeaderMap, Method, StatusCode};
use rstest::rstest;
use support::registration;
use verbenahead_core::{AttemptId, FencingNumber, Generation, units::Tokens};
use verbenahead_standins::{
    JsonClient, Server,
    client::Reply,
    engine::{
        self, CacheEvent, EngineBehaviour, EngineCounts, EngineOptions, EngineRoleState, KvBody,
        expected_answer, prefix_hashes,
    },
};
use verbenahead_upstream::{
    FinishReason, Frame, FrameEvent, GenerateRequest, LoadReport, Order, OrderKind,
};

const MODEL: &str = "standin";
const LONG_LAG_MS: u64 = 600_000;

struct Engine {
    _server: Server,
    client: JsonClient,
}

fn options() -> Result<EngineOptions> {
    Ok(EngineOptions {
        token_ms: 0,
        load_lag_ms: 0,
        event_gap: 0,
        ..EngineOptions::new(registration("vm-1")?)
    })
}

async fn start(options: EngineOptions) -> Result<Engine> {
    let server = engine::start(options).await?;
    let client = JsonClient::new(server.address());
    Ok(Engine {
        _server: server,
        client,
    })
}

fn request(attempt: u128, prompt: &str) -> GenerateRequest {
    GenerateRequest {
        attempt: AttemptId(attempt),
        model: MODEL.to_owned(),
        prompt: prompt.to_owned(),
        generated: Vec::new(),
        seed: 1,
        max_tokens: Tokens(10_000),
        priority: 0,
    }
}

/// Builds a prompt of 161 tokens that shares no prefix with the prompts of other names.
fn long_prompt(name: &str) -> String {
    let words: Vec<String> = (0..160).map(|index| format!("{name}{index}")).collect();
    format!("{} [n=5]", words.join(" "))
}

impl Engine {
    async fn post(&self, path: &str, body: &impl serde::Serialize) -> Result<Reply> {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", "application/json".parse()?);
        let body = serde_json::to_vec(body)?;
        self.client.call(Method::POST, path, headers, body).await
    }

    async fn generate(&self, req: &GenerateRequest) -> Result<Vec<Frame>> {
        let reply = self.post("/v1/generate", req).await?;
        anyhow::ensure!(reply.status == StatusCode::OK, "status {}", reply.status);
        parse_frames(std::str::from_utf8(&reply.body)?)
    }

    async fn counts(&self) -> Result<EngineCounts> {
        self.client.get("/control/counts").await
    }

    async fn set_behaviour(&self, behaviour: EngineBehaviour) -> Result<()> {
        self.client.put("/control/behaviour", &behaviour).await
    }
}

fn parse_frames(body: &str) -> Result<Vec<Frame>> {
    let events = body.split_terminator("\n\n");
    events
        .map(|event| {
            let json = event.strip_prefix("data: ").context("no data field")?;
            Ok(serde_json::from_str(json)?)
        })
        .collect()
}

/// Returns the frames of the complete answer from position `first` on.
fn expected_frames(req: &GenerateRequest, first: usize, reason: FinishReason) -> Vec<Frame> {
    let answer = expected_answer(&req.model, &req.prompt, req.max_tokens.0);
    let end = answer.len() as u64;
    let tokens = (0..).zip(answer).skip(first);
    let mut frames: Vec<Frame> = tokens
        .map(|(position, token)| Frame {
            attempt: req.attempt,
            position,
            event: FrameEvent::Token(token),
        })
        .collect();
    frames.push(Frame {
        attempt: req.attempt,
        position: end,
        event: FrameEvent::End(reason),
    });
    frames
}

#[rstest]
#[case::chosen_length("hello [n=200]", 10_000, FinishReason::Stop)]
#[case::hashed_length("hello", 10_000, FinishReason::Stop)]
#[case::capped("hello [n=200]", 7, FinishReason::Length)]
#[case::empty("hello [n=0]", 10_000, FinishReason::Stop)]
#[tokio::test]
async fn an_answer_equals_the_expected_answer(
    #[case] prompt: &str,
    #[case] max_tokens: u64,
    #[case] reason: FinishReason,
) -> Result<()> {
    let engine = start(options()?).await?;
    let mut req = request(1, prompt);
    req.max_tokens = Tokens(max_tokens);

    let frames = engine.generate(&req).await?;

    assert_eq!(frames, expected_frames(&req, 0, reason));
    Ok(())
}

#[tokio::test]
async fn a_continuation_starts_at_the_exact_position() -> Result<()> {
    let engine = start(options()?).await?;
    let mut req = request(1, "hello [n=100]");
    req.generated = expected_answer(MODEL, &req.prompt, 33);

    let frames = engine.generate(&req).await?;

    assert_eq!(frames, expected_frames(&req, 33, FinishReason::Stop));
    Ok(())
}

#[tokio::test]
async fn a_wrong_continuation_is_refused_and_counted() -> Result<()> {
    let engine = start(options()?).await?;
    let mut req = request(1, "hello [n=100]");
    req.generated = expected_answer(MODEL, "another [n=100]", 3);

    let reply = engine.post("/v1/generate", &req).await?;

    assert_eq!(reply.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(engine.counts().await?.bad_continuations, 1);
    Ok(())
}

#[tokio::test]
async fn an_unknown_model_is_not_found() -> Result<()> {
    let engine = start(options()?).await?;
    let mut req = request(1, "hello");
    req.model = "other".to_owned();

    let reply = engine.post("/v1/generate", &req).await?;

    assert_eq!(reply.status, StatusCode::NOT_FOUND);
    Ok(())
}

#[tokio::test]
async fn a_leaving_engine_refuses_new_requests() -> Result<()> {
    let engine = start(options()?).await?;
    let leaving = EngineBehaviour {
        is_leaving: true,
        ..EngineBehaviour::default()
    };
    engine.set_behaviour(leaving).await?;

    let reply = engine.post("/v1/generate", &request(1, "hello")).await?;

    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    Ok(())
}

#[tokio::test]
async fn a_stream_that_is_dropped_is_cancelled() -> Result<()> {
    let mut options = options()?;
    options.token_ms = 1;
    let engine = start(options).await?;
    let client = engine.client.clone();
    let mut headers = HeaderMap::new();
    headers.insert("content-type", "application/json".parse()?);
    let body = serde_json::to_vec(&request(1, "hello [n=1000000]"))?;
    let call = tokio::spawn(async move {
        client
            .call(Method::POST, "/v1/generate", headers, body)
            .await
    });
    while engine.counts().await?.tokens_generated == 0 {}

    call.abort();

    while engine.counts().await?.cancelled == 0 {}
    let counts = engine.counts().await?;
    assert_eq!(counts.finished, 0);
    Ok(())
}

#[tokio::test]
async fn a_full_queue_refuses_new_requests() -> Result<()> {
    let mut options = options()?;
    options.queue_limit = 0;
    let engine = start(options).await?;

    let reply = engine.post("/v1/generate", &request(1, "hello")).await?;

    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(engine.counts().await?.refused, 1);
    Ok(())
}

#[tokio::test]
async fn a_cached_prefix_is_not_processed_again() -> Result<()> {
    let engine = start(options()?).await?;
    let prompt = long_prompt("a");
    engine.generate(&request(1, &prompt)).await?;
    let before = engine.counts().await?;

    engine.generate(&request(2, &prompt)).await?;

    let computed = engine.counts().await?.prompt_tokens_computed - before.prompt_tokens_computed;
    assert_eq!(before.prompt_tokens_computed, 161);
    assert_eq!(computed, 1);
    Ok(())
}

#[tokio::test]
async fn the_cache_evicts_the_least_recently_used_prefix() -> Result<()> {
    let mut options = options()?;
    options.cache_tokens = 200;
    let engine = start(options).await?;
    engine.generate(&request(1, &long_prompt("a"))).await?;
    engine.generate(&request(2, &long_prompt("b"))).await?;
    let before = engine.counts().await?;

    engine.generate(&request(3, &long_prompt("a"))).await?;

    let computed = engine.counts().await?.prompt_tokens_computed - before.prompt_tokens_computed;
    assert_eq!(computed, 161);
    Ok(())
}

#[rstest]
#[case::without_the_cache(false, 260)]
#[case::with_the_cache(true, 0)]
#[tokio::test]
async fn an_imported_kv_cache_avoids_recomputation(
    #[case] is_imported: bool,
    #[case] expected: u64,
) -> Result<()> {
    let old = start(options()?).await?;
    let new = start(options()?).await?;
    let prompt = long_prompt("a").replace("[n=5]", "[n=500]");
    let mut first = request(1, &prompt);
    first.max_tokens = Tokens(99);
    old.generate(&first).await?;
    if is_imported {
        let kv: KvBody = old.client.get(&format!("/v1/kv/{}", first.attempt)).await?;
        let reply = new.post("/v1/kv", &kv).await?;
        assert_eq!(reply.status, StatusCode::NO_CONTENT);
    }

    let mut continuation = request(2, &prompt);
    continuation.generated = expected_answer(MODEL, &prompt, 99);
    let frames = new.generate(&continuation).await?;

    assert_eq!(
        frames,
        expected_frames(&continuation, 99, FinishReason::Stop)
    );
    assert_eq!(new.counts().await?.recomputed_tokens, expected);
    Ok(())
}

#[tokio::test]
async fn foreign_and_repeated_frames_precede_the_valid_ones() -> Result<()> {
    let engine = start(options()?).await?;
    let behaviour = EngineBehaviour {
        foreign_frames: true,
        repeated_frames: true,
        ..EngineBehaviour::default()
    };
    engine.set_behaviour(behaviour).await?;
    let req = request(1, "hello [n=10]");

    let frames = engine.generate(&req).await?;

    let foreign = frames.iter().filter(|f| f.attempt != req.attempt).count();
    assert_eq!(foreign, 10);
    assert_eq!(frames.len(), 31);
    Ok(())
}

#[tokio::test]
async fn aborted_streams_end_with_an_error() -> Result<()> {
    let mut options = options()?;
    options.token_ms = 1;
    let engine = start(options).await?;
    let client = engine.client.clone();
    let call = tokio::spawn(async move {
        let req = request(1, "hello [n=1000000]");
        client
            .post::<serde_json::Value>("/v1/generate", &req)
            .await
            .is_err()
    });
    while engine.counts().await?.tokens_generated == 0 {}

    engine.post("/control/break-streams", &()).await?;

    assert!(call.await?);
    Ok(())
}

#[rstest]
#[case::checks(true, StatusCode::CONFLICT, "1")]
#[case::ignores(false, StatusCode::NO_CONTENT, "2")]
#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_refused_only_by_an_engine_that_checks_it(
    #[case] check_fencing: bool,
    #[case] expected_status: StatusCode,
    #[case] expected_version: &str,
) -> Result<()> {
    let mut options = options()?;
    options.check_fencing = check_fencing;
    let engine = start(options).await?;
    let order = |fencing, version: &str| Order {
        fencing: FencingNumber(fencing),
        generation: Generation(1),
        kind: OrderKind::LoadModel {
            model: "new".to_owned(),
            version: version.to_owned(),
        },
    };

    let newer = engine.post("/v1/orders", &order(5, "1")).await?;
    let older = engine.post("/v1/orders", &order(4, "2")).await?;

    let state: EngineRoleState = engine.client.get("/v1/state").await?;
    assert_eq!(newer.status, StatusCode::NO_CONTENT);
    assert_eq!(older.status, expected_status);
    assert_eq!(state.models["new"], expected_version);
    assert_eq!(state.fencing, FencingNumber(5));
    Ok(())
}

#[tokio::test]
async fn a_model_is_reported_as_loading_until_it_is_loaded() -> Result<()> {
    let mut options = options()?;
    options.model_load_ms = LONG_LAG_MS;
    let engine = start(options).await?;
    let load = |model: &str, version: &str| Order {
        fencing: FencingNumber(1),
        generation: Generation(1),
        kind: OrderKind::LoadModel {
            model: model.to_owned(),
            version: version.to_owned(),
        },
    };

    engine.post("/v1/orders", &load("new", "1")).await?;
    engine.post("/v1/orders", &load(MODEL, "1")).await?;

    let state: EngineRoleState = engine.client.get("/v1/state").await?;
    assert!(!state.models.contains_key("new"));
    assert_eq!(state.loading["new"], "1");
    assert!(!state.loading.contains_key(MODEL));
    Ok(())
}

#[rstest]
#[case::late(LONG_LAG_MS, 0)]
#[case::at_once(0, 1)]
#[tokio::test]
async fn load_reports_are_delayed(
    #[case] lag_ms: u64,
    #[case] expected_running: u32,
) -> Result<()> {
    let mut options = options()?;
    options.load_lag_ms = lag_ms;
    let engine = start(options).await?;
    let stalled = EngineBehaviour {
        is_stalled: true,
        token_ms: 1,
        ..EngineBehaviour::default()
    };
    engine.set_behaviour(stalled).await?;
    let client = engine.client.clone();
    let req = request(1, "hello");
    let _call = tokio::spawn(async move {
        client
            .post::<serde_json::Value>("/v1/generate", &req)
            .await
            .is_ok()
    });
    while engine.counts().await?.prompt_tokens_computed == 0 {}

    let load: LoadReport = engine.client.get("/v1/load").await?;

    assert_eq!(load.running, expected_running);
    Ok(())
}

#[rstest]
#[case::without_gaps(0, 0, 10)]
#[case::with_gaps(3, 0, 8)]
#[case::late(0, LONG_LAG_MS, 0)]
#[tokio::test]
async fn cache_events_are_delayed_and_have_gaps(
    #[case] gap: u64,
    #[case] lag_ms: u64,
    #[case] expected: usize,
) -> Result<()> {
    let mut options = options()?;
    options.event_gap = gap;
    options.load_lag_ms = lag_ms;
    let engine = start(options).await?;
    let prompt = long_prompt("a");
    engine.generate(&request(1, &prompt)).await?;

    let events: Vec<CacheEvent> = engine.client.get("/v1/cache-events?after=0").await?;

    let known = prefix_hashes(MODEL, &prompt);
    assert_eq!(events.len(), expected);
    assert!(events.iter().all(|event| known.contains(&event.prefix)));
    Ok(())
}

#[tokio::test]
async fn waiting_requests_start_in_order_of_priority() -> Result<()> {
    let mut options = options()?;
    options.batch_limit = 1;
    let engine = start(options).await?;
    let stalled = EngineBehaviour {
        is_stalled: true,
        ..EngineBehaviour::default()
    };
    engine.set_behaviour(stalled).await?;
    let (ended_tx, mut ended_rx) = tokio::sync::mpsc::unbounded_channel();
    for (attempt, priority) in [(1, 0), (2, 0), (3, 9)] {
        let client = engine.client.clone();
        let ended_tx = ended_tx.clone();
        let mut req = request(attempt, "hello [n=1000]");
        req.priority = priority;
        tokio::spawn(async move {
            let _ = client.post::<serde_json::Value>("/v1/generate", &req).await;
            let _ = ended_tx.send(attempt);
        });
        while engine.counts().await?.attempts < u64::try_from(attempt)? {}
    }

    engine.set_behaviour(EngineBehaviour::default()).await?;

    let ended = [
        ended_rx.recv().await,
        ended_rx.recv().await,
        ended_rx.recv().await,
    ];
    assert_eq!(ended, [Some(1), Some(3), Some(2)]);
    Ok(())
}
