//! Counts and durations of calls to the platform.

use std::{future::Future, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::Instant;
use verbenahead_core::{Incarnation, VmId};
use verbenahead_services::{
    Cloud, DutyHolder, DutyOutcome, FeedAnswer, FeedPosition, FleetOrders, ObjectName, ObjectStore,
    Platform, ReclaimNotice, ReplicaOrder, Result, Row, RowKey, Snapshot, StartOutcome, StartVm,
    Table, TableFeed, TableName, UsageReport, UsageReports, VmList, VmRecord, Write, WriteOutcome,
};

use super::metrics::Metrics;

// Values of the label `service`.
const TABLE: &str = "table";
const OBJECT_STORE: &str = "object_store";
const CLOUD: &str = "cloud";
const VM_LIST: &str = "vm_list";
const FEED: &str = "feed";
const USAGE: &str = "usage";
const ORDERS: &str = "orders";

/// `CallMeter` records calls to the platform.
pub trait CallMeter: Send + Sync + 'static {
    /// Records a finished call to `service`, with its result and duration.
    fn call_ended(&self, service: &'static str, result: &'static str, time: Duration);
}

impl CallMeter for Metrics {
    fn call_ended(&self, service: &'static str, result: &'static str, time: Duration) {
        let times = &self.platform_call_time;
        times
            .with_label_values(&[service])
            .observe(time.as_secs_f64());
        let calls = &self.platform_calls;
        calls.with_label_values(&[service, result]).inc();
    }
}

/// Wraps a platform so that each of its calls is counted and timed.
pub fn metered(platform: Platform, metrics: &Metrics) -> Platform {
    let meter: Arc<dyn CallMeter> = Arc::new(metrics.clone());
    Platform {
        table: Arc::new(Metered::new(platform.table, &meter, TABLE)),
        objects: Arc::new(Metered::new(platform.objects, &meter, OBJECT_STORE)),
        cloud: Arc::new(Metered::new(platform.cloud, &meter, CLOUD)),
        vms: Arc::new(Metered::new(platform.vms, &meter, VM_LIST)),
    }
}

/// Wraps a table so that each of its calls is counted and timed.
pub fn metered_table(table: Arc<dyn Table>, meter: &Arc<dyn CallMeter>) -> Arc<dyn Table> {
    Arc::new(Metered::new(table, meter, TABLE))
}

/// Wraps a table feed so that each of its calls is counted and timed.
pub fn metered_feed(feed: Arc<dyn TableFeed>, meter: &Arc<dyn CallMeter>) -> Arc<dyn TableFeed> {
    Arc::new(Metered::new(feed, meter, FEED))
}

/// Wraps a receiver of usage reports so that each of its calls is counted and timed.
pub fn metered_usage(
    reports: Arc<dyn UsageReports>,
    meter: &Arc<dyn CallMeter>,
) -> Arc<dyn UsageReports> {
    Arc::new(Metered::new(reports, meter, USAGE))
}

/// Wraps a receiver of replica orders so that each of its calls is counted and timed.
pub fn metered_orders(
    orders: Arc<dyn FleetOrders>,
    meter: &Arc<dyn CallMeter>,
) -> Arc<dyn FleetOrders> {
    Arc::new(Metered::new(orders, meter, ORDERS))
}

/// `Metered` wraps one service of the platform and records its calls.
struct Metered<S: ?Sized> {
    inner: Arc<S>,
    meter: Arc<dyn CallMeter>,
    service: &'static str,
}

impl<S: ?Sized> Metered<S> {
    fn new(inner: Arc<S>, meter: &Arc<dyn CallMeter>, service: &'static str) -> Self {
        Self {
            inner,
            meter: Arc::clone(meter),
            service,
        }
    }

    /// Awaits a call and records it. A call that is cancelled is not recorded.
    async fn meter<T: CallResult>(&self, call: impl Future<Output = T>) -> T {
        let started = Instant::now();
        let result = call.await;
        self.meter
            .call_ended(self.service, result.label(), started.elapsed());
        result
    }
}

/// `CallResult` provides the value of the label `result` for the outcome of a call.
trait CallResult {
    fn label(&self) -> &'static str;
}

impl<T> CallResult for Result<T> {
    fn label(&self) -> &'static str {
        match self {
            Ok(_) => "done",
            Err(_) => "failed",
        }
    }
}

impl CallResult for WriteOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
            Self::NotSent(_) => "not_sent",
        }
    }
}

impl CallResult for DutyOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "done",
            Self::NoCapacity(_) => "refused",
            Self::NotDone(_) => "not_sent",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl CallResult for StartOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Started(_) => "done",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

#[async_trait]
impl Table for Metered<dyn Table> {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.meter(self.inner.read(key)).await
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        let call = self.inner.list(table, prefix, after, limit);
        self.meter(call).await
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        self.meter(self.inner.write(writes)).await
    }
}

#[async_trait]
impl TableFeed for Metered<dyn TableFeed> {
    async fn snapshot(&self, table: TableName) -> Result<Snapshot> {
        self.meter(self.inner.snapshot(table)).await
    }

    async fn changes(
        &self,
        table: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer> {
        let call = self.inner.changes(table, since, wait);
        self.meter(call).await
    }
}

#[async_trait]
impl UsageReports for Metered<dyn UsageReports> {
    async fn report_usage(&self, report: &UsageReport, holder: &DutyHolder) -> DutyOutcome {
        self.meter(self.inner.report_usage(report, holder)).await
    }
}

#[async_trait]
impl FleetOrders for Metered<dyn FleetOrders> {
    async fn order(&self, order: &ReplicaOrder, holder: &DutyHolder) -> DutyOutcome {
        self.meter(self.inner.order(order, holder)).await
    }
}

#[async_trait]
impl ObjectStore for Metered<dyn ObjectStore> {
    async fn get(&self, name: &ObjectName) -> Result<Option<Bytes>> {
        self.meter(self.inner.get(name)).await
    }

    async fn put(&self, name: &ObjectName, data: Bytes) -> WriteOutcome {
        self.meter(self.inner.put(name, data)).await
    }
}

#[async_trait]
impl Cloud for Metered<dyn Cloud> {
    async fn start(&self, req: &StartVm) -> StartOutcome {
        self.meter(self.inner.start(req)).await
    }

    async fn stop(&self, vm: &VmId, incarnation: Incarnation) -> WriteOutcome {
        self.meter(self.inner.stop(vm, incarnation)).await
    }

    async fn notices(&self) -> Result<Vec<ReclaimNotice>> {
        self.meter(self.inner.notices()).await
    }
}

#[async_trait]
impl VmList for Metered<dyn VmList> {
    async fn vms(&self) -> Result<Vec<VmRecord>> {
        self.meter(self.inner.vms()).await
    }
}
