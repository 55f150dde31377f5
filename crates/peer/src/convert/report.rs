//! Conversions of node reports.

use std::time::Duration;

use verbenahead_core::{
    FeatureLevel, FencingNumber, Generation, Incarnation,
    units::{RequestRate, Tokens},
};
use verbenahead_membership::{
    NameKey, NodeReport, PromptDemand, ReplicaLimit, ReplicaWork, UnixMillis, WindowCounts,
};

use super::{convert_all, parse_id, try_convert_all};
use crate::{errors::Error, report_wire as wire};

impl From<&NodeReport> for wire::NodeReport {
    fn from(report: &NodeReport) -> Self {
        Self {
            node: report.node.as_str().to_owned(),
            zone: report.zone.as_str().to_owned(),
            incarnation: report.incarnation.0,
            sequence: report.sequence,
            clock: report.clock.0,
            agreed: report.agreed.map_or(0, |agreed| agreed.0),
            generation: report.generation.0,
            leaving: report.is_leaving,
            replicas_as_of: report.replicas_as_of,
            reported_window: report.reported_window,
            reaches_store: report.reaches_store,
            held_lease: report.held_lease.map_or(0, |fencing| fencing.0),
            work: convert_all(report.work.clone()),
            demand: convert_all(report.demand.clone()),
            windows: convert_all(report.windows.clone()),
            leaving_replicas: report.leaving.iter().map(|key| key.0).collect(),
            limits: convert_all(report.limits.clone()),
            quarantined: convert_all(report.quarantined.clone()),
            features: report.features.0,
        }
    }
}

impl TryFrom<wire::NodeReport> for NodeReport {
    type Error = Error;

    fn try_from(wire: wire::NodeReport) -> Result<Self, Error> {
        Ok(Self {
            node: parse_id("node", wire.node)?,
            zone: parse_id("zone", wire.zone)?,
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            clock: UnixMillis(wire.clock),
            agreed: (wire.agreed > 0).then_some(UnixMillis(wire.agreed)),
            generation: Generation(wire.generation),
            is_leaving: wire.leaving,
            replicas_as_of: wire.replicas_as_of,
            reported_window: wire.reported_window,
            reaches_store: wire.reaches_store,
            held_lease: (wire.held_lease > 0).then_some(FencingNumber(wire.held_lease)),
            work: convert_all(wire.work),
            demand: convert_all(wire.demand),
            windows: convert_all(wire.windows),
            leaving: wire.leaving_replicas.into_iter().map(NameKey).collect(),
            limits: try_convert_all(wire.limits)?,
            quarantined: try_convert_all(wire.quarantined)?,
            features: FeatureLevel(wire.features),
        })
    }
}

impl From<ReplicaWork> for wire::ReplicaWork {
    fn from(work: ReplicaWork) -> Self {
        Self {
            replica: work.replica.0,
            requests: work.requests,
            queued_tokens: work.queued.0,
        }
    }
}

impl From<wire::ReplicaWork> for ReplicaWork {
    fn from(wire: wire::ReplicaWork) -> Self {
        Self {
            replica: NameKey(wire.replica),
            requests: wire.requests,
            queued: Tokens(wire.queued_tokens),
        }
    }
}

impl From<ReplicaLimit> for wire::ReplicaLimit {
    fn from(limit: ReplicaLimit) -> Self {
        Self {
            replica: limit.replica.0,
            rate: limit.rate.map(|rate| rate.0),
            age_ms: u32::try_from(limit.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<wire::ReplicaLimit> for ReplicaLimit {
    type Error = Error;

    fn try_from(wire: wire::ReplicaLimit) -> Result<Self, Error> {
        let is_valid = |rate: f64| rate.is_finite() && rate >= 0.0;
        if !wire.rate.is_none_or(is_valid) {
            let reason = format!("rate {:?}", wire.rate);
            return Err(Error::malformed("limit of a replica", reason));
        }
        Ok(Self {
            replica: NameKey(wire.replica),
            rate: wire.rate.map(RequestRate),
            age: Duration::from_millis(u64::from(wire.age_ms)),
        })
    }
}

impl From<PromptDemand> for wire::PromptDemand {
    fn from(demand: PromptDemand) -> Self {
        Self {
            service: demand.service.0,
            total_tokens: demand.total.0,
        }
    }
}

impl From<wire::PromptDemand> for PromptDemand {
    fn from(wire: wire::PromptDemand) -> Self {
        Self {
            service: NameKey(wire.service),
            total: Tokens(wire.total_tokens),
        }
    }
}

impl From<WindowCounts> for wire::WindowCounts {
    fn from(window: WindowCounts) -> Self {
        let count = |(workspace, count): (NameKey, u64)| wire::WorkspaceCount {
            workspace: workspace.0,
            count,
        };
        Self {
            window: window.window,
            r#final: window.is_final,
            counts: window.counts.into_iter().map(count).collect(),
        }
    }
}

impl From<wire::WindowCounts> for WindowCounts {
    fn from(wire: wire::WindowCounts) -> Self {
        let count = |count: wire::WorkspaceCount| (NameKey(count.workspace), count.count);
        Self {
            window: wire.window,
            is_final: wire.r#final,
            counts: wire.counts.into_iter().map(count).collect(),
        }
    }
}
