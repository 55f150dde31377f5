//! What one node knows of the limit of an upstream.

use std::time::Duration;

use verbenahead_core::units::RequestRate;
use verbenahead_policy::Timestamp;

/// `KnownLimit` is a limit on the requests of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownLimit {
    /// Requests that the upstream accepts.
    pub rate: RequestRate,
    /// Time since the upstream stated the limit.
    pub age: Duration,
}

/// `LimitNews` is what a node tells the others of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNews {
    /// The limit, or `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Time since the upstream stated it, or answered without one.
    pub age: Duration,
}

/// `LimitState` is the state of the limit of an upstream.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    rate: Option<RequestRate>,
    /// Time of the last statement that is known.
    known_at: Timestamp,
    /// Time of the last statement of a limit, or of the end of one.
    news_at: Option<Timestamp>,
    /// Time until which this node leaves the upstream alone after it was refused a grant.
    paused_until: Timestamp,
    /// Whether a grant is being asked for.
    is_requesting: bool,
}

impl LimitState {
    /// Records what an answer to this node states. Returns the limit before if it changed.
    pub(crate) fn on_stated(
        &mut self,
        rate: Option<RequestRate>,
        now: Timestamp,
    ) -> Option<Option<RequestRate>> {
        if rate.is_some() || self.rate.is_some() {
            self.news_at = Some(now);
        }
        self.set(rate, now)
    }

    /// Records what another node tells, unless this node knows a later statement. Returns the limit before
    /// if it changed.
    pub(crate) fn on_news(
        &mut self,
        news: LimitNews,
        now: Timestamp,
    ) -> Option<Option<RequestRate>> {
        let at = now.minus(news.age);
        if at <= self.known_at {
            return None;
        }
        self.news_at = Some(at);
        self.set(news.rate, at)
    }

    fn set(&mut self, rate: Option<RequestRate>, at: Timestamp) -> Option<Option<RequestRate>> {
        self.known_at = at;
        let before = std::mem::replace(&mut self.rate, rate);
        if before == rate {
            return None;
        }
        // The pause followed from the limit before.
        self.paused_until = Timestamp::default();
        Some(before)
    }

    pub(crate) fn known(&self, now: Timestamp) -> Option<KnownLimit> {
        let age = now.since(self.known_at);
        self.rate.map(|rate| KnownLimit { rate, age })
    }

    /// Returns what to tell other nodes, if the upstream stated a limit or the end of one within the last
    /// `period`, to this node or another.
    pub(crate) fn news(&self, period: Duration, now: Timestamp) -> Option<LimitNews> {
        let news_at = self.news_at?;
        (now.since(news_at) < period).then(|| LimitNews {
            rate: self.rate,
            age: now.since(self.known_at),
        })
    }

    /// Returns the time for which this node leaves the upstream alone, or `None` if it does not.
    pub(crate) fn paused_for(&self, now: Timestamp) -> Option<Duration> {
        if self.is_requesting {
            return Some(REQUEST_TIME);
        }
        let left = self.paused_until.since(now);
        (!left.is_zero()).then_some(left)
    }

    pub(crate) fn pause(&mut self, period: Duration, now: Timestamp) {
        self.paused_until = now.plus(period);
    }

    /// Marks that a grant is being asked for. Returns `false` if one already is.
    pub(crate) fn begin_request(&mut self) -> bool {
        !std::mem::replace(&mut self.is_requesting, true)
    }

    pub(crate) fn end_request(&mut self) {
        self.is_requesting = false;
    }
}

/// Assumed time until a pending request for a grant is answered.
const REQUEST_TIME: Duration = Duration::from_millis(20);
