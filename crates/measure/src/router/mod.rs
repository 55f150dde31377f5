//! Routing policies under measurement: verbenahead's own and baselines.

pub mod baseline;
pub mod own;

use rand::rngs::StdRng;
use verbenahead_policy::{CacheEvent, PromptBlocks, ReportedLoad, Timestamp};

use crate::fake::replica::Replica;

/// `RouteJob` is a request to be routed.
#[derive(Debug)]
pub struct RouteJob<'a> {
    /// Index of the node that routes it.
    pub node: usize,
    /// Blocks of the prompt and of the tokens generated so far.
    pub blocks: &'a PromptBlocks,
}

/// `SentJob` is an attempt that was sent to a replica.
#[derive(Debug)]
pub struct SentJob<'a> {
    /// Index of the node that sent it.
    pub node: usize,
    /// Index of the replica that received it.
    pub replica: usize,
    /// Unique id of the attempt.
    pub attempt: u64,
    /// Blocks of the prompt, and of the answer once it has ended.
    pub blocks: &'a PromptBlocks,
}

/// `Router` is a routing policy. It keeps a separate state for each node.
pub trait Router {
    /// Returns the name of the policy in the records.
    fn name(&self) -> &'static str;

    /// Returns the index of the chosen replica, or `None` if none is ready.
    fn choose(
        &mut self,
        job: &RouteJob<'_>,
        replicas: &[Replica],
        now: Timestamp,
        rng: &mut StdRng,
    ) -> Option<usize>;

    /// Handles a replica's delayed load report at every node.
    fn on_report(&mut self, replica: usize, load: ReportedLoad, now: Timestamp);

    /// Handles a delayed event of a replica's cache at every node.
    fn on_cache_event(&mut self, _replica: usize, _event: &CacheEvent) {}

    /// Returns this router as an [`OwnRouter`](own::OwnRouter), or `None` for a baseline.
    fn as_own_router(&mut self) -> Option<&mut own::OwnRouter> {
        None
    }

    /// Handles the sending of an attempt at its node.
    fn on_sent(&mut self, sent: &SentJob<'_>, now: Timestamp);

    /// Handles the first token of an attempt at its node.
    fn on_first_token(&mut self, sent: &SentJob<'_>, now: Timestamp);

    /// Handles the end of an attempt at its node. `service_time` is in seconds.
    fn on_ended(&mut self, sent: &SentJob<'_>, service_time: f64, now: Timestamp);

    /// Removes a stopped replica at every node.
    fn on_gone(&mut self, replica: usize, replicas: &[Replica]);
}
