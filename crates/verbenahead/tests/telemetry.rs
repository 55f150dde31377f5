//! Tests of the metrics of platform calls and of gauge guards.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use verbenahead::telemetry::{metrics::Metrics, platform_meter::metered};
use verbenahead_core::{Incarnation, VmId};
use verbenahead_services::{
    Cloud, Condition, MemoryObjectStore, MemoryTable, Mutation, Platform, ReclaimNotice, Result,
    RowKey, StartOutcome, StartVm, TableName, VmList, VmRecord, Write, WriteOutcome,
    memory::TableFaults,
};

/// `EmptyCloud` is a cloud without VMs.
struct EmptyCloud;

#[async_trait]
impl Cloud for EmptyCloud {
    async fn start(&self, _: &StartVm) -> StartOutcome {
        StartOutcome::Refused("there are no VMs".to_owned())
    }

    async fn stop(&self, _: &VmId, _: Incarnation) -> WriteOutcome {
        WriteOutcome::Done(Vec::new())
    }

    async fn notices(&self) -> Result<Vec<ReclaimNotice>> {
        Ok(Vec::new())
    }
}

#[async_trait]
impl VmList for EmptyCloud {
    async fn vms(&self) -> Result<Vec<VmRecord>> {
        Ok(Vec::new())
    }
}

fn platform(table: &Arc<MemoryTable>, metrics: &Metrics) -> Platform {
    let platform = Platform {
        table: table.clone(),
        objects: Arc::new(MemoryObjectStore::default()),
        cloud: Arc::new(EmptyCloud),
        vms: Arc::new(EmptyCloud),
    };
    metered(platform, metrics)
}

fn row() -> RowKey {
    RowKey::new(TableName("rows"), "row")
}

fn create() -> Vec<Write> {
    vec![Write {
        key: row(),
        condition: Condition::Absent,
        mutation: Mutation::Put("value".into()),
    }]
}

fn count(metrics: &Metrics, service: &str, result: &str) -> u64 {
    let calls = &metrics.platform_calls;
    calls.with_label_values(&[service, result]).get()
}

#[tokio::test(start_paused = true)]
async fn platform_calls_are_counted_by_result_and_timed() {
    let metrics = Metrics::try_new().unwrap();
    let table = Arc::new(MemoryTable::default());
    let platform = platform(&table, &metrics);

    let created = platform.table.write(create()).await;
    let refused = platform.table.write(create()).await;
    table.set_faults(TableFaults {
        is_down: true,
        delay: Duration::from_secs(2),
        ..TableFaults::default()
    });
    let unknown = platform.table.write(create()).await;
    let failed = platform.table.read(&row()).await;
    let notices = platform.cloud.notices().await;
    let vms = platform.vms.vms().await;

    assert!(matches!(created, WriteOutcome::Done(_)));
    assert!(matches!(refused, WriteOutcome::Refused(_)));
    assert!(matches!(unknown, WriteOutcome::Unknown(_)));
    assert!(failed.is_err() && notices.is_ok() && vms.is_ok());
    for result in ["done", "refused", "unknown", "failed"] {
        assert_eq!(count(&metrics, "table", result), 1, "{result}");
    }
    assert_eq!(count(&metrics, "cloud", "done"), 1);
    assert_eq!(count(&metrics, "vm_list", "done"), 1);
    let times = metrics.platform_call_time.with_label_values(&["table"]);
    assert_eq!(times.get_sample_count(), 4);
    assert!((times.get_sample_sum() - 4.0).abs() < 1e-9);
}

#[test]
fn gauge_guard_counts_until_it_is_dropped() {
    let metrics = Metrics::try_new().unwrap();
    let drafting = "drafting".parse().unwrap();
    let in_progress = metrics
        .requests_in_progress
        .with_label_values(&["drafting"]);
    let first = metrics.request_in_progress(&drafting);
    let second = metrics.request_in_progress(&drafting);

    let both = in_progress.get();
    drop(first);
    let one = in_progress.get();
    drop(second);

    assert_eq!((both, one, in_progress.get()), (2, 1, 0));
}
