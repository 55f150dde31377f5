//! Load pattern: many nodes, each of which hears each other one only every some seconds.

mod common;

use common::{at, rng};
use rand::{Rng, seq::SliceRandom};
use rstest::rstest;
use verbenahead_core::units::Tokens;
use verbenahead_policy::{SharedQuota, SharedQuotaOptions};

/// Quota in units a second, and its burst.
const RATE: f64 = 500_000.0;

const NODES: usize = 96;

/// Seconds between two steps, in each of which a node reports to the next ones of its ring.
const STEP: f64 = 0.25;

/// Reports of a node in a step. At some 250 bytes each, 1,900 bytes a second pay for two.
const REPORTS: usize = 2;

/// Reports of a node in a step in which the quota is nearly used up.
const PRESSING_REPORTS: usize = 32;

/// `Deployment` is a number of nodes that report along shuffled rings.
struct Deployment {
    nodes: Vec<SharedQuota>,
    rings: Vec<Vec<usize>>,
    passed: Vec<(f64, f64)>,
    refused: f64,
}

impl Deployment {
    fn new() -> Self {
        let options = SharedQuotaOptions::default();
        let node = |_| SharedQuota::new(options, RATE, RATE, 1.0, at(0.0));
        Self {
            nodes: (0..NODES).map(node).collect(),
            rings: vec![Vec::new(); NODES],
            passed: Vec::new(),
            refused: 0.0,
        }
    }

    fn report(&mut self, now: f64, rng: &mut impl Rng) {
        for from in 0..NODES {
            let should_report_now = self.nodes[from].should_report_now(at(now));
            if should_report_now {
                self.nodes[from].mark_reported();
            }
            let total = self.nodes[from].used();
            let count = if should_report_now {
                PRESSING_REPORTS
            } else {
                REPORTS
            };
            for _ in 0..count {
                if self.rings[from].is_empty() {
                    self.rings[from] = (0..NODES).filter(|to| *to != from).collect();
                    self.rings[from].shuffle(rng);
                }
                let to = self.rings[from].pop().expect("the ring is filled");
                self.nodes[to].apply_report(from as u64, total, true, at(now));
            }
        }
    }

    /// Plays requests of about 6,000 units at `demand` units a second, spread over all nodes.
    fn play(&mut self, start: f64, seconds: f64, demand: f64, seed: u64) {
        let mut rng = rng(seed);
        let mut now = start;
        let mut next_step = start + STEP;
        while now < start + seconds {
            let units = rng.random_range(200..12_000);
            let node = &mut self.nodes[rng.random_range(0..NODES)];
            if node.wait(Tokens(units), at(now)).is_zero() {
                node.take(Tokens(units), at(now));
                self.passed.push((now, units as f64));
            } else {
                self.refused += units as f64;
            }
            now += units as f64 / demand;
            if now >= next_step {
                next_step += STEP;
                self.report(now, &mut rng);
            }
        }
    }

    /// Returns the most that passed in any window of this length from `start` on.
    fn most_in(&self, window: f64, start: f64) -> f64 {
        let mut most: f64 = 0.0;
        let mut sum = 0.0;
        let mut first = 0;
        for (end, units) in &self.passed {
            sum += units;
            while self.passed[first].0 <= end - window {
                sum -= self.passed[first].1;
                first += 1;
            }
            if *end >= start + window {
                most = most.max(sum);
            }
        }
        most
    }
}

/// What the platform allows in a window of 8 s.
fn allowed() -> f64 {
    (RATE * 8.0 + RATE) * 1.1 + 140_000.0
}

#[rstest]
fn demand_within_the_quota_is_not_refused(#[values(0.5, 0.8)] part: f64) {
    for seed in 1..=3 {
        let mut deployment = Deployment::new();

        deployment.play(0.0, 40.0, RATE * part, seed);

        let refused = deployment.refused / (RATE * part * 40.0);
        assert!(refused < 0.03, "seed {seed}: {refused}");
    }
}

#[rstest]
fn steady_overload_stays_within_the_bound(#[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::new();
    deployment.play(0.0, 15.0, RATE * 0.8, seed);

    deployment.play(15.0, 25.0, RATE * 3.0, seed);

    let most = deployment.most_in(8.0, 0.0);
    assert!(most <= allowed(), "{most} of {}", allowed());
}
