//! The number and mix of VMs that a service needs.
//!
//! The plan is level-triggered: from what runs now and what is wanted, it gives the starts and
//! stops of one round. It holds the demand with any one zone gone, buys reclaimable VMs where
//! that is enough, and on-demand VMs where reclaimable ones are refused or reclaimed too often.

use std::time::Duration;

use verbenahead_core::{
    AvailabilityZone,
    units::{HourlyPrice, TokenRate},
};

/// `FleetMarket` is how a VM is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetMarket {
    /// The cloud may take the VM back.
    Reclaimable,
    /// The VM stays until it is stopped.
    OnDemand,
}

/// `Offer` is a kind of VM that can be asked for, with what is known of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Class of the VM.
    pub class: String,
    /// How it is paid for.
    pub market: FleetMarket,
    /// Price.
    pub price: HourlyPrice,
    /// Tokens per second that one VM sustains at the latency target.
    pub capacity: TokenRate,
    /// Reclaims per VM and hour that were observed.
    pub reclaims_per_hour: f64,
    /// Whether a start was refused so lately that another is not tried yet.
    pub is_refused: bool,
    /// VMs that run or start.
    pub running: u32,
}

/// `FleetOptions` tune the plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetOptions {
    /// Part of the capacity that the demand may take, between 0 and 1.
    pub max_load: f64,
    /// Part of the wanted capacity by which a fleet may exceed it before VMs are stopped.
    pub shrink_margin: f64,
    /// Time that a started VM takes until it serves.
    pub start_time: Duration,
    /// Most VMs that are started in one round, so that the weight store is not overrun.
    pub max_starts: u32,
    /// Most VMs that are stopped in one round.
    pub max_stops: u32,
    /// Part of the capacity that may be reclaimable, between 0 and 1.
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

/// `FleetDemand` is what a service needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetDemand {
    /// Tokens per second that are asked for.
    pub tokens: TokenRate,
    /// Fewest VMs.
    pub min_vms: u32,
    /// Most VMs.
    pub max_vms: u32,
}

/// `FleetAction` is a step towards the wanted fleet. The number is the index of the offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FleetAction {
    /// Start a VM of this offer.
    Start(usize),
    /// Stop a VM of this offer gracefully.
    Stop(usize),
}

/// Plans the starts and stops of one round.
pub fn plan_fleet(
    demand: &FleetDemand,
    offers: &[Offer],
    options: &FleetOptions,
) -> Vec<FleetAction> {
    let mut fleet = Fleet::new(offers);
    let wanted = demand.tokens.0 / options.max_load.clamp(MIN_LOAD, 1.0);
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
    let kept = wanted * (1.0 + options.shrink_margin);
    while (actions.len() as u32) < options.max_stops {
        let Some(offer) = fleet.best_stop(demand, kept) else {
            break;
        };
        fleet.counts[offer] -= 1;
        actions.push(FleetAction::Stop(offer));
    }
    actions
}

/// Smallest part of the capacity that may be planned for.
const MIN_LOAD: f64 = 0.05;

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
        let vms = self.vms();
        vms < demand.max_vms && (vms < demand.min_vms || self.worst_case() < wanted)
    }

    fn vms(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the capacity that is left when the zone with the most of it is gone.
    fn worst_case(&self) -> f64 {
        let zones = self.offers.iter().map(|offer| self.zone_loss(&offer.zone));
        self.total() - zones.fold(0.0, f64::max)
    }

    fn total(&self) -> f64 {
        self.capacity(|_| true)
    }

    /// Returns the capacity that is lost when a zone is reclaimed; on-demand VMs there are lost
    /// too when the zone fails.
    fn zone_loss(&self, zone: &AvailabilityZone) -> f64 {
        self.capacity(|offer| offer.zone == *zone)
    }

    fn capacity(&self, is_counted: impl Fn(&Offer) -> bool) -> f64 {
        let pairs = self.offers.iter().zip(&self.counts);
        pairs
            .filter(|(offer, _)| is_counted(offer))
            .map(|(offer, count)| offer.capacity.0 * f64::from(*count))
            .sum()
    }

    /// Returns the offer whose VM adds worst-case capacity at the lowest price. Where none adds
    /// any, because two zones are equally large, the cheapest in the smallest zone is taken.
    fn best_start(&mut self, wanted: f64, options: &FleetOptions) -> Option<usize> {
        let before = self.worst_case();
        let mut best: Option<(f64, usize)> = None;
        for index in 0..self.offers.len() {
            let offer = &self.offers[index];
            if offer.is_refused || !self.is_allowed(offer, wanted, options) {
                continue;
            }
            self.counts[index] += 1;
            let gain = self.worst_case() - before;
            self.counts[index] -= 1;
            let size = self.zone_loss(&offer.zone) + offer.capacity.0;
            let useful = gain.max(offer.capacity.0 * MIN_GAIN_RATIO / (1.0 + size / wanted));
            let score = effective_price(offer, options) / useful.max(f64::MIN_POSITIVE);
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

    /// Returns the offer whose VM can go with the largest saving.
    fn best_stop(&mut self, demand: &FleetDemand, kept: f64) -> Option<usize> {
        if self.vms() <= demand.min_vms {
            return None;
        }
        let mut best: Option<(f64, usize)> = None;
        for index in 0..self.offers.len() {
            if self.counts[index] == 0 {
                continue;
            }
            self.counts[index] -= 1;
            let is_enough = self.worst_case() >= kept;
            self.counts[index] += 1;
            let offer = &self.offers[index];
            let saving = offer.price.0 / offer.capacity.0.max(f64::MIN_POSITIVE);
            if is_enough && best.is_none_or(|(known, _)| saving > known) {
                best = Some((saving, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

/// Part of a VM's capacity that counts as gain although the worst case does not change yet.
const MIN_GAIN_RATIO: f64 = 0.01;

/// Returns the price for the time in which a VM serves: one that is often reclaimed is paid for
/// while it starts again.
fn effective_price(offer: &Offer, options: &FleetOptions) -> f64 {
    let lost = offer.reclaims_per_hour * options.start_time.as_secs_f64() / SECONDS_PER_HOUR;
    offer.price.0 / (1.0 - lost).max(MIN_SERVING_RATIO)
}

/// Smallest part of its time that a VM is taken to serve.
const MIN_SERVING_RATIO: f64 = 0.1;

const SECONDS_PER_HOUR: f64 = 3600.0;
