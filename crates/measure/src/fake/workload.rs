//! Generator of conversations and their requests.

use std::rc::Rc;

use rand::{Rng, rngs::StdRng};
use verbenahead_policy::{BlockHash, hash};

use super::{
    job::{BLOCK_TOKENS, Job},
    profile::{CallerKind, Profile},
};

/// `Conversation` is a sequence of requests of one caller, each with the earlier ones as prefix.
#[derive(Debug, Clone)]
pub struct Conversation {
    kind: usize,
    workspace: usize,
    blocks: Vec<BlockHash>,
    tail: u64,
    salt: u64,
    turns_left: u64,
}

/// `Workload` generates conversations.
#[derive(Debug, Clone)]
pub struct Workload {
    profile: Profile,
    conversations: Vec<Conversation>,
}

impl Workload {
    /// Builds the workload of a profile.
    pub fn new(profile: Profile) -> Self {
        Self {
            profile,
            conversations: Vec::new(),
        }
    }

    /// Returns the rate of new conversations that results in `requests` requests per second.
    pub fn conversation_rate(&self, requests: f64) -> f64 {
        let mean = |kind: &CallerKind| (kind.turns.start() + kind.turns.end()) as f64 / 2.0;
        let turns: f64 = self
            .profile
            .kinds
            .iter()
            .map(|kind| kind.weight * mean(kind))
            .sum();
        requests / turns
    }

    /// Starts a conversation of the given workspace, or of a random one, and returns its index.
    pub fn start_conversation(&mut self, workspace: Option<usize>, rng: &mut StdRng) -> usize {
        let weights: Vec<_> = self.profile.kinds.iter().map(|kind| kind.weight).collect();
        let kind = draw_weighted(&weights, rng);
        let drawn = draw_weighted(&self.profile.workspaces, rng);
        let workspace = workspace.unwrap_or(drawn);
        let details = &self.profile.kinds[kind];
        let document = rng.random_range(0..details.documents);
        let mut blocks = Vec::new();
        extend_chain(&mut blocks, 1, self.profile.system_blocks);
        let seed = hash::combine(
            kind as u64,
            hash::combine(workspace as u64, document as u64),
        );
        let span = details.document_blocks.end() - details.document_blocks.start() + 1;
        let length = details.document_blocks.start() + hash::mix(seed) % span;
        extend_chain(&mut blocks, seed, length as usize);
        let turns_left = rng.random_range(details.turns.clone());
        self.conversations.push(Conversation {
            kind,
            workspace,
            blocks,
            tail: 0,
            salt: rng.random(),
            turns_left,
        });
        self.conversations.len() - 1
    }

    /// Returns the next request of a conversation, or `None` at its end.
    pub fn next_request(&mut self, index: usize, now: f64, rng: &mut StdRng) -> Option<Job> {
        let conversation = &mut self.conversations[index];
        conversation.turns_left = conversation.turns_left.checked_sub(1)?;
        let kind = &self.profile.kinds[conversation.kind];
        let question = rng.random_range(kind.question.clone());
        let answer = rng.random_range(kind.answer.clone());
        let prompt = conversation.blocks.len() as u64 * BLOCK_TOKENS + conversation.tail + question;
        let tokens = prompt + answer;
        let new_blocks = (tokens / BLOCK_TOKENS) as usize - conversation.blocks.len();
        extend_chain(&mut conversation.blocks, conversation.salt, new_blocks);
        conversation.tail = tokens % BLOCK_TOKENS;
        Some(Job {
            workspace: conversation.workspace,
            priority: kind.priority,
            node: rng.random_range(0..self.profile.nodes),
            blocks: Rc::new(conversation.blocks.clone()),
            prompt,
            answer,
            asked_at: now,
            deadline: now + kind.patience,
            is_admitted: false,
            is_abandoned: false,
            attempt: 0,
            replica: None,
            generated: 0,
            first_token_at: None,
            decode: None,
            is_over: false,
            ended: None,
            max_answer: *kind.answer.end(),
            conversation: Some(index),
        })
    }

    /// Draws the time until a conversation's next request, in seconds.
    pub fn pause(&self, index: usize, rng: &mut StdRng) -> f64 {
        let kind = &self.profile.kinds[self.conversations[index].kind];
        rng.random_range(*kind.pause.start() as f64..=*kind.pause.end() as f64)
    }
}

fn extend_chain(blocks: &mut Vec<BlockHash>, seed: u64, count: usize) {
    for _ in 0..count {
        let previous = blocks.last().map_or(0, |hash| hash.0);
        blocks.push(BlockHash(hash::combine(previous, seed)));
    }
}

fn draw_weighted(weights: &[f64], rng: &mut StdRng) -> usize {
    let total: f64 = weights.iter().sum();
    let mut remaining = rng.random::<f64>() * total;
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Draws the time to the next event of a Poisson process of `rate` events per second, in seconds.
pub fn draw_interval(rate: f64, rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() / rate
}
