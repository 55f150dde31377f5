//! Tests that a round starts the missing VMs, spread over the zones, and stops no more than the
//! surplus.

use rstest::rstest;
use verbenahead::node::fleet::round_plan::{FleetStep, FleetView, plan_round};
use verbenahead_core::{
    AvailabilityZone, Incarnation, ServiceId, VmId,
    units::{HourlyPrice, TokenRate},
};
use verbenahead_manifest::{FleetPlan, VmClass};
use verbenahead_policy::{FleetMarket, OfferKey};
use verbenahead_services::{Market, StartVm, VmRecord, VmState};

fn service() -> ServiceId {
    ServiceId::try_new("drafting").expect("a valid id")
}

fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::try_new(name).expect("a valid id")
}

fn plan(min_upstreams: u32, max_upstreams: u32) -> FleetPlan {
    let class = VmClass {
        name: "small".to_owned(),
        capacity: TokenRate(1000.0),
        reclaimable_price: HourlyPrice(1.0),
        on_demand_price: HourlyPrice(3.0),
        zone_prices: Vec::new(),
    };
    FleetPlan {
        min_upstreams,
        max_upstreams,
        classes: vec![class],
    }
}

fn vm(index: usize, zone_name: &str, class: &str) -> VmRecord {
    VmRecord {
        vm: VmId::try_new(format!("vm-{index}")).expect("a valid id"),
        incarnation: Incarnation(1),
        service: service(),
        zone: zone(zone_name),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        state: VmState::Live,
        class: class.to_owned(),
        market: Market::Reclaimable,
    }
}

fn vms(zones: &[&str]) -> Vec<VmRecord> {
    let vms = zones.iter().enumerate();
    vms.map(|(index, zone)| vm(index, zone, "small")).collect()
}

fn pending(zone_name: &str) -> StartVm {
    StartVm {
        client_token: format!("token-{zone_name}"),
        service: service(),
        zone: zone(zone_name),
        class: "small".to_owned(),
        market: Market::Reclaimable,
    }
}

fn steps(
    plan: &FleetPlan,
    vms: &[VmRecord],
    pending: &[StartVm],
    is_refused: &dyn Fn(&OfferKey) -> bool,
) -> Vec<FleetStep> {
    plan_round(&FleetView {
        plan,
        zones: &[zone("a"), zone("b"), zone("c")],
        vms,
        pending,
        is_refused,
    })
}

/// Runs rounds until no step is left, with each start pending from the next round on.
fn run_rounds(plan: &FleetPlan, is_refused: &dyn Fn(&OfferKey) -> bool) -> Vec<StartVm> {
    let mut started = Vec::new();
    loop {
        let steps = steps(plan, &[], &started, is_refused);
        if steps.is_empty() {
            return started;
        }
        for step in steps {
            let FleetStep::Start(key) = step else {
                panic!("stop step in a fleet below its minimum: {step:?}");
            };
            let market = match key.market {
                FleetMarket::Reclaimable => Market::Reclaimable,
                FleetMarket::OnDemand => Market::OnDemand,
            };
            started.push(StartVm {
                zone: key.zone,
                market,
                ..pending("a")
            });
        }
    }
}

fn count_in(started: &[StartVm], zone_name: &str) -> usize {
    let zone = zone(zone_name);
    started.iter().filter(|start| start.zone == zone).count()
}

#[rstest]
#[case::one_each(3, [1, 1, 1])]
#[case::two_each(6, [2, 2, 2])]
#[case::nine(9, [3, 3, 3])]
fn starts_spread_over_zones(#[case] min: u32, #[case] expected: [usize; 3]) {
    let started = run_rounds(&plan(min, min), &|_| false);

    let counts = ["a", "b", "c"].map(|zone| count_in(&started, zone));
    assert_eq!(counts, expected);
    let is_reclaimable = |start: &StartVm| start.market == Market::Reclaimable;
    assert!(started.iter().all(is_reclaimable));
}

#[test]
fn a_refused_market_is_replaced() {
    let started = run_rounds(&plan(3, 3), &|key| key.market == FleetMarket::Reclaimable);

    assert_eq!(started.len(), 3);
    let is_on_demand = |start: &StartVm| start.market == Market::OnDemand;
    assert!(started.iter().all(is_on_demand));
}

#[test]
fn a_refused_zone_is_avoided() {
    let started = run_rounds(&plan(4, 4), &|key| key.zone == zone("b"));

    let counts = ["a", "b", "c"].map(|zone| count_in(&started, zone));
    assert_eq!(counts, [2, 0, 2]);
}

#[test]
fn nothing_is_started_when_all_is_refused() {
    assert!(run_rounds(&plan(3, 3), &|_| true).is_empty());
}

#[rstest]
#[case::between_the_bounds(2, 4, &["a", "b", "c"], 0)]
#[case::pending_counts(4, 4, &["a", "b", "c"], 1)]
#[case::surplus_with_a_pending_start(1, 2, &["a", "b", "c"], 1)]
fn a_fleet_within_its_plan_stays(
    #[case] min: u32,
    #[case] max: u32,
    #[case] zones: &[&str],
    #[case] pending_count: usize,
) {
    let pending = vec![pending("a"); pending_count];

    let steps = steps(&plan(min, max), &vms(zones), &pending, &|_| false);

    assert_eq!(steps, []);
}

#[rstest]
#[case::one_over(&["a", "b", "c"], 2, 1)]
#[case::many_over(&["a", "a", "b", "b", "c", "c"], 2, 4)]
fn no_more_than_the_surplus_is_stopped(
    #[case] zones: &[&str],
    #[case] max: u32,
    #[case] surplus: usize,
) {
    let mut running = vms(zones);
    let mut stopped = 0;

    loop {
        let steps = steps(&plan(0, max), &running, &[], &|_| false);
        if steps.is_empty() {
            break;
        }
        for step in steps {
            let FleetStep::Stop(vm) = step else {
                panic!("start step in a fleet above its maximum: {step:?}");
            };
            running.retain(|known| known.vm != vm.vm);
            stopped += 1;
        }
    }

    assert_eq!(stopped, surplus);
    assert_eq!(running.len(), max as usize);
}

#[test]
fn a_vm_of_no_planned_class_goes_first() {
    let mut running = vms(&["a", "b"]);
    running.push(vm(9, "c", "old"));

    let steps = steps(&plan(0, 2), &running, &[], &|_| false);

    assert_eq!(steps, [FleetStep::Stop(vm(9, "c", "old"))]);
}
