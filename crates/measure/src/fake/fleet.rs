//! Fleet planning for a simulated run.

use std::time::Duration;

use rand::Rng;
use verbenahead_core::units::{HourlyPrice, TokenRate};
use verbenahead_policy::{
    DemandMeter, FleetAction, FleetDemand, FleetMarket, FleetOptions, Offer, OfferKey,
    StartBackoff, Timestamp, plan_fleet,
};

use super::{
    profile::Profile,
    replica::{BATCH_SLOWDOWN, Replica, ReplicaState, zone_id},
    run::Run,
    schedule::Event,
};

/// `FleetRule` selects the planning policy of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetRule {
    /// verbenahead's plan over reclaimable and on-demand VMs.
    Own,
    /// verbenahead's plan over on-demand VMs only.
    OnDemandOnly,
    /// On-demand VMs for the demand only, without spare capacity for the loss of a zone.
    OnDemandWithoutSpare,
}

/// `Refusals` is a period in which the cloud refuses to start reclaimable VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusals {
    /// When it begins, in seconds.
    pub from: f64,
    /// When it ends, in seconds.
    pub to: f64,
}

/// `Fleet` is the state of the fleet planner.
#[derive(Debug)]
pub struct Fleet {
    rule: FleetRule,
    profile: Profile,
    offers: Vec<Offer>,
    refusals: Option<Refusals>,
    backoff: StartBackoff,
    meter: DemandMeter,
    store_free_at: f64,
}

/// Time between two planning rounds, in seconds.
const PLAN_INTERVAL: f64 = 10.0;

/// Time constant of the demand meter.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(120);

/// Time from the start of a VM until it loads the weights, in seconds.
const BOOT_TIME: f64 = 45.0;

/// Time that the weight store takes for one load, in seconds. It serves one VM at a time.
const LOAD_TIME: f64 = 20.0;

/// Price of an on-demand VM relative to a reclaimable one.
const ON_DEMAND_FACTOR: f64 = 3.0;

/// Highest utilization, as a fraction of the capacity.
const MAX_LOAD: f64 = 0.7;

/// Largest number of VMs.
const MAX_VMS: u32 = 60;

impl Fleet {
    /// Builds the planner of a profile.
    pub fn new(profile: &Profile, rule: FleetRule, refusals: Option<Refusals>) -> Self {
        let zones = 0..profile.replicas.len();
        let reclaimable = zones
            .clone()
            .map(|zone| offer(profile, zone, FleetMarket::Reclaimable));
        let on_demand = zones.map(|zone| offer(profile, zone, FleetMarket::OnDemand));
        let offers: Vec<_> = match rule {
            FleetRule::Own => reclaimable.chain(on_demand).collect(),
            FleetRule::OnDemandOnly | FleetRule::OnDemandWithoutSpare => on_demand.collect(),
        };
        Self {
            rule,
            profile: profile.clone(),
            offers,
            refusals,
            backoff: StartBackoff::default(),
            meter: DemandMeter::new(DEMAND_TIME_CONSTANT),
            store_free_at: 0.0,
        }
    }

    /// Returns the replicas at the start of the run, spread over all zones.
    pub fn initial_replicas(&self) -> Vec<Replica> {
        let count: usize = self.profile.replicas.iter().sum();
        let replica =
            |number: usize| self.replica(number, number % self.profile.replicas.len(), 0.0);
        (0..count).map(replica).collect()
    }

    /// Adds the tokens of a request to the demand.
    pub fn on_request(&mut self, tokens: u64, now: f64) {
        self.meter.add(tokens as f64, Timestamp::from_secs_f64(now));
    }

    fn replica(&self, number: usize, offer: usize, now: f64) -> Replica {
        let kind = &self.offers[offer];
        let zone = offer % self.profile.replicas.len();
        Replica {
            offer: Some(offer),
            is_reclaimable: kind.market == FleetMarket::Reclaimable,
            started_at: now,
            ..Replica::new(number, zone, kind.price.0, &self.profile)
        }
    }

    fn key(&self, offer: usize) -> OfferKey {
        let offer = &self.offers[offer];
        OfferKey {
            zone: offer.zone.clone(),
            class: offer.class.clone(),
            market: offer.market,
        }
    }

    fn plan(&mut self, replicas: &[Replica], now: f64) -> Vec<FleetAction> {
        let at = Timestamp::from_secs_f64(now);
        for index in 0..self.offers.len() {
            let counts = |r: &&Replica| {
                let is_counted = matches!(r.state, ReplicaState::Ready | ReplicaState::Starting);
                r.offer == Some(index) && is_counted
            };
            let running = replicas.iter().filter(counts).count() as u32;
            let is_refused = self.backoff.is_refused(&self.key(index), at);
            self.offers[index].running = running;
            self.offers[index].is_refused = is_refused;
        }
        // The meter approaches the demand only over its time constant.
        let warm_up_factor = 1.0 - (-(now.max(1.0)) / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let tokens = self.meter.rate(at).0 / warm_up_factor;
        if self.rule == FleetRule::OnDemandWithoutSpare {
            return self.plan_without_spare(tokens);
        }
        let demand = FleetDemand {
            tokens: TokenRate(tokens),
            min_vms: 1,
            max_vms: MAX_VMS,
        };
        let options = FleetOptions {
            max_load: MAX_LOAD,
            ..FleetOptions::default()
        };
        plan_fleet(&demand, &self.offers, &options)
    }

    /// Starts the cheapest on-demand VM while the capacity is below the demand, and stops the most
    /// expensive one while more than one VM is in excess.
    fn plan_without_spare(&self, tokens: f64) -> Vec<FleetAction> {
        let capacity = self.offers[0].capacity.0;
        let wanted = (tokens / MAX_LOAD / capacity).ceil() as u32;
        let running: u32 = self.offers.iter().map(|offer| offer.running).sum();
        let by_price = |index: &usize| self.offers[*index].price.0;
        let cheapest = (0..self.offers.len()).min_by(|a, b| by_price(a).total_cmp(&by_price(b)));
        let used = (0..self.offers.len()).filter(|index| self.offers[*index].running > 0);
        let most_expensive = used.max_by(|a, b| by_price(a).total_cmp(&by_price(b)));
        if running < wanted {
            return cheapest.map(FleetAction::Start).into_iter().collect();
        }
        if running > wanted + 1 {
            return most_expensive.map(FleetAction::Stop).into_iter().collect();
        }
        Vec::new()
    }

    fn is_refused(&self, offer: usize, reclaimed: Option<usize>, now: f64) -> bool {
        let kind = &self.offers[offer];
        if kind.market == FleetMarket::OnDemand {
            return false;
        }
        let is_refused = |refusals: Refusals| (refusals.from..refusals.to).contains(&now);
        let zone = offer % self.profile.replicas.len();
        self.refusals.is_some_and(is_refused) || reclaimed == Some(zone)
    }
}

fn offer(profile: &Profile, zone: usize, market: FleetMarket) -> Offer {
    let factor = match market {
        FleetMarket::Reclaimable => 1.0,
        FleetMarket::OnDemand => ON_DEMAND_FACTOR,
    };
    let full_interval = profile.inter_token * (1.0 + BATCH_SLOWDOWN);
    Offer {
        zone: zone_id(zone),
        class: "small".to_owned(),
        market,
        price: HourlyPrice(profile.prices[zone] * factor),
        capacity: TokenRate(f64::from(profile.batch_limit) / full_interval),
        reclaims_per_hour: 0.0,
        is_refused: false,
        running: 0,
    }
}

/// Time after a reclaim notice in which starts in the zone are refused, in seconds.
const REFUSAL_TIME_AFTER_RECLAIM: f64 = 600.0;

impl Run<'_> {
    pub(super) fn plan_fleet_round(&mut self, now: f64) {
        self.stop_drained(now);
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        let plan = fleet.plan(&self.replicas, now);
        for action in plan {
            match action {
                FleetAction::Start(offer) => self.start_vm(offer, now),
                FleetAction::Stop(offer) => self.drain_vm(offer),
            }
        }
        self.schedule.push(now + PLAN_INTERVAL, Event::PlanFleet);
    }

    fn start_vm(&mut self, offer: usize, now: f64) {
        let reclaim = self.options.reclaim;
        let is_refusing =
            |notice: f64| (notice..notice + REFUSAL_TIME_AFTER_RECLAIM).contains(&now);
        let reclaimed = reclaim.filter(|reclaim| is_refusing(reclaim.at - reclaim.notice));
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        let key = fleet.key(offer);
        if fleet.is_refused(offer, reclaimed.map(|reclaim| reclaim.zone), now) {
            let at = Timestamp::from_secs_f64(now);
            fleet.backoff.on_refused(&key, at, &mut self.rng);
            return;
        }
        fleet.backoff.on_started(&key);
        let mut replica = fleet.replica(self.replicas.len(), offer, now);
        replica.state = ReplicaState::Starting;
        let load_from = fleet.store_free_at.max(now + BOOT_TIME);
        fleet.store_free_at = load_from + LOAD_TIME;
        let jitter: f64 = self.rng.random();
        let ready = Event::VmReady(self.replicas.len());
        self.schedule.push(load_from + LOAD_TIME + jitter, ready);
        self.replicas.push(replica);
    }

    pub(super) fn mark_vm_ready(&mut self, replica: usize) {
        if self.replicas[replica].state == ReplicaState::Starting {
            self.replicas[replica].state = ReplicaState::Ready;
        }
    }

    /// Drains the VM of an offer that runs the fewest requests.
    fn drain_vm(&mut self, offer: usize) {
        let is_running =
            |(_, r): &(usize, &Replica)| r.offer == Some(offer) && r.state == ReplicaState::Ready;
        let running = self.replicas.iter().enumerate().filter(is_running);
        let least = running.min_by_key(|(_, replica)| replica.running.len());
        if let Some((index, _)) = least {
            self.replicas[index].state = ReplicaState::Leaving;
        }
    }

    fn stop_drained(&mut self, now: f64) {
        for index in 0..self.replicas.len() {
            let replica = &self.replicas[index];
            let is_empty = replica.running.is_empty() && replica.queued() == 0;
            if replica.state == ReplicaState::Leaving && is_empty {
                self.stop_replica(index, now);
            }
        }
    }

    /// Returns the cost of all VMs from their start to their stop.
    pub(super) fn cost(&self) -> f64 {
        let end = self.options.duration;
        let hours = |r: &Replica| (r.gone_at.unwrap_or(end) - r.started_at) / SECONDS_PER_HOUR;
        self.replicas.iter().map(|r| r.price * hours(r)).sum()
    }
}

const SECONDS_PER_HOUR: f64 = 3600.0;
