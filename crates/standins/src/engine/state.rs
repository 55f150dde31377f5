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
const MAX_ENDED: usize = 1024;

/// `Shared` is the state as the routes get it.
pub(super) type Shared = State<Arc<EngineState>>;

/// `EngineCounts` answers `GET /control/counts`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Attempts that were accepted.
    pub attempts: u64,
    /// Attempts that came to their end.
    pub finished: u64,
    /// Attempts whose reader went away before the end.
    pub cancelled: u64,
    /// Attempts that were refused because the queue was full or the engine was leaving.
    pub refused: u64,
    /// Tokens that were generated.
    pub tokens_generated: u64,
    /// Prompt tokens that were processed because they were not cached.
    pub prompt_tokens_computed: u64,
    /// Tokens, of the prompt and of the answer so far, that were processed again because a
    /// continuation did not find them in the cache.
    pub recomputed_tokens: u64,
    /// Requests whose given tokens were not the beginning of the answer.
    pub bad_continuations: u64,
    /// Orders that were carried out.
    pub orders: u64,
    /// Orders that were refused because of their fencing number.
    pub fenced_orders: u64,
}

/// `EngineState` is shared by the routes and the batch.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) has_work: Notify,
    inner: Mutex<Inner>,
}

/// `Inner` is the state under the lock.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) waiting: Vec<Attempt>,
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
            waiting: Vec::new(),
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
    /// Keeps the present load for later reports.
    pub(super) fn record_load(&mut self) {
        let present = report(&self.waiting, self.batch.len(), self.batch_limit);
        self.load.record(present, Instant::now());
    }

    pub(super) fn lagging_load(&mut self) -> LoadReport {
        self.load.lagging(Instant::now())
    }

    /// Keeps what can be exported of an attempt that has ended.
    pub(super) fn keep_ended(&mut self, attempt: &Attempt) {
        if self.ended.len() == MAX_ENDED {
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

fn report(waiting: &[Attempt], running: usize, batch_limit: usize) -> LoadReport {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    LoadReport {
        running: count(running),
        queued: count(waiting.len()),
        batch_limit: count(batch_limit),
        queued_tokens: waiting.iter().map(|a| a.input_tokens() as u64).sum(),
        age_ms: 0,
    }
}
