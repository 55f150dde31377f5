//! Calls that one node makes for the whole deployment, as they arrived.

use std::collections::BTreeMap;

use http::HeaderMap;
use serde::Deserialize;

/// `UsageCall` is the body of a report of usage.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct UsageCall {
    /// Number of the window.
    pub window_id: u64,
    /// Requests by workspace.
    pub counts: BTreeMap<String, u64>,
}

/// `ScalingCall` is the body of an order.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ScalingCall {
    /// Service of the replicas.
    pub service: String,
    /// Zone of the replicas.
    pub zone: String,
    /// Wanted number.
    pub desired: u32,
    /// Whether they may be reclaimed.
    #[serde(default)]
    pub spot: bool,
}

/// `RecordedUsage` is a report with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedUsage {
    /// The report.
    pub call: UsageCall,
    /// Node that sent it.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
}

/// `RecordedOrder` is an order with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedOrder {
    /// The order.
    pub call: ScalingCall,
    /// Node that sent it.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
}

/// Reads the sender of a call.
pub fn sender(headers: &HeaderMap) -> Option<(String, u64)> {
    let text = |name| headers.get(name)?.to_str().ok();
    let fence = text("fencing-token")?.parse().ok()?;
    Some((text("duty-holder")?.to_owned(), fence))
}
