//! Baseline routers.

use rand::{Rng, rngs::StdRng};
use verbenahead_core::HashMap;
use verbenahead_policy::{ReportedLoad, Timestamp, hash};

use super::{RouteJob, Router, SentJob};
use crate::fake::replica::{Replica, ReplicaState};

/// `RoundRobin` selects the ready replicas in turn, separately at each node.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: HashMap<usize, usize>,
}

impl Router for RoundRobin {
    fn name(&self) -> &'static str {
        "round_robin"
    }

    fn choose(
        &mut self,
        job: &RouteJob<'_>,
        replicas: &[Replica],
        _now: Timestamp,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let ready = ready(replicas);
        let first = || rng.random_range(0..replicas.len());
        let next = self.next.entry(job.node).or_insert_with(first);
        *next = next.wrapping_add(1);
        ready.get(*next % ready.len().max(1)).copied()
    }

    fn on_report(&mut self, _: usize, _: ReportedLoad, _: Timestamp) {}
    fn on_sent(&mut self, _: &SentJob<'_>, _: Timestamp) {}
    fn on_first_token(&mut self, _: &SentJob<'_>, _: Timestamp) {}
    fn on_ended(&mut self, _: &SentJob<'_>, _: f64, _: Timestamp) {}
    fn on_gone(&mut self, _: usize, _: &[Replica]) {}
}

/// `LeastReported` selects a ready replica with the lowest load in the last report.
#[derive(Debug, Default)]
pub struct LeastReported {
    loads: HashMap<usize, u32>,
}

impl Router for LeastReported {
    fn name(&self) -> &'static str {
        "least_reported_load"
    }

    fn choose(
        &mut self,
        _job: &RouteJob<'_>,
        replicas: &[Replica],
        _now: Timestamp,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let load = |index: &usize| self.loads.get(index).copied().unwrap_or_default();
        let ready = ready(replicas);
        let least = ready.iter().map(load).min()?;
        let equal: Vec<_> = ready.into_iter().filter(|i| load(i) == least).collect();
        Some(equal[rng.random_range(0..equal.len())])
    }

    fn on_report(&mut self, replica: usize, load: ReportedLoad, _: Timestamp) {
        self.loads.insert(replica, load.running + load.queued);
    }

    fn on_sent(&mut self, _: &SentJob<'_>, _: Timestamp) {}
    fn on_first_token(&mut self, _: &SentJob<'_>, _: Timestamp) {}
    fn on_ended(&mut self, _: &SentJob<'_>, _: f64, _: Timestamp) {}
    fn on_gone(&mut self, _: usize, _: &[Replica]) {}
}

/// `UnboundedAffinity` selects the replica by rendezvous hashing of the prompt's prefix, without
/// regard to load.
#[derive(Debug)]
pub struct UnboundedAffinity {
    /// Size of the hashed prefix, in blocks.
    pub blocks: usize,
}

impl Router for UnboundedAffinity {
    fn name(&self) -> &'static str {
        "affinity_without_load_bound"
    }

    fn choose(
        &mut self,
        job: &RouteJob<'_>,
        replicas: &[Replica],
        _now: Timestamp,
        _rng: &mut StdRng,
    ) -> Option<usize> {
        let hashes = job.blocks.hashes();
        let last = hashes.len().min(self.blocks).checked_sub(1);
        let key = last.map_or(0, |index| hashes[index].0);
        let score = |index: &usize| hash::rendezvous_score(key, replicas[*index].id.as_str());
        ready(replicas).into_iter().max_by_key(score)
    }

    fn on_report(&mut self, _: usize, _: ReportedLoad, _: Timestamp) {}
    fn on_sent(&mut self, _: &SentJob<'_>, _: Timestamp) {}
    fn on_first_token(&mut self, _: &SentJob<'_>, _: Timestamp) {}
    fn on_ended(&mut self, _: &SentJob<'_>, _: f64, _: Timestamp) {}
    fn on_gone(&mut self, _: usize, _: &[Replica]) {}
}

fn ready(replicas: &[Replica]) -> Vec<usize> {
    let is_ready = |(_, replica): &(usize, &Replica)| replica.state == ReplicaState::Ready;
    let ready = replicas.iter().enumerate().filter(is_ready);
    ready.map(|(index, _)| index).collect()
}
