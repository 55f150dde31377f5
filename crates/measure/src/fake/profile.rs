//! The two simulated deployments.

use std::time::Duration;

use verbenahead_manifest::{Priority, RoutingWeights};

use super::replica::BATCH_SLOWDOWN;

/// `Range` is a range of whole numbers, both ends included.
pub type Range = std::ops::RangeInclusive<u64>;

/// `CallerKind` describes one kind of conversation.
#[derive(Debug, Clone)]
pub struct CallerKind {
    /// Fraction of the conversations that are of this kind.
    pub weight: f64,
    /// Priority of its requests.
    pub priority: Priority,
    /// Size of a shared document at the start of the prompt, in blocks; `0..=0` for none.
    pub document_blocks: Range,
    /// Number of such documents per workspace.
    pub documents: usize,
    /// Number of requests of a conversation.
    pub turns: Range,
    /// Size of a question, in tokens.
    pub question: Range,
    /// Size of an answer, in tokens.
    pub answer: Range,
    /// Time between an answer and the next question, in seconds.
    pub pause: Range,
    /// Time for which a caller waits for an answer, in seconds.
    pub patience: f64,
}

/// `Profile` describes a deployment.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Name of the profile.
    pub name: &'static str,
    /// Replicas per availability zone.
    pub replicas: [usize; 4],
    /// Price of the replicas of each zone, per hour.
    pub prices: [f64; 4],
    /// Entry VMs.
    pub nodes: usize,
    /// Fraction of the traffic of each workspace.
    pub workspaces: [f64; 5],
    /// Size of the system prompt that all prompts share, in blocks.
    pub system_blocks: usize,
    /// Size of the prefix that the affinity baseline hashes, in blocks.
    pub baseline_blocks: usize,
    /// Kinds of conversations.
    pub kinds: Vec<CallerKind>,
    /// Mean arrival rate, in requests per second.
    pub requests_per_second: f64,
    /// Largest batch of a replica.
    pub batch_limit: u32,
    /// Prompt tokens that a replica processes per second.
    pub prefill_rate: f64,
    /// Time between two tokens of a batch of one, in seconds.
    pub inter_token: f64,
    /// Blocks that a replica can cache.
    pub cache_blocks: usize,
    /// KV cache that a replica can export, in tokens per second.
    pub export_rate: f64,
    /// Weights of the routing decision.
    pub weights: RoutingWeights,
    /// Objective for the time to the first token.
    pub first_token: Duration,
}

impl Profile {
    /// Returns the request rate at which all batches are full, in requests per second.
    pub fn full_rate(&self) -> f64 {
        let turns = |kind: &CallerKind| mean(&kind.turns) * kind.weight;
        let mean_turns: f64 = self.kinds.iter().map(turns).sum();
        let tokens = |kind: &CallerKind| turns(kind) * mean(&kind.answer);
        let tokens = self.kinds.iter().map(tokens).sum::<f64>() / mean_turns;
        let slots = self.replicas.iter().sum::<usize>() as f64 * f64::from(self.batch_limit);
        slots / (tokens * self.inter_token * (1.0 + BATCH_SLOWDOWN))
    }
}

fn mean(range: &Range) -> f64 {
    (range.start() + range.end()) as f64 / 2.0
}

/// Returns the profile `cascade`, a permit office: long drafts over shared documents.
pub fn cascade() -> Profile {
    Profile {
        name: "cascade",
        replicas: [3, 3, 2, 2],
        prices: [1.0, 1.1, 0.9, 1.2],
        nodes: 14,
        workspaces: [0.4, 0.3, 0.2, 0.07, 0.03],
        system_blocks: 8,
        baseline_blocks: 64,
        kinds: vec![CallerKind {
            weight: 1.0,
            priority: Priority::Normal,
            document_blocks: 32..=96,
            documents: 12,
            turns: 2..=6,
            question: 100..=400,
            answer: 300..=1200,
            pause: 5..=30,
            patience: 90.0,
        }],
        requests_per_second: 3.5,
        batch_limit: 16,
        prefill_rate: 8000.0,
        inter_token: 0.02,
        cache_blocks: 4096,
        export_rate: 20_000.0,
        weights: RoutingWeights {
            first_token: 1.0,
            recomputed_tokens: 4.0,
            cost: 0.5,
            zone_crossing: 1.0,
        },
        first_token: Duration::from_millis(1500),
    }
}

/// Returns the profile `quesada`, a chair rental: mostly short checks and some long drafts.
pub fn quesada() -> Profile {
    Profile {
        name: "quesada",
        replicas: [3, 3, 3, 3],
        prices: [1.0, 1.3, 0.8, 1.1],
        nodes: 14,
        workspaces: [0.4, 0.3, 0.2, 0.07, 0.03],
        system_blocks: 4,
        baseline_blocks: 5,
        kinds: vec![quick_check(), lease_draft()],
        requests_per_second: 22.0,
        batch_limit: 16,
        prefill_rate: 8000.0,
        inter_token: 0.015,
        cache_blocks: 4096,
        export_rate: 20_000.0,
        weights: RoutingWeights {
            first_token: 2.0,
            recomputed_tokens: 0.5,
            cost: 2.0,
            zone_crossing: 1.0,
        },
        first_token: Duration::from_millis(360),
    }
}

fn quick_check() -> CallerKind {
    CallerKind {
        weight: 0.8,
        priority: Priority::Interactive,
        document_blocks: 0..=0,
        documents: 1,
        turns: 1..=3,
        question: 40..=200,
        answer: 20..=80,
        pause: 2..=10,
        patience: 10.0,
    }
}

fn lease_draft() -> CallerKind {
    CallerKind {
        weight: 0.2,
        priority: Priority::Normal,
        document_blocks: 8..=24,
        documents: 20,
        turns: 1..=3,
        question: 100..=300,
        answer: 300..=800,
        pause: 5..=30,
        patience: 60.0,
    }
}

/// Returns the profile with this name, or all profiles without a name.
pub fn select(name: Option<&str>) -> Vec<Profile> {
    let all = [cascade(), quesada()];
    let is_wanted = |profile: &Profile| name.is_none_or(|name| name == profile.name);
    all.into_iter().filter(is_wanted).collect()
}
