//! Processor time, memory and platform calls of idle nodes.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::{Instant, sleep};
use verbenahead_standins::{
    client::JsonClient,
    platform::{CallKind, KindCounts},
};

use crate::{
    overhead::{
        deployment::Deployment,
        process_usage::{processor_time, resident_bytes},
    },
    registry::MeasureOptions,
    slopes::{on_runtime, points::Points},
};

const PROFILE: &str = "idle_nodes";

/// Numbers of nodes.
const NODES: &[usize] = &[4, 8, 16, 32];

/// Time for the nodes to discover each other and for the membership claims from their start to
/// stop being forwarded.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time over which calls and processor time are measured.
const MEASURED_TIME: Duration = Duration::from_secs(15);

/// Platform calls that read.
const READS: &[CallKind] = &[
    CallKind::TableRead,
    CallKind::ObjectRead,
    CallKind::VmList,
    CallKind::Notices,
];

/// Platform calls that write.
const WRITES: &[CallKind] = &[
    CallKind::TableWrite,
    CallKind::ObjectWrite,
    CallKind::Start,
    CallKind::Stop,
];

type Counts = BTreeMap<CallKind, KindCounts>;

/// `IdleCost` is the resource use of a deployment of idle nodes.
struct IdleCost {
    /// Processor time of a node, in percent of a core.
    core_percent: f64,
    /// Resident memory of a node, in MiB.
    resident_mib: f64,
    /// Reads of the platform by all nodes, per second.
    reads: f64,
    /// Writes to the platform by all nodes, per second.
    writes: f64,
}

/// Runs the profile.
///
/// # Errors
///
/// When a process cannot be started or has exited.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let points = |figure| Points::new(options, PROFILE, figure, "node");
    let mut core = points("% of a core per node");
    let mut memory = points("MiB resident per node");
    let mut reads = points("platform reads/s of all nodes");
    let mut writes = points("platform writes/s of all nodes");
    on_runtime(async {
        for nodes in NODES {
            let cost = measure(*nodes).await?;
            let size = *nodes as f64;
            core.push(size, cost.core_percent)?;
            memory.push(size, cost.resident_mib)?;
            reads.push(size, cost.reads)?;
            writes.push(size, cost.writes)?;
        }
        Ok(())
    })?;
    [core, memory, reads, writes]
        .iter()
        .try_for_each(Points::print_fit)
}

async fn measure(nodes: usize) -> anyhow::Result<IdleCost> {
    let deployment = Deployment::start(nodes, 0).await?;
    sleep(WARM_UP).await;
    let platform = JsonClient::new(deployment.platform_address()?);
    let ids = deployment.node_ids();
    let counts_before: Counts = platform.get("/control/counts").await?;
    let time_before = total(&ids, processor_time)?;
    let start = Instant::now();
    sleep(MEASURED_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let used = total(&ids, processor_time)? - time_before;
    let counts_after: Counts = platform.get("/control/counts").await?;
    let memory: u64 = total(&ids, resident_bytes)?;
    let calls = |kinds| (calls_of(&counts_after, kinds) - calls_of(&counts_before, kinds)) as f64;
    Ok(IdleCost {
        core_percent: 100.0 * used.as_secs_f64() / seconds / nodes as f64,
        resident_mib: memory as f64 / nodes as f64 / f64::from(1 << 20),
        reads: calls(READS) / seconds,
        writes: calls(WRITES) / seconds,
    })
}

fn total<T: std::iter::Sum>(ids: &[u32], read: fn(u32) -> anyhow::Result<T>) -> anyhow::Result<T> {
    ids.iter().map(|id| read(*id)).sum()
}

fn calls_of(counts: &Counts, kinds: &[CallKind]) -> u64 {
    let known = kinds.iter().filter_map(|kind| counts.get(kind));
    known.map(|count| count.total).sum()
}
