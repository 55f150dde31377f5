//! The steps of one round, computed from what runs and what the manifest plans.

use verbenahead_core::{
    AvailabilityZone, HashMap,
    units::{HourlyPrice, TokenRate},
};
use verbenahead_manifest::{FleetPlan, VmClass};
use verbenahead_policy::{
    FleetAction, FleetDemand, FleetMarket, FleetOptions, Offer, OfferKey, plan_fleet,
};
use verbenahead_services::{Market, StartVm, VmRecord};

/// `FleetView` is what a round is computed from.
pub struct FleetView<'a> {
    /// Plan of the service.
    pub plan: &'a FleetPlan,
    /// Availability zones of the deployment.
    pub zones: &'a [AvailabilityZone],
    /// VMs of the service that start or serve. Those that leave are not among them.
    pub vms: &'a [VmRecord],
    /// Starts whose VMs are not on the list yet.
    pub pending: &'a [StartVm],
    /// Returns whether a kind of VM was refused so lately that it is not tried.
    pub is_refused: &'a dyn Fn(&OfferKey) -> bool,
}

/// `FleetStep` is a step towards the planned fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetStep {
    /// Start a VM of this kind.
    Start(OfferKey),
    /// Stop this VM gracefully.
    Stop(VmRecord),
}

/// Returns the steps of one round: starts up to the fewest planned upstreams, or stops down to
/// the most.
///
/// VMs between the two bounds stay, since the round knows no demand that they could exceed. While
/// a start is pending, nothing is stopped: its VM may be counted twice.
pub fn plan_round(view: &FleetView<'_>) -> Vec<FleetStep> {
    let kinds = Kinds::new(view);
    let count = kinds.running.values().sum::<u32>();
    if count < view.plan.min_upstreams {
        return kinds.steps(view, view.plan.min_upstreams);
    }
    if count > view.plan.max_upstreams && view.pending.is_empty() {
        return kinds.steps(view, view.plan.max_upstreams);
    }
    Vec::new()
}

/// Returns the kind of a VM.
pub fn kind_of_vm(vm: &VmRecord) -> OfferKey {
    OfferKey {
        zone: vm.zone.clone(),
        class: vm.class.clone(),
        market: policy_market(vm.market),
    }
}

/// Returns the kind of a start.
pub fn kind_of_start(start: &StartVm) -> OfferKey {
    OfferKey {
        zone: start.zone.clone(),
        class: start.class.clone(),
        market: policy_market(start.market),
    }
}

/// Returns the platform's word for a market.
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

/// Price of VMs whose class is not planned. They are the first to go.
const UNPLANNED_PRICE: HourlyPrice = HourlyPrice(f64::MAX);

/// Capacity of VMs whose class is not planned.
const UNPLANNED_CAPACITY: TokenRate = TokenRate(1.0);

struct Kinds {
    running: HashMap<OfferKey, u32>,
}

impl Kinds {
    fn new(view: &FleetView<'_>) -> Self {
        let mut running = HashMap::default();
        let vms = view.vms.iter().map(kind_of_vm);
        for kind in vms.chain(view.pending.iter().map(kind_of_start)) {
            *running.entry(kind).or_default() += 1;
        }
        Self { running }
    }

    fn steps(mut self, view: &FleetView<'_>, wanted: u32) -> Vec<FleetStep> {
        let (keys, offers): (Vec<_>, Vec<_>) = self.offers(view).into_iter().unzip();
        let demand = FleetDemand {
            tokens: TokenRate(0.0),
            min_vms: wanted,
            max_vms: wanted,
        };
        let actions = plan_fleet(&demand, &offers, &FleetOptions::default());
        let step = |action| match action {
            FleetAction::Start(index) => {
                let key: &OfferKey = &keys[index];
                Some(FleetStep::Start(key.clone()))
            }
            FleetAction::Stop(index) => last_vm(view, &keys[index]).map(FleetStep::Stop),
        };
        actions.into_iter().filter_map(step).collect()
    }

    /// Returns all kinds of VM, those that can be asked for first and the cheapest of them first.
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

fn last_vm(view: &FleetView<'_>, key: &OfferKey) -> Option<VmRecord> {
    let vms = view.vms.iter().filter(|vm| kind_of_vm(vm) == *key);
    vms.max_by(|a, b| a.vm.cmp(&b.vm)).cloned()
}
