//! The choice of a replica for an attempt.

use std::sync::Arc;

use verbenahead_core::{AvailabilityZone, ServiceId, units::Tokens};
use verbenahead_policy::{PlainCandidate, route_plain};

use crate::{registry::UpstreamRegistry, upstream::UpstreamEntry};

/// `Placement` is the replica chosen for an attempt.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The replica.
    pub upstream: Arc<UpstreamEntry>,
    /// Tokens of the prompt that it should have to process.
    pub uncached: Tokens,
}

/// `Placer` chooses replicas for one node.
#[derive(Debug)]
pub struct Placer {
    zone: AvailabilityZone,
    registry: Arc<UpstreamRegistry>,
}

impl Placer {
    /// Builds the placer of a node in `zone`.
    pub fn new(zone: AvailabilityZone, registry: Arc<UpstreamRegistry>) -> Self {
        Self { zone, registry }
    }

    /// Chooses a replica of a service that is not among the `tried` ones.
    pub fn place(&self, service: &ServiceId, tried: &[Arc<UpstreamEntry>]) -> Option<Placement> {
        let mut entries = self.registry.live(service);
        entries.retain(|entry| !tried.iter().any(|other| Arc::ptr_eq(other, entry)));
        let candidates: Vec<_> = entries.iter().map(|entry| plain(entry)).collect();
        let index = route_plain(&self.zone, &candidates, &mut rand::rng())?;
        Some(Placement {
            upstream: Arc::clone(&entries[index]),
            uncached: Tokens(0),
        })
    }
}

fn plain(entry: &UpstreamEntry) -> PlainCandidate {
    PlainCandidate {
        zone: entry.zone.clone(),
        state: entry.candidate_state(),
        outstanding: entry.outstanding(),
    }
}
