//! Counts and times of calls to the platform.

use std::{future::Future, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::Instant;
use verbenahead_core::{Incarnation, VmId};
use verbenahead_services::{
    Cloud, ObjectName, ObjectStore, Platform, ReclaimNotice, Result, Row, RowKey, StartOutcome,
    StartVm, Table, TableName, VmList, VmRecord, Write, WriteOutcome,
};

use super::metrics::Metrics;

const TABLE: &str = "table";
const OBJECT_STORE: &str = "object_store";
const CLOUD: &str = "cloud";
const VM_LIST: &str = "vm_list";

/// Returns the platform with each of its calls counted and timed.
pub fn metered(platform: Platform, metrics: &Metrics) -> Platform {
    Platform {
        table: Arc::new(Metered::new(platform.table, metrics, TABLE)),
        objects: Arc::new(Metered::new(platform.objects, metrics, OBJECT_STORE)),
        cloud: Arc::new(Metered::new(platform.cloud, metrics, CLOUD)),
        vms: Arc::new(Metered::new(platform.vms, metrics, VM_LIST)),
    }
}

/// `Metered` counts the calls to one of the platform's services.
struct Metered<S: ?Sized> {
    inner: Arc<S>,
    metrics: Metrics,
    service: &'static str,
}

impl<S: ?Sized> Metered<S> {
    fn new(inner: Arc<S>, metrics: &Metrics, service: &'static str) -> Self {
        Self {
            inner,
            metrics: metrics.clone(),
            service,
        }
    }

    /// Awaits a call and counts it by its result. A call that is given up is not counted.
    async fn meter<T: CallResult>(&self, call: impl Future<Output = T>) -> T {
        let started = Instant::now();
        let result = call.await;
        let time = started.elapsed().as_secs_f64();
        let times = &self.metrics.platform_call_time;
        times.with_label_values(&[self.service]).observe(time);
        let calls = &self.metrics.platform_calls;
        calls
            .with_label_values(&[self.service, result.label()])
            .inc();
        result
    }
}

/// `CallResult` names the result of a call.
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
