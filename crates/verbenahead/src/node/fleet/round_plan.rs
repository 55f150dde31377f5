//! Computes the steps of one round from the running VMs and the fleet plan of the manifest.

use verbenahead_core::{
    AvailabilityZone, HashMap,
    units::{HourlyPrice, TokenRate},
};
use verbenahead_manifest::{FleetPlan, VmClass};
use verbenahead_policy::{
    FleetAction, FleetDemand, FleetMarket, FleetOptions, Offer, OfferKey, plan_fleet,
};
use verbenahead_services::{Market, StartVm, VmRecord};

/// `FleetView` is the input of [`plan_round`].
pub struct FleetView<'a> {
    /// Plan of the service.
    pub plan: &'a FleetPlan,
    /// Availability zones of the deployment.
    pub zones: &'a [AvailabilityZone],
    /// VMs of the service that start or serve, without those that are leaving.
    pub vms: &'a [VmRecord],
    /// Requested starts whose VMs are not listed yet.
    pub pending: &'a [StartVm],
    /// Returns whether an offer was refused recently and is still in its backoff.
    pub is_refused: &'a dyn Fn(&OfferKey) -> bool,
}

/// `FleetStep` is one step towards the planned fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetStep {
    /// Start a VM of this offer.
    Start(OfferKey),
    /// Stop this VM gracefully.
    Stop(VmRecord),
}

/// Returns the steps of one round: starts up to `min_upstreams`, or stops down to `max_upstreams`.
///
/// A VM count between the two limits is kept, since a round does not know the demand. While a start
/// is pending, nothing is stopped, because its VM may be counted twice.
pub fn plan_round(view: &FleetView<'_>) -> Vec<FleetStep> {
    let counts = OfferCounts::new(view);
    let count = counts.running.values().sum::<u32>();
    if count < view.plan.min_upstreams {
        return counts.steps(view, view.plan.min_upstreams);
    }
    if count > view.plan.max_upstreams && view.pending.is_empty() {
        return counts.steps(view, view.plan.max_upstreams);
    }
    Vec::new()
}

/// Returns the offer (zone, class and market) of a VM.
pub fn vm_offer_key(vm: &VmRecord) -> OfferKey {
    OfferKey {
        zone: vm.zone.clone(),
        class: vm.class.clone(),
        market: policy_market(vm.market),
    }
}

/// Returns the offer (zone, class and market) of a start.
pub fn start_offer_key(start: &StartVm) -> OfferKey {
    OfferKey {
        zone: start.zone.clone(),
        class: start.class.clone(),
        market: policy_market(start.market),
    }
}

/// Converts a market to the platform's type.
pub fn platform_market(market: FleetMarket) -> Market {
    match market {
        FleetMarket::Reclaimable => Market::Reclaimable,
        FleetMarket::OnDemand => Market::OnDemand,
    }
}

fn policy_market(market: Market) -> FleetMarket {
    match market {
        Market::Reclaimable => FleetMarket::Reclaimable,
        Market::OnDemand => FleetMarket::OnDemand,
    }
}

/// Price of VMs whose class is not in the plan. It makes them the first to be stopped.
const UNPLANNED_PRICE: HourlyPrice = HourlyPrice(f64::MAX);

/// Capacity of VMs whose class is not in the plan.
const UNPLANNED_CAPACITY: TokenRate = TokenRate(1.0);

struct OfferCounts {
    running: HashMap<OfferKey, u32>,
}

impl OfferCounts {
    fn new(view: &FleetView<'_>) -> Self {
        let mut running = HashMap::default();
        let vms = view.vms.iter().map(vm_offer_key);
        for key in vms.chain(view.pending.iter().map(start_offer_key)) {
            *running.entry(key).or_default() += 1;
        }
        Self { running }
    }

    fn steps(mut self, view: &FleetView<'_>, target: u32) -> Vec<FleetStep> {
        let (keys, offers): (Vec<_>, Vec<_>) = self.offers(view).into_iter().unzip();
        let demand = FleetDemand {
            tokens: TokenRate(0.0),
            min_vms: target,
            max_vms: target,
        };
        let actions = plan_fleet(&demand, &offers, &FleetOptions::default());
        let step = |action| match action {
            FleetAction::Start(index) => {
                let key: &OfferKey = &keys[index];
                Some(FleetStep::Start(key.clone()))
            }
            FleetAction::Stop(index) => last_vm_of_offer(view, &keys[index]).map(FleetStep::Stop),
        };
        actions.into_iter().filter_map(step).collect()
    }

    /// Returns the offers of the plan by ascending price per capacity, then the offers of running
    /// VMs that are not in the plan.
    fn offers(&mut self, view: &FleetView<'_>) -> Vec<(OfferKey, Offer)> {
        let mut offers = Vec::new();
        for class in &view.plan.classes {
            for zone in view.zones {
                for market in [FleetMarket::Reclaimable, FleetMarket::OnDemand] {
                    offers.push(self.offer(view, class, zone, market));
                }
            }
        }
        offers.sort_by(|(_, a), (_, b)| {
            let price = |offer: &Offer| offer.price.0 / offer.capacity.0;
            price(a).total_cmp(&price(b))
        });
        let unplanned = self.running.drain().map(unplanned_offer);
        offers.extend(unplanned);
        offers
    }

    fn offer(
        &mut self,
        view: &FleetView<'_>,
        class: &VmClass,
        zone: &AvailabilityZone,
        market: FleetMarket,
    ) -> (OfferKey, Offer) {
        let key = OfferKey {
            zone: zone.clone(),
            class: class.name.clone(),
            market,
        };
        let price = match market {
            FleetMarket::Reclaimable => class.reclaimable_price_in(zone),
            FleetMarket::OnDemand => class.on_demand_price_in(zone),
        };
        let is_refused = (view.is_refused)(&key);
        let running = self.running.remove(&key).unwrap_or_default();
        let offer = new_offer(&key, price, class.capacity, is_refused, running);
        (key, offer)
    }
}

fn unplanned_offer((key, running): (OfferKey, u32)) -> (OfferKey, Offer) {
    let offer = new_offer(&key, UNPLANNED_PRICE, UNPLANNED_CAPACITY, true, running);
    (key, offer)
}

fn new_offer(
    key: &OfferKey,
    price: HourlyPrice,
    capacity: TokenRate,
    is_refused: bool,
    running: u32,
) -> Offer {
    Offer {
        zone: key.zone.clone(),
        class: key.class.clone(),
        market: key.market,
        price,
        capacity,
        reclaims_per_hour: 0.0,
        is_refused,
        running,
    }
}

fn last_vm_of_offer(view: &FleetView<'_>, key: &OfferKey) -> Option<VmRecord> {
    let vms = view.vms.iter().filter(|vm| vm_offer_key(vm) == *key);
    vms.max_by(|a, b| a.vm.cmp(&b.vm)).cloned()
}
