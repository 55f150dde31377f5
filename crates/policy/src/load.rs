//! The load of an upstream, estimated from a late report and the node's own work since.

use std::{collections::VecDeque, time::Duration};

use verbenahead_core::{
    HashMap,
    units::{TokenRate, Tokens},
};

use crate::time::Timestamp;

/// `LoadOptions` are the first guesses for an upstream that nothing is known about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadOptions {
    /// Rate at which an upstream processes prompts.
    pub prefill_rate: TokenRate,
    /// Time for which a request takes a place of the batch.
    pub service_time: Duration,
    /// Largest batch.
    pub batch_limit: u32,
    /// Part of a new observation in a learned value, between 0 and 1.
    pub learning_rate: f64,
    /// Age beyond which a report says nothing.
    pub max_report_age: Duration,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            prefill_rate: TokenRate(8000.0),
            service_time: Duration::from_secs(4),
            batch_limit: 16,
            learning_rate: 0.1,
            max_report_age: Duration::from_secs(30),
        }
    }
}

/// `ReportedLoad` is an upstream's own view of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Largest batch.
    pub batch_limit: u32,
    /// Prompt tokens that wait to be processed, if the upstream tells.
    pub queued_tokens: Option<Tokens>,
    /// Age of the report when it was received.
    pub age: Duration,
}

/// `LoadEstimate` is the estimated load of an upstream at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Prompt tokens that are processed before those of a new request.
    pub queued_tokens: f64,
    /// Requests that run or wait.
    pub requests: f64,
    /// Largest batch.
    pub batch_limit: u32,
    /// Rate at which prompts are processed.
    pub prefill_rate: TokenRate,
    /// Time for which a request takes a place of the batch.
    pub service_time: Duration,
}

impl LoadEstimate {
    /// Returns the time until a new request's prompt is processed, without the prompt itself.
    pub fn queue_time(&self) -> Duration {
        let prefill = self.queued_tokens / self.prefill_rate.0.max(MIN_RATE);
        let seconds = prefill + self.slot_wait();
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT.as_secs_f64()))
    }

    /// Returns the time that processing `tokens` of a prompt takes.
    pub fn prefill_time(&self, tokens: Tokens) -> Duration {
        let seconds = tokens.0 as f64 / self.prefill_rate.0.max(MIN_RATE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Returns the seconds until a place of the batch is free.
    fn slot_wait(&self) -> f64 {
        let limit = f64::from(self.batch_limit.max(1));
        let excess = (self.requests + 1.0 - limit).max(0.0);
        excess * self.service_time.as_secs_f64() / limit
    }
}

/// Slowest rate that a prediction is made with, in tokens per second.
const MIN_RATE: f64 = 1.0;

/// Longest wait that is predicted.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// `SentWork` is one request that this node has sent to the upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SentWork {
    at: Timestamp,
    uncached: Tokens,
    attempt: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct ReceivedReport {
    load: ReportedLoad,
    as_of: Timestamp,
}

/// `UnstartedPrompt` is a prompt of this node whose first token has not come.
#[derive(Debug, Clone, Copy, PartialEq)]
struct UnstartedPrompt {
    uncached: Tokens,
    sent_at: Timestamp,
    /// Whether no other prompt was known to be ahead of it.
    is_first: bool,
}

/// `OthersWork` is what other nodes said they have at the upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
struct OthersWork {
    requests: u32,
    queued: Tokens,
    heard_at: Timestamp,
}

/// `LoadView` is what a node knows of the load of one upstream.
///
/// A report describes the upstream as of some time ago. What this node sent after that time is
/// added, and what the upstream must have worked off meanwhile is subtracted.
#[derive(Debug, Clone)]
pub struct LoadView {
    options: LoadOptions,
    report: Option<ReceivedReport>,
    sent: VecDeque<SentWork>,
    /// Prompts of this node whose first token has not come.
    unstarted: HashMap<u64, UnstartedPrompt>,
    others: Option<OthersWork>,
    finished_at: VecDeque<Timestamp>,
    outstanding: u32,
    prefill_rate: f64,
    service_time: f64,
}

impl Default for LoadView {
    fn default() -> Self {
        Self::new(LoadOptions::default())
    }
}

impl LoadView {
    /// Builds the view of an upstream that nothing is known about.
    pub fn new(options: LoadOptions) -> Self {
        Self {
            options,
            report: None,
            sent: VecDeque::new(),
            unstarted: HashMap::default(),
            others: None,
            finished_at: VecDeque::new(),
            outstanding: 0,
            prefill_rate: options.prefill_rate.0,
            service_time: options.service_time.as_secs_f64(),
        }
    }

    /// Takes in a report. One that is older than the last is ignored.
    pub fn on_report(&mut self, load: ReportedLoad, now: Timestamp) {
        let as_of = now.minus(load.age);
        if self.report.is_some_and(|known| known.as_of > as_of) {
            return;
        }
        self.report = Some(ReceivedReport { load, as_of });
        self.forget_before(as_of);
    }

    /// Records a request that this node sends. `attempt` is any number that is unique among the
    /// node's requests to this upstream.
    pub fn on_sent(&mut self, attempt: u64, uncached: Tokens, now: Timestamp) {
        self.outstanding += 1;
        let others_queued = self.others.map_or(Tokens(0), |others| others.queued);
        let prompt = UnstartedPrompt {
            uncached,
            sent_at: now,
            is_first: self.unstarted.is_empty() && others_queued == Tokens(0),
        };
        self.unstarted.insert(attempt, prompt);
        self.sent.push_back(SentWork {
            at: now,
            uncached,
            attempt,
        });
    }

    /// Learns the prefill rate from the first token of a request, if it is known how many tokens
    /// of the prompt the upstream had to process. Returns the rate that the request showed.
    ///
    /// The node's own estimate of these would not do: it is too high whenever another node has
    /// filled the cache, and the rate learned from it rises without bound.
    pub fn on_first_token(
        &mut self,
        attempt: u64,
        processed: Option<Tokens>,
        now: Timestamp,
    ) -> Option<TokenRate> {
        let prompt = self.unstarted.remove(&attempt)?;
        let processed = processed?;
        let seconds = now.since(prompt.sent_at).as_secs_f64();
        if processed.0 < MIN_LEARNED_TOKENS || seconds <= 0.0 || !prompt.is_first {
            return None;
        }
        let rate = processed.0 as f64 / seconds;
        // A queue of other nodes' work makes the rate look low, so it falls slowly.
        let part = match rate > self.prefill_rate {
            true => self.options.learning_rate,
            false => self.options.learning_rate / FALL_SLOWDOWN,
        };
        self.prefill_rate += part * (rate - self.prefill_rate);
        Some(TokenRate(rate))
    }

    /// Replaces the learned rate at which prompts are processed.
    pub fn set_prefill_rate(&mut self, rate: TokenRate) {
        self.prefill_rate = rate.0;
    }

    /// Returns the learned rate at which prompts are processed.
    pub fn prefill_rate(&self) -> TokenRate {
        TokenRate(self.prefill_rate)
    }

    /// Records that a request of this node has ended, after taking a place for `service_time`.
    pub fn on_finished(&mut self, attempt: u64, service_time: Duration, now: Timestamp) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.unstarted.remove(&attempt);
        let was_in_report = self.sent.iter().all(|work| work.attempt != attempt);
        self.sent.retain(|work| work.attempt != attempt);
        if was_in_report {
            self.finished_at.push_back(now);
        }
        let part = self.options.learning_rate;
        self.service_time += part * (service_time.as_secs_f64() - self.service_time);
    }

    /// Returns the number of this node's requests that have not ended.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Takes in what the other nodes together have at the upstream.
    pub fn on_other_nodes(&mut self, requests: u32, queued: Tokens, now: Timestamp) {
        self.others = Some(OthersWork {
            requests,
            queued,
            heard_at: now,
        });
    }

    /// Returns the tokens of this node's prompts whose first token has not come.
    pub fn own_queued(&self) -> Tokens {
        self.unstarted.values().map(|prompt| prompt.uncached).sum()
    }

    /// Returns the age of what the last report described, if there is one.
    pub fn report_age(&self, now: Timestamp) -> Option<Duration> {
        self.report.map(|report| now.since(report.as_of))
    }

    /// Returns the estimated load at `now`.
    pub fn estimate(&self, now: Timestamp) -> LoadEstimate {
        let report = self.report.filter(|report| self.is_fresh(report, now));
        let reported = report.map_or(0, |report| report.load.running + report.load.queued);
        let batch_limit = self.report.map(|report| report.load.batch_limit);
        let own = self.sent.len() as f64;
        let finished = self.finished_at.len() as f64;
        let others = self.others.filter(|others| self.is_recent(others, now));
        let known = self.outstanding + others.map_or(0, |others| others.requests);
        let requests = (f64::from(reported) + own - finished).max(f64::from(known));
        let queued = self.queued_tokens(report, now);
        let tells_queue = report.is_some_and(|report| report.load.queued_tokens.is_some());
        let queued = match tells_queue {
            true => queued,
            // Prompts without a first token wait, however long ago they were sent.
            false => queued.max(self.own_queued().0 as f64 + self.others_queued(others, now)),
        };
        LoadEstimate {
            queued_tokens: queued,
            requests,
            batch_limit: batch_limit.unwrap_or(self.options.batch_limit),
            prefill_rate: TokenRate(self.prefill_rate),
            service_time: Duration::from_secs_f64(self.service_time),
        }
    }

    /// Follows the queue from the report's time to `now`: own work comes in, and the upstream
    /// works off its queue at the learned rate.
    fn queued_tokens(&self, report: Option<ReceivedReport>, now: Timestamp) -> f64 {
        let start = report.map(|report| report.as_of);
        let reported = report.and_then(|report| report.load.queued_tokens);
        let mut queued = reported.unwrap_or_default().0 as f64;
        let mut at = start.unwrap_or_default();
        for work in &self.sent {
            queued = self.drained(queued, at, work.at) + work.uncached.0 as f64;
            at = at.max(work.at);
        }
        self.drained(queued, at, now)
    }

    /// Returns what should be left of the prompts of other nodes.
    fn others_queued(&self, others: Option<OthersWork>, now: Timestamp) -> f64 {
        others.map_or(0.0, |others| {
            self.drained(others.queued.0 as f64, others.heard_at, now)
        })
    }

    fn is_recent(&self, others: &OthersWork, now: Timestamp) -> bool {
        now.since(others.heard_at) <= self.options.max_report_age
    }

    fn drained(&self, queued: f64, from: Timestamp, to: Timestamp) -> f64 {
        let seconds = to.since(from).as_secs_f64();
        (queued - self.prefill_rate * seconds).max(0.0)
    }

    fn is_fresh(&self, report: &ReceivedReport, now: Timestamp) -> bool {
        now.since(report.as_of) <= self.options.max_report_age
    }

    fn forget_before(&mut self, as_of: Timestamp) {
        self.sent.retain(|work| work.at > as_of);
        self.finished_at.retain(|at| *at > as_of);
    }
}

/// Fewest processed tokens from which a prefill rate is learned.
const MIN_LEARNED_TOKENS: u64 = 512;

/// How many times more slowly a learned prefill rate falls than it rises.
const FALL_SLOWDOWN: f64 = 4.0;
