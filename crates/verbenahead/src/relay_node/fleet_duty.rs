//! Orders replicas where the size of a fleet is ours to choose.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;
use verbenahead_core::{AvailabilityZone, ServiceId};
use verbenahead_manifest::{FleetBounds, RoutedService};
use verbenahead_relay::{RouteView, UpstreamRegistry, upstream::UpstreamStatus};
use verbenahead_services::{DutyHolder, DutyOutcome, FleetOrders, Market, ReplicaOrder};

use crate::relay_node::duty_lease::DutyLease;

/// Time after which an order is repeated whose replicas are not there.
const REPEAT_AFTER: Duration = Duration::from_secs(6);

/// Time after which an order is tried again for which nothing was to be had.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

type Subject = (ServiceId, AvailabilityZone, Market);

/// `Ordered` is the last order of a subject.
#[derive(Debug, Clone, Copy)]
struct Ordered {
    count: u32,
    is_accepted: bool,
    at: Instant,
}

/// `FleetDuty` orders replicas while the node holds the lease.
pub struct FleetDuty {
    routes: RouteView,
    registry: Arc<UpstreamRegistry>,
    orders: Arc<dyn FleetOrders>,
    ordered: BTreeMap<(ServiceId, AvailabilityZone, bool), Ordered>,
}

impl FleetDuty {
    /// Builds the duty.
    pub fn new(
        routes: RouteView,
        registry: Arc<UpstreamRegistry>,
        orders: Arc<dyn FleetOrders>,
    ) -> Self {
        Self {
            routes,
            registry,
            orders,
            ordered: BTreeMap::new(),
        }
    }

    /// Forgets the orders, because another node gives them now.
    pub fn rest(&mut self) {
        self.ordered.clear();
    }

    /// Gives the orders that are due.
    pub async fn step(&mut self, lease: &DutyLease, holder: &DutyHolder) {
        let Some(routes) = self.routes.borrow().clone() else {
            return;
        };
        let services: Vec<Arc<RoutedService>> = routes.services().cloned().collect();
        for service in services {
            let Some(bounds) = &service.fleet else {
                continue;
            };
            for (subject, count) in wanted(&service.id, bounds) {
                if self.is_due(&subject, count) {
                    self.order(subject, count, lease, holder).await;
                }
            }
        }
    }

    fn is_due(&self, subject: &Subject, count: u32) -> bool {
        let key = key(subject);
        let Some(ordered) = self.ordered.get(&key) else {
            return true;
        };
        let elapsed = ordered.at.elapsed();
        if ordered.count != count {
            return true;
        }
        if !ordered.is_accepted {
            return elapsed >= RETRY_AFTER;
        }
        elapsed >= REPEAT_AFTER && self.present(subject) != count
    }

    fn present(&self, (service, zone, market): &Subject) -> u32 {
        let entries = self.registry.live(service);
        let is_counted = |entry: &&Arc<verbenahead_relay::upstream::UpstreamEntry>| {
            entry.zone == *zone && entry.market == *market && entry.status() == UpstreamStatus::Live
        };
        entries.iter().filter(is_counted).count() as u32
    }

    async fn order(
        &mut self,
        subject: Subject,
        count: u32,
        lease: &DutyLease,
        holder: &DutyHolder,
    ) {
        let permit = match lease.permit() {
            Ok(permit) => permit,
            Err(reason) => {
                tracing::debug!(%reason, "order not given");
                return;
            }
        };
        let (service, zone, market) = subject.clone();
        let order = ReplicaOrder {
            service,
            zone,
            market,
            count,
        };
        let outcome = match permit.send(|_| self.orders.order(&order, holder)).await {
            Ok(outcome) => outcome,
            Err(failure) => DutyOutcome::Unknown(failure.to_string()),
        };
        tracing::info!(
            %order,
            present = self.present(&subject),
            fencing = holder.fencing.0,
            %outcome,
            "replicas ordered",
        );
        let ordered = Ordered {
            count,
            is_accepted: outcome == DutyOutcome::Accepted,
            at: Instant::now(),
        };
        self.ordered.insert(key(&subject), ordered);
    }
}

fn key((service, zone, market): &Subject) -> (ServiceId, AvailabilityZone, bool) {
    (
        service.clone(),
        zone.clone(),
        *market == Market::Reclaimable,
    )
}

fn wanted(service: &ServiceId, bounds: &FleetBounds) -> Vec<(Subject, u32)> {
    let mut wanted = Vec::new();
    for zone in bounds.zone_prices.keys() {
        let reclaimable = bounds.reclaimable_price.map_or(0, |_| 3.min(bounds.max));
        let on_demand = bounds.min.saturating_sub(reclaimable);
        for (market, count) in [
            (Market::Reclaimable, reclaimable),
            (Market::OnDemand, on_demand),
        ] {
            wanted.push(((service.clone(), zone.clone(), market), count));
        }
    }
    wanted
}
