//! Usage reports and scaling orders, which one node sends for the whole deployment.

use std::collections::BTreeMap;

use http::HeaderMap;
use serde::Deserialize;

/// `UsageCall` is the body of a usage report.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct UsageCall {
    /// Number of the time window.
    pub window_id: u64,
    /// Number of requests by workspace.
    pub counts: BTreeMap<String, u64>,
}

/// `ScalingCall` is the body of a scaling order.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ScalingCall {
    /// Service of the replicas.
    pub service: String,
    /// Zone of the replicas.
    pub zone: String,
    /// Desired number of replicas.
    pub desired: u32,
    /// Whether the replicas are reclaimable.
    #[serde(default)]
    pub spot: bool,
}

/// `RecordedUsage` is a usage report with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedUsage {
    /// The report.
    pub call: UsageCall,
    /// Node that sent the call.
    pub holder: String,
    /// Fencing number of that node's lease.
    pub fence: u64,
}

/// `RecordedOrder` is a scaling order with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedOrder {
    /// The order.
    pub call: ScalingCall,
    /// Node that sent the call.
    pub holder: String,
    /// Fencing number of that node's lease.
    pub fence: u64,
}

/// Returns the node and the fencing number in the headers of a call, or `None` when one of them is
/// missing or malformed.
pub fn parse_sender(headers: &HeaderMap) -> Option<(String, u64)> {
    let text = |name| headers.get(name)?.to_str().ok();
    let fence = text("fencing-token")?.parse().ok()?;
    Some((text("duty-holder")?.to_owned(), fence))
}
