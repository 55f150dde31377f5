//! Tests of the HTTP engine client over connections that stay open but stop carrying bytes.

mod support;

use std::{net::SocketAddr, time::Duration};

use anyhow::Result;
use futures_util::{StreamExt as _, future::join_all};
use rstest::rstest;
use support::registration;
use tokio::time::timeout;
use verbenahead_core::{AttemptId, Incarnation, UpstreamId, units::Tokens};
use verbenahead_standins::{
    JsonClient, Server,
    engine::{self, EngineBehaviour, EngineCounts, EngineOptions, expected_answer},
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
};
use verbenahead_upstream::{
    Connections, ConnectionsOptions, Engine as _, Error, FrameEvent, FrameStream, GenerateRequest,
    HttpEngine, UpstreamAddress,
};

const MODEL: &str = "standin";
const PROMPT: &str = "hello [n=50]";
const OPEN_CONNECTIONS: usize = 8;
const LATER_CALLS: usize = 2 * OPEN_CONNECTIONS;
const HEADERS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a frame after which a stream counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

struct Fixture {
    engine: Server,
    link: Link,
    client: HttpEngine,
    upstream: UpstreamAddress,
}

async fn start() -> Result<Fixture> {
    let engine = engine::start(EngineOptions {
        token_ms: 1,
        ..EngineOptions::new(registration("vm-1")?)
    })
    .await?;
    let link = Link::start(LinkOptions::new(engine.address())).await?;
    let client = HttpEngine::new(Connections::new(ConnectionsOptions {
        headers_timeout: HEADERS_TIMEOUT,
        ..ConnectionsOptions::default()
    }));
    let upstream = upstream_address(link.address())?;
    Ok(Fixture {
        engine,
        link,
        client,
        upstream,
    })
}

fn upstream_address(address: SocketAddr) -> Result<UpstreamAddress> {
    Ok(UpstreamAddress {
        upstream: UpstreamId::try_new("vm-1")?,
        incarnation: Incarnation(1),
        address,
    })
}

fn request(attempt: u128, generated: Vec<String>) -> GenerateRequest {
    GenerateRequest {
        attempt: AttemptId(attempt),
        model: MODEL.to_owned(),
        prompt: PROMPT.to_owned(),
        generated,
        seed: 1,
        max_tokens: Tokens(10_000),
        priority: 0,
    }
}

/// Reads the tokens of a stream until it ends, fails or sends no frame for [`SILENCE_TIMEOUT`].
async fn read_tokens(mut frames: FrameStream) -> Vec<String> {
    let mut tokens = Vec::new();
    while let Ok(Some(Ok(frame))) = timeout(SILENCE_TIMEOUT, frames.next()).await {
        if let FrameEvent::Token(text) = frame.event {
            tokens.push(text);
        }
    }
    tokens
}

impl Fixture {
    async fn generate(&self, attempt: u128) -> Result<Vec<String>, Error> {
        let req = request(attempt, Vec::new());
        let response = self.client.generate(&self.upstream, req).await?;
        Ok(read_tokens(response.frames).await)
    }

    /// Opens several connections and leaves them idle in the pool.
    async fn open_connections(&self) -> Result<()> {
        let attempts = (0..OPEN_CONNECTIONS as u128).map(|attempt| self.generate(attempt));
        for answer in join_all(attempts).await {
            answer?;
        }
        Ok(())
    }

    /// Silences the open connections; new ones pass.
    fn silence_open_connections(&self, mode: LinkMode) {
        self.link.set(LinkChange {
            mode,
            new_connections: NewConnections::Pass,
            ..LinkChange::default()
        });
    }
}

#[rstest]
#[case::both(LinkMode::Silent)]
#[case::to_engine(LinkMode::SilentTo)]
#[case::from_engine(LinkMode::SilentFrom)]
#[tokio::test]
async fn one_request_fails_and_all_later_ones_use_new_connections(
    #[case] mode: LinkMode,
) -> Result<()> {
    let fixture = start().await?;
    fixture.open_connections().await?;
    fixture.silence_open_connections(mode);

    let first = fixture.generate(100).await;
    let mut later = Vec::new();
    for attempt in 0..LATER_CALLS as u128 {
        later.push(fixture.generate(200 + attempt).await);
    }

    let expected = expected_answer(MODEL, PROMPT, 50);
    assert!(first.is_err());
    assert!(later.iter().all(|answer| answer.as_ref() == Ok(&expected)));
    Ok(())
}

#[tokio::test]
async fn an_answer_resumes_over_a_new_connection_at_the_exact_position() -> Result<()> {
    let fixture = start().await?;
    let slow = EngineBehaviour {
        token_ms: 20,
        ..EngineBehaviour::default()
    };
    let control = JsonClient::new(fixture.engine.address());
    control.put("/control/behaviour", &slow).await?;
    let response = fixture
        .client
        .generate(&fixture.upstream, request(1, Vec::new()))
        .await?;
    let read_task = tokio::spawn(read_tokens(response.frames));
    while control
        .get::<EngineCounts>("/control/counts")
        .await?
        .tokens_generated
        < 5
    {}
    fixture.silence_open_connections(LinkMode::Silent);

    let mut tokens = read_task.await?;
    let continuation = request(2, tokens.clone());
    let response = fixture
        .client
        .generate(&fixture.upstream, continuation)
        .await?;
    tokens.extend(read_tokens(response.frames).await);

    assert_eq!(tokens, expected_answer(MODEL, PROMPT, 50));
    let counts: EngineCounts = control.get("/control/counts").await?;
    assert_eq!(counts.bad_continuations, 0);
    Ok(())
}
