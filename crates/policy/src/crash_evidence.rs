//! Evidence on which content of requests crashes replicas.
//!
//! A request that crashes the replica which runs it is repeated at the next one, and later requests
//! with the same content follow. Checks of single replicas cannot end this, because the cause comes
//! with the request. Each crash leaves suspects: the requests that the replica was about to answer, and
//! the parts of their prompts. Harmful content is among the suspects of one crash after the other, and
//! no answer to a request with it is ever complete.

use std::{collections::VecDeque, time::Duration};

use verbenahead_core::{ContentKey, ContentKind, HashMap};

use crate::time::Timestamp;

/// `CrashEvidenceOptions` configures when content is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashEvidenceOptions {
    /// Time for which a crash counts.
    pub memory: Duration,
    /// Crashes from which content is suspected.
    pub min_crashes: u32,
    /// Crashes among them without content that is quarantined already.
    pub min_unexplained: u32,
    /// Time within which crashes are taken to have one cause. Replicas that fail together have a cause of
    /// their own, so these crashes count as one for a part of prompts, and count for a request only if at
    /// least half of them have it.
    pub correlated_within: Duration,
}

impl Default for CrashEvidenceOptions {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(60),
            min_crashes: 3,
            min_unexplained: 2,
            correlated_within: Duration::from_millis(100),
        }
    }
}

/// `ContentStanding` is what is known of content besides the crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ContentStanding {
    /// Nothing.
    #[default]
    Unknown,
    /// Its quarantine has ended, so a single further crash is enough to suspect it.
    OnProbation,
    /// It is quarantined, which explains the crashes with it.
    Quarantined,
}

/// `CrashEvidence` holds the recent crashes and their suspects.
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    options: CrashEvidenceOptions,
    /// Oldest first.
    crashes: VecDeque<Crash>,
}

#[derive(Debug, Clone)]
struct Crash {
    /// Key of the incarnation of the replica.
    replica: u32,
    at: Timestamp,
    /// Parts of prompts in their order, so that more specific parts follow more general ones.
    suspects: Vec<ContentKey>,
}

/// Number of crashes that are kept.
const MAX_CRASHES: usize = 64;

/// Number of suspects of a crash that are kept.
const MAX_SUSPECTS: usize = 128;

impl CrashEvidence {
    /// Builds evidence without crashes.
    pub fn new(options: CrashEvidenceOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records suspects of the crash of an incarnation of a replica. Several nodes may report the same
    /// crash.
    pub fn record(&mut self, replica: u32, suspects: &[ContentKey], now: Timestamp) {
        let memory = self.options.memory;
        self.crashes.retain(|crash| now.since(crash.at) < memory);
        let known = self.crashes.iter().position(|c| c.replica == replica);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash {
                replica,
                at: now,
                suspects: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        for key in suspects {
            if crash.suspects.len() < MAX_SUSPECTS && !crash.suspects.contains(key) {
                crash.suspects.push(*key);
            }
        }
    }

    /// Removes content that is known to be sound from the suspects of all crashes.
    pub fn clear(&mut self, key: ContentKey) {
        for crash in &mut self.crashes {
            crash.suspects.retain(|suspect| *suspect != key);
        }
    }

    /// Returns the most specific content that accounts for enough crashes: a request before a part of
    /// prompts, then what accounts for most crashes. Content that is quarantined already is not returned.
    pub fn suspect(
        &self,
        standing: impl Fn(ContentKey) -> ContentStanding,
        now: Timestamp,
    ) -> Option<ContentKey> {
        let mut best = None;
        let counts = self.count(&standing, now);
        let suspects = self.crashes.iter().flat_map(|crash| &crash.suspects);
        for key in suspects {
            let (Some(count), false) = (
                counts.get(key),
                standing(*key) == ContentStanding::Quarantined,
            ) else {
                continue;
            };
            let (min_crashes, min_unexplained) = match standing(*key) {
                ContentStanding::OnProbation => (1, 1),
                _ => (self.options.min_crashes, self.options.min_unexplained),
            };
            let is_suspect = count.crashes >= min_crashes
                && count.unexplained >= min_unexplained
                && (key.kind == ContentKind::PromptPart
                    || self.common_crashes(*key, now) >= min_crashes);
            let rank = (key.kind, count.crashes);
            if is_suspect && best.is_none_or(|(best_rank, _)| rank >= best_rank) {
                best = Some((rank, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Counts the crashes of each suspect. Correlated ones count as one for a part of prompts.
    fn count(
        &self,
        standing: &impl Fn(ContentKey) -> ContentStanding,
        now: Timestamp,
    ) -> HashMap<ContentKey, CrashCount> {
        let mut counts: HashMap<ContentKey, CrashCount> = HashMap::default();
        let recent = self
            .crashes
            .iter()
            .filter(|crash| now.since(crash.at) < self.options.memory);
        for crash in recent {
            let is_explained = crash
                .suspects
                .iter()
                .any(|key| standing(*key) == ContentStanding::Quarantined);
            for key in &crash.suspects {
                let count = counts.entry(*key).or_default();
                let is_correlated = key.kind == ContentKind::PromptPart
                    && count
                        .last_at
                        .is_some_and(|last| crash.at.since(last) < self.options.correlated_within);
                if !is_correlated {
                    count.last_at = Some(crash.at);
                    count.crashes += 1;
                    count.unexplained += u32::from(!is_explained);
                }
            }
        }
        counts
    }

    /// Returns the number of recent crashes with a suspect that it has in common with at least half of
    /// the crashes of its service at about the same time.
    fn common_crashes(&self, key: ContentKey, now: Timestamp) -> u32 {
        let recent = self.crashes.iter().filter(|crash| {
            now.since(crash.at) < self.options.memory && crash.suspects.contains(&key)
        });
        let common = recent.filter(|crash| self.is_common(key, crash.at));
        u32::try_from(common.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether at least half of the crashes of a service about a time have the same suspect.
    fn is_common(&self, key: ContentKey, at: Timestamp) -> bool {
        let within = self.options.correlated_within;
        let is_correlated =
            |crash: &&Crash| crash.at.since(at) < within && at.since(crash.at) < within;
        let is_of_service = |crash: &&Crash| {
            let mut suspects = crash.suspects.iter();
            suspects.any(|suspect| suspect.service == key.service)
        };
        let (mut total, mut common) = (0, 0);
        for crash in self
            .crashes
            .iter()
            .filter(is_correlated)
            .filter(is_of_service)
        {
            total += 1;
            common += usize::from(crash.suspects.contains(&key));
        }
        common * 2 >= total
    }
}

/// `CrashCount` counts the crashes for which a part is a suspect.
#[derive(Debug, Clone, Copy, Default)]
struct CrashCount {
    crashes: u32,
    /// Crashes without quarantined content.
    unexplained: u32,
    last_at: Option<Timestamp>,
}
