//! Processor time and memory for requests, tokens and open streams, on the entry node and on the
//! node that holds the journal.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{
    overhead::{
        deployment::{Deployment, Target},
        load::{WARM_UP, measure_latency, open_streams, stream_tokens},
        process_usage::{processor_time, resident_bytes},
    },
    registry::MeasureOptions,
    slopes::{on_runtime, points::Points},
};

/// Request rates, in requests per second.
const RATES: &[f64] = &[25.0, 50.0, 100.0, 200.0];

/// Duration of each rate in seconds, including the warm-up requests.
const RATE_SECONDS: f64 = 8.0;

/// Concurrent streams in the measurement over stream lengths.
const STREAMS: usize = 100;

/// Lengths of these streams, in tokens.
const STREAM_TOKENS: &[u64] = &[50, 100, 200, 400];

/// Engine time per token of these streams, in milliseconds.
const TOKEN_MS: u64 = 20;

/// Rate of the warm-up requests before these streams, in requests per second.
const WARM_UP_RATE: f64 = 50.0;

/// Streams opened in each step of the memory measurement.
const STREAMS_PER_STEP: usize = 250;

/// Steps of the memory measurement.
const OPENING_STEPS: usize = 4;

/// Wait between opening streams and reading the memory use.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Measures processor time over the rate of short requests.
///
/// # Errors
///
/// When a process cannot be started or a call fails.
pub fn requests(options: &MeasureOptions) -> anyhow::Result<()> {
    let points = |figure| Points::new(options, "requests", figure, "request/s");
    let mut entry = points("% of a core of the asked node");
    let mut holder = points("% of a core of the journal's holder");
    on_runtime(async {
        let deployment = Deployment::start(2, 0).await?;
        for rate in RATES {
            let usage = Usage::start(&deployment)?;
            let count = (rate * RATE_SECONDS) as usize - WARM_UP;
            measure_latency(&deployment, Target::Node, count, *rate).await?;
            let [entry_used, holder_used] = usage.percent()?;
            entry.push(*rate, entry_used)?;
            holder.push(*rate, holder_used)?;
        }
        Ok(())
    })?;
    [entry, holder].iter().try_for_each(Points::print_fit)
}

/// Measures processor time over the number of streamed tokens.
///
/// # Errors
///
/// When a process cannot be started or a call fails.
pub fn tokens(options: &MeasureOptions) -> anyhow::Result<()> {
    let points = |figure| Points::new(options, "tokens", figure, "token");
    let mut entry = points("ms of processor time of the asked node");
    let mut holder = points("ms of processor time of the journal's holder");
    on_runtime(async {
        let deployment = Deployment::start(2, TOKEN_MS).await?;
        // Until its first answer a node does not know the batch size of the engine and refuses some
        // of many simultaneous requests.
        measure_latency(&deployment, Target::Node, 0, WARM_UP_RATE).await?;
        for tokens in STREAM_TOKENS {
            let usage = Usage::start(&deployment)?;
            let total = stream_tokens(&deployment, STREAMS, *tokens).await? as f64;
            let [entry_used, holder_used] = usage.millis()?;
            entry.push(total, entry_used)?;
            holder.push(total, holder_used)?;
        }
        Ok(())
    })?;
    [entry, holder].iter().try_for_each(Points::print_fit)
}

/// Measures resident memory over the number of open streams.
///
/// # Errors
///
/// When a process cannot be started or a call fails.
pub fn streams(options: &MeasureOptions) -> anyhow::Result<()> {
    let points = |figure| Points::new(options, "streams", figure, "stream");
    let mut entry = points("MiB resident of the asked node");
    let mut holder = points("MiB resident of the journal's holder");
    on_runtime(async {
        let deployment = Deployment::start(2, 1_000).await?;
        let ids = deployment.node_ids();
        let mut open = Vec::new();
        for _ in 0..OPENING_STEPS {
            open.extend(open_streams(&deployment, STREAMS_PER_STEP).await?);
            sleep(SETTLE_TIME).await;
            let size = open.len() as f64;
            entry.push(size, mib(ids[0])?)?;
            holder.push(size, mib(ids[1])?)?;
        }
        Ok(())
    })?;
    [entry, holder].iter().try_for_each(Points::print_fit)
}

fn mib(id: u32) -> anyhow::Result<f64> {
    Ok(resident_bytes(id)? as f64 / f64::from(1 << 20))
}

/// `Usage` measures the processor time of the entry node and the journal holder since its start.
struct Usage {
    ids: [u32; 2],
    before: [Duration; 2],
    start: Instant,
}

impl Usage {
    fn start(deployment: &Deployment) -> anyhow::Result<Self> {
        let ids = deployment.node_ids();
        let ids = [ids[0], ids[1]];
        Ok(Self {
            ids,
            before: [processor_time(ids[0])?, processor_time(ids[1])?],
            start: Instant::now(),
        })
    }

    fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn millis(&self) -> anyhow::Result<[f64; 2]> {
        let used = |index: usize| {
            let used = processor_time(self.ids[index])? - self.before[index];
            anyhow::Ok(used.as_secs_f64() * 1e3)
        };
        Ok([used(0)?, used(1)?])
    }

    fn percent(&self) -> anyhow::Result<[f64; 2]> {
        let wall_millis = self.seconds() * 1e3;
        Ok(self.millis()?.map(|used| 100.0 * used / wall_millis))
    }
}
