//! Tests of a shared quota when a workspace demands several times its quota, at one node or many.
//!
//! A model counts what all nodes admit and compares it with the quota over sliding windows.

mod common;

use std::time::Duration;

use common::{at, rng};
use rand::Rng;
use rstest::rstest;
use verbenahead_core::units::Tokens;
use verbenahead_policy::{SharedQuota, SharedQuotaOptions};

/// Quota in units per second, and its burst in units.
const RATE: f64 = 70_000.0;

/// Seconds between two checks whether a node should report immediately.
const CHECK_INTERVAL: f64 = 0.25;

fn quota(share: f64) -> SharedQuota {
    SharedQuota::new(SharedQuotaOptions::default(), RATE, RATE, share, at(0.0))
}

/// `Deployment` is a set of nodes that report to each other periodically.
struct Deployment {
    nodes: Vec<SharedQuota>,
    /// Seconds.
    report_interval: f64,
    /// Whether each node is partitioned from all others.
    is_isolated: Vec<bool>,
    /// Time in seconds and units of each admitted request.
    admitted: Vec<(f64, f64)>,
}

impl Deployment {
    fn new(nodes: usize, share: f64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| quota(share)).collect(),
            report_interval: 1.1,
            is_isolated: vec![false; nodes],
            admitted: Vec::new(),
        }
    }

    fn report(&mut self, now: f64) {
        (0..self.nodes.len()).for_each(|from| self.report_from(from, now));
    }

    fn report_urgent(&mut self, now: f64) {
        for from in 0..self.nodes.len() {
            if self.nodes[from].should_report_now(at(now)) {
                self.nodes[from].mark_reported();
                self.report_from(from, now);
            }
        }
    }

    fn report_from(&mut self, from: usize, now: f64) {
        let total = self.nodes[from].used();
        for to in 0..self.nodes.len() {
            if from != to && !self.is_isolated[from] && !self.is_isolated[to] {
                self.nodes[to].apply_report(from as u64, total, true, at(now));
            }
        }
    }

    /// Tells each node which part of the nodes it receives reports from.
    fn update_shares(&mut self, now: f64) {
        let known = self.nodes.len() as f64;
        let connected = self
            .is_isolated
            .iter()
            .filter(|isolated| !**isolated)
            .count() as f64;
        for (node, is_isolated) in self.nodes.iter_mut().zip(&self.is_isolated) {
            let reachable = if *is_isolated { 1.0 } else { connected };
            node.set_share(reachable / known, at(now));
        }
    }

    fn request(&mut self, node: usize, units: u64, now: f64) -> bool {
        let node = &mut self.nodes[node];
        if !node.wait(Tokens(units), at(now)).is_zero() {
            return false;
        }
        node.take(Tokens(units), at(now));
        self.admitted.push((now, units as f64));
        true
    }

    /// Simulates `seconds` of requests of 200 to 12,000 units, at `demand` units per second, spread
    /// over the nodes `targets`.
    fn simulate(&mut self, start: f64, seconds: f64, demand: f64, targets: &[usize], seed: u64) {
        let mut rng = rng(seed);
        let mut now = start;
        let mut next_report = start + self.report_interval;
        let mut next_check = start + CHECK_INTERVAL;
        while now < start + seconds {
            let units = rng.random_range(200..12_000);
            let node = targets[rng.random_range(0..targets.len())];
            self.request(node, units, now);
            now += units as f64 / demand;
            if now >= next_check {
                next_check += CHECK_INTERVAL;
                self.report_urgent(now);
            }
            if now >= next_report {
                next_report += self.report_interval;
                self.report(now);
            }
        }
    }

    /// Returns the most units that were admitted in any window of this length in seconds.
    fn max_in_window(&self, window: f64) -> f64 {
        let ends = self.admitted.iter().map(|(end, _)| *end);
        let sum = |end: f64| {
            let inside = self.admitted.iter();
            let inside = inside.filter(|(time, _)| *time <= end && *time > end - window);
            inside.map(|(_, units)| units).sum::<f64>()
        };
        ends.map(sum).fold(0.0, f64::max)
    }

    fn total(&self) -> f64 {
        self.admitted.iter().map(|(_, units)| units).sum()
    }
}

/// Returns the units that the platform allows in a window of 8 s.
fn allowed() -> f64 {
    (RATE * 8.0 + RATE) * 1.1 + 140_000.0
}

#[rstest]
fn demand_within_the_quota_is_admitted_at_any_number_of_nodes(#[values(1, 5, 19)] targets: usize) {
    let mut deployment = Deployment::new(19, 1.0);
    let targets: Vec<usize> = (0..targets).collect();

    deployment.simulate(0.0, 20.0, RATE * 0.55, &targets, 3);

    let wanted = RATE * 0.55 * 20.0;
    assert!(deployment.total() > wanted * 0.97, "{}", deployment.total());
}

#[rstest]
fn five_times_the_quota_stays_within_the_bound(
    #[values(1, 4, 19)] targets: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut deployment = Deployment::new(19, 1.0);
    let targets: Vec<usize> = (0..targets).collect();
    deployment.simulate(0.0, 10.0, RATE * 0.55, &targets, seed);

    deployment.simulate(10.0, 20.0, RATE * 5.0, &targets, seed);

    assert!(
        deployment.max_in_window(8.0) <= allowed(),
        "{}",
        deployment.max_in_window(8.0)
    );
}

#[rstest]
fn the_quota_is_used_up_under_overload(#[values(1, 19)] targets: usize) {
    let mut deployment = Deployment::new(19, 1.0);
    let targets: Vec<usize> = (0..targets).collect();

    deployment.simulate(0.0, 40.0, RATE * 3.0, &targets, 4);

    let used = deployment.total() / (RATE * 40.0);
    assert!((0.85..1.15).contains(&used), "{used}");
}

#[rstest]
fn nodes_that_start_together_stay_within_the_bound(#[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::new(19, 1.0 / 19.0);
    let all: Vec<usize> = (0..19).collect();

    // For one second, no node has received a report of another.
    deployment.simulate(0.0, 1.0, RATE * 5.0, &all, seed);
    deployment.update_shares(1.0);
    deployment.simulate(1.0, 9.0, RATE * 5.0, &all, seed);

    assert!(
        deployment.max_in_window(8.0) <= allowed(),
        "{}",
        deployment.max_in_window(8.0)
    );
}

#[rstest]
fn isolated_nodes_leave_the_others_their_part(#[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::new(19, 1.0);
    let all: Vec<usize> = (0..19).collect();
    deployment.simulate(0.0, 8.0, RATE * 0.55, &all, seed);

    for node in 0..7 {
        deployment.is_isolated[node] = true;
    }
    // The nodes detect the partition after 3 s.
    deployment.simulate(8.0, 3.0, RATE * 2.0, &all, seed);
    deployment.update_shares(11.0);
    deployment.simulate(11.0, 12.0, RATE * 2.0, &all, seed);

    assert!(
        deployment.max_in_window(8.0) <= allowed(),
        "{}",
        deployment.max_in_window(8.0)
    );
}

#[test]
fn small_requests_are_admitted_while_a_debt_is_paid_back() {
    let mut quota = quota(1.0);
    quota.take(Tokens(90_000), at(0.0));

    let large = quota.wait(Tokens(10_000), at(0.0));
    let small = quota.wait(Tokens(200), at(0.0));

    assert!(large > Duration::from_millis(280), "{large:?}");
    assert_eq!(small, Duration::ZERO);
}

#[test]
fn the_debt_of_small_requests_is_bounded() {
    let mut quota = quota(1.0);
    quota.take(Tokens(140_000), at(0.0));

    let small = quota.wait(Tokens(200), at(0.0));

    assert!(!small.is_zero());
}

#[test]
fn a_request_is_admitted_after_its_wait() {
    let mut quota = quota(1.0);
    quota.take(Tokens(150_000), at(0.0));
    let wait = quota.wait(Tokens(5_000), at(0.0));

    let after = quota.wait(Tokens(5_000), at(wait.as_secs_f64() + 0.001));

    assert_eq!(after, Duration::ZERO);
}

#[test]
fn units_of_requests_that_did_not_run_are_refunded() {
    let mut quota = quota(1.0);
    quota.take(Tokens(100_000), at(0.0));

    quota.refund(Tokens(100_000), at(0.0));

    assert_eq!(quota.used(), 0);
    assert!(quota.wait(Tokens(5_000), at(0.0)).is_zero());
}

#[test]
fn usage_before_the_first_report_of_a_running_node_is_not_deducted() {
    let mut quota = quota(1.0);

    quota.apply_report(7, 5_000_000, false, at(0.1));

    assert!(quota.wait(Tokens(5_000), at(0.1)).is_zero());
}

#[test]
fn a_lower_limit_reduces_the_level() {
    let mut quota = quota(1.0);

    quota.set_limit(1_000.0, 1_000.0, at(0.0));
    quota.take(Tokens(1_500), at(0.0));

    let wait = quota.wait(Tokens(500), at(0.0));
    assert!(wait > Duration::from_millis(450), "{wait:?}");
}
