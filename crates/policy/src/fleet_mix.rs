//! Plans the number of reclaimable and on-demand replicas of a service in each availability zone.
//!
//! Reclaimable replicas are cheap, but all of a zone may be reclaimed at a few seconds' notice, and
//! replacements may be unavailable for a while. They are therefore spread over the zones, and
//! on-demand replicas replace missing ones until reclaimable capacity is available again.

use std::{collections::BTreeMap, time::Duration};

use verbenahead_core::AvailabilityZone;

use crate::time::Timestamp;

/// `MixBounds` limits the replicas of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct MixBounds {
    /// Minimum number of replicas in a zone, over both markets.
    pub min: u32,
    /// Maximum number of replicas in a zone, over both markets.
    pub max: u32,
    /// Whether the service may use reclaimable replicas.
    pub has_reclaimable: bool,
    /// Time from an order to the start of service.
    pub boot_time: Duration,
}

/// `ZoneState` is the state of one availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneState {
    /// Price of an on-demand replica.
    pub price: f64,
    /// Number of reclaimable replicas that accept new work.
    pub reclaimable: u32,
    /// Number of on-demand replicas that accept new work.
    pub on_demand: u32,
    /// Number of reclaimable replicas that were ordered and have not started yet.
    pub pending_reclaimable: u32,
    /// Whether the zone has no reclaimable capacity at present.
    pub is_reclaimable_unavailable: bool,
    /// Whether an order for reclaimable replicas was recently refused in any zone.
    pub has_recent_refusal: bool,
}

/// `ZoneMix` is the planned number of replicas in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneMix {
    /// Number of reclaimable replicas.
    pub reclaimable: u32,
    /// Number of on-demand replicas.
    pub on_demand: u32,
}

/// `MixOptions` configures the plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MixOptions {
    /// Time for which surplus on-demand replicas are kept, so that their replacements accept new
    /// work before they stop.
    pub release_delay: Duration,
    /// Number of reclaimable replicas as a multiple of the needed ones. Spare replicas are cheap
    /// and cover the reclaim of a whole zone.
    pub reclaimable_factor: f64,
}

impl Default for MixOptions {
    fn default() -> Self {
        Self {
            release_delay: Duration::from_millis(500),
            reclaimable_factor: 2.5,
        }
    }
}

/// `FleetMix` plans the replicas of one service round by round.
#[derive(Debug, Clone, Default)]
pub struct FleetMix {
    options: MixOptions,
    /// On-demand replicas of the last plan by zone.
    on_demand: BTreeMap<AvailabilityZone, u32>,
    /// Time since which the last plan has had more on-demand replicas than needed.
    surplus_since: Option<Timestamp>,
}

impl FleetMix {
    /// Builds a planner without earlier plans.
    pub fn new(options: MixOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Plans `needed` replicas in total over all zones.
    pub fn plan(
        &mut self,
        needed: u32,
        bounds: &MixBounds,
        zones: &BTreeMap<AvailabilityZone, ZoneState>,
        now: Timestamp,
    ) -> BTreeMap<AvailabilityZone, ZoneMix> {
        let wanted = f64::from(needed) * self.options.reclaimable_factor;
        let reclaimable = spread(wanted.ceil() as u32, bounds, zones);
        let with_pending = |state: &ZoneState| state.reclaimable + state.pending_reclaimable;
        let lower = on_demand(needed, bounds, zones, &reclaimable, with_pending);
        let upper = on_demand(needed, bounds, zones, &reclaimable, |state| {
            state.reclaimable
        });
        let on_demand = self.with_hysteresis(&lower, &upper, zones, now);
        let mix = |zone: &AvailabilityZone| ZoneMix {
            reclaimable: reclaimable.get(zone).copied().unwrap_or_default(),
            on_demand: on_demand.get(zone).copied().unwrap_or_default(),
        };
        zones.keys().map(|zone| (zone.clone(), mix(zone))).collect()
    }

    /// Returns the on-demand replicas by zone, with hysteresis. The last plan is raised to `lower`,
    /// which counts pending reclaimable replicas, at once. It is replaced by `upper`, which does
    /// not count them, after it has exceeded `upper` for [`MixOptions::release_delay`].
    fn with_hysteresis(
        &mut self,
        lower: &BTreeMap<AvailabilityZone, u32>,
        upper: &BTreeMap<AvailabilityZone, u32>,
        zones: &BTreeMap<AvailabilityZone, ZoneState>,
        now: Timestamp,
    ) -> BTreeMap<AvailabilityZone, u32> {
        let current = |zone: &AvailabilityZone| {
            let planned = self.on_demand.get(zone).copied();
            planned.unwrap_or_else(|| zones.get(zone).map_or(0, |state| state.on_demand))
        };
        let before: BTreeMap<_, _> = zones.keys().map(|z| (z.clone(), current(z))).collect();
        let total = |counts: &BTreeMap<AvailabilityZone, u32>| counts.values().sum::<u32>();
        let has_surplus = total(&before) > total(upper);
        let since = self.surplus_since.filter(|_| has_surplus);
        let since = since.or(has_surplus.then_some(now));
        let is_released = since.is_some_and(|since| now.since(since) >= self.options.release_delay);
        self.surplus_since = since.filter(|_| !is_released);
        if is_released {
            self.on_demand = upper.clone();
        } else if total(&before) < total(lower) {
            self.on_demand = max_by_zone(before, lower);
        } else {
            self.on_demand = before;
        }
        self.on_demand.clone()
    }
}

/// Returns the larger count of each zone.
fn max_by_zone(
    mut counts: BTreeMap<AvailabilityZone, u32>,
    others: &BTreeMap<AvailabilityZone, u32>,
) -> BTreeMap<AvailabilityZone, u32> {
    for (zone, other) in others {
        let count = counts.entry(zone.clone()).or_default();
        *count = (*count).max(*other);
    }
    counts
}

/// Returns the on-demand replicas by zone: those that each zone needs to reach its minimum, and
/// those that replace missing reclaimable replicas, in the cheapest zones. `usable` returns how
/// many reclaimable replicas of a zone count as available; at most the planned number counts.
fn on_demand(
    needed: u32,
    bounds: &MixBounds,
    zones: &BTreeMap<AvailabilityZone, ZoneState>,
    reclaimable: &BTreeMap<AvailabilityZone, u32>,
    usable: impl Fn(&ZoneState) -> u32,
) -> BTreeMap<AvailabilityZone, u32> {
    let usable = |zone: &AvailabilityZone, state: &ZoneState| {
        let planned = reclaimable.get(zone).copied().unwrap_or_default();
        usable(state).min(planned)
    };
    let mut on_demand = BTreeMap::new();
    let mut total = 0;
    for (zone, state) in zones {
        let usable = usable(zone, state);
        let minimum = bounds.min.saturating_sub(usable);
        on_demand.insert(zone.clone(), minimum);
        total += usable + minimum;
    }
    let mut missing = needed.saturating_sub(total);
    while missing > 0 {
        let Some(zone) = cheapest(bounds, zones, &on_demand, usable) else {
            break;
        };
        *on_demand.entry(zone).or_default() += 1;
        missing -= 1;
    }
    on_demand
}

/// Spreads reclaimable replicas over the zones. Each zone is planned with an even share, also
/// where reclaimable capacity is unavailable; the rest goes to the zones that have capacity.
fn spread(
    needed: u32,
    bounds: &MixBounds,
    zones: &BTreeMap<AvailabilityZone, ZoneState>,
) -> BTreeMap<AvailabilityZone, u32> {
    let mut counts: BTreeMap<AvailabilityZone, u32> = BTreeMap::new();
    if !bounds.has_reclaimable || zones.is_empty() {
        return counts;
    }
    let even_share = needed
        .div_ceil(zones.len() as u32)
        .clamp(1, bounds.max.max(1));
    for zone in zones.keys() {
        counts.insert(zone.clone(), even_share);
    }
    let available = zones
        .iter()
        .filter(|(_, state)| !state.is_reclaimable_unavailable && !state.has_recent_refusal);
    let available: Vec<_> = available.map(|(zone, _)| zone.clone()).collect();
    let mut missing = needed.saturating_sub(even_share * available.len() as u32);
    let mut has_room = !available.is_empty();
    while missing > 0 && has_room {
        has_room = false;
        for zone in &available {
            let count = counts.entry(zone.clone()).or_default();
            if missing > 0 && *count < bounds.max {
                *count += 1;
                missing -= 1;
                has_room = true;
            }
        }
    }
    counts
}

/// Returns the cheapest zone with room for another on-demand replica. Each on-demand replica in a
/// zone raises its cost, so replicas are spread over zones of similar price.
fn cheapest(
    bounds: &MixBounds,
    zones: &BTreeMap<AvailabilityZone, ZoneState>,
    on_demand: &BTreeMap<AvailabilityZone, u32>,
    usable: impl Fn(&AvailabilityZone, &ZoneState) -> u32,
) -> Option<AvailabilityZone> {
    let with_room = zones.iter().filter(|(zone, state)| {
        let count = on_demand.get(*zone).copied().unwrap_or_default();
        usable(zone, state) + count < bounds.max
    });
    let cost = |(zone, state): &(&AvailabilityZone, &ZoneState)| {
        let count = on_demand.get(*zone).copied().unwrap_or_default();
        state.price * (1.0 + CONCENTRATION_PENALTY * f64::from(count))
    };
    let best = with_room.min_by(|left, right| cost(left).total_cmp(&cost(right)));
    best.map(|(zone, _)| zone.clone())
}

/// Fraction of the price by which each on-demand replica raises the cost of a further one in its
/// zone. All replicas of a zone are lost together when it fails.
const CONCENTRATION_PENALTY: f64 = 0.05;
