//! Evidence on which part of the prompts crashes replicas.
//!
//! A request that crashes the replica which runs it is repeated at the next one, and later requests
//! with the same content follow. Checks of single replicas cannot end this, because the cause comes
//! with the request. Each crash leaves suspects: the parts of the prompts that the replica was about to
//! answer. A harmful part is among the suspects of one crash after the other, and no answer to a prompt
//! with it is ever complete.

use std::{collections::VecDeque, time::Duration};

use verbenahead_core::{ContentKey, HashMap};

use crate::time::Timestamp;

/// `CrashEvidenceOptions` configures when a part is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashEvidenceOptions {
    /// Time for which a crash counts.
    pub memory: Duration,
    /// Crashes from which a part is suspected. One request may account for two of them.
    pub min_crashes: u32,
    /// Crashes among them without a part that is quarantined already.
    pub min_unexplained: u32,
    /// Time within which crashes count as one, since replicas that fail together have a cause of their
    /// own.
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

/// `ContentStanding` is what is known of a part besides the crashes.
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
    /// Parts in the order of their prompts, so that more specific parts follow more general ones.
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
        for part in suspects {
            if crash.suspects.len() < MAX_SUSPECTS && !crash.suspects.contains(part) {
                crash.suspects.push(*part);
            }
        }
    }

    /// Removes a part that is known to be sound from the suspects of all crashes.
    pub fn clear(&mut self, part: ContentKey) {
        for crash in &mut self.crashes {
            crash.suspects.retain(|suspect| *suspect != part);
        }
    }

    /// Returns the part that accounts for most crashes, if it accounts for enough of them. Of several,
    /// the most specific one is returned. Parts that are quarantined already are not returned.
    pub fn suspect(
        &self,
        standing: impl Fn(ContentKey) -> ContentStanding,
        now: Timestamp,
    ) -> Option<ContentKey> {
        let mut best = None;
        let counts = self.count(&standing, now);
        let suspects = self.crashes.iter().flat_map(|crash| &crash.suspects);
        for part in suspects {
            let (Some(count), false) = (
                counts.get(part),
                standing(*part) == ContentStanding::Quarantined,
            ) else {
                continue;
            };
            let (min_crashes, min_unexplained) = match standing(*part) {
                ContentStanding::OnProbation => (1, 1),
                _ => (self.options.min_crashes, self.options.min_unexplained),
            };
            let is_suspect = count.crashes >= min_crashes && count.unexplained >= min_unexplained;
            if is_suspect && best.is_none_or(|(most, _)| count.crashes >= most) {
                best = Some((count.crashes, *part));
            }
        }
        best.map(|(_, part)| part)
    }

    /// Counts the crashes of each suspect. Crashes that follow each other closely count as one.
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
                .any(|part| standing(*part) == ContentStanding::Quarantined);
            for part in &crash.suspects {
                let count = counts.entry(*part).or_default();
                let is_correlated = count
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
}

/// `CrashCount` counts the crashes for which a part is a suspect.
#[derive(Debug, Clone, Copy, Default)]
struct CrashCount {
    crashes: u32,
    /// Crashes without a quarantined part.
    unexplained: u32,
    last_at: Option<Timestamp>,
}
