//! Tests of the stand-in program, run as separate processes.

mod support;

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use support::{LONG_TIMEOUT, SHORT_TIMEOUT, adapter};
use verbenahead_services::{
    Condition, Mutation, RowKey, Table as _, TableName, VmList as _, Write, WriteOutcome,
};
use verbenahead_standins::{JsonClient, Process, engine::EngineCounts};

const PROGRAM: &str = env!("CARGO_BIN_EXE_verbenahead-standins");
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

fn start_platform() -> Result<Process> {
    Process::start(PROGRAM, &["platform"])
}

fn start_engine(platform: &Process, vm: &str) -> Result<Process> {
    let platform = platform.address()?.to_string();
    let args = [
        "engine",
        "--platform",
        &platform,
        "--vm",
        vm,
        "--service",
        "chat",
        "--zone",
        "a",
        "--models",
        "m",
        "--token-ms",
        "1",
    ];
    Process::start(PROGRAM, &args)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_registers_itself_and_generates() -> Result<()> {
    let platform = start_platform()?;
    let engine = start_engine(&platform, "vm-1")?;
    let client = JsonClient::new(engine.address()?);
    let adapter = adapter(platform.address()?, LONG_TIMEOUT)?;
    let req = json!({
        "attempt": "0123456789abcdef0123456789abcdef", "model": "m", "prompt": "hello [n=3]",
        "generated": [], "seed": 1, "max_tokens": 100, "priority": 0,
    });

    let vms = adapter.vms().await?;
    let mut headers = http::HeaderMap::new();
    headers.insert("content-type", "application/json".parse()?);
    let reply = client
        .call(http::Method::POST, "/v1/generate", headers, req.to_string())
        .await?;
    let counts: EngineCounts = client.get("/control/counts").await?;

    assert_eq!(vms.len(), 1);
    assert_eq!(vms[0].address, engine.address()?);
    assert_eq!(reply.status, 200);
    assert!(reply.headers.contains_key("verbenahead-load"));
    assert_eq!(
        reply.body.windows(2).filter(|pair| pair == b"\n\n").count(),
        4
    );
    assert_eq!(counts.tokens_generated, 3);
    assert_eq!(counts.finished, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_platform_answers_late() -> Result<()> {
    let mut platform = start_platform()?;
    let key = RowKey::new(TableName("rows"), "a");
    let short_timeout_adapter = adapter(platform.address()?, SHORT_TIMEOUT)?;
    let long_timeout_adapter = adapter(platform.address()?, LONG_TIMEOUT)?;
    assert_eq!(short_timeout_adapter.read(&key).await?, None);

    platform.freeze()?;
    let write = Write {
        key: key.clone(),
        condition: Condition::Absent,
        mutation: Mutation::Put("1".into()),
    };
    let outcome = short_timeout_adapter.write(vec![write]).await;
    platform.unfreeze()?;

    assert!(matches!(outcome, WriteOutcome::Unknown(_)), "{outcome:?}");
    while long_timeout_adapter.read(&key).await?.is_none() {}
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_to_a_killed_platform_are_not_sent() -> Result<()> {
    let mut platform = start_platform()?;
    let adapter = adapter(platform.address()?, LONG_TIMEOUT)?;
    let key = RowKey::new(TableName("rows"), "a");

    platform.kill()?;
    let write = Write {
        key,
        condition: Condition::Absent,
        mutation: Mutation::Put("1".into()),
    };
    let outcome = adapter.write(vec![write]).await;

    assert!(matches!(outcome, WriteOutcome::NotSent(_)), "{outcome:?}");
    Ok(())
}

#[test]
fn a_terminated_process_exits_successfully() -> Result<()> {
    let mut platform = start_platform()?;

    platform.terminate()?;
    let status = platform.wait(EXIT_TIMEOUT)?;

    assert!(status.is_some_and(|status| status.success()));
    Ok(())
}
