//! Plans the number and mix of VMs of a service.
//!
//! The plan is level-triggered: it compares the running VMs with the wanted capacity and returns
//! the starts and stops of one round. The planned capacity covers the demand after the loss of any
//! one availability zone. Reclaimable VMs are preferred; on-demand VMs are started where
//! reclaimable ones are refused or too often reclaimed.

use std::time::Duration;

use verbenahead_core::{
    AvailabilityZone,
    units::{HourlyPrice, TokenRate},
};

/// `FleetMarket` is how a VM is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetMarket {
    /// The cloud may reclaim the VM.
    Reclaimable,
    /// The VM stays until it is stopped.
    OnDemand,
}

/// `Offer` is a kind of VM that can be requested, with its price, capacity and running VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Class of the VM.
    pub class: String,
    /// How the VM is paid for.
    pub market: FleetMarket,
    /// Price of one VM.
    pub price: HourlyPrice,
    /// Tokens per second that one VM sustains at the latency target.
    pub capacity: TokenRate,
    /// Observed reclaims per VM and hour.
    pub reclaims_per_hour: f64,
    /// Whether a start was refused recently and no further one may be tried yet.
    pub is_refused: bool,
    /// Number of running and starting VMs.
    pub running: u32,
}

/// `FleetOptions` configures the plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetOptions {
    /// Highest ratio of demand to capacity, between 0 and 1.
    pub max_load: f64,
    /// Excess over the wanted capacity, as a fraction of it, up to which no VM is stopped.
    pub shrink_margin: f64,
    /// Time from the start of a VM until it serves requests.
    pub start_time: Duration,
    /// Maximum number of VMs started in one round. Each start loads weights from the weight store,
    /// which many simultaneous starts would overload.
    pub max_starts: u32,
    /// Maximum number of VMs stopped in one round.
    pub max_stops: u32,
    /// Highest fraction of the wanted capacity on reclaimable VMs, between 0 and 1. Values of 1 and
    /// above set no limit.
    pub max_reclaimable: f64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            max_load: 0.8,
            shrink_margin: 0.15,
            start_time: Duration::from_secs(90),
            max_starts: 2,
            max_stops: 1,
            max_reclaimable: 1.0,
        }
    }
}

/// `FleetDemand` is the demand of a service and the limits of its fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetDemand {
    /// Demand, in tokens per second.
    pub tokens: TokenRate,
    /// Minimum number of VMs.
    pub min_vms: u32,
    /// Maximum number of VMs.
    pub max_vms: u32,
}

/// `FleetAction` is one change of the fleet. It holds the index of the offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FleetAction {
    /// Start a VM of this offer.
    Start(usize),
    /// Stop a VM of this offer gracefully.
    Stop(usize),
}

/// Plans the starts and stops of one round. The wanted capacity is the demand divided by
/// [`FleetOptions::max_load`]. VMs are stopped only in rounds that start none.
pub fn plan_fleet(
    demand: &FleetDemand,
    offers: &[Offer],
    options: &FleetOptions,
) -> Vec<FleetAction> {
    let mut fleet = Fleet::new(offers);
    let wanted = demand.tokens.0 / options.max_load.clamp(MIN_LOAD_RATIO, 1.0);
    let mut actions = Vec::new();
    while (actions.len() as u32) < options.max_starts && fleet.needs_more(demand, wanted) {
        let Some(offer) = fleet.best_start(wanted, options) else {
            break;
        };
        fleet.counts[offer] += 1;
        actions.push(FleetAction::Start(offer));
    }
    if !actions.is_empty() {
        return actions;
    }
    let min_capacity = wanted * (1.0 + options.shrink_margin);
    while (actions.len() as u32) < options.max_stops {
        let Some(offer) = fleet.best_stop(demand, min_capacity) else {
            break;
        };
        fleet.counts[offer] -= 1;
        actions.push(FleetAction::Stop(offer));
    }
    actions
}

/// Lower bound on [`FleetOptions::max_load`].
const MIN_LOAD_RATIO: f64 = 0.05;

struct Fleet<'a> {
    offers: &'a [Offer],
    counts: Vec<u32>,
}

impl<'a> Fleet<'a> {
    fn new(offers: &'a [Offer]) -> Self {
        let counts = offers.iter().map(|offer| offer.running).collect();
        Self { offers, counts }
    }

    fn needs_more(&self, demand: &FleetDemand, wanted: f64) -> bool {
        let count = self.vm_count();
        count < demand.max_vms && (count < demand.min_vms || self.worst_case_capacity() < wanted)
    }

    fn vm_count(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the capacity that remains after the loss of the largest zone.
    fn worst_case_capacity(&self) -> f64 {
        let zones = self
            .offers
            .iter()
            .map(|offer| self.zone_capacity(&offer.zone));
        self.total_capacity() - zones.fold(0.0, f64::max)
    }

    fn total_capacity(&self) -> f64 {
        self.capacity(|_| true)
    }

    /// Returns the capacity of a zone. It includes on-demand VMs, which are lost as well when the
    /// zone fails.
    fn zone_capacity(&self, zone: &AvailabilityZone) -> f64 {
        self.capacity(|offer| offer.zone == *zone)
    }

    fn capacity(&self, is_counted: impl Fn(&Offer) -> bool) -> f64 {
        let pairs = self.offers.iter().zip(&self.counts);
        pairs
            .filter(|(offer, _)| is_counted(offer))
            .map(|(offer, count)| offer.capacity.0 * f64::from(*count))
            .sum()
    }

    /// Returns the offer with the lowest price per added worst-case capacity. An offer that adds
    /// none, as when two zones are equally large, counts with a small gain that falls with the size
    /// of its zone.
    fn best_start(&mut self, wanted: f64, options: &FleetOptions) -> Option<usize> {
        let before = self.worst_case_capacity();
        let mut best: Option<(f64, usize)> = None;
        for index in 0..self.offers.len() {
            let offer = &self.offers[index];
            if offer.is_refused || !self.is_allowed(offer, wanted, options) {
                continue;
            }
            self.counts[index] += 1;
            let gain = self.worst_case_capacity() - before;
            self.counts[index] -= 1;
            let size = self.zone_capacity(&offer.zone) + offer.capacity.0;
            let counted_gain = gain.max(offer.capacity.0 * MIN_GAIN_RATIO / (1.0 + size / wanted));
            let score = effective_price(offer, options) / counted_gain.max(f64::MIN_POSITIVE);
            if best.is_none_or(|(known, _)| score < known) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn is_allowed(&self, offer: &Offer, wanted: f64, options: &FleetOptions) -> bool {
        if offer.market == FleetMarket::OnDemand || options.max_reclaimable >= 1.0 {
            return true;
        }
        let reclaimable = self.capacity(|known| known.market == FleetMarket::Reclaimable);
        reclaimable + offer.capacity.0 <= wanted * options.max_reclaimable
    }

    /// Returns the offer with the highest price per capacity of which a VM can be stopped without
    /// the worst-case capacity falling below `min_capacity`.
    fn best_stop(&mut self, demand: &FleetDemand, min_capacity: f64) -> Option<usize> {
        if self.vm_count() <= demand.min_vms {
            return None;
        }
        let mut best: Option<(f64, usize)> = None;
        for index in 0..self.offers.len() {
            if self.counts[index] == 0 {
                continue;
            }
            self.counts[index] -= 1;
            let is_enough = self.worst_case_capacity() >= min_capacity;
            self.counts[index] += 1;
            let offer = &self.offers[index];
            let price = offer.price.0 / offer.capacity.0.max(f64::MIN_POSITIVE);
            if is_enough && best.is_none_or(|(known, _)| price > known) {
                best = Some((price, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

/// Fraction of a VM's capacity that counts as a gain when the worst case does not change.
const MIN_GAIN_RATIO: f64 = 0.01;

/// Returns the price per hour of service. VMs are also paid for while they start, so frequent
/// reclaims raise the effective price.
fn effective_price(offer: &Offer, options: &FleetOptions) -> f64 {
    let starting = offer.reclaims_per_hour * options.start_time.as_secs_f64() / SECONDS_PER_HOUR;
    offer.price.0 / (1.0 - starting).max(MIN_SERVING_RATIO)
}

/// Lower bound on the fraction of its time in which a VM serves requests.
const MIN_SERVING_RATIO: f64 = 0.1;

const SECONDS_PER_HOUR: f64 = 3600.0;
