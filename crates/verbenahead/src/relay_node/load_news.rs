//! Loads of replicas that nodes pass on to each other in their reports.
//!
//! A node gets answers of few replicas in a second. It tells the others the loads that replicas recently
//! reported to it, in the bytes that its reports leave over, so that each node knows a recent load of most
//! replicas. Only loads with the speed of the machine are passed on, and only by the node that got them.

use std::time::Duration;

use verbenahead_core::{HashMap, units::Tokens};
use verbenahead_membership::{NameKey, PassedLoad, ReplicaWork};
use verbenahead_policy::{ReportedLoad, TimePercent};
use verbenahead_relay::UpstreamRegistry;

/// Age from which a load is not passed on. The speed of a machine changes faster than that, but the number
/// of its requests does not.
const MAX_AGE: Duration = Duration::from_millis(1_000);

/// Largest size of the load of a replica in a report, in bytes, without and with the entry that holds it.
const LOAD_BYTES: usize = 12;
const ENTRY_BYTES: usize = 7;

/// Adds the most recent loads to the entries of a report, as many as `spare_bytes` allow.
pub fn add_loads(work: &mut Vec<ReplicaWork>, registry: &UpstreamRegistry, spare_bytes: usize) {
    let entries = registry.all();
    let mut loads: Vec<_> = entries
        .iter()
        .filter_map(|entry| {
            let load = entry.direct_load(MAX_AGE)?;
            Some((NameKey::from(&entry.address.upstream), load))
        })
        .collect();
    loads.sort_by_key(|(_, load)| load.age);
    let mut spare = spare_bytes;
    for (replica, load) in loads {
        let known = work.iter().position(|known| known.replica == replica);
        let bytes = known.map_or(LOAD_BYTES + ENTRY_BYTES, |_| LOAD_BYTES);
        let Some(rest) = spare.checked_sub(bytes) else {
            return;
        };
        spare = rest;
        let load = PassedLoad {
            running: load.running,
            waiting: load.queued,
            time_percent: load.time_percent.map_or(0, TimePercent::get),
            age: load.age,
        };
        match known {
            Some(index) => work[index].load = Some(load),
            None => work.push(ReplicaWork {
                replica,
                requests: 0,
                queued: Tokens(0),
                load: Some(load),
            }),
        }
    }
}

/// Records the loads that another node passed on in the entries of its report.
pub fn apply_loads(work: &[ReplicaWork], registry: &UpstreamRegistry) {
    let loads = work
        .iter()
        .filter_map(|work| Some((work.replica, work.load?)));
    let loads: HashMap<NameKey, PassedLoad> = loads.collect();
    if loads.is_empty() {
        return;
    }
    for entry in registry.all() {
        let Some(load) = loads.get(&NameKey::from(&entry.address.upstream)) else {
            continue;
        };
        let Some(batch_limit) = entry.slots else {
            continue;
        };
        entry.record_passed_load(ReportedLoad {
            running: load.running,
            queued: load.waiting,
            batch_limit,
            queued_tokens: None,
            time_percent: TimePercent::from_stated(f64::from(load.time_percent)),
            age: load.age,
        });
    }
}
