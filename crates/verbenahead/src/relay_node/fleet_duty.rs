//! Orders replicas where the size of a fleet is ours to choose.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;
use verbenahead_core::{AvailabilityZone, ServiceId};
use verbenahead_manifest::{FleetBounds, RoutedService};
use verbenahead_policy::{
    DesiredReplicas, DesiredReplicasOptions, FleetMix, MixBounds, MixOptions, ZoneMix, ZoneState,
};
use verbenahead_relay::{
    ReplicaSelector, RouteView, UpstreamRegistry,
    clock::policy_now,
    upstream::{UpstreamEntry, UpstreamStatus},
};
use verbenahead_services::{DutyHolder, DutyOutcome, FleetOrders, Market, ReplicaOrder};

use crate::relay_node::{
    duty_lease::DutyLease, fleet_demand::FleetDemandView, reporter::SharedRoster,
};

/// Time beyond the boot time after which an order is repeated whose replicas are not there.
const REPEAT_SLACK: Duration = Duration::from_secs(2);

/// Time after which an order is tried again that failed, or for which nothing was to be had.
const RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Time after a refusal for which no zone is asked for more reclaimable replicas than it has.
const SCARCE_FOR: Duration = Duration::from_millis(3_000);

/// Time after the start of a node in which it gives no orders. Replicas that start with the nodes
/// are registered by then; an order that does not count them would take them away.
const FIRST_LOOK: Duration = Duration::from_secs(3);

/// `Subject` is what an order is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    service: ServiceId,
    zone: AvailabilityZone,
    is_reclaimable: bool,
}

impl Subject {
    fn market(&self) -> Market {
        match self.is_reclaimable {
            true => Market::Reclaimable,
            false => Market::OnDemand,
        }
    }
}

/// `Ordered` is the last order of a subject.
#[derive(Debug, Clone, Copy)]
struct Ordered {
    count: u32,
    outcome: OrderState,
    at: Instant,
}

/// `OrderState` is what became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    Accepted,
    NoneToBeHad,
    Failed,
}

/// `FleetDuty` orders replicas while the node holds the lease.
pub struct FleetDuty {
    routes: RouteView,
    registry: Arc<UpstreamRegistry>,
    orders: Arc<dyn FleetOrders>,
    ordered: BTreeMap<Subject, Ordered>,
    /// When reclaimable replicas of a service were refused last.
    refused_at: BTreeMap<ServiceId, Instant>,
    mixes: BTreeMap<ServiceId, FleetMix>,
    replica_selector: Arc<ReplicaSelector>,
    roster: SharedRoster,
    demand: FleetDemandView,
    needs: BTreeMap<ServiceId, DesiredReplicas>,
    started: Instant,
}

impl FleetDuty {
    /// Builds the duty.
    pub fn new(
        routes: RouteView,
        registry: Arc<UpstreamRegistry>,
        replica_selector: Arc<ReplicaSelector>,
        roster: SharedRoster,
        orders: Arc<dyn FleetOrders>,
    ) -> Self {
        Self {
            routes,
            registry,
            orders,
            ordered: BTreeMap::new(),
            refused_at: BTreeMap::new(),
            mixes: BTreeMap::new(),
            replica_selector,
            roster,
            demand: FleetDemandView::default(),
            needs: BTreeMap::new(),
            started: Instant::now(),
        }
    }

    /// Forgets the orders, because another node gives them now.
    pub fn rest(&mut self) {
        self.ordered.clear();
        self.mixes.clear();
        self.needs.clear();
        self.demand = FleetDemandView::default();
    }

    /// Gives the orders that are due.
    pub async fn step(&mut self, lease: &DutyLease, holder: &DutyHolder) {
        if self.started.elapsed() < FIRST_LOOK {
            return;
        }
        let Some(routes) = self.routes.borrow().clone() else {
            return;
        };
        let services: Vec<Arc<RoutedService>> = routes.services().cloned().collect();
        for service in services {
            if let Some(bounds) = &service.fleet {
                self.keep(&service.id, bounds, lease, holder).await;
            }
        }
    }

    async fn keep(
        &mut self,
        service: &ServiceId,
        bounds: &FleetBounds,
        lease: &DutyLease,
        holder: &DutyHolder,
    ) {
        // A refusal changes the plan, so the second round asks for what stands in.
        for _ in 0..ROUNDS {
            let mut has_refusal = false;
            for (subject, count) in self.due(service, bounds) {
                if has_refusal && subject.is_reclaimable {
                    continue;
                }
                let outcome = self.order(subject, count, lease, holder).await;
                has_refusal |= outcome == Some(OrderState::NoneToBeHad);
            }
            if !has_refusal {
                return;
            }
        }
    }

    /// Returns the orders that are due, those for more replicas first.
    fn due(&mut self, service: &ServiceId, bounds: &FleetBounds) -> Vec<(Subject, u32)> {
        let zones = self.zones(service, bounds);
        let mix_bounds = MixBounds {
            min: bounds.min,
            max: bounds.max,
            has_reclaimable: bounds.reclaimable_price.is_some(),
            boot_time: bounds.boot_time,
        };
        let needed = self.needed(service);
        let mix = self.mixes.entry(service.clone()).or_default();
        let plan = mix.plan(needed, &mix_bounds, &zones, policy_now());
        let subjects = plan
            .into_iter()
            .flat_map(|(zone, mix)| subjects(service, zone, mix));
        let boot_time = bounds.boot_time;
        let mut due: Vec<_> = subjects
            .filter(|(subject, count)| self.is_due(subject, *count, boot_time))
            .collect();
        due.sort_by_key(|(subject, count)| {
            let present = self.present(subject);
            (*count < present, !subject.is_reclaimable)
        });
        due
    }

    fn zones(
        &self,
        service: &ServiceId,
        bounds: &FleetBounds,
    ) -> BTreeMap<AvailabilityZone, ZoneState> {
        let zone = |(zone, price): (&AvailabilityZone, &f64)| {
            let subject = |is_reclaimable| Subject {
                service: service.clone(),
                zone: zone.clone(),
                is_reclaimable,
            };
            let reclaimable = self.present(&subject(true));
            let ordered = self.ordered.get(&subject(true));
            let coming = ordered.map_or(0, |ordered| {
                let is_coming = ordered.outcome == OrderState::Accepted
                    && ordered.at.elapsed() < bounds.boot_time + REPEAT_SLACK;
                if is_coming {
                    ordered.count.saturating_sub(reclaimable)
                } else {
                    0
                }
            });
            let state = ZoneState {
                price: *price,
                reclaimable,
                on_demand: self.present(&subject(false)),
                pending_reclaimable: coming,
                is_reclaimable_unavailable: ordered
                    .is_some_and(|o| o.outcome == OrderState::NoneToBeHad),
                has_recent_refusal: self.is_scarce(service),
            };
            (zone.clone(), state)
        };
        bounds.zone_prices.iter().map(zone).collect()
    }

    fn is_due(&self, subject: &Subject, count: u32, boot_time: Duration) -> bool {
        let Some(ordered) = self.ordered.get(subject) else {
            return count != self.present(subject);
        };
        let elapsed = ordered.at.elapsed();
        match ordered.outcome {
            OrderState::Accepted => {
                let is_missing = self.present(subject) != count;
                ordered.count != count || (is_missing && elapsed >= boot_time + REPEAT_SLACK)
            }
            OrderState::NoneToBeHad if count <= self.present(subject) => false,
            OrderState::NoneToBeHad => self.may_probe(&subject.service),
            OrderState::Failed => elapsed >= RETRY_AFTER,
        }
    }

    /// Returns how many replicas a service needs, by the demand at all nodes.
    fn needed(&mut self, service: &ServiceId) -> u32 {
        let now = policy_now();
        let live = self.registry.live(service);
        let per_replica = self.registry.prefill_rate(service).rate();
        let demand = self
            .demand
            .rate(service, &self.replica_selector, &self.roster.lock(), now);
        let present = self.sized_for(service);
        let need = self.needs.entry(service.clone()).or_insert_with(|| {
            DesiredReplicas::new(DesiredReplicasOptions::default(), present, now)
        });
        let before = need.count();
        if demand.0 > 0.0 {
            need.update(demand, per_replica, now);
        } else {
            need.raise_to(present);
        }
        let needed = need.count();
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

    /// Returns the need for which the replicas that are there were ordered.
    fn sized_for(&self, service: &ServiceId) -> u32 {
        let live = self.registry.live(service);
        let is_on_demand = |entry: &&Arc<UpstreamEntry>| entry.market == Market::OnDemand;
        let on_demand = live.iter().filter(is_on_demand).count();
        let reclaimable = (live.len() - on_demand) as f64;
        let surplus = MixOptions::default().reclaimable_factor;
        on_demand.max((reclaimable / surplus) as usize) as u32
    }

    /// Returns whether it is time to ask again for reclaimable replicas that were refused. One
    /// refusal speaks for all zones.
    fn may_probe(&self, service: &ServiceId) -> bool {
        let refused = self.refused_at.get(service);
        refused.is_none_or(|at| at.elapsed() >= RETRY_AFTER)
    }

    /// Returns whether reclaimable replicas were refused of late. A reclaim often leaves none to
    /// be had anywhere, so the other zones are not asked for more than they have.
    fn is_scarce(&self, service: &ServiceId) -> bool {
        let refused = self.refused_at.get(service);
        refused.is_some_and(|at| at.elapsed() < SCARCE_FOR)
    }

    fn present(&self, subject: &Subject) -> u32 {
        let entries = self.registry.live(&subject.service);
        let is_counted = |entry: &&Arc<UpstreamEntry>| {
            entry.zone == subject.zone
                && entry.market == subject.market()
                && entry.status() == UpstreamStatus::Live
        };
        entries.iter().filter(is_counted).count() as u32
    }

    async fn order(
        &mut self,
        subject: Subject,
        count: u32,
        lease: &DutyLease,
        holder: &DutyHolder,
    ) -> Option<OrderState> {
        let permit = match lease.permit() {
            Ok(permit) => permit,
            Err(reason) => {
                tracing::debug!(%reason, "order not given");
                return None;
            }
        };
        let order = ReplicaOrder {
            service: subject.service.clone(),
            zone: subject.zone.clone(),
            market: subject.market(),
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
        let state = match outcome {
            DutyOutcome::Accepted => OrderState::Accepted,
            DutyOutcome::NoneToBeHad(_) => OrderState::NoneToBeHad,
            DutyOutcome::NotDone(_) | DutyOutcome::Unknown(_) => OrderState::Failed,
        };
        match state {
            OrderState::NoneToBeHad if subject.is_reclaimable => {
                self.refused_at
                    .insert(subject.service.clone(), Instant::now());
            }
            OrderState::Accepted if subject.is_reclaimable && count > self.present(&subject) => {
                self.refused_at.remove(&subject.service);
            }
            _ => {}
        }
        let ordered = Ordered {
            count,
            outcome: state,
            at: Instant::now(),
        };
        self.ordered.insert(subject, ordered);
        Some(state)
    }
}

/// Rounds of orders in one step.
const ROUNDS: u32 = 2;

fn subjects(service: &ServiceId, zone: AvailabilityZone, mix: ZoneMix) -> [(Subject, u32); 2] {
    let subject = |is_reclaimable| Subject {
        service: service.clone(),
        zone: zone.clone(),
        is_reclaimable,
    };
    [
        (subject(true), mix.reclaimable),
        (subject(false), mix.on_demand),
    ]
}
