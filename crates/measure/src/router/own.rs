//! Routing of verbenahead, with the state that each node keeps.

use std::time::Duration;

use rand::rngs::StdRng;
use verbenahead_core::{
    AvailabilityZone, HashMap,
    units::{HourlyPrice, TokenRate, Tokens},
};
use verbenahead_manifest::RoutingWeights;
use verbenahead_policy::{
    CacheEvent, Candidate, CandidateState, LoadOptions, LoadView, PrefixIndex, PrefixPopularity,
    PromptBlocks, ReportedLoad, RouteOptions, RouteRequest, Timestamp, route_with,
};

use super::{RouteJob, Router, SentJob};
use crate::fake::{
    profile::Profile,
    replica::{Replica, ReplicaState, zone_id},
};

/// `OwnRouter` routes with verbenahead's policy and holds the state of each node.
#[derive(Debug)]
pub struct OwnRouter {
    weights: RoutingWeights,
    options: RouteOptions,
    load_options: LoadOptions,
    objective: Duration,
    nodes: Vec<NodeView>,
}

#[derive(Debug)]
struct NodeView {
    zone: AvailabilityZone,
    loads: HashMap<usize, LoadView>,
    prefixes: PrefixIndex,
    popularity: PrefixPopularity,
}

impl OwnRouter {
    /// Builds the router with an empty state for each node of a profile.
    pub fn new(profile: &Profile, options: RouteOptions) -> Self {
        let view = |node: usize| NodeView {
            zone: zone_id(node % profile.replicas.len()),
            loads: HashMap::default(),
            prefixes: PrefixIndex::default(),
            popularity: PrefixPopularity::default(),
        };
        Self {
            weights: profile.weights,
            options,
            load_options: LoadOptions {
                prefill_rate: TokenRate(profile.prefill_rate),
                batch_limit: profile.batch_limit,
                ..LoadOptions::default()
            },
            objective: profile.first_token,
            nodes: (0..profile.nodes).map(view).collect(),
        }
    }

    fn load(&mut self, node: usize, replica: usize) -> &mut LoadView {
        let options = self.load_options;
        let loads = &mut self.nodes[node].loads;
        loads
            .entry(replica)
            .or_insert_with(|| LoadView::new(options))
    }
}

impl OwnRouter {
    /// Returns the candidates in the view of the job's node.
    pub fn candidates(
        &self,
        job: &RouteJob<'_>,
        replicas: &[Replica],
        now: Timestamp,
    ) -> Vec<Candidate> {
        let idle = LoadView::new(self.load_options);
        let node = &self.nodes[job.node];
        let candidate = |(index, replica): (usize, &Replica)| Candidate {
            upstream: replica.id.clone(),
            zone: replica.zone_id.clone(),
            state: state(replica.state),
            load: node.loads.get(&index).unwrap_or(&idle).estimate(now),
            cached: node.prefixes.cached(&replica.id, job.blocks),
            price: HourlyPrice(replica.price),
        };
        replicas.iter().enumerate().map(candidate).collect()
    }

    /// Returns a node's estimate of the prompt tokens that a replica has cached.
    pub fn cached(&self, node: usize, replica: &Replica, blocks: &PromptBlocks) -> Tokens {
        self.nodes[node].prefixes.cached(&replica.id, blocks)
    }

    /// Returns the affinity key of a prompt in the view of a node.
    pub fn key(&self, node: usize, blocks: &PromptBlocks, replicas: usize) -> u64 {
        let affinity = self.nodes[node].popularity.peek(blocks, replicas);
        affinity.map_or(0, |affinity| affinity.key)
    }

    /// Records at a node that a replica has imported a KV cache.
    pub fn on_imported(
        &mut self,
        node: usize,
        replica: &Replica,
        blocks: &PromptBlocks,
        now: Timestamp,
    ) {
        self.nodes[node].prefixes.on_sent(&replica.id, blocks, now);
    }
}

impl Router for OwnRouter {
    fn name(&self) -> &'static str {
        "verbenahead"
    }

    fn choose(
        &mut self,
        job: &RouteJob<'_>,
        replicas: &[Replica],
        now: Timestamp,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let candidates = self.candidates(job, replicas, now);
        let node = &mut self.nodes[job.node];
        let ready = candidates
            .iter()
            .filter(|c| c.state == CandidateState::Ready);
        let affinity = node.popularity.observe(job.blocks, ready.count(), now);
        let req = RouteRequest {
            zone: &node.zone,
            prompt: job.blocks.prompt(),
            affinity,
            objective: self.objective,
        };
        let choice = route_with(&req, &candidates, &self.weights, &self.options, rng);
        choice.map(|choice| choice.index)
    }

    fn as_own_router(&mut self) -> Option<&mut OwnRouter> {
        Some(self)
    }

    fn on_report(&mut self, replica: usize, load: ReportedLoad, now: Timestamp) {
        for node in 0..self.nodes.len() {
            self.load(node, replica).on_report(load, now);
        }
    }

    fn on_cache_event(&mut self, replica: usize, event: &CacheEvent) {
        let id = crate::fake::replica::upstream_id(replica);
        for node in &mut self.nodes {
            node.prefixes.on_event(&id, event);
        }
    }

    fn on_sent(&mut self, sent: &SentJob<'_>, now: Timestamp) {
        let id = crate::fake::replica::upstream_id(sent.replica);
        let prefixes = &mut self.nodes[sent.node].prefixes;
        let cached = prefixes.cached(&id, sent.blocks);
        prefixes.on_sent(&id, sent.blocks, now);
        let uncached = Tokens(sent.blocks.prompt().0.saturating_sub(cached.0));
        self.load(sent.node, sent.replica)
            .on_sent(sent.attempt, uncached, now);
    }

    fn on_first_token(&mut self, sent: &SentJob<'_>, now: Timestamp) {
        self.load(sent.node, sent.replica)
            .on_first_token(sent.attempt, None, now);
    }

    fn on_ended(&mut self, sent: &SentJob<'_>, service_time: f64, now: Timestamp) {
        let id = crate::fake::replica::upstream_id(sent.replica);
        self.nodes[sent.node]
            .prefixes
            .on_sent(&id, sent.blocks, now);
        let service_time = Duration::from_secs_f64(service_time);
        self.load(sent.node, sent.replica)
            .on_finished(sent.attempt, service_time, now);
    }

    fn on_gone(&mut self, replica: usize, replicas: &[Replica]) {
        for node in &mut self.nodes {
            node.loads.remove(&replica);
            node.prefixes.forget(&replicas[replica].id);
        }
    }
}

fn state(state: ReplicaState) -> CandidateState {
    match state {
        ReplicaState::Ready => CandidateState::Ready,
        ReplicaState::Leaving => CandidateState::Leaving,
        ReplicaState::Starting | ReplicaState::Gone => CandidateState::Suspected,
    }
}
