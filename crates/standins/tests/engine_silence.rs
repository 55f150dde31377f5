//! The HTTP engine client over connections that go silent.

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

/// Time after which a stream without frames counts as silent.
const SILENCE: Duration = Duration::from_millis(300);

struct Fixture {
    engine: Server,
    link: Link,
    client: HttpEngine,
    to: UpstreamAddress,
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
    let to = upstream(link.address())?;
    Ok(Fixture {
        engine,
        link,
        client,
        to,
    })
}

fn upstream(address: SocketAddr) -> Result<UpstreamAddress> {
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

/// Reads the tokens of a stream until its end, an error, or a silence.
async fn read(mut frames: FrameStream) -> Vec<String> {
    let mut tokens = Vec::new();
    while let Ok(Some(Ok(frame))) = timeout(SILENCE, frames.next()).await {
        if let FrameEvent::Token(text) = frame.event {
            tokens.push(text);
        }
    }
    tokens
}

impl Fixture {
    async fn generate(&self, attempt: u128) -> Result<Vec<String>, Error> {
        let req = request(attempt, Vec::new());
        let started = self.client.generate(&self.to, req).await?;
        Ok(read(started.frames).await)
    }

    /// Leaves several idle connections in the pool.
    async fn open_connections(&self) -> Result<()> {
        let attempts = (0..OPEN_CONNECTIONS as u128).map(|attempt| self.generate(attempt));
        for answer in join_all(attempts).await {
            answer?;
        }
        Ok(())
    }

    fn silence_old(&self, mode: LinkMode) {
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
async fn one_start_fails_and_all_later_ones_use_new_connections(
    #[case] mode: LinkMode,
) -> Result<()> {
    let fixture = start().await?;
    fixture.open_connections().await?;
    fixture.silence_old(mode);

    let first = fixture.generate(100).await;
    let mut later = Vec::new();
    for attempt in 0..LATER_CALLS as u128 {
        later.push(fixture.generate(200 + attempt).await);
    }

    let whole = expected_answer(MODEL, PROMPT, 50);
    assert!(first.is_err());
    assert!(later.iter().all(|answer| answer.as_ref() == Ok(&whole)));
    Ok(())
}

#[tokio::test]
async fn an_answer_continues_over_a_new_connection_at_the_exact_position() -> Result<()> {
    let fixture = start().await?;
    let slow = EngineBehaviour {
        token_ms: 20,
        ..EngineBehaviour::default()
    };
    let control = JsonClient::new(fixture.engine.address());
    control.put("/control/behaviour", &slow).await?;
    let started = fixture
        .client
        .generate(&fixture.to, request(1, Vec::new()))
        .await?;
    let reading = tokio::spawn(read(started.frames));
    while control
        .get::<EngineCounts>("/control/counts")
        .await?
        .tokens_generated
        < 5
    {}
    fixture.silence_old(LinkMode::Silent);

    let mut tokens = reading.await?;
    let rest = request(2, tokens.clone());
    let started = fixture.client.generate(&fixture.to, rest).await?;
    tokens.extend(read(started.frames).await);

    assert_eq!(tokens, expected_answer(MODEL, PROMPT, 50));
    let counts: EngineCounts = control.get("/control/counts").await?;
    assert_eq!(counts.bad_continuations, 0);
    Ok(())
}
