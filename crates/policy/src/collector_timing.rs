//! Answer times of the collectors of quotas, as one node observes them.
//!
//! An answer lengthens the time that is allowed to its node, also if it is late. Ending the suspicion of a late
//! node without this sends the next request to it again, which waits in vain and then finds the stand-in passing
//! it on.

use std::time::Duration;

use verbenahead_core::{HashMap, NodeId};

use crate::time::Timestamp;

/// `CollectorTimingOptions` bounds the time that is allowed to a collector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CollectorTimingOptions {
    /// Time that is allowed to a node of unknown answer time, and the lower bound for others.
    pub min_limit: Duration,
    /// Upper bound of the time that is allowed. With it, a request of an interactive caller still starts
    /// within its objective.
    pub max_limit: Duration,
    /// Time allowed, as a multiple of the longest recent answer time.
    pub margin: f64,
    /// Time in which a remembered answer time falls by half.
    pub half_life: Duration,
    /// Time without an answer after which a stand-in no longer expects that the collector grants to others.
    pub confirm_after: Duration,
}

impl Default for CollectorTimingOptions {
    fn default() -> Self {
        Self {
            min_limit: Duration::from_millis(250),
            max_limit: Duration::from_millis(1_200),
            margin: 1.5,
            half_life: Duration::from_secs(30),
            confirm_after: Duration::from_secs(1),
        }
    }
}

/// `AnswerTime` is the longest recent answer time.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerTime {
    longest: Duration,
    observed_at: Timestamp,
}

impl AnswerTime {
    /// Records an answer that took `elapsed`. Returns whether the time that is then allowed is long enough.
    pub fn record(
        &mut self,
        elapsed: Duration,
        options: &CollectorTimingOptions,
        now: Timestamp,
    ) -> bool {
        let longest = self.remembered(options.half_life, now).max(elapsed);
        self.longest = longest.min(options.max_limit);
        self.observed_at = now;
        elapsed <= options.max_limit
    }

    /// Returns the time that is allowed to an answer.
    pub fn limit(&self, options: &CollectorTimingOptions, now: Timestamp) -> Duration {
        let longest = self.remembered(options.half_life, now);
        let limit = longest.mul_f64(options.margin);
        limit.clamp(options.min_limit, options.max_limit)
    }

    fn remembered(&self, half_life: Duration, now: Timestamp) -> Duration {
        let age = now.since(self.observed_at).as_secs_f64();
        self.longest
            .mul_f64(0.5_f64.powf(age / half_life.as_secs_f64()))
    }
}

/// `CollectorTiming` holds the recent answer times of nodes, and since when others have been silent.
#[derive(Debug, Clone, Default)]
pub struct CollectorTiming {
    options: CollectorTimingOptions,
    nodes: HashMap<NodeId, NodeTiming>,
}

#[derive(Debug, Clone, Copy, Default)]
struct NodeTiming {
    answer_time: AnswerTime,
    /// Time of the first message since the last usable answer.
    silent_since: Option<Timestamp>,
    /// Time of the last message.
    sent_at: Timestamp,
}

impl CollectorTiming {
    /// Builds timing without observations.
    pub fn new(options: CollectorTimingOptions) -> Self {
        Self {
            options,
            nodes: HashMap::default(),
        }
    }

    /// Records that a message was sent to a node that should answer.
    pub fn record_sent(&mut self, node: &NodeId, now: Timestamp) {
        if !self.nodes.contains_key(node) {
            self.nodes.insert(node.clone(), NodeTiming::default());
        }
        if let Some(timing) = self.nodes.get_mut(node) {
            // One lost message long ago is no evidence of silence now.
            let has_gap = now.since(timing.sent_at) > self.options.confirm_after;
            let since = timing.silent_since.filter(|_| !has_gap);
            timing.silent_since = Some(since.unwrap_or(now));
            timing.sent_at = now;
        }
    }

    /// Records the answer to a message that was sent at `sent_at`, in time or late. Returns whether the next
    /// message may wait long enough for the node, so that it need not be passed over.
    pub fn record_answer(&mut self, node: &NodeId, sent_at: Timestamp, now: Timestamp) -> bool {
        let timing = self.nodes.entry(node.clone()).or_default();
        let elapsed = now.since(sent_at);
        let is_usable = timing.answer_time.record(elapsed, &self.options, now);
        if is_usable {
            timing.silent_since = None;
        }
        is_usable
    }

    /// Records that a node is alive, whether or not it answers in time.
    pub fn record_alive(&mut self, node: &NodeId) {
        if let Some(timing) = self.nodes.get_mut(node) {
            timing.silent_since = None;
        }
    }

    /// Returns the time that is allowed to a node for its answer.
    pub fn limit(&self, node: &NodeId, now: Timestamp) -> Duration {
        let timing = self.nodes.get(node).copied().unwrap_or_default();
        timing.answer_time.limit(&self.options, now)
    }

    /// Returns whether a node has been silent for so long that it no longer counts as a live collector. Silence
    /// before `resumed_at`, the end of the last pause of the own process, does not count.
    pub fn is_silent(&self, node: &NodeId, resumed_at: Timestamp, now: Timestamp) -> bool {
        let since = self.nodes.get(node).and_then(|timing| timing.silent_since);
        since.is_some_and(|since| now.since(since.max(resumed_at)) >= self.options.confirm_after)
    }

    /// Forgets nodes that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&NodeId) -> bool) {
        self.nodes.retain(|node, _| is_known(node));
    }
}
