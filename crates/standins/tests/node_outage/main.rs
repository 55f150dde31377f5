//! Tests of a node while the platform is unavailable or its responses are lost.

#[allow(dead_code, reason = "the outage tests use only some of the fixtures")]
#[path = "../node_silence/deployment.rs"]
mod deployment;
#[path = "../support/mod.rs"]
mod support;

use anyhow::Result;
use deployment::{Deployment, expected_text};
use http::StatusCode;
use serde_json::Value;
use support::set_faults;
use verbenahead_standins::{JsonClient, booking::Runs, client::Reply, platform::PlatformFaults};

async fn run_count(deployment: &Deployment, key: &str) -> Result<u64> {
    let client = JsonClient::new(deployment.booking.address());
    let runs: Runs = client.get("/control/runs").await?;
    Ok(runs.runs.get(key).copied().unwrap_or(0))
}

fn problem_outcome(reply: &Reply) -> Result<String> {
    let problem: Value = serde_json::from_slice(&reply.body)?;
    Ok(problem["outcome"].as_str().unwrap_or_default().to_owned())
}

fn platform_down() -> PlatformFaults {
    PlatformFaults {
        is_down: true,
        ..PlatformFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chats_succeed_and_bookings_do_not_run_while_the_platform_is_down() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    set_faults(deployment.platform.address(), &platform_down()).await?;

    let answer = deployment.chat("plan [n=20]").await?;
    let reply_while_down = deployment.book("k").await?;
    let run_count_while_down = run_count(&deployment, "k").await?;
    set_faults(deployment.platform.address(), &PlatformFaults::default()).await?;
    let later = deployment.book("k").await?;

    assert_eq!(answer, expected_text("plan [n=20]"));
    assert_eq!(problem_outcome(&reply_while_down)?, "unknown");
    assert!(reply_while_down.headers.contains_key("retry-after"));
    assert_eq!(run_count_while_down, 0);
    assert_eq!(later.status, StatusCode::CREATED);
    assert_eq!(run_count(&deployment, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_at_most_once_when_platform_responses_are_lost() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let mut answered_bookings = 0;

    for (key, lost_answers) in [("a", 1), ("b", 2), ("c", 3), ("d", 4)] {
        let faults = PlatformFaults {
            lost_answers,
            ..PlatformFaults::default()
        };
        set_faults(deployment.platform.address(), &faults).await?;
        let first = deployment.book(key).await?;
        set_faults(deployment.platform.address(), &PlatformFaults::default()).await?;
        let second = deployment.book(key).await?;
        let has_answer = first.status.is_success() || second.status.is_success();
        answered_bookings += u32::from(has_answer);
        assert!(run_count(&deployment, key).await? <= 1);
        assert!(!has_answer || run_count(&deployment, key).await? == 1);
    }

    assert!(answered_bookings > 0);
    Ok(())
}
