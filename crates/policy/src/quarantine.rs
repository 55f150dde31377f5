//! Parts of prompts that are kept from replicas because they crash them.

use std::time::Duration;

use verbenahead_core::{HashMap, PartKey, QuarantinedPart, time::UnixMillis};

/// `QuarantineOptions` sets how long a part is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Time of the first quarantine of a part, which doubles each further time.
    pub first: Duration,
    /// Upper bound of that time.
    pub max: Duration,
    /// Time after the end of a quarantine for which the part is on probation.
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

/// `Quarantine` holds the parts that are quarantined or on probation.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    options: QuarantineOptions,
    parts: HashMap<PartKey, QuarantinedPart>,
}

/// Number of parts that are kept.
const MAX_PARTS: usize = 256;

impl Quarantine {
    /// Builds an empty quarantine.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            parts: HashMap::default(),
        }
    }

    /// Quarantines a part.
    pub fn add(&mut self, part: PartKey, now: UnixMillis) -> QuarantinedPart {
        let before = self.parts.get(&part).map_or(0, |known| known.times);
        let doublings = before.min(MAX_DOUBLINGS);
        let period = self.options.first.saturating_mul(1 << doublings);
        let quarantined = QuarantinedPart {
            part,
            until: now.saturating_add(period.min(self.options.max)),
            times: before.saturating_add(1),
        };
        self.insert(quarantined, now);
        quarantined
    }

    /// Applies a quarantine that another node knows. Returns whether it changes anything.
    pub fn merge(&mut self, other: QuarantinedPart, now: UnixMillis) -> bool {
        let until = other.until.min(now.saturating_add(self.options.max));
        let known = self.parts.get(&other.part);
        let is_news = known.is_none_or(|known| known.until < until) && now < until;
        if is_news {
            let times = known.map_or(0, |known| known.times).max(other.times);
            let part = other.part;
            self.insert(QuarantinedPart { part, until, times }, now);
        }
        is_news
    }

    /// Ends the quarantine of a part that is known to be sound. Returns whether it was quarantined.
    pub fn release(&mut self, part: PartKey, now: UnixMillis) -> bool {
        let is_quarantined = self.remaining(part, now).is_some();
        self.parts.remove(&part);
        is_quarantined
    }

    /// Returns the time for which a part is still quarantined, or `None` if it is not.
    pub fn remaining(&self, part: PartKey, now: UnixMillis) -> Option<Duration> {
        let known = self.parts.get(&part).filter(|known| now < known.until)?;
        Some(known.until.since(now))
    }

    /// Returns whether the quarantine of a part ended recently.
    pub fn is_on_probation(&self, part: PartKey, now: UnixMillis) -> bool {
        self.remaining(part, now).is_none() && self.parts.contains_key(&part)
    }

    /// Returns the quarantined parts.
    pub fn active(&self, now: UnixMillis) -> impl Iterator<Item = QuarantinedPart> {
        let parts = self.parts.values().copied();
        parts.filter(move |known| now < known.until)
    }

    /// Returns whether no part is quarantined or on probation.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn insert(&mut self, quarantined: QuarantinedPart, now: UnixMillis) {
        let probation = self.options.probation;
        self.parts
            .retain(|_, known| now < known.until.saturating_add(probation));
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&quarantined.part) {
            let first = self.parts.values().min_by_key(|known| known.until);
            if let Some(part) = first.map(|known| known.part) {
                self.parts.remove(&part);
            }
        }
        self.parts.insert(quarantined.part, quarantined);
    }
}

/// Largest number of doublings of the time of a quarantine.
const MAX_DOUBLINGS: u32 = 16;
