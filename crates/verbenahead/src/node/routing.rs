//! Choice of upstreams, with the prefix caches, prefix popularity and retry budget per service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use verbenahead_core::{
    AvailabilityZone, HashMap, NodeId, ServiceId, UpstreamId, units::HourlyPrice,
};
use verbenahead_manifest::{ModelService, Service};
use verbenahead_policy::{
    Affinity, BlockOptions, Candidate, CandidateState, Choice, PlainCandidate, PopularityOptions,
    PrefixIndex, PrefixIndexOptions, PrefixPopularity, PromptBlocks, RetryBudget,
    RetryBudgetOptions, RetryDecision, RetryOptions, RetryRequest, RouteRequest, decide_retry,
    route, route_plain, subset,
};
use verbenahead_relay::{clock::policy_now, upstream::UpstreamEntry};
use verbenahead_services::Market;

use crate::node::upstream_directory::UpstreamDirectory;

/// Number of live upstreams of a service up to which all of them are candidates.
const MAX_CANDIDATES: usize = 48;

/// Candidates per availability zone in a service with more upstreams.
const SUBSET_PER_ZONE: usize = 6;

/// Further candidates: the upstreams that rank highest for the prefix of the prompt.
const PREFIX_OWNERS: usize = 2;

/// `RoutedPrompt` holds the prefix blocks of a prompt and its affinity to upstreams.
#[derive(Debug, Clone)]
pub struct RoutedPrompt {
    blocks: PromptBlocks,
    affinity: Option<Affinity>,
}

/// `Routing` chooses upstreams for one node.
pub struct Routing {
    node: NodeId,
    zone: AvailabilityZone,
    directory: Arc<UpstreamDirectory>,
    services: Mutex<HashMap<ServiceId, ServiceRouting>>,
}

struct ServiceRouting {
    prefixes: PrefixIndex,
    popularity: PrefixPopularity,
    budget: RetryBudget,
}

impl Default for ServiceRouting {
    fn default() -> Self {
        Self {
            prefixes: PrefixIndex::new(PrefixIndexOptions::default()),
            popularity: PrefixPopularity::new(PopularityOptions::default()),
            budget: RetryBudget::new(RetryBudgetOptions::default(), policy_now()),
        }
    }
}

impl Routing {
    /// Builds the routing of a node in `zone`.
    pub fn new(node: NodeId, zone: AvailabilityZone, directory: Arc<UpstreamDirectory>) -> Self {
        Self {
            node,
            zone,
            directory,
            services: Mutex::default(),
        }
    }

    /// Splits a prompt into prefix blocks and records it in the prefix popularity of its service.
    pub fn analyze_prompt(&self, service: &ServiceId, model: &str, prompt: &str) -> RoutedPrompt {
        let options = BlockOptions::default();
        let blocks = PromptBlocks::from_prompt(model, prompt.as_bytes(), &options);
        let upstreams = self.directory.live(service).len();
        let affinity = self.with_service(service, |routing| {
            routing.popularity.observe(&blocks, upstreams, policy_now())
        });
        RoutedPrompt { blocks, affinity }
    }

    /// Chooses the upstream for an attempt at a model request. Upstreams in `avoided` are chosen
    /// only when there are no others. Returns none when no upstream may get work.
    pub fn choose_engine(
        &self,
        service: &Service,
        kind: &ModelService,
        prompt: &RoutedPrompt,
        avoided: &[Arc<UpstreamEntry>],
    ) -> Option<(Arc<UpstreamEntry>, Choice)> {
        let entries = self.candidate_entries(self.directory.live(&service.id), prompt);
        let entries = exclude(entries, avoided);
        let candidates = self.candidates(service, &entries, prompt);
        let req = RouteRequest {
            zone: &self.zone,
            prompt: prompt.blocks.prompt(),
            affinity: prompt.affinity,
            objective: service.objectives.first_token,
        };
        let choice = route(&req, &candidates, &kind.weights, &mut rand::rng())?;
        Some((Arc::clone(&entries[choice.index]), choice))
    }

    /// Returns the upstreams to choose from. In a large service these are a subset that is fixed
    /// per node, and the owners of the prompt's prefix, which are the same at all nodes.
    fn candidate_entries(
        &self,
        entries: Vec<Arc<UpstreamEntry>>,
        prompt: &RoutedPrompt,
    ) -> Vec<Arc<UpstreamEntry>> {
        if entries.len() <= MAX_CANDIDATES {
            return entries;
        }
        let members: Vec<_> = entries.iter().map(|entry| subset_member(entry)).collect();
        let mut chosen = subset::subset(&self.node, &members, SUBSET_PER_ZONE);
        if let Some(affinity) = prompt.affinity {
            chosen.extend(subset::owners(affinity.key, &members, PREFIX_OWNERS));
        }
        chosen.sort_unstable();
        chosen.dedup();
        let entry = |index: usize| Arc::clone(&entries[index]);
        chosen.into_iter().map(entry).collect()
    }

    fn candidates(
        &self,
        service: &Service,
        entries: &[Arc<UpstreamEntry>],
        prompt: &RoutedPrompt,
    ) -> Vec<Candidate> {
        self.with_service(&service.id, |routing| {
            let candidate = |entry: &Arc<UpstreamEntry>| Candidate {
                upstream: entry.address.upstream.clone(),
                zone: entry.zone.clone(),
                state: entry.candidate_state(),
                load: entry.load(),
                cached: routing
                    .prefixes
                    .cached(&entry.address.upstream, &prompt.blocks),
                price: hourly_price(service, entry),
            };
            entries.iter().map(candidate).collect()
        })
    }

    /// Chooses the upstream for a call to a plain service. Upstreams in `avoided` are chosen only
    /// when there are no others.
    pub fn choose_plain(
        &self,
        service: &ServiceId,
        avoided: &[Arc<UpstreamEntry>],
    ) -> Option<Arc<UpstreamEntry>> {
        let entries = exclude(self.directory.live(service), avoided);
        let candidates: Vec<_> = entries
            .iter()
            .map(|entry| PlainCandidate {
                zone: entry.zone.clone(),
                state: entry.candidate_state(),
                outstanding: entry.outstanding(),
                load: None,
            })
            .collect();
        let index = route_plain(&self.zone, &candidates, &mut rand::rng())?;
        Some(Arc::clone(&entries[index]))
    }

    /// Returns whether any upstream of a service may get new work now.
    pub fn has_ready(&self, service: &ServiceId) -> bool {
        let is_ready =
            |entry: &Arc<UpstreamEntry>| entry.candidate_state() == CandidateState::Ready;
        self.directory.live(service).iter().any(is_ready)
    }

    /// Records that a prompt was sent to an upstream, which then holds its prefix in the KV cache.
    pub fn on_sent(&self, service: &ServiceId, upstream: &UpstreamId, prompt: &RoutedPrompt) {
        self.with_service(service, |routing| {
            routing
                .prefixes
                .on_sent(upstream, &prompt.blocks, policy_now());
        });
    }

    /// Records a complete answer, which adds a fraction of a retry to the budget of the service.
    pub fn on_success(&self, service: &ServiceId) {
        self.with_service(service, |routing| routing.budget.on_success());
    }

    /// Decides whether a failed request is retried, and after which delay.
    pub fn decide_retry(&self, service: &ServiceId, req: &RetryRequest) -> RetryDecision {
        let options = RetryOptions::default();
        self.with_service(service, |routing| {
            let now = policy_now();
            decide_retry(req, &options, &mut routing.budget, now, &mut rand::rng())
        })
    }

    fn with_service<T>(&self, service: &ServiceId, f: impl FnOnce(&mut ServiceRouting) -> T) -> T {
        let mut services = self.lock();
        if !services.contains_key(service) {
            services.insert(service.clone(), ServiceRouting::default());
        }
        f(services.entry(service.clone()).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceRouting>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn subset_member(entry: &UpstreamEntry) -> subset::Member {
    subset::Member {
        upstream: entry.address.upstream.clone(),
        zone: entry.zone.clone(),
    }
}

fn exclude(
    entries: Vec<Arc<UpstreamEntry>>,
    avoided: &[Arc<UpstreamEntry>],
) -> Vec<Arc<UpstreamEntry>> {
    let is_avoided =
        |entry: &Arc<UpstreamEntry>| avoided.iter().any(|other| Arc::ptr_eq(other, entry));
    if entries.iter().all(is_avoided) {
        return entries;
    }
    entries
        .into_iter()
        .filter(|entry| !is_avoided(entry))
        .collect()
}

fn hourly_price(service: &Service, entry: &UpstreamEntry) -> HourlyPrice {
    let classes = service.fleet.iter().flat_map(|fleet| &fleet.classes);
    let class = classes.into_iter().find(|class| class.name == entry.class);
    class.map_or(HourlyPrice(0.0), |class| match entry.market {
        Market::Reclaimable => class.reclaimable_price_in(&entry.zone),
        Market::OnDemand => class.on_demand_price_in(&entry.zone),
    })
}
