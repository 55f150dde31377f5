//! Tests of a node whose connections to callers, upstreams and the platform stay open but stop carrying bytes.

#[allow(dead_code, reason = "the silence tests use only some of the fixtures")]
mod deployment;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use anyhow::Result;
use deployment::{Deployment, expected_text, silence_open_connections};
use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use tokio::time::sleep;
use verbenahead_standins::{
    JsonClient,
    booking::Runs,
    engine::EngineCounts,
    link::{Link, LinkChange, LinkMode, LinkOptions},
};

const POLL_PERIOD: Duration = Duration::from_millis(20);
const OPEN_CONNECTIONS: usize = 8;
const LATER_CALLS: usize = 2 * OPEN_CONNECTIONS;

async fn booking_runs(deployment: &Deployment) -> Result<Runs> {
    let client = JsonClient::new(deployment.booking.address());
    client.get("/control/runs").await
}

async fn engine_counts(deployment: &Deployment) -> Result<EngineCounts> {
    let client = JsonClient::new(deployment.engine.address());
    client.get("/control/counts").await
}

#[rstest]
#[case::both(LinkMode::Silent)]
#[case::to_engine(LinkMode::SilentTo)]
#[case::from_engine(LinkMode::SilentFrom)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete_when_its_engine_goes_silent(#[case] mode: LinkMode) -> Result<()> {
    let deployment = Deployment::start(20).await?;
    let message = "plan [n=60]";
    let silence = async {
        while engine_counts(&deployment).await?.tokens_generated < 10 {}
        silence_open_connections(&deployment.engine_link, mode);
        anyhow::Ok(())
    };

    let (text, silenced) = tokio::join!(deployment.chat(message), silence);

    silenced?;
    assert_eq!(text?, expected_text(message));
    assert_eq!(engine_counts(&deployment).await?.bad_continuations, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_an_engine_that_went_silent_fail_no_request() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let message = "plan [n=20]";
    let chats = (0..OPEN_CONNECTIONS).map(|_| deployment.chat(message));
    for text in join_all(chats).await {
        assert_eq!(text?, expected_text(message));
    }

    silence_open_connections(&deployment.engine_link, LinkMode::Silent);

    for _ in 0..LATER_CALLS {
        assert_eq!(deployment.chat(message).await?, expected_text(message));
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_a_plain_service_that_went_silent_fail_no_read() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let reads = (0..OPEN_CONNECTIONS).map(|_| deployment.availability());
    for reply in join_all(reads).await {
        assert_eq!(reply?.status, StatusCode::OK);
    }

    silence_open_connections(&deployment.booking_link, LinkMode::Silent);

    for _ in 0..LATER_CALLS {
        assert_eq!(deployment.availability().await?.status, StatusCode::OK);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_answer_was_lost_in_silence_never_runs_again() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    deployment.booking_link.set(LinkChange {
        mode: LinkMode::SilentFrom,
        ..LinkChange::default()
    });

    let first = deployment.book("k").await?;
    deployment.booking_link.set(LinkChange::default());
    let second = deployment.book("k").await?;

    let outcome: serde_json::Value = serde_json::from_slice(&first.body)?;
    assert!(!first.status.is_success());
    assert_eq!(outcome["outcome"], "unknown");
    assert!(!second.status.is_success());
    assert_eq!(booking_runs(&deployment).await?.runs.get("k"), Some(&1));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_succeed_after_the_connections_to_the_platform_went_silent() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    assert_eq!(deployment.book("before").await?.status, StatusCode::CREATED);

    silence_open_connections(&deployment.platform_link, LinkMode::Silent);
    let first = deployment.book("first").await?;
    let again = deployment.book("first").await?;
    let later = deployment.book("later").await?;

    let runs = booking_runs(&deployment).await?.runs;
    assert!(runs.get("first").copied().unwrap_or(0) <= 1, "{runs:?}");
    assert_eq!(later.status, StatusCode::CREATED, "{first:?} {again:?}");
    assert_eq!(runs.get("later"), Some(&1));
    Ok(())
}

#[rstest]
#[case::both(LinkMode::Silent)]
#[case::from_node(LinkMode::SilentFrom)]
#[tokio::test(flavor = "multi_thread")]
async fn the_engine_cancels_the_request_of_a_caller_that_went_silent(
    #[case] mode: LinkMode,
) -> Result<()> {
    let deployment = Deployment::start(0).await?;
    let link = Link::start(LinkOptions::new(deployment.callers)).await?;
    let unread = deployment.start_unread_chat(&link, "plan [n=1000000]");
    let _caller = unread.await?;

    silence_open_connections(&link, mode);

    while engine_counts(&deployment).await?.cancelled == 0 {
        sleep(POLL_PERIOD).await;
    }
    assert_eq!(engine_counts(&deployment).await?.attempts, 1);
    Ok(())
}
