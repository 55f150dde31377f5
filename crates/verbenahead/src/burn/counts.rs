//! Counts of requests that met or missed their objectives.

use std::time::Duration;

use derive_more::{Add, AddAssign, Display, Sum};
use serde::{Deserialize, Serialize};
use verbenahead_core::{ServiceId, WorkspaceId};
use verbenahead_manifest::Objectives;

/// `RequestResult` holds what is counted of one finished request.
///
/// Requests that are refused because of an error of the caller are not counted. Requests that are
/// refused for lack of capacity count as not answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestResult {
    /// Whether the request was answered in full.
    pub is_answered: bool,
    /// Time to the first token, or to the complete answer of a service without token streams, if
    /// there was one.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens of the answer, if it had at least two.
    pub inter_token: Option<Duration>,
}

/// `SeriesKey` identifies a series of counts: one workspace at one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SeriesKey {
    /// Workspace of the requests.
    pub workspace: WorkspaceId,
    /// Service of the requests.
    pub service: ServiceId,
}

/// `ObjectiveKind` is a kind of service-level objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Requests are answered in full.
    #[display("availability")]
    Availability,
    /// The first token arrives within the time limit.
    #[display("first token")]
    FirstToken,
    /// The mean time between tokens is within the limit.
    #[display("inter-token")]
    InterToken,
}

impl ObjectiveKind {
    /// All kinds, in display order.
    pub const ALL: [Self; 3] = [Self::Availability, Self::FirstToken, Self::InterToken];

    /// Returns the ratio of requests that must be good, from 0 to 1.
    pub fn target(self, objectives: &Objectives) -> f64 {
        match self {
            Self::Availability => objectives.availability_ratio,
            Self::FirstToken | Self::InterToken => objectives.latency_ratio,
        }
    }
}

/// `Counts` holds the number of good requests and of all requests.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Add, AddAssign, Sum, Serialize, Deserialize,
)]
pub struct Counts {
    /// Requests that met the objective.
    pub good: u64,
    /// Requests to which the objective applies.
    pub total: u64,
}

impl Counts {
    /// Counts one request.
    pub fn record(&mut self, is_good: bool) {
        self.good += u64::from(is_good);
        self.total += 1;
    }

    /// Returns the number of requests that did not meet the objective.
    pub fn bad(&self) -> u64 {
        self.total.saturating_sub(self.good)
    }

    /// Returns the burn rate for a target ratio, or `None` without requests.
    ///
    /// The burn rate is how many times faster than allowed the error budget is used up. At 1 the
    /// budget is used up exactly at the end of its period.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    pub fn burn_rate(&self, target: f64) -> Option<f64> {
        if self.total == 0 {
            return None;
        }
        let bad_ratio = self.bad() as f64 / self.total as f64;
        Some(bad_ratio / (1.0 - target))
    }
}

/// `ObjectiveCounts` holds the counts of each objective. It is serialized as an array of six
/// numbers.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Add, AddAssign, Sum, Serialize, Deserialize,
)]
#[serde(from = "[u64; 6]", into = "[u64; 6]")]
pub struct ObjectiveCounts {
    /// Counts of requests by whether they were answered in full.
    pub availability: Counts,
    /// Counts of first tokens by whether they met the time limit.
    pub first_token: Counts,
    /// Counts of token streams by whether they met the time limit.
    pub inter_token: Counts,
}

impl ObjectiveCounts {
    /// Counts one request.
    pub fn record(&mut self, result: &RequestResult, objectives: &Objectives) {
        self.availability.record(result.is_answered);
        if let Some(first_token) = result.first_token {
            self.first_token
                .record(first_token <= objectives.first_token);
        }
        if let Some(inter_token) = result.inter_token {
            self.inter_token
                .record(inter_token <= objectives.inter_token);
        }
    }

    /// Returns the counts of one objective.
    pub fn get(&self, kind: ObjectiveKind) -> Counts {
        match kind {
            ObjectiveKind::Availability => self.availability,
            ObjectiveKind::FirstToken => self.first_token,
            ObjectiveKind::InterToken => self.inter_token,
        }
    }

    /// Returns whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl From<[u64; 6]> for ObjectiveCounts {
    fn from(numbers: [u64; 6]) -> Self {
        let counts = |index: usize| Counts {
            good: numbers[index],
            total: numbers[index + 1],
        };
        Self {
            availability: counts(0),
            first_token: counts(2),
            inter_token: counts(4),
        }
    }
}

impl From<ObjectiveCounts> for [u64; 6] {
    fn from(counts: ObjectiveCounts) -> Self {
        [
            counts.availability.good,
            counts.availability.total,
            counts.first_token.good,
            counts.first_token.total,
            counts.inter_token.good,
            counts.inter_token.total,
        ]
    }
}
