//! A node while the platform is down or loses answers.

#[allow(dead_code, reason = "the outage tests use a part of the fixtures")]
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

async fn runs_of(deployment: &Deployment, key: &str) -> Result<u64> {
    let client = JsonClient::new(deployment.booking.address());
    let runs: Runs = client.get("/control/runs").await?;
    Ok(runs.runs.get(key).copied().unwrap_or(0))
}

fn outcome(reply: &Reply) -> Result<String> {
    let problem: Value = serde_json::from_slice(&reply.body)?;
    Ok(problem["outcome"].as_str().unwrap_or_default().to_owned())
}

fn down() -> PlatformFaults {
    PlatformFaults {
        is_down: true,
        ..PlatformFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chats_go_on_and_bookings_wait_while_the_platform_is_down() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    set_faults(deployment.platform.address(), &down()).await?;

    let text = deployment.chat("plan [n=20]").await?;
    let refused = deployment.book("k").await?;
    let runs_while_down = runs_of(&deployment, "k").await?;
    set_faults(deployment.platform.address(), &PlatformFaults::default()).await?;
    let later = deployment.book("k").await?;

    assert_eq!(text, expected_text("plan [n=20]"));
    assert_eq!(outcome(&refused)?, "unknown");
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(runs_while_down, 0);
    assert_eq!(later.status, StatusCode::CREATED);
    assert_eq!(runs_of(&deployment, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_once_when_each_answer_of_the_platform_is_lost_once() -> Result<()> {
    let deployment = Deployment::start(1).await?;
    let mut answered = 0;

    for (key, lost_answers) in [("a", 1), ("b", 2), ("c", 3), ("d", 4)] {
        let lost = PlatformFaults {
            lost_answers,
            ..PlatformFaults::default()
        };
        set_faults(deployment.platform.address(), &lost).await?;
        let first = deployment.book(key).await?;
        set_faults(deployment.platform.address(), &PlatformFaults::default()).await?;
        let second = deployment.book(key).await?;
        let has_answer = first.status.is_success() || second.status.is_success();
        answered += u32::from(has_answer);
        assert!(runs_of(&deployment, key).await? <= 1);
        assert!(!has_answer || runs_of(&deployment, key).await? == 1);
    }

    assert!(answered > 0);
    Ok(())
}
