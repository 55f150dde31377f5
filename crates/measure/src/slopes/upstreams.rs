//! Costs of known upstreams: memory, the time to list the live ones, and reading the platform's
//! list.

use std::{hint::black_box, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use tokio::time::{Instant, sleep};
use verbenahead::node::upstream_directory::UpstreamDirectory;
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, VmId};
use verbenahead_services::{Market, VmRecord, VmState};
use verbenahead_standins::client::JsonClient;

use crate::{
    overhead::{
        deployment::Deployment,
        process_usage::{processor_time, resident_bytes},
    },
    registry::MeasureOptions,
    slopes::{on_runtime, points::Points},
};

/// Directory sizes whose memory is measured, large enough to exceed the noise of page
/// granularity. The first one only warms up the allocator.
const MEMORY_SIZES: &[usize] = &[720, 720, 1_440, 2_880, 5_760];

/// Directory sizes whose listing is timed.
const LISTING_SIZES: &[usize] = &[90, 180, 360, 720];

/// Repetitions of a timed listing.
const LISTING_REPETITIONS: u32 = 200;

/// Numbers of upstreams on the platform's list.
const LISTED_UPSTREAMS: &[usize] = &[0, 180, 360, 720];

/// Wait for a node to read the list.
const WARM_UP: Duration = Duration::from_secs(8);

/// Time over which processor time is measured.
const MEASURED_TIME: Duration = Duration::from_secs(20);

/// Measures the memory of a directory and the time to list its live upstreams.
///
/// # Errors
///
/// When the memory cannot be read.
pub fn directory(options: &MeasureOptions) -> anyhow::Result<()> {
    let points = |figure| Points::new(options, "directory", figure, "upstream");
    let mut memory = points("KiB resident of the directory");
    let mut retained = Vec::new();
    for (step, size) in MEMORY_SIZES.iter().enumerate() {
        let records = records(*size)?;
        let before = resident_bytes(std::process::id())?;
        let directory = build_directory(&records);
        let after = resident_bytes(std::process::id())?;
        if step > 0 {
            let kib = after.saturating_sub(before) as f64 / 1_024.0;
            memory.push(*size as f64, kib)?;
        }
        // The next directory would reuse the memory of a dropped one, which hides its growth.
        retained.push((directory, records));
    }
    let mut listing = points("us to list the live upstreams of a service and their loads");
    for size in LISTING_SIZES {
        let directory = build_directory(&records(*size)?);
        listing.push(*size as f64, listing_micros(&directory)?)?;
    }
    memory.print_fit()?;
    listing.print_fit()
}

fn records(count: usize) -> anyhow::Result<Vec<VmRecord>> {
    (0..count).map(record).collect()
}

fn build_directory(records: &[VmRecord]) -> UpstreamDirectory {
    let directory = UpstreamDirectory::default();
    directory.apply_list(records);
    directory
}

fn listing_micros(directory: &UpstreamDirectory) -> anyhow::Result<f64> {
    let service = ServiceId::try_new("s")?;
    let start = std::time::Instant::now();
    for _ in 0..LISTING_REPETITIONS {
        let entries = directory.live(black_box(&service));
        let loads: Vec<_> = entries.iter().map(|entry| entry.load()).collect();
        black_box(loads);
    }
    Ok(start.elapsed().as_secs_f64() * 1e6 / f64::from(LISTING_REPETITIONS))
}

/// Measures the size of the platform's list and the resource use of an idle node that reads it.
///
/// # Errors
///
/// When a process cannot be started or has exited.
pub fn listed(options: &MeasureOptions) -> anyhow::Result<()> {
    let points = |figure| Points::new(options, "listed_upstreams", figure, "upstream");
    let mut bytes = points("bytes of one reading of the list");
    let mut core = points("% of a core of an idle node");
    let mut memory = points("MiB resident of an idle node");
    on_runtime(async {
        let deployment = Deployment::start(1, 0).await?;
        let platform = JsonClient::new(deployment.platform_address()?);
        let mut registered = 0;
        for size in LISTED_UPSTREAMS {
            for number in registered..*size {
                let record = record(number)?;
                let path = format!("/control/vms/{}", record.vm);
                platform.put(&path, &record).await?;
            }
            registered = *size;
            sleep(WARM_UP).await;
            let size = *size as f64;
            bytes.push(size, list_bytes(&platform).await?)?;
            let id = deployment.node_id();
            core.push(size, core_percent(id).await?)?;
            memory.push(size, resident_bytes(id)? as f64 / f64::from(1 << 20))?;
        }
        Ok(())
    })?;
    [bytes, core, memory].iter().try_for_each(Points::print_fit)
}

async fn list_bytes(platform: &JsonClient) -> anyhow::Result<f64> {
    let reply = platform
        .call(Method::GET, "/v1/vms", HeaderMap::new(), Bytes::new())
        .await?;
    Ok(reply.body.len() as f64)
}

async fn core_percent(id: u32) -> anyhow::Result<f64> {
    let before = processor_time(id)?;
    let start = Instant::now();
    sleep(MEASURED_TIME).await;
    let used = processor_time(id)? - before;
    Ok(100.0 * used.as_secs_f64() / start.elapsed().as_secs_f64())
}

fn record(number: usize) -> anyhow::Result<VmRecord> {
    let zone = ["a", "b", "c"][number % 3];
    Ok(VmRecord {
        vm: VmId::try_new(format!("upstream-{number}"))?,
        incarnation: Incarnation(1),
        service: ServiceId::try_new("s")?,
        zone: AvailabilityZone::try_new(zone)?,
        // Port without a listener: an idle node calls no upstream.
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        state: VmState::Live,
        class: "standard".to_owned(),
        market: Market::Reclaimable,
    })
}
