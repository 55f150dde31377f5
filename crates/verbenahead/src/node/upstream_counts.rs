//! Number of upstreams by service, availability zone and state.

use std::{collections::BTreeMap, sync::Arc};

use verbenahead_relay::upstream::{UpstreamEntry, UpstreamStatus};

use crate::operators::UpstreamCount;

/// Counts upstreams by service, availability zone and state.
pub fn count_upstreams(entries: &[Arc<UpstreamEntry>]) -> Vec<UpstreamCount> {
    let mut counts = BTreeMap::new();
    for entry in entries {
        let state = state_name(entry.status());
        let key = (entry.service.clone(), entry.zone.clone(), state);
        *counts.entry(key).or_insert(0) += 1;
    }
    let count = |((service, zone, state), count): ((_, _, &str), usize)| UpstreamCount {
        service,
        zone,
        state: state.to_owned(),
        count,
    };
    counts.into_iter().map(count).collect()
}

fn state_name(status: UpstreamStatus) -> &'static str {
    match status {
        UpstreamStatus::Live => "live",
        UpstreamStatus::Leaving { .. } => "leaving",
        UpstreamStatus::Gone => "gone",
    }
}
