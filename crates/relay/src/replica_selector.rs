//! Selection of the replica for an attempt.

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
    Affinity, Candidate, CandidateState, Choice, PlainCandidate, PrefixIndex, PrefixIndexOptions,
    PromptBlocks, RouteRequest, prefix_source, route_plain, route_shortlist,
};

use crate::{
    clock::policy_now,
    exchange::Exchange,
    placement::PlacementEvidence,
    registry::UpstreamRegistry,
    rollouts::Rollouts,
    upstream::{UpstreamEntry, UpstreamStatus},
};

/// `Selection` is the replica selected for an attempt.
#[derive(Debug, Clone)]
pub struct Selection {
    /// Selected replica.
    pub upstream: Arc<UpstreamEntry>,
    /// Tokens of the prompt that the replica probably has to process, since they are not in its
    /// cache.
    pub uncached: Tokens,
    /// Predicted time to the first token, if the request has a prompt.
    pub predicted: Option<Duration>,
    /// Number of replicas that could be selected.
    pub candidates: usize,
    /// Address of another replica that probably holds a longer prefix of the prompt.
    pub prefix_at: Option<SocketAddr>,
    /// Penalty for the way to the replica.
    pub distance: Duration,
    /// What the coordinators of the candidates knew, if they were asked.
    pub placement: Option<PlacementEvidence>,
}

impl Selection {
    /// Selects a replica that is given, for a run whose KV cache it holds.
    pub(crate) fn fixed(upstream: Arc<UpstreamEntry>) -> Self {
        Self {
            upstream,
            uncached: Tokens(0),
            predicted: None,
            candidates: 1,
            prefix_at: None,
            distance: Duration::ZERO,
            placement: None,
        }
    }

    /// Returns whose knowledge of the load decided the selection, for log lines.
    pub(crate) fn load_source(&self) -> &'static str {
        let is_coordinated = self.placement.is_some_and(|p| p.first_event.is_some());
        if is_coordinated {
            "coordinators"
        } else if self.upstream.has_report() {
            "own_answers"
        } else {
            "none"
        }
    }
}

/// `ExcludedReplicas` counts the replicas of a service that a request is not sent to, by reason. A
/// replica counts for the first reason that holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExcludedReplicas {
    /// All replicas of the service.
    pub registered: usize,
    /// Replicas that are leaving.
    pub leaving: usize,
    /// Replicas that the request was sent to.
    pub tried: usize,
    /// Replicas that want no requests or are at their limit.
    pub closed: usize,
    /// Replicas whose circuit breaker is open.
    pub circuit_open: usize,
    /// Time since the last answer of any of them to this node.
    pub last_answer_age: Option<Duration>,
    /// Requests that other nodes recently reported to have at them.
    pub other_requests: u32,
}

/// `ReplicaSelector` selects replicas for the requests of one node.
#[derive(Debug)]
pub struct ReplicaSelector {
    zone: AvailabilityZone,
    registry: Arc<UpstreamRegistry>,
    prefixes: Mutex<HashMap<ServiceId, PrefixIndex>>,
    prompt_demand: Mutex<BTreeMap<ServiceId, Tokens>>,
    rollouts: Arc<Rollouts>,
}

/// Weights of the score of a candidate. All replicas count as equally priced, so the cost has no
/// weight. Crossing zones costs little time.
const WEIGHTS: RoutingWeights = RoutingWeights {
    first_token: 1.0,
    recomputed_tokens: 1.0,
    cost: 0.0,
    zone_crossing: 1.0,
};

/// Penalty for a replica in another availability zone, which is some milliseconds away.
const ZONE_DISTANCE: Duration = Duration::from_millis(3);

impl ReplicaSelector {
    /// Builds the selector of a node in `zone`.
    pub fn new(zone: AvailabilityZone, registry: Arc<UpstreamRegistry>) -> Self {
        Self {
            zone,
            registry,
            prefixes: Mutex::default(),
            prompt_demand: Mutex::default(),
            rollouts: Arc::default(),
        }
    }

    /// Lets the rollouts decide which software versions requests go to.
    #[must_use]
    pub fn with_rollouts(mut self, rollouts: Arc<Rollouts>) -> Self {
        self.rollouts = rollouts;
        self
    }

    /// Returns the rollouts that the node knows.
    pub fn rollouts(&self) -> &Arc<Rollouts> {
        &self.rollouts
    }

    /// Selects a replica that is not in `tried`, and for a prompt up to `count - 1` others in the order of their
    /// scores. The selection is empty if there is no replica.
    pub(crate) fn shortlist(
        &self,
        exchange: &Exchange,
        tried: &[Arc<UpstreamEntry>],
        count: usize,
    ) -> Vec<Selection> {
        let mut entries = self.registry.live(&exchange.service);
        let rule = self.rollouts.rule(&exchange.service, &entries);
        let is_tried =
            |entry: &Arc<UpstreamEntry>| tried.iter().any(|other| other.is_same_process(entry));
        entries.retain(|entry| {
            !is_tried(entry) && entry.is_open() && exchange.allows_version_of(entry)
        });
        if let Some(rule) = rule {
            let is_bound = exchange.progress.version.is_some();
            rule.retain(&exchange.caller.id, is_bound, tried, &mut entries);
        }
        match &exchange.blocks {
            Some(blocks) => self.select_for_prompt(exchange, blocks, &entries, count),
            None => Vec::from_iter(self.select_plain(&entries)),
        }
    }

    /// Counts the replicas that a request is not sent to. `tried` are those that it was sent to.
    pub(crate) fn count_excluded(
        &self,
        exchange: &Exchange,
        tried: &[Arc<UpstreamEntry>],
    ) -> ExcludedReplicas {
        let mut excluded = ExcludedReplicas::default();
        let entries = self.registry.all();
        for entry in entries.iter().filter(|e| e.service == exchange.service) {
            excluded.registered += 1;
            let age = entry.last_answer_age();
            excluded.last_answer_age = [excluded.last_answer_age, age].into_iter().flatten().min();
            excluded.other_requests += entry.other_requests().unwrap_or(0);
            if entry.status() != UpstreamStatus::Live {
                excluded.leaving += 1;
            } else if tried.iter().any(|other| other.is_same_process(entry)) {
                excluded.tried += 1;
            } else if !entry.is_open() {
                excluded.closed += 1;
            } else if entry.candidate_state() == CandidateState::CircuitOpen {
                excluded.circuit_open += 1;
            }
        }
        excluded
    }

    /// Returns whether a stream could go on at another replica than `upstream`.
    pub(crate) fn has_other(&self, exchange: &Exchange, upstream: &Arc<UpstreamEntry>) -> bool {
        let entries = self.registry.live(&exchange.service);
        let mut others = entries
            .iter()
            .filter(|entry| !entry.is_same_process(upstream));
        others.any(|entry| entry.is_open() && exchange.allows_version_of(entry))
    }

    /// Returns whether a stream could go on at a replica that was not tried yet.
    pub(crate) fn has_untried(&self, exchange: &Exchange) -> bool {
        let tried = &exchange.progress.tried;
        let entries = self.registry.live(&exchange.service);
        entries.iter().any(|entry| {
            let is_tried = tried.iter().any(|other| other.is_same_process(entry));
            !is_tried && entry.is_open() && exchange.allows_version_of(entry)
        })
    }

    /// Returns the time after which the first replica of a service that wants no requests accepts
    /// them again, or `None` if there is no such replica.
    pub(crate) fn opens_after(&self, service: &ServiceId) -> Option<Duration> {
        let entries = self.registry.live(service);
        entries.iter().filter_map(|entry| entry.closed_for()).min()
    }

    /// Returns the estimated number of prompt tokens that replicas had to process since the start
    /// of the node, by service.
    pub fn prompt_demand(&self) -> BTreeMap<ServiceId, Tokens> {
        self.lock_prompt_demand().clone()
    }

    /// Records that a prompt is sent to a replica, which will cache it.
    pub(crate) fn record_sent(
        &self,
        exchange: &Exchange,
        upstream: &UpstreamEntry,
        uncached: Tokens,
    ) {
        if let Some(blocks) = &exchange.blocks {
            let mut demand = self.lock_prompt_demand();
            *demand.entry(exchange.service.clone()).or_default() += uncached;
            drop(demand);
            self.with_prefixes(&exchange.service, |prefixes| {
                prefixes.on_sent(&upstream.address.upstream, blocks, policy_now());
            });
        }
    }

    fn select_plain(&self, entries: &[Arc<UpstreamEntry>]) -> Option<Selection> {
        let candidates: Vec<_> = entries.iter().map(|entry| plain_candidate(entry)).collect();
        let index = route_plain(&self.zone, &candidates, &mut rand::rng())?;
        Some(Selection {
            upstream: Arc::clone(&entries[index]),
            uncached: Tokens(0),
            predicted: None,
            candidates: entries.len(),
            prefix_at: None,
            distance: Duration::ZERO,
            placement: None,
        })
    }

    fn select_for_prompt(
        &self,
        exchange: &Exchange,
        blocks: &PromptBlocks,
        entries: &[Arc<UpstreamEntry>],
        count: usize,
    ) -> Vec<Selection> {
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
        let choices = route_shortlist(&req, &candidates, &WEIGHTS, count, &mut rand::rng());
        let selection = |choice: &Choice| {
            let chosen = &entries[choice.index];
            // The KV cache of another software version may not fit.
            let has_same_version = |index: &usize| entries[*index].software == chosen.software;
            let source = prefix_source(&req, &candidates, choice.index).filter(has_same_version);
            let is_near = chosen.zone == self.zone;
            Selection {
                upstream: Arc::clone(chosen),
                uncached: choice.uncached,
                predicted: Some(choice.predicted_first_token),
                candidates: entries.len(),
                prefix_at: source.map(|index| entries[index].address.address),
                distance: if is_near {
                    Duration::ZERO
                } else {
                    ZONE_DISTANCE
                },
                placement: None,
            }
        };
        choices.iter().map(selection).collect()
    }

    fn with_prefixes<T>(&self, service: &ServiceId, f: impl FnOnce(&mut PrefixIndex) -> T) -> T {
        let mut prefixes = self.lock_prefixes();
        if !prefixes.contains_key(service) {
            let index = PrefixIndex::new(PrefixIndexOptions::default());
            prefixes.insert(service.clone(), index);
        }
        f(prefixes.entry(service.clone()).or_default())
    }

    fn lock_prompt_demand(&self) -> MutexGuard<'_, BTreeMap<ServiceId, Tokens>> {
        self.prompt_demand
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_prefixes(&self) -> MutexGuard<'_, HashMap<ServiceId, PrefixIndex>> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn plain_candidate(entry: &UpstreamEntry) -> PlainCandidate {
    PlainCandidate {
        zone: entry.zone.clone(),
        state: entry.candidate_state(),
        outstanding: entry.outstanding(),
        load: entry.plain_load(),
    }
}
