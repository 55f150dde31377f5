//! Overhead of a node compared with a direct call to an engine: latency, CPU time and memory.

pub mod deployment;
pub mod load;
pub mod process_usage;

use std::time::Duration;

use anyhow::Context;
use hdrhistogram::Histogram;

use crate::{
    overhead::{
        deployment::{Deployment, Target},
        load::{measure_latency, open_streams, stream_tokens},
        process_usage::{processor_time, resident_bytes},
    },
    record::Record,
    registry::MeasureOptions,
};

const MEASURE: &str = "overhead";

/// Rate at which latency is measured, in requests per second.
const REQUEST_RATE: f64 = 500.0;

/// Number of measured requests for each target.
const REQUESTS: usize = 5_000;

/// Concurrent streams while CPU time per token event is measured.
const BUSY_STREAMS: usize = 32;

/// Size of the answer of each of these streams, in tokens.
const STREAM_TOKENS: u64 = 2_000;

/// Number of rounds of these streams.
const STREAM_ROUNDS: usize = 4;

/// Number of open streams while memory is measured.
const OPEN_STREAMS: usize = 2_000;

/// Wait between the opening of the streams and the reading of memory usage.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error if a process cannot be started or a call fails.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(async {
        latency(options).await?;
        token_events(options).await?;
        memory(options).await
    })
}

async fn latency(options: &MeasureOptions) -> anyhow::Result<()> {
    for (profile, nodes) in [("one_node", 1), ("journal_at_peer", 2)] {
        let deployment = Deployment::start(nodes, 0).await?;
        let direct = measure_latency(&deployment, Target::Engine, REQUESTS, REQUEST_RATE).await?;
        let through = measure_latency(&deployment, Target::Node, REQUESTS, REQUEST_RATE).await?;
        print_percentiles(options, profile, "direct", &direct)?;
        print_percentiles(options, profile, "node", &through)?;
        for (unit, quantile) in PERCENTILES {
            let added = millis(&through, *quantile) - millis(&direct, *quantile);
            print(options, profile, "added", added, unit)?;
        }
    }
    Ok(())
}

const PERCENTILES: &[(&str, f64)] = &[("ms_p50", 0.5), ("ms_p95", 0.95), ("ms_p99", 0.99)];

fn millis(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}

fn print_percentiles(
    options: &MeasureOptions,
    profile: &str,
    policy: &str,
    times: &Histogram<u64>,
) -> anyhow::Result<()> {
    for (unit, quantile) in PERCENTILES {
        print(options, profile, policy, millis(times, *quantile), unit)?;
    }
    Ok(())
}

async fn token_events(options: &MeasureOptions) -> anyhow::Result<()> {
    let deployment = Deployment::start(1, 0).await?;
    let id = deployment.node_id();
    let before = processor_time(id)?;
    let mut tokens = 0;
    for _ in 0..STREAM_ROUNDS {
        tokens += stream_tokens(&deployment, BUSY_STREAMS, STREAM_TOKENS).await?;
    }
    let used = processor_time(id)? - before;
    let rate = tokens as f64 / used.as_secs_f64();
    print(
        options,
        "one_node",
        "node",
        rate,
        "token_events_per_core_second",
    )
}

async fn memory(options: &MeasureOptions) -> anyhow::Result<()> {
    let deployment = Deployment::start(1, 1_000).await?;
    let id = deployment.node_id();
    let before = resident_bytes(id)?;
    let streams = open_streams(&deployment, OPEN_STREAMS).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let after = resident_bytes(id)?;
    let per_stream = after.saturating_sub(before) as f64 / streams.len() as f64;
    print(
        options,
        "one_node",
        "node",
        per_stream / 1_024.0,
        "kib_per_stream",
    )
}

fn print(
    options: &MeasureOptions,
    profile: &str,
    policy: &str,
    value: f64,
    unit: &str,
) -> anyhow::Result<()> {
    let record = Record {
        measure: MEASURE,
        profile,
        policy,
        seed: options.seed,
        value,
        unit,
    };
    record.print()
}
