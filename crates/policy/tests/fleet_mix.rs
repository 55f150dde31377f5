//! Tests of the mix of replicas per zone. Load pattern: the reclaimable replicas of one zone after
//! the other are reclaimed, and no replacements are available for a while.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{at, zone};
use rstest::rstest;
use verbenahead_core::AvailabilityZone;
use verbenahead_policy::{FleetMix, MixBounds, MixOptions, ZoneMix, ZoneState};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const PRICES: [f64; 4] = [1.0, 0.8, 1.25, 0.9];

type Zones = BTreeMap<AvailabilityZone, ZoneState>;
type Plan = BTreeMap<AvailabilityZone, ZoneMix>;

fn bounds() -> MixBounds {
    MixBounds {
        min: 1,
        max: 6,
        has_reclaimable: true,
        boot_time: Duration::from_secs(4),
    }
}

fn mix() -> FleetMix {
    FleetMix::new(MixOptions {
        reclaimable_factor: 1.0,
        ..MixOptions::default()
    })
}

fn zones(reclaimable: u32, on_demand: u32) -> Zones {
    let state = |price| ZoneState {
        price,
        reclaimable,
        on_demand,
        pending_reclaimable: 0,
        is_reclaimable_unavailable: false,
        has_recent_refusal: false,
    };
    let pairs = ZONES.iter().zip(PRICES);
    pairs
        .map(|(name, price)| (zone(name), state(price)))
        .collect()
}

fn reclaim(zones: &mut Zones, name: &str) {
    let state = zones.get_mut(&zone(name)).expect("the zone exists");
    state.reclaimable = 0;
    state.is_reclaimable_unavailable = true;
    zones
        .values_mut()
        .for_each(|state| state.has_recent_refusal = true);
}

fn total(plan: &Plan, count: impl Fn(&ZoneMix) -> u32) -> u32 {
    plan.values().map(count).sum()
}

#[test]
fn reclaimable_replicas_are_spread_evenly() {
    let plan = mix().plan(8, &bounds(), &zones(0, 2), at(0.0));

    assert!(plan.values().all(|mix| mix.reclaimable == 2), "{plan:?}");
}

#[test]
fn on_demand_replicas_stay_while_their_replacements_start() {
    let mut mix = mix();
    let mut starting = zones(0, 2);
    for state in starting.values_mut() {
        state.pending_reclaimable = 2;
    }

    let first = mix.plan(8, &bounds(), &starting, at(0.0));
    let later = mix.plan(8, &bounds(), &starting, at(3.9));

    assert_eq!(total(&first, |mix| mix.on_demand), 8);
    assert_eq!(total(&later, |mix| mix.on_demand), 8);
}

#[test]
fn on_demand_replicas_are_released_some_time_after_their_replacements_started() {
    let mut mix = mix();
    mix.plan(8, &bounds(), &zones(0, 2), at(0.0));

    let first = mix.plan(8, &bounds(), &zones(2, 2), at(4.0));
    let later = mix.plan(8, &bounds(), &zones(2, 2), at(6.1));

    assert_eq!(total(&first, |mix| mix.on_demand), 8);
    assert_eq!(total(&later, |mix| mix.on_demand), 0);
}

#[rstest]
#[case::one(&["b"], 2)]
#[case::two(&["b", "c"], 4)]
#[case::all(&["a", "b", "c", "d"], 8)]
fn on_demand_replicas_replace_reclaimed_ones(#[case] reclaimed: &[&str], #[case] wanted: u32) {
    let mut mix = mix();
    let mut zones = zones(2, 0);
    mix.plan(8, &bounds(), &zones, at(0.0));

    reclaimed.iter().for_each(|name| reclaim(&mut zones, name));
    let plan = mix.plan(8, &bounds(), &zones, at(1.0));

    assert!(total(&plan, |mix| mix.on_demand) >= wanted, "{plan:?}");
    assert!(plan.values().all(|mix| mix.on_demand <= 6), "{plan:?}");
}

#[test]
fn no_zone_gets_more_reclaimable_replicas_after_a_recent_refusal() {
    let mut zones = zones(2, 0);
    reclaim(&mut zones, "b");

    let plan = mix().plan(8, &bounds(), &zones, at(0.0));

    let others = plan.iter().filter(|(name, _)| **name != zone("b"));
    assert!(
        others.clone().all(|(_, mix)| mix.reclaimable == 2),
        "{plan:?}"
    );
}

#[test]
fn spare_reclaimable_replicas_cover_the_loss_of_a_zone() {
    let mut mix = FleetMix::new(MixOptions {
        reclaimable_factor: 2.0,
        ..MixOptions::default()
    });
    let mut zones = zones(4, 0);
    mix.plan(8, &bounds(), &zones, at(0.0));

    reclaim(&mut zones, "d");
    let plan = mix.plan(8, &bounds(), &zones, at(1.0));

    // Only the minimum of the reclaimed zone is filled.
    assert_eq!(total(&plan, |mix| mix.on_demand), 1);
}

#[test]
fn minimum_per_zone_is_kept() {
    let mut few = zones(0, 0);
    few.values_mut()
        .for_each(|state| state.is_reclaimable_unavailable = true);

    let plan = mix().plan(1, &bounds(), &few, at(0.0));

    assert!(plan.values().all(|mix| mix.on_demand >= 1), "{plan:?}");
}

#[test]
fn cheap_zones_are_preferred_but_do_not_get_all_replicas() {
    let mut mix = mix();
    let bounds = MixBounds {
        has_reclaimable: false,
        min: 0,
        ..bounds()
    };

    let plan = mix.plan(8, &bounds, &zones(0, 0), at(0.0));

    assert_eq!(total(&plan, |mix| mix.on_demand), 8);
    assert!(plan[&zone("b")].on_demand > plan[&zone("c")].on_demand);
    assert!(plan[&zone("d")].on_demand >= 1);
}

#[test]
fn maximum_per_zone_is_not_exceeded() {
    let plan = mix().plan(100, &bounds(), &zones(0, 0), at(0.0));

    let largest = plan.values().map(|mix| mix.reclaimable).max();
    assert!(largest <= Some(6), "{plan:?}");
}
