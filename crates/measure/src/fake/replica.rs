//! Fake replica.

use std::collections::VecDeque;

use verbenahead_core::{AvailabilityZone, UpstreamId};
use verbenahead_manifest::Priority;

use super::{cache::BlockCache, profile::Profile};

/// `ReplicaState` is the state of a fake replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Its VM is starting.
    Starting,
    /// It accepts requests.
    Ready,
    /// It drains or has a reclaim notice.
    Leaving,
    /// It has stopped.
    Gone,
}

/// `Replica` is a queue in front of a batch, one prompt processor and a prefix cache.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Id of the replica.
    pub id: UpstreamId,
    /// Index of its availability zone.
    pub zone: usize,
    /// Its availability zone.
    pub zone_id: AvailabilityZone,
    /// Price per hour.
    pub price: f64,
    /// State.
    pub state: ReplicaState,
    /// Index of the offer of its VM, in a run with a planned fleet.
    pub offer: Option<usize>,
    /// Whether a reclaim of its zone affects it.
    pub is_reclaimable: bool,
    /// When its VM was started, in seconds.
    pub started_at: f64,
    /// When its VM stopped, in seconds.
    pub gone_at: Option<f64>,
    /// Queued jobs, by priority.
    pub waiting: [VecDeque<usize>; 3],
    /// Jobs in the batch.
    pub running: Vec<usize>,
    /// Largest number of jobs in the batch.
    pub batch_limit: u32,
    /// When the prompt processor is free again, in seconds.
    pub prefill_free_at: f64,
    /// When the export of KV caches is free again, in seconds.
    pub export_free_at: f64,
    /// Prefix cache.
    pub cache: BlockCache,
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Time between tokens of a batch of one, in seconds.
    pub inter_token: f64,
}

/// Increase of the time between tokens with a full batch, as a fraction.
pub const BATCH_SLOWDOWN: f64 = 0.6;

impl Replica {
    /// Builds an idle replica.
    pub fn new(number: usize, zone: usize, price: f64, profile: &Profile) -> Self {
        Self {
            id: upstream_id(number),
            zone,
            zone_id: zone_id(zone),
            price,
            state: ReplicaState::Ready,
            offer: None,
            is_reclaimable: true,
            started_at: 0.0,
            gone_at: None,
            waiting: Default::default(),
            running: Vec::new(),
            batch_limit: profile.batch_limit,
            prefill_free_at: 0.0,
            export_free_at: 0.0,
            cache: BlockCache::new(profile.cache_blocks),
            prefill_rate: profile.prefill_rate,
            inter_token: profile.inter_token,
        }
    }

    /// Returns whether a reclaim of this zone affects the replica.
    pub fn is_reclaimed_with(&self, zone: usize) -> bool {
        self.is_reclaimable && self.zone == zone && self.state != ReplicaState::Gone
    }

    /// Adds a job to the queue of its priority.
    pub fn enqueue(&mut self, job: usize, priority: Priority) {
        self.waiting[priority as usize].push_back(job);
    }

    /// Moves the next job, highest priority first, from the queue into the batch if there is room.
    pub fn start_next(&mut self) -> Option<usize> {
        if self.running.len() >= self.batch_limit as usize {
            return None;
        }
        let job = self
            .waiting
            .iter_mut()
            .rev()
            .find_map(VecDeque::pop_front)?;
        self.running.push(job);
        Some(job)
    }

    /// Removes a job. Returns whether it was in the batch.
    pub fn remove(&mut self, job: usize) -> bool {
        for queue in &mut self.waiting {
            queue.retain(|other| *other != job);
        }
        let before = self.running.len();
        self.running.retain(|other| *other != job);
        self.running.len() < before
    }

    /// Reserves the prompt processor and returns when `tokens` are processed, in seconds.
    pub fn book_prefill(&mut self, tokens: u64, now: f64) -> f64 {
        let start = self.prefill_free_at.max(now);
        self.prefill_free_at = start + tokens as f64 / self.prefill_rate;
        self.prefill_free_at
    }

    /// Returns the time between tokens with the current batch, in seconds.
    pub fn interval(&self) -> f64 {
        let fill = self.running.len() as f64 / f64::from(self.batch_limit);
        self.inter_token * (1.0 + BATCH_SLOWDOWN * fill)
    }

    /// Returns the number of queued jobs.
    pub fn queued(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }
}

/// Returns the id of the replica with this number.
pub fn upstream_id(number: usize) -> UpstreamId {
    UpstreamId::try_new(format!("vm-{number}")).unwrap_or_else(|_| unreachable!())
}

/// Returns the id of the zone with this number.
pub fn zone_id(number: usize) -> AvailabilityZone {
    AvailabilityZone::try_new(format!("zone-{number}")).unwrap_or_else(|_| unreachable!())
}
