//! The desired number of replicas of a model service.

use std::time::Duration;

use verbenahead_core::units::TokenRate;

use crate::time::Timestamp;

/// `DesiredReplicasOptions` configures how the desired number of replicas follows the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DesiredReplicasOptions {
    /// Target fraction of its time that a replica spends on prefill. During a prefill, decoding of
    /// other requests and newly arriving prompts wait.
    pub prefill_utilization: f64,
    /// Time in which the needed number of replicas falls to half without demand. It spans the lulls
    /// between bursts.
    pub half_life: Duration,
    /// Fraction of the desired replicas below which the needed number must fall before the desired
    /// number is lowered. Each change starts or stops replicas, and stopped replicas lose their
    /// caches.
    pub scale_down_threshold: f64,
}

impl Default for DesiredReplicasOptions {
    fn default() -> Self {
        Self {
            prefill_utilization: 0.6,
            half_life: Duration::from_secs(30),
            scale_down_threshold: 0.75,
        }
    }
}

/// `DesiredReplicas` is the desired number of replicas of one service. It rises with the demand at
/// once and falls slowly.
#[derive(Debug, Clone, Copy)]
pub struct DesiredReplicas {
    options: DesiredReplicasOptions,
    needed: f64,
    desired: f64,
    updated_at: Timestamp,
}

impl DesiredReplicas {
    /// Builds it from the number of replicas that are present, since the operator has chosen it.
    pub fn new(options: DesiredReplicasOptions, present: u32, now: Timestamp) -> Self {
        Self {
            options,
            needed: f64::from(present),
            desired: f64::from(present),
            updated_at: now,
        }
    }

    /// Updates the number from the demand, in prompt tokens per second that have to be processed,
    /// and the prefill rate of one replica.
    pub fn update(&mut self, demand: TokenRate, per_replica: TokenRate, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let half_lives = elapsed / self.options.half_life.as_secs_f64().max(MIN_HALF_LIFE_S);
        let capacity = per_replica.0 * self.options.prefill_utilization;
        let wanted = demand.0 / capacity.max(MIN_CAPACITY);
        self.needed = wanted.max(self.needed * (-half_lives).exp2());
        self.updated_at = now;
        self.update_desired();
    }

    /// Raises the number to at least the replicas that are present. Used until demand is observed.
    pub fn raise_to(&mut self, present: u32) {
        self.needed = self.needed.max(f64::from(present));
        self.update_desired();
    }

    fn update_desired(&mut self) {
        let is_less = self.needed < self.desired * self.options.scale_down_threshold;
        if is_less || self.needed > self.desired {
            self.desired = self.needed.ceil();
        }
    }

    /// Returns the desired number of replicas.
    pub fn count(&self) -> u32 {
        self.desired.ceil().min(MAX_REPLICAS) as u32
    }
}

/// Lower bound on the half-life, in seconds.
const MIN_HALF_LIFE_S: f64 = 0.001;

/// Lower bound on the capacity of a replica, in tokens per second.
const MIN_CAPACITY: f64 = 1.0;

/// Upper bound on the desired number of replicas, which limits the effect of a wrong demand.
const MAX_REPLICAS: f64 = 100_000.0;
