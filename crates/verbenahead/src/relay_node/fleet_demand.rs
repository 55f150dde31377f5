//! The demand for tokens of prompts over all nodes.

use std::time::Duration;

use verbenahead_core::{HashMap, NodeId, ServiceId, units::TokenRate};
use verbenahead_membership::{NameKey, Roster};
use verbenahead_policy::{DemandMeter, Timestamp};
use verbenahead_relay::ReplicaSelector;

/// Time over which demand is averaged. It spans some tens of prompts.
const AVERAGED: Duration = Duration::from_secs(6);

/// `FleetDemandView` turns the totals that nodes report into a rate.
#[derive(Debug, Default)]
pub struct FleetDemandView {
    services: HashMap<ServiceId, ServiceDemand>,
}

#[derive(Debug)]
struct ServiceDemand {
    meter: DemandMeter,
    own: u64,
    others: HashMap<(NodeId, u64), u64>,
}

impl Default for ServiceDemand {
    fn default() -> Self {
        Self {
            meter: DemandMeter::new(AVERAGED),
            own: 0,
            others: HashMap::default(),
        }
    }
}

impl FleetDemandView {
    /// Returns the rate of a service, after taking in what is new.
    pub fn rate(
        &mut self,
        service: &ServiceId,
        replica_selector: &ReplicaSelector,
        roster: &Roster,
        now: Timestamp,
    ) -> TokenRate {
        let key = NameKey::from(service);
        let known = self.services.entry(service.clone()).or_default();
        let own = replica_selector
            .prompt_demand()
            .get(service)
            .map_or(0, |total| total.0);
        let mut new = own.saturating_sub(known.own);
        known.own = own;
        for report in roster.live() {
            let demand = report.demand.iter().find(|demand| demand.service == key);
            let total = demand.map_or(0, |demand| demand.total.0);
            let life = (report.node.clone(), report.incarnation.0);
            // What a node sent before it was first heard says nothing about the present.
            let before = known.others.insert(life, total).unwrap_or(total);
            new += total.saturating_sub(before);
        }
        known.meter.add(new as f64, now);
        known.meter.rate(now)
    }
}
