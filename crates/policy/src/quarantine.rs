//! Content of requests that is kept from replicas because it crashes them.

use std::time::Duration;

use verbenahead_core::{ContentKey, HashMap, QuarantinedContent, time::UnixMillis};

/// `QuarantineOptions` sets how long content is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Time of the first quarantine, which doubles each further time.
    pub first: Duration,
    /// Upper bound of that time.
    pub max: Duration,
    /// Time after the end of a quarantine for which the content is on probation.
    pub probation: Duration,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            first: Duration::from_secs(10 * 60),
            max: Duration::from_secs(24 * 60 * 60),
            probation: Duration::from_secs(24 * 60 * 60),
        }
    }
}

/// `Quarantine` holds the content that is quarantined or on probation.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    options: QuarantineOptions,
    entries: HashMap<ContentKey, QuarantinedContent>,
}

/// Number of entries that are kept.
const MAX_ENTRIES: usize = 256;

impl Quarantine {
    /// Builds an empty quarantine.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            entries: HashMap::default(),
        }
    }

    /// Quarantines content.
    pub fn add(&mut self, key: ContentKey, now: UnixMillis) -> QuarantinedContent {
        let before = self.entries.get(&key).map_or(0, |known| known.times);
        let doublings = before.min(MAX_DOUBLINGS);
        let period = self.options.first.saturating_mul(1 << doublings);
        let quarantined = QuarantinedContent {
            key,
            until: now.saturating_add(period.min(self.options.max)),
            times: before.saturating_add(1),
        };
        self.insert(quarantined, now);
        quarantined
    }

    /// Applies a quarantine that another node knows. Returns whether it changes anything.
    pub fn merge(&mut self, other: QuarantinedContent, now: UnixMillis) -> bool {
        let until = other.until.min(now.saturating_add(self.options.max));
        let known = self.entries.get(&other.key);
        let is_news = known.is_none_or(|known| known.until < until) && now < until;
        if is_news {
            let times = known.map_or(0, |known| known.times).max(other.times);
            let key = other.key;
            self.insert(QuarantinedContent { key, until, times }, now);
        }
        is_news
    }

    /// Ends the quarantine of content that is known to be sound. Returns whether it was quarantined.
    pub fn release(&mut self, key: ContentKey, now: UnixMillis) -> bool {
        let is_quarantined = self.remaining(key, now).is_some();
        self.entries.remove(&key);
        is_quarantined
    }

    /// Returns the time for which content is still quarantined, or `None` if it is not.
    pub fn remaining(&self, key: ContentKey, now: UnixMillis) -> Option<Duration> {
        let known = self.entries.get(&key).filter(|known| now < known.until)?;
        Some(known.until.since(now))
    }

    /// Returns whether the quarantine of content ended recently.
    pub fn is_on_probation(&self, key: ContentKey, now: UnixMillis) -> bool {
        self.remaining(key, now).is_none() && self.entries.contains_key(&key)
    }

    /// Returns the quarantined content.
    pub fn active(&self, now: UnixMillis) -> impl Iterator<Item = QuarantinedContent> {
        let entries = self.entries.values().copied();
        entries.filter(move |known| now < known.until)
    }

    /// Returns whether nothing is quarantined or on probation.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, quarantined: QuarantinedContent, now: UnixMillis) {
        let probation = self.options.probation;
        self.entries
            .retain(|_, known| now < known.until.saturating_add(probation));
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&quarantined.key) {
            let first = self.entries.values().min_by_key(|known| known.until);
            if let Some(key) = first.map(|known| known.key) {
                self.entries.remove(&key);
            }
        }
        self.entries.insert(quarantined.key, quarantined);
    }
}

/// Largest number of doublings of the time of a quarantine.
const MAX_DOUBLINGS: u32 = 16;
