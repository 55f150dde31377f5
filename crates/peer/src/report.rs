//! Reports of a node that other nodes read.

use async_trait::async_trait;
use bytes::Bytes;

/// `ReportSource` answers other nodes that ask for a report of this node.
#[async_trait]
pub trait ReportSource: Send + Sync + 'static {
    /// Returns the report with this name as JSON, or nothing when there is none.
    async fn report(&self, name: &str) -> Option<Bytes>;
}

/// `NoReports` has no reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoReports;

#[async_trait]
impl ReportSource for NoReports {
    async fn report(&self, _: &str) -> Option<Bytes> {
        None
    }
}
