//! Cost of recording requests for burn reports, size of burn rows, and time to build a report.

use std::{
    hint::black_box,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use verbenahead::burn::{
    BurnRecorder, BurnReporter, BurnReporterOptions, BurnStore, Counts, HourRow, ObjectiveCounts,
    RequestResult, RowEntry, SeriesKey, Slice,
};
use verbenahead_core::{
    HashMap, Incarnation, NodeId, ServiceId, WorkspaceId,
    time::{UnixMillis, WallClock},
};
use verbenahead_manifest::{Manifest, parse};
use verbenahead_services::{MemoryTable, WriteOutcome};

use crate::{record::Record, registry::MeasureOptions};

const MANIFEST: &str = include_str!("../../../examples/cascade/manifest.jsonc");

const MEASURE: &str = "burn";

/// Requests recorded by each thread.
const REQUESTS: u32 = 500_000;

const THREADS: [usize; 2] = [1, 4];

/// Hourly rows per node that the table holds between two roll-ups.
const HOURS: u64 = 120;

const NODES: [usize; 3] = [19, 100, 330];

const MINUTES_PER_HOUR: u64 = 60;
const MINUTES_PER_SLICE: u64 = 5;
const MS_PER_HOUR: u64 = 60 * 60 * 1_000;

/// Time of the report: the end of the last hour in the table.
const NOW: UnixMillis = UnixMillis(1_800_014_400_000);

const REQUEST_RESULT: RequestResult = RequestResult {
    is_answered: true,
    first_token: Some(Duration::from_millis(200)),
    inter_token: Some(Duration::from_millis(20)),
};

/// Workspace and service of a series.
type Pair = (WorkspaceId, ServiceId);

/// Runs the measurement.
///
/// # Errors
///
/// When a record cannot be printed or the table refuses a row.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let manifest = parse("manifest", MANIFEST)?;
    for seed in options.seed_range() {
        measure_counting(&manifest, seed)?;
        measure_rows(&manifest, seed)?;
        measure_reports(&manifest, seed)?;
    }
    Ok(())
}

fn print(profile: &str, policy: &str, seed: u64, value: f64, unit: &str) -> anyhow::Result<()> {
    let record = Record {
        measure: MEASURE,
        profile,
        policy,
        seed,
        value,
        unit,
    };
    record.print()
}

fn pairs(manifest: &Manifest) -> Vec<Pair> {
    let services = || manifest.services.iter();
    let workspaces = manifest.workspaces.iter();
    workspaces
        .flat_map(|workspace| services().map(|service| (workspace.id.clone(), service.id.clone())))
        .collect()
}

fn measure_counting(manifest: &Manifest, seed: u64) -> anyhow::Result<()> {
    let pairs = pairs(manifest);
    for threads in THREADS {
        let profile = format!("count/threads={threads}");
        let recorder = BurnRecorder::new(WallClock::default());
        recorder.apply(manifest);
        let time = time_per_request(threads, seed, &pairs, |(workspace, service)| {
            recorder.record(workspace, service, REQUEST_RESULT);
        });
        print(&profile, "recorder", seed, time, "ns/request")?;
        let single_map: Mutex<HashMap<Pair, Counts>> = Mutex::default();
        let time = time_per_request(threads, seed, &pairs, |pair| {
            let mut counts = single_map.lock().unwrap_or_else(PoisonError::into_inner);
            counts.entry(pair.clone()).or_default().record(true);
        });
        print(&profile, "one_map_one_lock", seed, time, "ns/request")?;
    }
    Ok(())
}

/// Returns the mean wall time of one call of `count` on a thread, in nanoseconds.
fn time_per_request(
    threads: usize,
    seed: u64,
    pairs: &[Pair],
    count: impl Fn(&Pair) + Sync,
) -> f64 {
    let start = Instant::now();
    thread::scope(|scope| {
        for thread in 0..threads as u64 {
            let count = &count;
            scope.spawn(move || {
                let mut rng = SmallRng::seed_from_u64(seed + thread);
                for _ in 0..REQUESTS {
                    count(black_box(&pairs[rng.random_range(0..pairs.len())]));
                }
            });
        }
    });
    start.elapsed().as_nanos() as f64 / f64::from(REQUESTS)
}

/// Builds the row of an hour of a busy node, with a slice for every five minutes.
fn row(hour: u64, pairs: &[Pair], rng: &mut SmallRng) -> HourRow {
    let slices = MINUTES_PER_HOUR / MINUTES_PER_SLICE;
    let mut row = HourRow::new(hour);
    for (workspace, service) in pairs {
        let slice = |index| Slice {
            start: hour * MINUTES_PER_HOUR + index * MINUTES_PER_SLICE,
            minutes: MINUTES_PER_SLICE,
            counts: counts(rng.random_range(0..2_000)),
        };
        row.entries.push(RowEntry {
            series: SeriesKey {
                workspace: workspace.clone(),
                service: service.clone(),
            },
            slices: (0..slices).map(slice).collect(),
        });
    }
    row
}

fn counts(total: u64) -> ObjectiveCounts {
    let counts = Counts {
        good: total - total / 100,
        total,
    };
    ObjectiveCounts {
        availability: counts,
        first_token: counts,
        inter_token: counts,
    }
}

fn measure_rows(manifest: &Manifest, seed: u64) -> anyhow::Result<()> {
    let pairs = pairs(manifest);
    let mut rng = SmallRng::seed_from_u64(seed);
    let row = row(0, &pairs, &mut rng);
    let profile = format!("row/pairs={}", pairs.len());
    let size = |row: &HourRow| row.encode().len() as f64;
    print(&profile, "current_hour", seed, size(&row), "B")?;
    print(&profile, "past_hour", seed, size(&row.compacted()), "B")
}

fn measure_reports(manifest: &Manifest, seed: u64) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    for nodes in NODES {
        let table = Arc::new(MemoryTable::default());
        let store = BurnStore::new(table.clone());
        runtime.block_on(write_rows(&store, manifest, nodes, seed))?;
        let (reads, _) = table.call_counts();
        let clock = WallClock::starting_at(NOW);
        let reporter = BurnReporter::new(store, clock, BurnReporterOptions::default());
        let start = Instant::now();
        let made_by: NodeId = "measure".parse()?;
        let report = runtime.block_on(reporter.report(manifest, &made_by, &[], &[]));
        let time = start.elapsed().as_secs_f64() * 1_000.0;
        black_box(report);
        let profile = format!("report/nodes={nodes}/hours={HOURS}");
        print(&profile, "reporter", seed, time, "ms")?;
        let reads = table.call_counts().0 - reads;
        print(&profile, "reporter", seed, reads as f64, "reads")?;
    }
    Ok(())
}

async fn write_rows(
    store: &BurnStore,
    manifest: &Manifest,
    nodes: usize,
    seed: u64,
) -> anyhow::Result<()> {
    let pairs = pairs(manifest);
    let mut rng = SmallRng::seed_from_u64(seed);
    let current = NOW.0 / MS_PER_HOUR;
    for index in 0..nodes {
        let node: NodeId = format!("node-{index}").parse()?;
        let hours = current - HOURS..current;
        let rows: Vec<_> = hours
            .map(|hour| row(hour, &pairs, &mut rng).compacted())
            .collect();
        match store.write(&node, Incarnation(1), &rows).await {
            WriteOutcome::Done(_) => {}
            outcome => anyhow::bail!("measure: writing the rows was not confirmed: {outcome:?}"),
        }
    }
    Ok(())
}
