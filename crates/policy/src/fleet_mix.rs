//! How many replicas of which market a service should have in each availability zone.
//!
//! Reclaimable replicas are cheap, and a zone of them may go at a few seconds' notice, when no
//! others are to be had for a while. So they are spread over the zones, and on-demand replicas
//! stand in for those that are missing, until reclaimable ones can be had again.

use std::{collections::BTreeMap, time::Duration};

use verbenahead_core::AvailabilityZone;

use crate::time::Timestamp;

/// `MixBounds` bound the replicas of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct MixBounds {
    /// Fewest replicas in a zone, of both markets together.
    pub min: u32,
    /// Most replicas in a zone, of both markets together.
    pub max: u32,
    /// Whether there are reclaimable replicas.
    pub has_reclaimable: bool,
    /// Time from an order to the start of service.
    pub boot_time: Duration,
}

/// `ZoneState` is what is known of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneState {
    /// Price of an on-demand replica.
    pub price: f64,
    /// Reclaimable replicas that take new work.
    pub reclaimable: u32,
    /// On-demand replicas that take new work.
    pub on_demand: u32,
    /// Reclaimable replicas that were ordered and will come.
    pub pending_reclaimable: u32,
    /// Whether no reclaimable replicas are to be had in the zone at present.
    pub is_reclaimable_unavailable: bool,
    /// Whether reclaimable replicas were refused in some zone of late.
    pub has_recent_refusal: bool,
}

/// `ZoneMix` is the wanted number of replicas of one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneMix {
    /// Reclaimable replicas.
    pub reclaimable: u32,
    /// On-demand replicas.
    pub on_demand: u32,
}

/// `MixOptions` tune the plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MixOptions {
    /// Time for which on-demand replicas are kept that are not needed any more. Those that replace
    /// them take new work by then.
    pub release_after: Duration,
    /// Reclaimable replicas as a multiple of those that are needed. They are cheap, and those of
    /// a zone may go at any time.
    pub reclaimable_factor: f64,
}

impl Default for MixOptions {
    fn default() -> Self {
        Self {
            release_after: Duration::from_millis(500),
            reclaimable_factor: 2.5,
        }
    }
}

/// `FleetMix` plans the replicas of one service round by round.
#[derive(Debug, Clone, Default)]
pub struct FleetMix {
    options: MixOptions,
    /// On-demand replicas of the last plan, by zone.
    on_demand: BTreeMap<AvailabilityZone, u32>,
    /// Since when fewer on-demand replicas would do.
    surplus_since: Option<Timestamp>,
}

impl FleetMix {
    /// Builds a planner.
    pub fn new(options: MixOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Plans for `needed` replicas in all.
    pub fn plan(
        &mut self,
        needed: u32,
        bounds: &MixBounds,
        zones: &BTreeMap<AvailabilityZone, ZoneState>,
        now: Timestamp,
    ) -> BTreeMap<AvailabilityZone, ZoneMix> {
        let wanted = f64::from(needed) * self.options.reclaimable_factor;
        let reclaimable = spread(wanted.ceil() as u32, bounds, zones);
        let sure = |state: &ZoneState| state.reclaimable + state.pending_reclaimable;
        let at_least = on_demand(needed, bounds, zones, &reclaimable, sure);
        let at_most = on_demand(needed, bounds, zones, &reclaimable, |state| {
            state.reclaimable
        });
        let on_demand = self.with_hysteresis(&at_least, &at_most, zones, now);
        let mix = |zone: &AvailabilityZone| ZoneMix {
            reclaimable: reclaimable.get(zone).copied().unwrap_or_default(),
            on_demand: on_demand.get(zone).copied().unwrap_or_default(),
        };
        zones.keys().map(|zone| (zone.clone(), mix(zone))).collect()
    }

    /// Orders what is missing even when all that was ordered comes, and takes away what is too
    /// much even when nothing more comes, after it was too much for a while.
    fn with_hysteresis(
        &mut self,
        at_least: &BTreeMap<AvailabilityZone, u32>,
        at_most: &BTreeMap<AvailabilityZone, u32>,
        zones: &BTreeMap<AvailabilityZone, ZoneState>,
        now: Timestamp,
    ) -> BTreeMap<AvailabilityZone, u32> {
        let present = |zone: &AvailabilityZone| {
            let planned = self.on_demand.get(zone).copied();
            planned.unwrap_or_else(|| zones.get(zone).map_or(0, |state| state.on_demand))
        };
        let before: BTreeMap<_, _> = zones.keys().map(|z| (z.clone(), present(z))).collect();
        let total = |counts: &BTreeMap<AvailabilityZone, u32>| counts.values().sum::<u32>();
        let has_surplus = total(&before) > total(at_most);
        let since = self.surplus_since.filter(|_| has_surplus);
        let since = since.or(has_surplus.then_some(now));
        let is_released = since.is_some_and(|since| now.since(since) >= self.options.release_after);
        self.surplus_since = since.filter(|_| !is_released);
        if is_released {
            self.on_demand = at_most.clone();
        } else if total(&before) < total(at_least) {
            self.on_demand = raised(before, at_least);
        } else {
            self.on_demand = before;
        }
        self.on_demand.clone()
    }
}

/// Raises counts until there are as many as wanted, zone by zone.
fn raised(
    mut counts: BTreeMap<AvailabilityZone, u32>,
    wanted: &BTreeMap<AvailabilityZone, u32>,
) -> BTreeMap<AvailabilityZone, u32> {
    for (zone, count) in wanted {
        let known = counts.entry(zone.clone()).or_default();
        *known = (*known).max(*count);
    }
    counts
}

/// Returns the on-demand replicas that stand in for missing reclaimable ones, in the cheapest
/// zones, and those that the fewest of each zone ask for. `sure` tells which of the reclaimable
/// ones count as there.
fn on_demand(
    needed: u32,
    bounds: &MixBounds,
    zones: &BTreeMap<AvailabilityZone, ZoneState>,
    reclaimable: &BTreeMap<AvailabilityZone, u32>,
    sure: impl Fn(&ZoneState) -> u32,
) -> BTreeMap<AvailabilityZone, u32> {
    let sure = |zone: &AvailabilityZone, state: &ZoneState| {
        let planned = reclaimable.get(zone).copied().unwrap_or_default();
        sure(state).min(planned)
    };
    let mut on_demand = BTreeMap::new();
    let mut there = 0;
    for (zone, state) in zones {
        let sure = sure(zone, state);
        let least = bounds.min.saturating_sub(sure);
        on_demand.insert(zone.clone(), least);
        there += sure + least;
    }
    let mut missing = needed.saturating_sub(there);
    while missing > 0 {
        let Some(zone) = cheapest(bounds, zones, &on_demand, sure) else {
            break;
        };
        *on_demand.entry(zone).or_default() += 1;
        missing -= 1;
    }
    on_demand
}

/// Spreads reclaimable replicas evenly over the zones where they are to be had. A zone without
/// them keeps asking for its even part.
fn spread(
    needed: u32,
    bounds: &MixBounds,
    zones: &BTreeMap<AvailabilityZone, ZoneState>,
) -> BTreeMap<AvailabilityZone, u32> {
    let mut counts: BTreeMap<AvailabilityZone, u32> = BTreeMap::new();
    if !bounds.has_reclaimable || zones.is_empty() {
        return counts;
    }
    let even = needed
        .div_ceil(zones.len() as u32)
        .clamp(1, bounds.max.max(1));
    for zone in zones.keys() {
        counts.insert(zone.clone(), even);
    }
    let wet = zones
        .iter()
        .filter(|(_, state)| !state.is_reclaimable_unavailable && !state.has_recent_refusal);
    let wet: Vec<_> = wet.map(|(zone, _)| zone.clone()).collect();
    let mut missing = needed.saturating_sub(even * wet.len() as u32);
    let mut has_room = !wet.is_empty();
    while missing > 0 && has_room {
        has_room = false;
        for zone in &wet {
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

/// Returns the cheapest zone with room for another on-demand replica. Of zones that cost about
/// the same, the one with the fewest replicas is taken.
fn cheapest(
    bounds: &MixBounds,
    zones: &BTreeMap<AvailabilityZone, ZoneState>,
    on_demand: &BTreeMap<AvailabilityZone, u32>,
    sure: impl Fn(&AvailabilityZone, &ZoneState) -> u32,
) -> Option<AvailabilityZone> {
    let with_room = zones.iter().filter(|(zone, state)| {
        let count = on_demand.get(*zone).copied().unwrap_or_default();
        sure(zone, state) + count < bounds.max
    });
    let cost = |(zone, state): &(&AvailabilityZone, &ZoneState)| {
        let count = on_demand.get(*zone).copied().unwrap_or_default();
        state.price * (1.0 + CROWDING * f64::from(count))
    };
    let best = with_room.min_by(|left, right| cost(left).total_cmp(&cost(right)));
    best.map(|(zone, _)| zone.clone())
}

/// Part of its price by which each further replica makes a zone dearer. A zone that fails takes
/// all of its replicas along.
const CROWDING: f64 = 0.05;
