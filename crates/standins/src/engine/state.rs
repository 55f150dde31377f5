//! State of the engine stand-in.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use axum::extract::State;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use verbenahead_core::AttemptId;
use verbenahead_upstream::{LoadReport, Order};

use super::{
    attempt::Attempt,
    cache::{KvBody, PrefixCache},
    cache_events::CacheEventLog,
    control_routes::EngineBehaviour,
    load::LoadHistory,
    options::EngineOptions,
    orders::EngineRoleState,
};

/// Number of ended attempts whose KV cache can still be exported.
const MAX_ENDED_ATTEMPTS: usize = 1024;

/// `Shared` is the axum extractor of the engine state.
pub(super) type Shared = State<Arc<EngineState>>;

/// `EngineCounts` is the body of the response to `GET /control/counts`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Accepted attempts.
    pub attempts: u64,
    /// Attempts that generated the whole answer.
    pub finished: u64,
    /// Attempts whose reader closed the stream before the end.
    pub cancelled: u64,
    /// Attempts that were refused because the queue was full or the engine was leaving.
    pub refused: u64,
    /// Generated tokens.
    pub tokens_generated: u64,
    /// Prompt tokens that were processed because they were not cached.
    pub prompt_tokens_computed: u64,
    /// Tokens of the prompt and of the answer so far that a continuation had to recompute because
    /// they were not cached.
    pub recomputed_tokens: u64,
    /// Requests whose generated tokens were not a prefix of the answer.
    pub bad_continuations: u64,
    /// Accepted orders.
    pub orders: u64,
    /// Orders refused because of their fencing number.
    pub fenced_orders: u64,
}

/// `EngineState` is shared by the routes and the batch.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) has_work: Notify,
    inner: Mutex<Inner>,
}

/// `Inner` is the state that the lock protects.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) queue: Vec<Attempt>,
    pub(super) batch: Vec<Attempt>,
    pub(super) ended: VecDeque<(AttemptId, KvBody)>,
    pub(super) cache: PrefixCache,
    pub(super) counts: EngineCounts,
    pub(super) behaviour: EngineBehaviour,
    pub(super) role: EngineRoleState,
    pub(super) orders: Vec<Order>,
    load: LoadHistory,
    pub(super) batch_limit: usize,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        let lag = Duration::from_millis(options.load_lag_ms);
        let events = CacheEventLog::new(lag, options.event_gap);
        let behaviour = EngineBehaviour {
            token_ms: options.token_ms,
            ..EngineBehaviour::default()
        };
        let idle = report(&[], 0, options.batch_limit);
        let inner = Inner {
            queue: Vec::new(),
            batch: Vec::new(),
            ended: VecDeque::new(),
            cache: PrefixCache::new(options.cache_tokens, events),
            counts: EngineCounts::default(),
            behaviour,
            role: EngineRoleState::new(&options.models),
            orders: Vec::new(),
            load: LoadHistory::new(lag, idle, Instant::now()),
            batch_limit: options.batch_limit,
        };
        Self {
            options,
            has_work: Notify::new(),
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Stores the current load for delayed reports.
    pub(super) fn record_load(&mut self) {
        let current = report(&self.queue, self.batch.len(), self.batch_limit);
        self.load.record(current, Instant::now());
    }

    pub(super) fn delayed_load(&mut self) -> LoadReport {
        self.load.delayed(Instant::now())
    }

    /// Stores the KV cache of an ended attempt, so that it can still be exported.
    pub(super) fn store_ended(&mut self, attempt: &Attempt) {
        if self.ended.len() == MAX_ENDED_ATTEMPTS {
            self.ended.pop_front();
        }
        let body = attempt.chain.export(&attempt.model);
        self.ended.push_back((attempt.id, body));
    }

    pub(super) fn export(&self, id: AttemptId) -> Option<KvBody> {
        let running = self.batch.iter().find(|attempt| attempt.id == id);
        if let Some(attempt) = running {
            return Some(attempt.chain.export(&attempt.model));
        }
        let mut ended = self.ended.iter().rev();
        let found = ended.find(|(ended, _)| *ended == id);
        found.map(|(_, body)| body.clone())
    }
}

fn report(queue: &[Attempt], running: usize, batch_limit: usize) -> LoadReport {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    LoadReport {
        running: count(running),
        queued: count(queue.len()),
        batch_limit: count(batch_limit),
        queued_tokens: queue.iter().map(|a| a.input_tokens() as u64).sum(),
        age_ms: 0,
    }
}
