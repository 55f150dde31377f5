//! Sums of what the nodes count during a rollout.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;
use verbenahead_core::HashMap;
use verbenahead_membership::{RolloutCounts, Share};
use verbenahead_policy::{AnswerCounts, LossLimit, RouteEvidence, Timestamp};
use verbenahead_relay::clock::policy_now;

/// Time over which the rate of attempts is measured.
const RATE_PERIOD: Duration = Duration::from_millis(2_000);

/// Time after which the counts of a node are too old to tell its present share.
const MAX_AGE: Duration = Duration::from_millis(1_800);

/// `CountedNode` identifies the process of a node.
pub type CountedNode = (String, u64);

#[derive(Debug, Clone)]
struct NodeCounts {
    counts: RolloutCounts,
    /// Number of the report with the counts.
    report: u64,
    at: Instant,
}

/// `CountsSum` sums the counts of all nodes for one rollout. Those of a node that has ended stay in the sum.
#[derive(Debug, Default)]
pub struct CountsSum {
    nodes: HashMap<CountedNode, NodeCounts>,
    losses: BTreeMap<(u32, bool), LossLimit>,
    attempts: VecDeque<(Instant, u64)>,
}

/// `Confirmation` tells whether the nodes send all requests to the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Nodes whose counts are recent.
    pub heard: usize,
    /// Nodes among them at which the share is all requests.
    pub confirmed: usize,
    /// Attempts that are open at other versions, at all nodes.
    pub open_old: u64,
    /// Age of the oldest counts among those that are recent.
    pub age: Duration,
}

impl CountsSum {
    /// Takes in the counts in the report `report` of a node.
    pub fn record(&mut self, node: CountedNode, report: u64, counts: RolloutCounts) {
        let known = self.nodes.get(&node);
        if known.is_some_and(|known| known.report >= report) {
            return;
        }
        let at = Instant::now();
        self.nodes.insert(node, NodeCounts { counts, report, at });
    }

    /// Returns the attempts at the service and at the target.
    pub fn attempts(&self) -> (u64, u64) {
        let counts = self.nodes.values().map(|node| &node.counts);
        counts.fold((0, 0), |(all, target), counts| {
            (all + counts.attempts, target + counts.target_attempts)
        })
    }

    /// Returns the attempts per second at the service.
    pub fn rate(&mut self) -> f64 {
        let now = Instant::now();
        let (attempts, _) = self.attempts();
        self.attempts.push_back((now, attempts));
        let is_old = |at: Instant| now.saturating_duration_since(at) > RATE_PERIOD;
        while self.attempts.len() > 2 && is_old(self.attempts[1].0) {
            self.attempts.pop_front();
        }
        let (from, first) = self.attempts[0];
        let period = now.saturating_duration_since(from).as_secs_f64();
        match period > 0.2 {
            true => attempts.saturating_sub(first) as f64 / period,
            false => 0.0,
        }
    }

    /// Returns the longest recent attempt at other versions.
    pub fn longest(&self) -> Duration {
        let longest = self.nodes.values().map(|node| node.counts.longest);
        longest.max().unwrap_or_default()
    }

    /// Returns what the nodes with recent counts do.
    pub fn confirmation(&self) -> Confirmation {
        let recent = self
            .nodes
            .values()
            .filter(|node| node.at.elapsed() < MAX_AGE);
        recent.fold(Confirmation::default(), |sum, node| Confirmation {
            heard: sum.heard + 1,
            confirmed: sum.confirmed + usize::from(node.counts.share == Share::ALL),
            open_old: sum.open_old + u64::from(node.counts.open_old),
            age: sum.age.max(node.at.elapsed()),
        })
    }

    /// Returns the evidence by route.
    pub fn evidence(&mut self) -> BTreeMap<u32, RouteEvidence> {
        let now: Timestamp = policy_now();
        let mut lost: BTreeMap<(u32, bool), u64> = BTreeMap::new();
        let mut evidence: BTreeMap<u32, RouteEvidence> = BTreeMap::new();
        for node in self.nodes.values() {
            for outcomes in &node.counts.outcomes {
                let route = outcomes.route.0;
                *lost.entry((route, outcomes.is_target)).or_default() += outcomes.lost;
                let counts = AnswerCounts {
                    answered: outcomes.answered,
                    failed: outcomes.failed,
                    times: outcomes.times.iter().copied().map(u64::from).collect(),
                };
                version_counts(&mut evidence, route, outcomes.is_target).add(&counts);
            }
        }
        for ((route, is_target), lost) in lost {
            let limit = self.losses.entry((route, is_target)).or_default();
            version_counts(&mut evidence, route, is_target).failed += limit.update(lost, now);
        }
        evidence
    }
}

fn version_counts(
    evidence: &mut BTreeMap<u32, RouteEvidence>,
    route: u32,
    is_target: bool,
) -> &mut AnswerCounts {
    let evidence = evidence.entry(route).or_default();
    match is_target {
        true => &mut evidence.target,
        false => &mut evidence.old,
    }
}
