//! Parsing of fleet plans.

use verbenahead_core::{
    AvailabilityZone,
    document::{Listed, Node, Object},
    units::{HourlyPrice, TokenRate},
};

use crate::model::{FleetPlan, VmClass, ZonePrice};

use super::references::check_known;

const FLEET_KEYS: &[&str] = &["min_upstreams", "max_upstreams", "classes"];

const CLASS_KEYS: &[&str] = &[
    "name",
    "capacity_tokens_per_s",
    "reclaimable_price_per_h",
    "on_demand_price_per_h",
    "zone_prices",
];

const ZONE_PRICE_KEYS: &[&str] = &[
    "availability_zone",
    "reclaimable_price_per_h",
    "on_demand_price_per_h",
];

/// Maximum number of upstreams of one service.
const MAX_UPSTREAMS: u64 = 10_000;

/// Minimum capacity of a VM class, in tokens per second.
const MIN_CAPACITY: f64 = 0.001;

type Zones<'a, 'd> = Option<&'a Listed<'d, AvailabilityZone>>;

/// Parses a fleet plan. Availability zones are checked against `zones`.
pub(super) fn read(node: &Node<'_>, zones: Zones<'_, '_>) -> Option<FleetPlan> {
    let object = node.object(FLEET_KEYS)?;
    let min = read_count(&object, "min_upstreams", 0);
    let max = read_count(&object, "max_upstreams", 1);
    if let (Some(min), Some(max)) = (min, max)
        && min > max
    {
        node.report(format!(
            "`min_upstreams` of {min} is above `max_upstreams` of {max}"
        ));
    }
    let classes = object.required("classes").and_then(|node| {
        let classes = node.list(|node| read_class(node, zones))?;
        let classes = classes.not_empty("VM class");
        Some(classes.unique("VM class", |class| class.name.clone()))
    });
    Some(FleetPlan {
        min_upstreams: min?,
        max_upstreams: max?,
        classes: classes?.into_values(),
    })
}

fn read_count(object: &Object<'_>, key: &'static str, min: u64) -> Option<u32> {
    let count = object.required(key)?.integer(min..=MAX_UPSTREAMS)?;
    u32::try_from(count).ok()
}

fn read_class(node: &Node<'_>, zones: Zones<'_, '_>) -> Option<VmClass> {
    let object = node.object(CLASS_KEYS)?;
    let name = object.required("name").and_then(|node| node.text());
    let capacity = object
        .required("capacity_tokens_per_s")
        .and_then(|node| node.decimal(MIN_CAPACITY..=f64::MAX))
        .map(TokenRate);
    let reclaimable_price = read_price(&object, "reclaimable_price_per_h");
    let on_demand_price = read_price(&object, "on_demand_price_per_h");
    let zone_prices = object.read_or("zone_prices", Vec::new(), |node| {
        let prices = node.list(|node| read_zone_price(node, zones))?;
        let prices = prices.unique("availability zone", |price| price.zone.clone());
        Some(prices.into_values())
    });
    Some(VmClass {
        name: name?,
        capacity: capacity?,
        reclaimable_price: reclaimable_price?,
        on_demand_price: on_demand_price?,
        zone_prices: zone_prices?,
    })
}

fn read_zone_price(node: &Node<'_>, zones: Zones<'_, '_>) -> Option<ZonePrice> {
    let object = node.object(ZONE_PRICE_KEYS)?;
    let zone = object.required("availability_zone").and_then(|node| {
        let zone = node.parse()?;
        check_known(&node, "availability zone", &zone, zones, |zone| zone);
        Some(zone)
    });
    let reclaimable_price = read_price(&object, "reclaimable_price_per_h");
    let on_demand_price = read_price(&object, "on_demand_price_per_h");
    Some(ZonePrice {
        zone: zone?,
        reclaimable_price: reclaimable_price?,
        on_demand_price: on_demand_price?,
    })
}

fn read_price(object: &Object<'_>, key: &'static str) -> Option<HourlyPrice> {
    let price = object.required(key)?.decimal(0.0..=f64::MAX)?;
    Some(HourlyPrice(price))
}
