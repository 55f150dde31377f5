//! The choice of a replica for an attempt.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use verbenahead_core::{
    AvailabilityZone, HashMap, ServiceId,
    units::{HourlyPrice, Tokens},
};
use verbenahead_manifest::RoutingWeights;
use verbenahead_policy::{
    Affinity, Candidate, PlainCandidate, PrefixIndex, PrefixIndexOptions, PromptBlocks,
    RouteRequest, prefix_source, route, route_plain,
};

use crate::{
    clock::policy_now, exchange::Exchange, registry::UpstreamRegistry, upstream::UpstreamEntry,
};

/// `Placement` is the replica chosen for an attempt.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The replica.
    pub upstream: Arc<UpstreamEntry>,
    /// Tokens of the prompt that it should have to process.
    pub uncached: Tokens,
    /// Predicted time to the first token of a prompt.
    pub predicted: Option<Duration>,
    /// Replicas that were there to choose from.
    pub candidates: usize,
    /// Another replica that should hold more of the prompt's shared parts.
    pub prefix_at: Option<SocketAddr>,
}

/// `Placer` chooses replicas for one node.
#[derive(Debug)]
pub struct ReplicaSelector {
    zone: AvailabilityZone,
    registry: Arc<UpstreamRegistry>,
    prefixes: Mutex<HashMap<ServiceId, PrefixIndex>>,
    demand: Mutex<BTreeMap<ServiceId, Tokens>>,
}

/// Weights of a choice among replicas of one price. Leaving the zone costs little time.
const WEIGHTS: RoutingWeights = RoutingWeights {
    first_token: 1.0,
    recomputed_tokens: 1.0,
    cost: 0.0,
    zone_crossing: 1.0,
};

impl ReplicaSelector {
    /// Builds the placer of a node in `zone`.
    pub fn new(zone: AvailabilityZone, registry: Arc<UpstreamRegistry>) -> Self {
        Self {
            zone,
            registry,
            prefixes: Mutex::default(),
            demand: Mutex::default(),
        }
    }

    /// Chooses a replica that is not among the `tried` ones.
    pub(crate) fn place(
        &self,
        exchange: &Exchange,
        tried: &[Arc<UpstreamEntry>],
    ) -> Option<Placement> {
        let mut entries = self.registry.live(&exchange.service);
        entries.retain(|entry| !tried.iter().any(|other| Arc::ptr_eq(other, entry)));
        match &exchange.blocks {
            Some(blocks) => self.place_prompt(exchange, blocks, &entries),
            None => self.place_plain(&entries),
        }
    }

    /// Returns the tokens of prompts that replicas should have had to process, by service, since
    /// the start of the node.
    pub fn prompt_demand(&self) -> BTreeMap<ServiceId, Tokens> {
        self.lock_demand().clone()
    }

    /// Notes that a prompt is sent to a replica, which will cache it.
    pub(crate) fn note_sent(
        &self,
        exchange: &Exchange,
        upstream: &UpstreamEntry,
        uncached: Tokens,
    ) {
        if let Some(blocks) = &exchange.blocks {
            let mut demand = self.lock_demand();
            *demand.entry(exchange.service.clone()).or_default() += uncached;
            drop(demand);
            self.with_prefixes(&exchange.service, |prefixes| {
                prefixes.on_sent(&upstream.address.upstream, blocks, policy_now());
            });
        }
    }

    fn place_plain(&self, entries: &[Arc<UpstreamEntry>]) -> Option<Placement> {
        let candidates: Vec<_> = entries.iter().map(|entry| plain(entry)).collect();
        let index = route_plain(&self.zone, &candidates, &mut rand::rng())?;
        Some(Placement {
            upstream: Arc::clone(&entries[index]),
            uncached: Tokens(0),
            predicted: None,
            candidates: entries.len(),
            prefix_at: None,
        })
    }

    fn place_prompt(
        &self,
        exchange: &Exchange,
        blocks: &PromptBlocks,
        entries: &[Arc<UpstreamEntry>],
    ) -> Option<Placement> {
        let candidates = self.with_prefixes(&exchange.service, |prefixes| {
            let candidate = |entry: &Arc<UpstreamEntry>| Candidate {
                upstream: entry.address.upstream.clone(),
                zone: entry.zone.clone(),
                state: entry.candidate_state(),
                load: entry.load(),
                cached: prefixes.cached(&entry.address.upstream, blocks),
                price: HourlyPrice(0.0),
            };
            entries.iter().map(candidate).collect::<Vec<_>>()
        });
        let shared = blocks.hashes().len();
        let req = RouteRequest {
            zone: &self.zone,
            prompt: blocks.prompt(),
            affinity: blocks.hashes().last().map(|hash| Affinity {
                key: hash.0,
                tokens: blocks.prefix_tokens(shared),
            }),
            objective: exchange.route.objective,
        };
        let choice = route(&req, &candidates, &WEIGHTS, &mut rand::rng())?;
        let source = prefix_source(&req, &candidates, choice.index);
        Some(Placement {
            upstream: Arc::clone(&entries[choice.index]),
            uncached: choice.uncached,
            predicted: Some(choice.predicted_first_token),
            candidates: entries.len(),
            prefix_at: source.map(|index| entries[index].address.address),
        })
    }

    fn with_prefixes<T>(&self, service: &ServiceId, f: impl FnOnce(&mut PrefixIndex) -> T) -> T {
        let mut prefixes = self.lock();
        if !prefixes.contains_key(service) {
            let index = PrefixIndex::new(PrefixIndexOptions::default());
            prefixes.insert(service.clone(), index);
        }
        f(prefixes.entry(service.clone()).or_default())
    }

    fn lock_demand(&self) -> MutexGuard<'_, BTreeMap<ServiceId, Tokens>> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, PrefixIndex>> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn plain(entry: &UpstreamEntry) -> PlainCandidate {
    PlainCandidate {
        zone: entry.zone.clone(),
        state: entry.candidate_state(),
        outstanding: entry.outstanding(),
    }
}
