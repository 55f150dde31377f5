//! What requests, tokens and open streams cost the node that a caller asks and the one that holds
//! the journal.

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

/// Time over which each rate is held, in seconds. The requests that warm up belong to it.
const RATE_SECONDS: f64 = 8.0;

/// Streams that run at the same time while their length is changed.
const STREAMS: usize = 100;

/// Tokens of each of these streams.
const STREAM_TOKENS: &[u64] = &[50, 100, 200, 400];

/// Time of an engine for a token of these streams, in milliseconds.
const TOKEN_MS: u64 = 20;

/// Rate of the requests before these streams, in requests per second.
const WARM_UP_RATE: f64 = 50.0;

/// Streams that are opened in each step while memory is measured.
const OPENED: usize = 250;

/// Steps in which streams are opened.
const OPENING_STEPS: usize = 4;

/// Time for open streams to settle before memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Measures the processor time that grows with the rate of short requests.
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

/// Measures the processor time that grows with the tokens of long answers.
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
        // A node that has had no answer yet does not know the places of the engine's batch, and
        // refuses a part of many requests at once.
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

/// Measures the memory that grows with open streams.
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
            open.extend(open_streams(&deployment, OPENED).await?);
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

/// `Usage` is the processor time of the asked node and the journal's holder since a moment.
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
