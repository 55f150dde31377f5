//! Orders replicas for the services whose fleet size the relaying nodes choose.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;
use verbenahead_core::{AvailabilityZone, ServiceId};
use verbenahead_manifest::{FleetBounds, RoutedService};
use verbenahead_membership::SharedRoster;
use verbenahead_policy::{
    DesiredReplicas, DesiredReplicasOptions, FleetMix, MixBounds, MixOptions, ZoneMix, ZoneState,
};
use verbenahead_relay::{
    ReplicaSelector, RouteView, UpstreamRegistry,
    clock::policy_now,
    upstream::{UpstreamEntry, UpstreamStatus},
};
use verbenahead_services::{DutyOutcome, FleetOrders, Market, ReplicaOrder};

use crate::relay_node::{duty_epoch::DutyEpoch, fleet_demand::FleetDemandView};

/// Time beyond the boot time after which an order is sent again if its replicas are not registered.
const REPEAT_SLACK: Duration = Duration::from_secs(2);

/// Delay before an order that failed, or reclaimable replicas that were refused for lack of
/// capacity, are ordered again.
const RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Time after a refusal in which no zone is asked for more reclaimable replicas than it has.
const RECENT_REFUSAL_PERIOD: Duration = Duration::from_millis(3_000);

/// Time after the start of a node in which it sends no orders. Replicas that start together with
/// the nodes are registered by then; an order whose count leaves them out would stop them.
const START_DELAY: Duration = Duration::from_secs(3);

/// `ReplicaGroup` is the replicas of a service in one zone and market. An order sets their number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaGroup {
    service: ServiceId,
    zone: AvailabilityZone,
    is_reclaimable: bool,
}

impl ReplicaGroup {
    fn market(&self) -> Market {
        match self.is_reclaimable {
            true => Market::Reclaimable,
            false => Market::OnDemand,
        }
    }
}

/// `LastOrder` is the last order for a replica group.
#[derive(Debug, Clone, Copy)]
struct LastOrder {
    count: u32,
    result: OrderResult,
    answered_at: Instant,
}

/// `OrderResult` is the result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderResult {
    Accepted,
    /// The platform has no capacity at present.
    NoCapacity,
    /// The platform did not execute the order, or its outcome is unknown.
    Failed,
}

/// `FleetDutyParts` are what a `FleetDuty` is built from.
#[derive(Clone)]
pub struct FleetDutyParts {
    /// Routes in force.
    pub routes: RouteView,
    /// Known replicas.
    pub registry: Arc<UpstreamRegistry>,
    /// Choice of replicas, which knows the demand of this node.
    pub replica_selector: Arc<ReplicaSelector>,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Receiver of the orders.
    pub orders: Arc<dyn FleetOrders>,
    /// Start of the node.
    pub started_at: Instant,
}

/// `FleetDuty` orders replicas in one epoch of the lease.
pub struct FleetDuty {
    parts: FleetDutyParts,
    last_orders: BTreeMap<ReplicaGroup, LastOrder>,
    /// Time of the last refusal of reclaimable replicas, by service.
    refused_at: BTreeMap<ServiceId, Instant>,
    mixes: BTreeMap<ServiceId, FleetMix>,
    demand: FleetDemandView,
    desired: BTreeMap<ServiceId, DesiredReplicas>,
}

impl FleetDuty {
    /// Builds the duty with no orders sent.
    pub fn new(parts: FleetDutyParts) -> Self {
        Self {
            parts,
            last_orders: BTreeMap::new(),
            refused_at: BTreeMap::new(),
            mixes: BTreeMap::new(),
            demand: FleetDemandView::default(),
            desired: BTreeMap::new(),
        }
    }

    /// Sends the orders that are due.
    pub async fn step(&mut self, epoch: &DutyEpoch) {
        if self.parts.started_at.elapsed() < START_DELAY {
            return;
        }
        let Some(routes) = self.parts.routes.borrow().clone() else {
            return;
        };
        let services: Vec<Arc<RoutedService>> = routes.services().cloned().collect();
        for service in services {
            if let Some(bounds) = &service.fleet {
                self.adjust_fleet(&service.id, bounds, epoch).await;
            }
        }
    }

    async fn adjust_fleet(&mut self, service: &ServiceId, bounds: &FleetBounds, epoch: &DutyEpoch) {
        // A refusal changes the plan, so the second round orders the replicas that replace those
        // that were refused.
        for _ in 0..MAX_ROUNDS {
            let mut has_refusal = false;
            for (group, count) in self.due_orders(service, bounds) {
                if has_refusal && group.is_reclaimable {
                    continue;
                }
                let outcome = self.order(group, count, epoch).await;
                has_refusal |= outcome == Some(OrderResult::NoCapacity);
            }
            if !has_refusal {
                return;
            }
        }
    }

    /// Returns the orders that are due, those that add replicas first.
    fn due_orders(
        &mut self,
        service: &ServiceId,
        bounds: &FleetBounds,
    ) -> Vec<(ReplicaGroup, u32)> {
        let zones = self.zone_states(service, bounds);
        let mix_bounds = MixBounds {
            min: bounds.min,
            max: bounds.max,
            has_reclaimable: bounds.reclaimable_price.is_some(),
            boot_time: bounds.boot_time,
        };
        let needed = self.desired_replicas(service);
        let mix = self.mixes.entry(service.clone()).or_default();
        let plan = mix.plan(needed, &mix_bounds, &zones, policy_now());
        let targets = plan
            .into_iter()
            .flat_map(|(zone, zone_mix)| group_targets(service, zone, zone_mix));
        let boot_time = bounds.boot_time;
        let mut due: Vec<_> = targets
            .filter(|(group, count)| self.is_due(group, *count, boot_time))
            .collect();
        due.sort_by_key(|(group, count)| {
            let live = self.live_count(group);
            (*count < live, !group.is_reclaimable)
        });
        due
    }

    fn zone_states(
        &self,
        service: &ServiceId,
        bounds: &FleetBounds,
    ) -> BTreeMap<AvailabilityZone, ZoneState> {
        let zone_state = |(zone, price): (&AvailabilityZone, &f64)| {
            let group = |is_reclaimable| ReplicaGroup {
                service: service.clone(),
                zone: zone.clone(),
                is_reclaimable,
            };
            let reclaimable = self.live_count(&group(true));
            let last = self.last_orders.get(&group(true));
            let pending = last.map_or(0, |last| {
                let is_pending = last.result == OrderResult::Accepted
                    && last.answered_at.elapsed() < bounds.boot_time + REPEAT_SLACK;
                if is_pending {
                    last.count.saturating_sub(reclaimable)
                } else {
                    0
                }
            });
            let state = ZoneState {
                price: *price,
                reclaimable,
                on_demand: self.live_count(&group(false)),
                pending_reclaimable: pending,
                is_reclaimable_unavailable: last
                    .is_some_and(|last| last.result == OrderResult::NoCapacity),
                has_recent_refusal: self.has_recent_refusal(service),
            };
            (zone.clone(), state)
        };
        bounds.zone_prices.iter().map(zone_state).collect()
    }

    fn is_due(&self, group: &ReplicaGroup, count: u32, boot_time: Duration) -> bool {
        let Some(last) = self.last_orders.get(group) else {
            return count != self.live_count(group);
        };
        let elapsed = last.answered_at.elapsed();
        match last.result {
            OrderResult::Accepted => {
                let is_missing = self.live_count(group) != count;
                last.count != count || (is_missing && elapsed >= boot_time + REPEAT_SLACK)
            }
            OrderResult::NoCapacity if count <= self.live_count(group) => false,
            OrderResult::NoCapacity => self.is_retry_due(&group.service),
            OrderResult::Failed => elapsed >= RETRY_DELAY,
        }
    }

    /// Returns how many replicas a service should have for the demand at all nodes.
    fn desired_replicas(&mut self, service: &ServiceId) -> u32 {
        let now = policy_now();
        let live = self.fleet_replicas(service);
        let per_replica = self.parts.registry.prefill_rate(service).rate();
        let demand = self.demand.rate(
            service,
            &self.parts.replica_selector,
            &self.parts.roster.lock(),
            now,
        );
        let ordered_for = self.ordered_for(service);
        let desired = self.desired.entry(service.clone()).or_insert_with(|| {
            DesiredReplicas::new(DesiredReplicasOptions::default(), ordered_for, now)
        });
        let before = desired.count();
        if demand.0 > 0.0 {
            desired.update(demand, per_replica, now);
        } else {
            desired.raise_to(ordered_for);
        }
        let needed = desired.count();
        if needed != before {
            tracing::info!(
                %service,
                needed,
                before,
                demand = demand.0 as u64,
                tokens_per_replica = per_replica.0 as u64,
                live = live.len(),
                "need for replicas changed",
            );
        }
        needed
    }

    /// Returns the number of desired replicas for which the live ones were ordered. For each
    /// desired replica, `reclaimable_factor` reclaimable ones are ordered.
    fn ordered_for(&self, service: &ServiceId) -> u32 {
        let live = self.fleet_replicas(service);
        let is_on_demand = |entry: &&Arc<UpstreamEntry>| entry.market == Market::OnDemand;
        let on_demand = live.iter().filter(is_on_demand).count();
        let reclaimable = (live.len() - on_demand) as f64;
        let factor = MixOptions::default().reclaimable_factor;
        on_demand.max((reclaimable / factor) as usize) as u32
    }

    /// Returns whether it is time to order reclaimable replicas again that were refused. A refusal
    /// in one zone counts for all zones.
    fn is_retry_due(&self, service: &ServiceId) -> bool {
        let refused = self.refused_at.get(service);
        refused.is_none_or(|at| at.elapsed() >= RETRY_DELAY)
    }

    /// Returns whether reclaimable replicas were refused within `RECENT_REFUSAL_PERIOD`. A reclaim
    /// often leaves no capacity in any zone, so the other zones are not asked for more than they
    /// have.
    fn has_recent_refusal(&self, service: &ServiceId) -> bool {
        let refused = self.refused_at.get(service);
        refused.is_some_and(|at| at.elapsed() < RECENT_REFUSAL_PERIOD)
    }

    /// Returns the live replicas that orders are about. During a rollout the platform starts those of the
    /// target besides, so that they neither stand in for others nor are surplus.
    fn fleet_replicas(&self, service: &ServiceId) -> Vec<Arc<UpstreamEntry>> {
        let mut live = self.parts.registry.live(service);
        let rollouts = self.parts.replica_selector.rollouts();
        live.retain(|entry| rollouts.counts_in_fleet(entry));
        live
    }

    fn live_count(&self, group: &ReplicaGroup) -> u32 {
        let entries = self.fleet_replicas(&group.service);
        let is_counted = |entry: &&Arc<UpstreamEntry>| {
            entry.zone == group.zone
                && entry.market == group.market()
                && entry.status() == UpstreamStatus::Live
        };
        entries.iter().filter(is_counted).count() as u32
    }

    async fn order(
        &mut self,
        group: ReplicaGroup,
        count: u32,
        epoch: &DutyEpoch,
    ) -> Option<OrderResult> {
        let permit = match epoch.permit() {
            Ok(permit) => permit,
            Err(reason) => {
                tracing::debug!(%reason, "lease does not permit the order");
                return None;
            }
        };
        let order = ReplicaOrder {
            service: group.service.clone(),
            zone: group.zone.clone(),
            market: group.market(),
            count,
        };
        let fencing = permit.fencing();
        let orders = &self.parts.orders;
        let sent = permit.send(|holder| {
            let order = &order;
            async move { orders.order(order, &holder).await }
        });
        let outcome = match sent.await {
            Ok(outcome) => outcome,
            Err(failure) => DutyOutcome::Unknown(failure.to_string()),
        };
        tracing::info!(
            %order,
            present = self.live_count(&group),
            fencing = fencing.0,
            %outcome,
            "replicas ordered",
        );
        let result = match outcome {
            DutyOutcome::Accepted => OrderResult::Accepted,
            DutyOutcome::NoCapacity(_) => OrderResult::NoCapacity,
            DutyOutcome::NotDone(_) | DutyOutcome::Unknown(_) => OrderResult::Failed,
        };
        match result {
            OrderResult::NoCapacity if group.is_reclaimable => {
                self.refused_at
                    .insert(group.service.clone(), Instant::now());
            }
            OrderResult::Accepted if group.is_reclaimable && count > self.live_count(&group) => {
                self.refused_at.remove(&group.service);
            }
            _ => {}
        }
        let last = LastOrder {
            count,
            result,
            answered_at: Instant::now(),
        };
        self.last_orders.insert(group, last);
        Some(result)
    }
}

/// Most rounds of orders in one step.
const MAX_ROUNDS: u32 = 2;

/// Returns the two replica groups of a zone with their planned counts.
fn group_targets(
    service: &ServiceId,
    zone: AvailabilityZone,
    mix: ZoneMix,
) -> [(ReplicaGroup, u32); 2] {
    let group = |is_reclaimable| ReplicaGroup {
        service: service.clone(),
        zone: zone.clone(),
        is_reclaimable,
    };
    [
        (group(true), mix.reclaimable),
        (group(false), mix.on_demand),
    ]
}
