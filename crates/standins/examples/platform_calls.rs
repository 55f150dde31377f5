//! Measures the HTTP adapter against a platform stand-in and prints one JSON object per line.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Result;
use bytes::Bytes;
use clap::Parser;
use futures_util::future::join_all;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use serde_json::json;
use tokio::time::timeout;
use verbenahead_services::{
    Condition, HttpPlatform, HttpPlatformOptions, Mutation, RowKey, Table as _, TableName, Write,
    WriteOutcome, http::wire::row_path,
};
use verbenahead_standins::{
    JsonClient,
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
    platform::{self, PlatformStandinOptions},
};

const MEASURE: &str = "platform_calls";
const TABLE: TableName = TableName("rows");
const ROWS: u32 = 10_000;
const VALUE: &[u8] = &[b'x'; 200];

/// Number of connections open when the link goes silent.
const OPEN_CONNECTIONS: usize = 16;
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Parser)]
struct Arguments {
    /// Seed of the random keys.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of calls of each kind.
    #[arg(long, default_value_t = 20_000)]
    calls: usize,
}

#[derive(Debug, Clone, Copy)]
enum CallKind {
    Read,
    Write,
    TransactionOf2,
}

impl CallKind {
    fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::TransactionOf2 => "transaction_of_2",
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let platform = platform::start(PlatformStandinOptions::default()).await?;
    for concurrency in [1, 16] {
        for kind in [CallKind::Read, CallKind::Write, CallKind::TransactionOf2] {
            let profile = format!("{}/concurrency_{concurrency}", kind.name());
            let adapter = Arc::new(adapter(platform.address(), Duration::from_secs(5))?);
            let times = run_calls(&adapter, kind, concurrency, &arguments).await?;
            print_times(&profile, "http_adapter", arguments.seed, &times);
        }
        let profile = format!("read/concurrency_{concurrency}");
        let times = run_unpooled_reads(platform.address(), concurrency, &arguments).await?;
        print_times(&profile, "new_connection_each", arguments.seed, &times);
    }
    measure_silence(arguments.seed).await
}

fn adapter(address: SocketAddr, call_timeout: Duration) -> Result<HttpPlatform> {
    Ok(HttpPlatform::try_new(HttpPlatformOptions {
        address,
        connect_timeout: call_timeout / 2,
        call_timeout,
        ..HttpPlatformOptions::default()
    })?)
}

#[derive(Debug)]
struct CallTimes {
    latencies: Vec<Duration>,
    total: Duration,
}

async fn run_calls(
    adapter: &Arc<HttpPlatform>,
    kind: CallKind,
    concurrency: usize,
    arguments: &Arguments,
) -> Result<CallTimes> {
    let begin = Instant::now();
    let tasks = (0..concurrency).map(|task| {
        let adapter = Arc::clone(adapter);
        let mut rng = StdRng::seed_from_u64(arguments.seed + task as u64);
        let calls = arguments.calls / concurrency;
        tokio::spawn(async move {
            let mut latencies = Vec::with_capacity(calls);
            for _ in 0..calls {
                let begin = Instant::now();
                call(&adapter, kind, &mut rng).await?;
                latencies.push(begin.elapsed());
            }
            anyhow::Ok(latencies)
        })
    });
    collect_times(begin, join_all(tasks).await)
}

type TaskResult = std::result::Result<Result<Vec<Duration>>, tokio::task::JoinError>;

fn collect_times(begin: Instant, tasks: Vec<TaskResult>) -> Result<CallTimes> {
    let total = begin.elapsed();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task??);
    }
    Ok(CallTimes { latencies, total })
}

async fn call(adapter: &HttpPlatform, kind: CallKind, rng: &mut StdRng) -> Result<()> {
    let outcome = match kind {
        CallKind::Read => {
            adapter.read(&random_key(rng)).await?;
            return Ok(());
        }
        CallKind::Write => adapter.write(vec![random_write(rng)]).await,
        CallKind::TransactionOf2 => {
            let writes = vec![random_write(rng), random_write(rng)];
            adapter.write(writes).await
        }
    };
    anyhow::ensure!(matches!(outcome, WriteOutcome::Done(_)), "{outcome:?}");
    Ok(())
}

fn random_key(rng: &mut StdRng) -> RowKey {
    RowKey::new(TABLE, format!("key-{}", rng.random_range(0..ROWS)))
}

fn random_write(rng: &mut StdRng) -> Write {
    Write {
        key: random_key(rng),
        condition: Condition::Always,
        mutation: Mutation::Put(Bytes::from_static(VALUE)),
    }
}

/// Reads rows over a new connection per call.
async fn run_unpooled_reads(
    address: SocketAddr,
    concurrency: usize,
    arguments: &Arguments,
) -> Result<CallTimes> {
    let begin = Instant::now();
    let tasks = (0..concurrency).map(|task| {
        let client = JsonClient::new(address);
        let mut rng = StdRng::seed_from_u64(arguments.seed + task as u64);
        let calls = arguments.calls / concurrency;
        tokio::spawn(async move {
            let mut latencies = Vec::with_capacity(calls);
            for _ in 0..calls {
                let path = row_path(TABLE.0, &random_key(&mut rng).key);
                let begin = Instant::now();
                client
                    .call(Method::GET, &path, HeaderMap::new(), Bytes::new())
                    .await?;
                latencies.push(begin.elapsed());
            }
            anyhow::Ok(latencies)
        })
    });
    collect_times(begin, join_all(tasks).await)
}

/// Counts the sequential calls that fail after all open connections have gone silent.
async fn measure_silence(seed: u64) -> Result<()> {
    let platform = platform::start(PlatformStandinOptions::default()).await?;
    let link = Link::start(LinkOptions::new(platform.address())).await?;
    let key = RowKey::new(TABLE, "a");

    let adapter = adapter(link.address(), CALL_TIMEOUT)?;
    join_all((0..OPEN_CONNECTIONS).map(|_| adapter.read(&key))).await;
    silence_open_connections(&link);
    let mut failed = 0;
    for _ in 0..2 * OPEN_CONNECTIONS {
        failed += u32::from(adapter.read(&key).await.is_err());
    }
    print_record(
        "silent_link",
        "http_adapter",
        seed,
        failed.into(),
        "failed calls",
    );

    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let uri = format!("http://{}{}", link.address(), row_path(TABLE.0, "a"));
    join_all((0..OPEN_CONNECTIONS).map(|_| read_with_hyper(&client, &uri))).await;
    silence_open_connections(&link);
    let mut failed = 0;
    for _ in 0..2 * OPEN_CONNECTIONS {
        failed += u32::from(read_with_hyper(&client, &uri).await.is_err());
    }
    print_record(
        "silent_link",
        "pool_kept",
        seed,
        failed.into(),
        "failed calls",
    );
    Ok(())
}

fn silence_open_connections(link: &Link) {
    link.set(LinkChange {
        mode: LinkMode::Silent,
        new_connections: NewConnections::Pass,
        ..LinkChange::default()
    });
}

async fn read_with_hyper(client: &Client<HttpConnector, Full<Bytes>>, uri: &str) -> Result<()> {
    let req = Request::get(uri).body(Full::default())?;
    let exchange = async {
        client.request(req).await?.into_body().collect().await?;
        anyhow::Ok(())
    };
    timeout(CALL_TIMEOUT, exchange).await?
}

fn print_times(profile: &str, policy: &str, seed: u64, times: &CallTimes) {
    let mut latencies = times.latencies.clone();
    latencies.sort_unstable();
    let quantile = |share: f64| {
        let index = (latencies.len() as f64 * share) as usize;
        latencies[index.min(latencies.len() - 1)].as_secs_f64() * 1e3
    };
    let rate = latencies.len() as f64 / times.total.as_secs_f64();
    print_record(profile, policy, seed, rate, "calls/s");
    print_record(profile, policy, seed, quantile(0.5), "ms p50");
    print_record(profile, policy, seed, quantile(0.95), "ms p95");
    print_record(profile, policy, seed, quantile(0.99), "ms p99");
}

fn print_record(profile: &str, policy: &str, seed: u64, value: f64, unit: &str) {
    let record = json!({
        "measure": MEASURE, "profile": profile, "policy": policy, "seed": seed, "value": value,
        "unit": unit,
    });
    println!("{record}");
}
