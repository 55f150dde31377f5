//! Tests of a shared quota on many nodes, each of which hears from each other one only every few
//! seconds.

mod common;

use common::{at, rng};
use rand::{Rng, seq::SliceRandom};
use rstest::rstest;
use verbenahead_core::units::Tokens;
use verbenahead_policy::{SharedQuota, SharedQuotaOptions};

/// Quota in units per second, and its burst in units.
const RATE: f64 = 500_000.0;

const NODES: usize = 96;

/// Seconds between two rounds, in each of which a node reports to the next nodes in its order.
const ROUND_INTERVAL: f64 = 0.25;

/// Reports that a node sends in a round. At about 250 bytes each, a bandwidth of 1,900 bytes per
/// second allows two.
const REPORTS: usize = 2;

/// Reports that a node sends in a round when the quota is nearly exhausted.
const URGENT_REPORTS: usize = 32;

/// `Deployment` is a set of nodes that report to each other in random order.
struct Deployment {
    nodes: Vec<SharedQuota>,
    /// Nodes to which each node has yet to report before it starts over in a new order.
    targets: Vec<Vec<usize>>,
    /// Time in seconds and units of each admitted request.
    admitted: Vec<(f64, f64)>,
    /// Units of all refused requests.
    refused: f64,
}

impl Deployment {
    fn new() -> Self {
        let options = SharedQuotaOptions::default();
        let node = |_| SharedQuota::new(options, RATE, RATE, 1.0, at(0.0));
        Self {
            nodes: (0..NODES).map(node).collect(),
            targets: vec![Vec::new(); NODES],
            admitted: Vec::new(),
            refused: 0.0,
        }
    }

    fn report(&mut self, now: f64, rng: &mut impl Rng) {
        for from in 0..NODES {
            let is_urgent = self.nodes[from].should_report_now(at(now));
            if is_urgent {
                self.nodes[from].mark_reported();
            }
            let total = self.nodes[from].used();
            let count = if is_urgent { URGENT_REPORTS } else { REPORTS };
            for _ in 0..count {
                if self.targets[from].is_empty() {
                    self.targets[from] = (0..NODES).filter(|to| *to != from).collect();
                    self.targets[from].shuffle(rng);
                }
                let to = self.targets[from].pop().expect("the targets are filled");
                self.nodes[to].apply_report(from as u64, total, true, at(now));
            }
        }
    }

    /// Simulates `seconds` of requests of 200 to 12,000 units, at `demand` units per second, spread
    /// over all nodes.
    fn simulate(&mut self, start: f64, seconds: f64, demand: f64, seed: u64) {
        let mut rng = rng(seed);
        let mut now = start;
        let mut next_round = start + ROUND_INTERVAL;
        while now < start + seconds {
            let units = rng.random_range(200..12_000);
            let node = &mut self.nodes[rng.random_range(0..NODES)];
            if node.wait(Tokens(units), at(now)).is_zero() {
                node.take(Tokens(units), at(now));
                self.admitted.push((now, units as f64));
            } else {
                self.refused += units as f64;
            }
            now += units as f64 / demand;
            if now >= next_round {
                next_round += ROUND_INTERVAL;
                self.report(now, &mut rng);
            }
        }
    }

    /// Returns the most units that were admitted in any window of this length in seconds that
    /// begins at `start` or later.
    fn max_in_window(&self, window: f64, start: f64) -> f64 {
        let mut most: f64 = 0.0;
        let mut sum = 0.0;
        let mut first = 0;
        for (end, units) in &self.admitted {
            sum += units;
            while self.admitted[first].0 <= end - window {
                sum -= self.admitted[first].1;
                first += 1;
            }
            if *end >= start + window {
                most = most.max(sum);
            }
        }
        most
    }
}

/// Returns the units that the platform allows in a window of 8 s.
fn allowed() -> f64 {
    (RATE * 8.0 + RATE) * 1.1 + 140_000.0
}

#[rstest]
fn demand_within_the_quota_is_not_refused(#[values(0.5, 0.8)] part: f64) {
    for seed in 1..=3 {
        let mut deployment = Deployment::new();

        deployment.simulate(0.0, 40.0, RATE * part, seed);

        let refused = deployment.refused / (RATE * part * 40.0);
        assert!(refused < 0.03, "seed {seed}: {refused}");
    }
}

#[rstest]
fn steady_overload_stays_within_the_bound(#[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::new();
    deployment.simulate(0.0, 15.0, RATE * 0.8, seed);

    deployment.simulate(15.0, 25.0, RATE * 3.0, seed);

    let most = deployment.max_in_window(8.0, 0.0);
    assert!(most <= allowed(), "{most} of {}", allowed());
}
