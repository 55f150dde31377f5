//! Choice of an upstream for new work.

use std::sync::Arc;

use rand::{Rng, seq::IndexedRandom};
use verbenahead_core::AvailabilityZone;

use crate::node::upstream_entry::UpstreamEntry;

/// Number of upstreams that are compared. Comparing few keeps nodes with the same view from
/// choosing the same upstream.
const SAMPLE_SIZE: usize = 2;

/// Chooses the upstream with the fewest requests of this node among a few at random. At equal
/// numbers, one in the node's own availability zone is preferred.
pub fn least_outstanding(
    candidates: &[Arc<UpstreamEntry>],
    zone: &AvailabilityZone,
    rng: &mut impl Rng,
) -> Option<Arc<UpstreamEntry>> {
    candidates
        .choose_multiple(rng, SAMPLE_SIZE)
        .min_by_key(|entry| (entry.outstanding(), entry.zone != *zone))
        .cloned()
}
