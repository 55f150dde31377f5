//! Demand for prompt tokens, summed over all nodes.

use std::time::Duration;

use verbenahead_core::{HashMap, NodeId, ServiceId, units::TokenRate};
use verbenahead_membership::{NameKey, Roster};
use verbenahead_policy::{DemandMeter, Timestamp};
use verbenahead_relay::ReplicaSelector;

/// Time over which demand is averaged. It spans some tens of prompts.
const AVERAGING_TIME: Duration = Duration::from_secs(6);

/// `FleetDemandView` turns the token totals that nodes report into a rate per service.
#[derive(Debug, Default)]
pub struct FleetDemandView {
    services: HashMap<ServiceId, ServiceDemand>,
}

#[derive(Debug)]
struct ServiceDemand {
    meter: DemandMeter,
    /// Last total of this node, in tokens.
    own_total: u64,
    /// Last totals of the other nodes in tokens, by node and incarnation.
    other_totals: HashMap<(NodeId, u64), u64>,
}

impl Default for ServiceDemand {
    fn default() -> Self {
        Self {
            meter: DemandMeter::new(AVERAGING_TIME),
            own_total: 0,
            other_totals: HashMap::default(),
        }
    }
}

impl FleetDemandView {
    /// Returns the demand of `service` in tokens per second, including what this node and the
    /// reports in `roster` have counted since the last call.
    pub fn rate(
        &mut self,
        service: &ServiceId,
        replica_selector: &ReplicaSelector,
        roster: &Roster,
        now: Timestamp,
    ) -> TokenRate {
        let key = NameKey::from(service);
        let demand = self.services.entry(service.clone()).or_default();
        let own = replica_selector
            .prompt_demand()
            .get(service)
            .map_or(0, |total| total.0);
        let mut new = own.saturating_sub(demand.own_total);
        demand.own_total = own;
        for report in roster.live() {
            let reported = report
                .demand
                .iter()
                .find(|reported| reported.service == key);
            let total = reported.map_or(0, |reported| reported.total.0);
            let sender = (report.node.clone(), report.incarnation.0);
            // The first total of a node covers an unknown time, so only its growth from then on
            // counts.
            let before = demand.other_totals.insert(sender, total).unwrap_or(total);
            new += total.saturating_sub(before);
        }
        demand.meter.add(new as f64, now);
        demand.meter.rate(now)
    }
}
