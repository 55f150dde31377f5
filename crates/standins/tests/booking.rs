//! Tests of the booking stand-in.

mod support;

use std::time::Duration;

use anyhow::Result;
use http::{HeaderMap, Method, StatusCode};
use rstest::rstest;
use support::registration;
use tokio::{task::JoinHandle, time::sleep};
use verbenahead_standins::{
    JsonClient, Server,
    booking::{self, BookingBehaviour, BookingOptions, Receipt, Runs},
    client::Reply,
};
use verbenahead_upstream::LoadReport;

const POLL_PERIOD: Duration = Duration::from_millis(2);

async fn start(honour_keys: bool) -> Result<(Server, JsonClient)> {
    let options = BookingOptions {
        honour_keys,
        ..BookingOptions::new(registration("desk-1")?)
    };
    let server = booking::start(options).await?;
    let client = JsonClient::new(server.address());
    Ok((server, client))
}

async fn book(client: &JsonClient, key: &str) -> Result<Reply> {
    let mut headers = HeaderMap::new();
    headers.insert(booking::IDEMPOTENCY_KEY_HEADER, key.parse()?);
    client
        .call(Method::POST, "/bookings", headers, "chair 1")
        .await
}

fn start_booking(client: &JsonClient, key: &'static str) -> JoinHandle<Result<Reply>> {
    let client = client.clone();
    tokio::spawn(async move { book(&client, key).await })
}

async fn run_count(client: &JsonClient, key: &str) -> Result<u64> {
    let runs: Runs = client.get("/control/runs").await?;
    Ok(runs.runs.get(key).copied().unwrap_or(0))
}

async fn wait_for_run(client: &JsonClient, key: &str) -> Result<()> {
    while run_count(client, key).await? == 0 {
        sleep(POLL_PERIOD).await;
    }
    Ok(())
}

async fn wait_for_call(client: &JsonClient) -> Result<()> {
    while client.get::<Runs>("/control/runs").await?.received == 0 {
        sleep(POLL_PERIOD).await;
    }
    Ok(())
}

#[rstest]
#[case::honours_keys(true, 1)]
#[case::ignores_keys(false, 2)]
#[tokio::test]
async fn a_repeated_idempotency_key_runs_again_unless_keys_are_honoured(
    #[case] honour_keys: bool,
    #[case] expected_runs: u64,
) -> Result<()> {
    let (_server, client) = start(honour_keys).await?;

    let first: Receipt = serde_json::from_slice(&book(&client, "k").await?.body)?;
    let second: Receipt = serde_json::from_slice(&book(&client, "k").await?.body)?;

    assert_eq!(run_count(&client, "k").await?, expected_runs);
    assert_eq!(first == second, honour_keys);
    Ok(())
}

#[tokio::test]
async fn a_call_may_run_without_a_response() -> Result<()> {
    let (_server, client) = start(false).await?;
    let hang = BookingBehaviour {
        run_then_hang: true,
        ..BookingBehaviour::default()
    };
    client.put("/control/behaviour", &hang).await?;

    let call = start_booking(&client, "k");
    wait_for_run(&client, "k").await?;

    assert!(!call.is_finished());
    Ok(())
}

#[tokio::test]
async fn a_call_may_run_and_lose_its_connection() -> Result<()> {
    let (_server, client) = start(false).await?;
    let close = BookingBehaviour {
        run_then_close: true,
        ..BookingBehaviour::default()
    };
    client.put("/control/behaviour", &close).await?;

    let answer = book(&client, "k").await;

    assert!(answer.is_err());
    assert_eq!(run_count(&client, "k").await?, 1);
    Ok(())
}

#[tokio::test]
async fn a_delayed_call_runs_after_its_caller_has_disconnected() -> Result<()> {
    let (_server, client) = start(false).await?;
    let hold = BookingBehaviour {
        hang_then_run: true,
        ..BookingBehaviour::default()
    };
    client.put("/control/behaviour", &hold).await?;
    let call = start_booking(&client, "k");
    wait_for_call(&client).await?;
    call.abort();
    assert_eq!(run_count(&client, "k").await?, 0);

    let release = BookingBehaviour::default();
    client.put("/control/behaviour", &release).await?;

    wait_for_run(&client, "k").await
}

#[tokio::test]
async fn calls_beyond_the_number_of_workers_are_queued_and_reported_as_load() -> Result<()> {
    let options = BookingOptions {
        workers: 1,
        ..BookingOptions::new(registration("desk-1")?)
    };
    let server = booking::start(options).await?;
    let client = JsonClient::new(server.address());
    let hold = BookingBehaviour {
        hang_then_run: true,
        ..BookingBehaviour::default()
    };
    client.put("/control/behaviour", &hold).await?;

    let _first = start_booking(&client, "k");
    let _second = start_booking(&client, "l");
    while client.get::<LoadReport>("/v1/load").await?.queued == 0 {
        sleep(POLL_PERIOD).await;
    }

    let load: LoadReport = client.get("/v1/load").await?;
    assert_eq!((load.running, load.queued, load.batch_limit), (1, 1, 1));
    Ok(())
}

#[tokio::test]
async fn a_refused_call_does_not_run() -> Result<()> {
    let (_server, client) = start(false).await?;
    let refuse = BookingBehaviour {
        refuse_status: Some(503),
        ..BookingBehaviour::default()
    };
    client.put("/control/behaviour", &refuse).await?;

    let reply = book(&client, "k").await?;

    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(run_count(&client, "k").await?, 0);
    Ok(())
}
