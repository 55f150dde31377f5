//! The replicated news state, a join-semilattice (state-based CRDT).
//!
//! Merging is commutative, associative and idempotent, so all nodes converge on the same news
//! regardless of the order and the number of messages.

use std::time::Duration;

use verbenahead_core::{HashMap, Incarnation, UpstreamId, invariant};

use super::item::{ManifestHead, NewsItem, UpstreamGone, UpstreamLeaving};
use crate::{message::StateDigest, time::UnixMillis};

/// `UpstreamStatus` is the last known status of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamStatus {
    /// The upstream is leaving and stops at the deadline.
    Leaving {
        /// When the VM stops.
        deadline: UnixMillis,
    },
    /// The upstream has stopped.
    Gone {
        /// When this became known.
        since: UnixMillis,
    },
}

impl UpstreamStatus {
    /// Returns the join of two statuses of the same incarnation. `Gone` takes precedence over
    /// `Leaving`, and of two equal variants the earlier time wins.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (Self::Leaving { deadline: a }, Self::Leaving { deadline: b }) => {
                Self::Leaving { deadline: a.min(b) }
            }
            (Self::Gone { since: a }, Self::Gone { since: b }) => Self::Gone { since: a.min(b) },
            (gone @ Self::Gone { .. }, _) | (_, gone @ Self::Gone { .. }) => gone,
        }
    }

    fn time(self) -> UnixMillis {
        match self {
            Self::Leaving { deadline } => deadline,
            Self::Gone { since } => since,
        }
    }
}

/// `UpstreamNews` is the last known status of an upstream, with its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct UpstreamNews {
    /// Incarnation of the VM to which the status belongs.
    pub incarnation: Incarnation,
    /// Status of that incarnation.
    pub status: UpstreamStatus,
}

impl UpstreamNews {
    /// Returns the join of two values. The higher incarnation wins.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        match self.incarnation.cmp(&other.incarnation) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Self {
                status: self.status.join(other.status),
                ..self
            },
        }
    }
}

/// `NewsSnapshot` is the news of a node at one point in time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewsSnapshot {
    /// Head of the manifest with the highest known generation.
    pub manifest_head: Option<ManifestHead>,
    /// Upstreams that are leaving or gone.
    pub upstreams: HashMap<UpstreamId, UpstreamNews>,
}

impl NewsSnapshot {
    /// Returns the status of one incarnation of an upstream, if it is leaving or gone. An
    /// incarnation lower than the known one is gone.
    pub fn upstream_status(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
    ) -> Option<UpstreamStatus> {
        let news = self.upstreams.get(upstream)?;
        match news.incarnation.cmp(&incarnation) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(news.status),
            std::cmp::Ordering::Greater => Some(UpstreamStatus::Gone {
                since: news.status.time(),
            }),
        }
    }
}

/// `NewsState` holds the news of a node and merges items into it.
#[derive(Debug, Clone, Default)]
pub struct NewsState {
    news: NewsSnapshot,
    retention: Duration,
}

impl NewsState {
    /// Builds an empty state that keeps the news of an upstream until `retention` after its
    /// deadline or the time at which it was gone.
    pub fn new(retention: Duration) -> Self {
        Self {
            news: NewsSnapshot::default(),
            retention,
        }
    }

    /// Returns the news.
    pub fn snapshot(&self) -> &NewsSnapshot {
        &self.news
    }

    /// Merges an item and returns whether it changed the news. An expired item is ignored.
    pub fn merge(&mut self, item: &NewsItem, now: UnixMillis) -> bool {
        match item {
            NewsItem::ManifestHead(head) => self.merge_head(*head),
            NewsItem::UpstreamLeaving(item) => {
                let status = UpstreamStatus::Leaving {
                    deadline: item.deadline,
                };
                self.merge_upstream(&item.upstream, item.incarnation, status, now)
            }
            NewsItem::UpstreamGone(item) => {
                let status = UpstreamStatus::Gone { since: item.since };
                self.merge_upstream(&item.upstream, item.incarnation, status, now)
            }
        }
    }

    /// Drops expired news of upstreams. Returns whether there was any.
    pub fn expire(&mut self, now: UnixMillis) -> bool {
        let before = self.news.upstreams.len();
        let retention = self.retention;
        self.news
            .upstreams
            .retain(|_, news| !is_expired(news.status, retention, now));
        self.news.upstreams.len() < before
    }

    /// Returns all news as items.
    pub fn items(&self) -> Vec<NewsItem> {
        let head = self.news.manifest_head.map(NewsItem::ManifestHead);
        let upstreams = self.news.upstreams.iter().map(|(id, news)| item(id, *news));
        head.into_iter().chain(upstreams).collect()
    }

    /// Returns a digest of the news. Nodes with the same news have the same digest.
    pub fn digest(&self) -> StateDigest {
        let sum = self
            .items()
            .iter()
            .map(item_digest)
            .fold(0, u64::wrapping_add);
        StateDigest(sum)
    }

    fn merge_head(&mut self, head: ManifestHead) -> bool {
        let Some(known) = self.news.manifest_head else {
            self.news.manifest_head = Some(head);
            return true;
        };
        invariant!(
            "a generation has one digest",
            known.generation != head.generation || known.digest == head.digest,
            "{known:?} and {head:?}"
        );
        let joined = known.max(head);
        invariant!(
            "generation never falls",
            joined.generation >= known.generation,
            "{known:?} became {joined:?}"
        );
        self.news.manifest_head = Some(joined);
        joined != known
    }

    fn merge_upstream(
        &mut self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        status: UpstreamStatus,
        now: UnixMillis,
    ) -> bool {
        if is_expired(status, self.retention, now) {
            return false;
        }
        let news = UpstreamNews {
            incarnation,
            status,
        };
        let Some(known) = self.news.upstreams.get_mut(upstream) else {
            self.news.upstreams.insert(upstream.clone(), news);
            return true;
        };
        let joined = known.join(news);
        let is_new = joined != *known;
        *known = joined;
        is_new
    }
}

fn is_expired(status: UpstreamStatus, retention: Duration, now: UnixMillis) -> bool {
    status.time().saturating_add(retention) < now
}

fn item(upstream: &UpstreamId, news: UpstreamNews) -> NewsItem {
    let upstream = upstream.clone();
    let incarnation = news.incarnation;
    match news.status {
        UpstreamStatus::Leaving { deadline } => NewsItem::UpstreamLeaving(UpstreamLeaving {
            upstream,
            incarnation,
            deadline,
        }),
        UpstreamStatus::Gone { since } => NewsItem::UpstreamGone(UpstreamGone {
            upstream,
            incarnation,
            since,
        }),
    }
}

fn item_digest(item: &NewsItem) -> u64 {
    let text = match item {
        NewsItem::ManifestHead(head) => format!("manifest {} {}", head.generation, head.digest),
        NewsItem::UpstreamLeaving(item) => format!(
            "leaving {} {} {}",
            item.upstream, item.incarnation, item.deadline
        ),
        NewsItem::UpstreamGone(item) => {
            format!("gone {} {} {}", item.upstream, item.incarnation, item.since)
        }
    };
    StateDigest::of(&text).0
}
