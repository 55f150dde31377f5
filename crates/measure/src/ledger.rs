//! Cost of the ledger: table calls per non-idempotent call, latency added before the call is
//! sent, and table calls of an early refusal.

mod early_refusal;
mod limited_table;

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, sleep_until};
use verbenahead_core::{AttemptId, Digest, Incarnation, NodeId, WorkspaceId};
use verbenahead_services::Table;
use verbenahead_state::{
    GroupOptions, GroupedTable, RetryOptions, UnixMillis,
    ledger::{
        Attempt, BeginDispatchedOutcome, BeginOutcome, BeginRequest, Claimant, DispatchOutcome,
        Dispatched, IdempotencyKey, Ledger, LedgerKey, LedgerOptions, RecordedAnswer, RecordedBody,
        SettleOutcome,
    },
};

use crate::{ledger::limited_table::LimitedTable, record::Record, registry::MeasureOptions};

const MEASURE: &str = "ledger";

/// Latency of the upstream.
const UPSTREAM_LATENCY: Duration = Duration::from_millis(20);

/// Time limit of one ledger step, with its retries.
const STEP_DEADLINE: Duration = Duration::from_secs(2);

/// Timeout of one table call.
const TABLE_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Duration of one run.
const RUN_DURATION: Duration = Duration::from_secs(3);

/// Non-idempotent calls per second of the runs, over all nodes.
const CALL_RATES: &[u32] = &[25, 100, 200, 400];

/// Numbers of nodes that share the load. Each node groups its own writes.
const NODES: &[usize] = &[1, 16];

/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Measures the ledger and prints the figures.
///
/// # Errors
///
/// When the runtime cannot be built or a figure cannot be printed.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_time()
        .build()?;
    for seed in options.seed_range() {
        for load in CALL_RATES {
            for nodes in NODES {
                let profile = format!("calls_{load}_per_second_over_{nodes}");
                if !options.wants(&profile) {
                    continue;
                }
                for policy in POLICIES {
                    runtime.block_on(run_load(&profile, *load, *nodes, policy, seed))?;
                }
            }
        }
    }
    if options
        .profile
        .as_ref()
        .is_none_or(|p| p == "early_refusal")
    {
        runtime.block_on(early_refusal::run(options.seed))?;
    }
    Ok(())
}

/// `Policy` is a way to use the ledger.
struct Policy {
    name: &'static str,
    /// Maximum number of concurrent transactions of a node; `None` disables grouping.
    max_in_flight: Option<usize>,
    /// Whether one write both claims and dispatches a call.
    is_direct: bool,
}

const POLICIES: &[Policy] = &[
    Policy {
        name: "ungrouped",
        max_in_flight: None,
        is_direct: false,
    },
    Policy {
        name: "grouped_1_in_flight",
        max_in_flight: Some(1),
        is_direct: false,
    },
    Policy {
        name: "grouped_2_in_flight",
        max_in_flight: Some(2),
        is_direct: false,
    },
    Policy {
        name: "direct_grouped_2_in_flight",
        max_in_flight: Some(2),
        is_direct: true,
    },
];

impl Policy {
    fn ledger(&self, table: &Arc<LimitedTable>) -> Ledger {
        let table: Arc<dyn Table> = match self.max_in_flight {
            None => Arc::clone(table) as Arc<dyn Table>,
            Some(max_in_flight) => {
                let options = GroupOptions {
                    max_in_flight,
                    ..GroupOptions::default()
                };
                Arc::new(GroupedTable::spawn(
                    Arc::clone(table) as Arc<dyn Table>,
                    options,
                ))
            }
        };
        let retry = RetryOptions {
            deadline: STEP_DEADLINE,
            call_timeout: TABLE_CALL_TIMEOUT,
            ..RetryOptions::default()
        };
        let options = LedgerOptions {
            retry,
            ..LedgerOptions::default()
        };
        Ledger::new(table, options)
    }
}

/// `CallResult` is the result of one call.
struct CallResult {
    /// Time from the start until the dispatch was confirmed; `None` when it was not.
    added: Option<Duration>,
    is_recorded: bool,
}

fn request(seed: u64, index: u32) -> anyhow::Result<BeginRequest> {
    let workspace = WorkspaceId::try_new("workspace")?;
    let key = IdempotencyKey::try_new(format!("{seed}-{index}"))?;
    let now = UnixMillis::now();
    Ok(BeginRequest {
        key: LedgerKey::new(workspace, key),
        fingerprint: Digest::of("body"),
        attempt: AttemptId((u128::from(seed) << 64) | u128::from(index)),
        claimant: Claimant {
            node: NodeId::try_new("node")?,
            incarnation: Incarnation(1),
        },
        retention: Duration::from_secs(86_400),
        received_at: now,
        now,
    })
}

/// Records a call in the ledger up to the state in which it may be sent.
async fn claim_and_dispatch(
    ledger: &Ledger,
    req: BeginRequest,
    is_direct: bool,
) -> Option<Attempt<Dispatched>> {
    if is_direct {
        return match ledger.begin_dispatched(req, |_| false).await {
            BeginDispatchedOutcome::Dispatched(attempt) => Some(attempt),
            _ => None,
        };
    }
    let BeginOutcome::Claimed(attempt) = ledger.begin(req, |_| false).await else {
        return None;
    };
    match attempt.dispatch().await {
        DispatchOutcome::Dispatched(attempt) => Some(attempt),
        _ => None,
    }
}

async fn run_call(ledger: Ledger, req: BeginRequest, is_direct: bool) -> CallResult {
    let start = Instant::now();
    let Some(attempt) = claim_and_dispatch(&ledger, req, is_direct).await else {
        return CallResult {
            added: None,
            is_recorded: false,
        };
    };
    let added = start.elapsed();
    sleep(UPSTREAM_LATENCY).await;
    let answer = RecordedAnswer {
        status: 201,
        headers: Vec::new(),
        body: RecordedBody::Whole(Bytes::from_static(b"{\"booked\":true}")),
    };
    let settled = attempt.settle(answer).await;
    CallResult {
        added: Some(added),
        is_recorded: matches!(settled, SettleOutcome::Recorded),
    }
}

async fn run_load(
    profile: &str,
    load: u32,
    nodes: usize,
    policy: &Policy,
    seed: u64,
) -> anyhow::Result<()> {
    let table = Arc::new(LimitedTable::new());
    let ledgers: Vec<_> = (0..nodes).map(|_| policy.ledger(&table)).collect();
    let results = offer_calls(&ledgers, load, policy.is_direct, seed).await?;
    let (reads, writes) = table.call_counts();
    let figures = Figures::of(&results)?;
    let per_call = |count: u64| count as f64 / results.len() as f64;
    let print = |value, unit| {
        let record = Record {
            measure: MEASURE,
            profile,
            policy: policy.name,
            seed,
            value,
            unit,
        };
        record.print()
    };
    print(per_call(writes), "table writes per call")?;
    print(per_call(reads), "table reads per call")?;
    print(figures.p50_ms, "ms added at p50")?;
    print(figures.p99_ms, "ms added at p99")?;
    print(figures.dispatched_ratio, "ratio of calls dispatched")?;
    print(figures.recorded_ratio, "ratio of calls recorded")?;
    Ok(())
}

/// Offers calls as an open-loop Poisson process: arrivals do not wait for earlier calls.
async fn offer_calls(
    ledgers: &[Ledger],
    load: u32,
    is_direct: bool,
    seed: u64,
) -> anyhow::Result<Vec<CallResult>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let count = load * u32::try_from(RUN_DURATION.as_secs())?;
    let mut at = Duration::ZERO;
    let mut calls = Vec::new();
    for index in 0..count {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / f64::from(load));
        sleep_until(start + at).await;
        let ledger = ledgers[rng.random_range(0..ledgers.len())].clone();
        calls.push(tokio::spawn(run_call(
            ledger,
            request(seed, index)?,
            is_direct,
        )));
    }
    let mut results = Vec::new();
    for call in calls {
        results.push(call.await.context("a call panicked")?);
    }
    Ok(results)
}

/// `Figures` are the results of one run.
struct Figures {
    p50_ms: f64,
    p99_ms: f64,
    dispatched_ratio: f64,
    recorded_ratio: f64,
}

impl Figures {
    fn of(results: &[CallResult]) -> anyhow::Result<Self> {
        let mut added = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3)?;
        for result in results.iter().filter_map(|result| result.added) {
            added.record(u64::try_from(result.as_micros())?)?;
        }
        let ratio = |count: usize| count as f64 / results.len() as f64;
        let recorded = results.iter().filter(|result| result.is_recorded).count();
        let to_ms = |us: u64| us as f64 / 1_000.0;
        Ok(Self {
            p50_ms: to_ms(added.value_at_quantile(0.5)),
            p99_ms: to_ms(added.value_at_quantile(0.99)),
            dispatched_ratio: ratio(usize::try_from(added.len())?),
            recorded_ratio: ratio(recorded),
        })
    }
}
