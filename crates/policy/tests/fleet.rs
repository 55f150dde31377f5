//! Tests of the fleet plan and of the backoff after refused starts.

mod common;

use common::{at, rng, zone};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahead_core::units::{HourlyPrice, TokenRate};
use verbenahead_policy::{
    FleetAction, FleetDemand, FleetMarket, FleetOptions, Offer, OfferKey, StartBackoff, plan_fleet,
};

fn offer(zone_name: &str, market: FleetMarket, price: f64, running: u32) -> Offer {
    Offer {
        zone: zone(zone_name),
        class: "small".to_owned(),
        market,
        price: HourlyPrice(price),
        capacity: TokenRate(100.0),
        reclaims_per_hour: 0.0,
        is_refused: false,
        running,
    }
}

fn offers(running: [u32; 4]) -> Vec<Offer> {
    let zones = ["a", "b", "c", "d"].into_iter().zip(running);
    let reclaimable =
        zones.map(|(name, running)| offer(name, FleetMarket::Reclaimable, 1.0, running));
    let on_demand = ["a", "b", "c", "d"].map(|name| offer(name, FleetMarket::OnDemand, 3.0, 0));
    reclaimable.chain(on_demand).collect()
}

fn demand(tokens: f64) -> FleetDemand {
    FleetDemand {
        tokens: TokenRate(tokens),
        min_vms: 1,
        max_vms: 100,
    }
}

fn options() -> FleetOptions {
    FleetOptions {
        max_load: 1.0,
        max_starts: 100,
        ..FleetOptions::default()
    }
}

/// Applies plans until a plan is empty.
fn converge(mut offers: Vec<Offer>, demand: &FleetDemand, options: &FleetOptions) -> Vec<Offer> {
    for _ in 0..200 {
        let plan = plan_fleet(demand, &offers, options);
        for action in &plan {
            match action {
                FleetAction::Start(index) => offers[*index].running += 1,
                FleetAction::Stop(index) => offers[*index].running -= 1,
            }
        }
        if plan.is_empty() {
            return offers;
        }
    }
    panic!("the plan does not converge");
}

/// Returns the lowest capacity after the loss of one zone, computed directly.
fn naive_worst_case(offers: &[Offer]) -> f64 {
    let capacity = |without: &str| -> f64 {
        let left = offers.iter().filter(|offer| offer.zone.as_str() != without);
        left.map(|offer| offer.capacity.0 * f64::from(offer.running))
            .sum()
    };
    ["a", "b", "c", "d"]
        .map(capacity)
        .into_iter()
        .fold(f64::INFINITY, f64::min)
}

#[test]
fn new_fleet_covers_the_demand_after_the_loss_of_any_zone_at_the_lowest_price() {
    let fleet = converge(offers([0; 4]), &demand(900.0), &options());

    let price: f64 = fleet
        .iter()
        .map(|offer| offer.price.0 * f64::from(offer.running))
        .sum();
    assert!(naive_worst_case(&fleet) >= 900.0);
    assert_eq!(price, 12.0);
}

#[test]
fn capacity_of_a_lost_zone_is_replaced_elsewhere_when_its_starts_are_refused() {
    let mut offers = offers([0, 3, 3, 3]);
    offers[0].is_refused = true;

    let fleet = converge(offers, &demand(900.0), &options());

    assert_eq!(fleet[0].running, 0);
    assert!(naive_worst_case(&fleet) >= 900.0);
}

#[test]
fn on_demand_vms_are_started_when_all_reclaimable_ones_are_refused() {
    let mut offers = offers([0, 3, 3, 3]);
    offers[..4]
        .iter_mut()
        .for_each(|offer| offer.is_refused = true);

    let fleet = converge(offers, &demand(900.0), &options());

    assert!(fleet[4..].iter().map(|offer| offer.running).sum::<u32>() >= 3);
    assert!(naive_worst_case(&fleet) >= 900.0);
}

#[test]
fn starts_per_round_are_limited() {
    let options = FleetOptions {
        max_starts: 2,
        ..options()
    };

    let plan = plan_fleet(&demand(900.0), &offers([0; 4]), &options);

    assert_eq!(plan.len(), 2);
}

#[test]
fn slightly_lower_demand_stops_no_vm() {
    let fleet = converge(offers([0; 4]), &demand(900.0), &options());

    let plan = plan_fleet(&demand(850.0), &fleet, &options());

    assert_eq!(plan, []);
}

#[test]
fn much_lower_demand_stops_the_most_expensive_vm_first() {
    let mut fleet = converge(offers([0; 4]), &demand(900.0), &options());
    fleet[4].running = 1;

    let plan = plan_fleet(&demand(300.0), &fleet, &options());

    assert_eq!(plan, [FleetAction::Stop(4)]);
}

#[test]
fn frequently_reclaimed_vms_count_as_more_expensive() {
    let mut offers = offers([0; 4]);
    offers[0].reclaims_per_hour = 20.0;
    offers[1].price = HourlyPrice(1.5);
    let few = FleetOptions {
        max_starts: 1,
        ..options()
    };

    let plan = plan_fleet(&demand(100.0), &offers, &few);

    assert_ne!(plan, [FleetAction::Start(0)]);
}

#[test]
fn refused_starts_back_off_until_a_start_succeeds() {
    let key = OfferKey {
        zone: zone("a"),
        class: "small".to_owned(),
        market: FleetMarket::Reclaimable,
    };
    let mut backoff = StartBackoff::default();
    let mut rng = rng(1);

    backoff.on_refused(&key, at(0.0), &mut rng);
    let soon = backoff.is_refused(&key, at(7.0));
    let later = backoff.is_refused(&key, at(15.0));
    backoff.on_refused(&key, at(15.0), &mut rng);
    let second = backoff.is_refused(&key, at(29.0));
    backoff.on_started(&key);

    assert_eq!((soon, later, second), (true, false, true));
    assert!(!backoff.is_refused(&key, at(15.0)));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn converged_fleet_covers_the_demand_after_the_loss_of_any_zone(
        tokens in 1.0..3000.0,
        running in proptest::array::uniform4(0..8_u32),
        prices in proptest::array::uniform4(0.5..2.0),
    ) {
        let mut offers = offers(running);
        offers.iter_mut().zip(prices).for_each(|(offer, price)| offer.price = HourlyPrice(price));

        let fleet = converge(offers, &demand(tokens), &options());

        prop_assert!(naive_worst_case(&fleet) >= tokens);
    }
}
