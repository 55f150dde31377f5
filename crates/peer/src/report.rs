//! Named reports of a node, such as its status, that other nodes read.

use async_trait::async_trait;
use bytes::Bytes;

/// `ReportSource` provides the reports of this node that other nodes request.
#[async_trait]
pub trait ReportSource: Send + Sync + 'static {
    /// Returns the report `name` as JSON, or `None` when it does not exist.
    async fn report(&self, name: &str) -> Option<Bytes>;
}

/// `NoReports` is a source without reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoReports;

#[async_trait]
impl ReportSource for NoReports {
    async fn report(&self, _: &str) -> Option<Bytes> {
        None
    }
}
