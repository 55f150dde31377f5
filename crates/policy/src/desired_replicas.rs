//! How many replicas a model service needs.

use std::time::Duration;

use verbenahead_core::units::TokenRate;

use crate::time::Timestamp;

/// `NeedOptions` tune the need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DesiredReplicasOptions {
    /// Part of its time that a replica should process prompts. While it does, the tokens of the
    /// other requests wait, and so do the prompts that come.
    pub prompt_load: f64,
    /// Time in which the need falls to half when there is no demand any more. It spans the lulls
    /// between bursts.
    pub half_life: Duration,
    /// Part of the planned replicas below which the need must fall before fewer are planned. Each
    /// change of the plan starts or stops replicas, which lose what they have cached.
    pub shrink_below: f64,
}

impl Default for DesiredReplicasOptions {
    fn default() -> Self {
        Self {
            prompt_load: 0.6,
            half_life: Duration::from_secs(30),
            shrink_below: 0.75,
        }
    }
}

/// `ReplicaNeed` follows the need of one service. It rises at once and falls slowly.
#[derive(Debug, Clone, Copy)]
pub struct DesiredReplicas {
    options: DesiredReplicasOptions,
    needed: f64,
    planned: f64,
    updated_at: Timestamp,
}

impl DesiredReplicas {
    /// Starts with the replicas that are there, which whoever set the service up thought right.
    pub fn new(options: DesiredReplicasOptions, present: u32, now: Timestamp) -> Self {
        Self {
            options,
            needed: f64::from(present),
            planned: f64::from(present),
            updated_at: now,
        }
    }

    /// Takes in the demand for tokens of prompts, and the rate at which one replica processes
    /// them.
    pub fn update(&mut self, demand: TokenRate, per_replica: TokenRate, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let half_lives = elapsed / self.options.half_life.as_secs_f64().max(MIN_SECONDS);
        let capacity = per_replica.0 * self.options.prompt_load;
        let wanted = demand.0 / capacity.max(MIN_RATE);
        self.needed = wanted.max(self.needed * (-half_lives).exp2());
        self.updated_at = now;
        self.plan();
    }

    /// Raises the need to what is there, as long as no demand was seen.
    pub fn raise_to(&mut self, present: u32) {
        self.needed = self.needed.max(f64::from(present));
        self.plan();
    }

    fn plan(&mut self) {
        let is_less = self.needed < self.planned * self.options.shrink_below;
        if is_less || self.needed > self.planned {
            self.planned = self.needed.ceil();
        }
    }

    /// Returns the number of replicas.
    pub fn count(&self) -> u32 {
        self.planned.ceil().min(MAX_REPLICAS) as u32
    }
}

/// Shortest half-life, in seconds.
const MIN_SECONDS: f64 = 0.001;

/// Lowest capacity that is computed with, in tokens per second.
const MIN_RATE: f64 = 1.0;

/// Most replicas that are asked for, whatever the demand seems to be.
const MAX_REPLICAS: f64 = 100_000.0;
