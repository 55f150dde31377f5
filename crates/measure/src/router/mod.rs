//! Routing policies that are measured: verbenahead's own and baselines.

pub mod baseline;
pub mod own;

use rand::rngs::StdRng;
use verbenahead_policy::{CacheEvent, PromptBlocks, ReportedLoad, Timestamp};

use crate::fake::replica::Replica;

/// `RouteJob` is what a router knows of a request.
#[derive(Debug)]
pub struct RouteJob<'a> {
    /// Node that routes.
    pub node: usize,
    /// Blocks of the prompt, with the tokens of the answer that exist already.
    pub blocks: &'a PromptBlocks,
}

/// `SentJob` is an attempt at a replica.
#[derive(Debug)]
pub struct SentJob<'a> {
    /// Node that sent it.
    pub node: usize,
    /// Replica that got it.
    pub replica: usize,
    /// Number of the attempt.
    pub attempt: u64,
    /// Blocks of the prompt, and of the answer once it has ended.
    pub blocks: &'a PromptBlocks,
}

/// `Router` chooses replicas for all nodes, with a separate view for each of them.
pub trait Router {
    /// Returns the name that results carry.
    fn name(&self) -> &'static str;

    /// Chooses a ready replica, if there is one.
    fn choose(
        &mut self,
        job: &RouteJob<'_>,
        replicas: &[Replica],
        now: Timestamp,
        rng: &mut StdRng,
    ) -> Option<usize>;

    /// Tells every node a replica's late report.
    fn on_report(&mut self, replica: usize, load: ReportedLoad, now: Timestamp);

    /// Tells every node a late event of a replica's cache.
    fn on_cache_event(&mut self, _replica: usize, _event: &CacheEvent) {}

    /// Returns verbenahead's own knowledge, where this router has it.
    fn own(&mut self) -> Option<&mut own::OwnRouter> {
        None
    }

    /// Tells a node that it has sent an attempt.
    fn on_sent(&mut self, sent: &SentJob<'_>, now: Timestamp);

    /// Tells a node that the first token has come.
    fn on_first_token(&mut self, sent: &SentJob<'_>, now: Timestamp);

    /// Tells a node that an attempt has ended.
    fn on_ended(&mut self, sent: &SentJob<'_>, service_time: f64, now: Timestamp);

    /// Tells every node that a replica is gone.
    fn on_gone(&mut self, replica: usize, replicas: &[Replica]);
}
