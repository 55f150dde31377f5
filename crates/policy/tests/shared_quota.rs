//! Load pattern: a workspace asks for several times its quota, at many nodes at once or at one.
//!
//! A naive model counts what all nodes let pass, and the quota is checked over sliding windows.

mod common;

use std::time::Duration;

use common::{at, rng};
use rand::Rng;
use rstest::rstest;
use verbenahead_core::units::Tokens;
use verbenahead_policy::{SharedQuota, SharedQuotaOptions};

const RATE: f64 = 70_000.0;

/// Seconds between two moments at which a node may report what is pressing.
const STEP: f64 = 0.25;

fn quota(share: f64) -> SharedQuota {
    SharedQuota::new(SharedQuotaOptions::default(), RATE, RATE, share, at(0.0))
}

/// `Deployment` is a number of nodes that report to each other once a period.
struct Deployment {
    nodes: Vec<SharedQuota>,
    report_every: f64,
    /// Nodes that nobody hears and that hear nobody.
    is_cut: Vec<bool>,
    passed: Vec<(f64, f64)>,
}

impl Deployment {
    fn new(nodes: usize, share: f64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| quota(share)).collect(),
            report_every: 1.1,
            is_cut: vec![false; nodes],
            passed: Vec::new(),
        }
    }

    fn report(&mut self, now: f64) {
        (0..self.nodes.len()).for_each(|from| self.report_of(from, now));
    }

    fn report_pressing(&mut self, now: f64) {
        for from in 0..self.nodes.len() {
            if self.nodes[from].should_report_now(at(now)) {
                self.nodes[from].mark_reported();
                self.report_of(from, now);
            }
        }
    }

    fn report_of(&mut self, from: usize, now: f64) {
        let total = self.nodes[from].used();
        for to in 0..self.nodes.len() {
            if from != to && !self.is_cut[from] && !self.is_cut[to] {
                self.nodes[to].apply_report(from as u64, total, true, at(now));
            }
        }
    }

    fn set_heard(&mut self, now: f64) {
        let known = self.nodes.len() as f64;
        let connected = self.is_cut.iter().filter(|cut| !**cut).count() as f64;
        for (node, is_cut) in self.nodes.iter_mut().zip(&self.is_cut) {
            let heard = if *is_cut { 1.0 } else { connected };
            node.set_share(heard / known, at(now));
        }
    }

    fn ask(&mut self, node: usize, units: u64, now: f64) -> bool {
        let node = &mut self.nodes[node];
        if !node.wait(Tokens(units), at(now)).is_zero() {
            return false;
        }
        node.take(Tokens(units), at(now));
        self.passed.push((now, units as f64));
        true
    }

    /// Plays `seconds` of requests of about 4,000 units at `demand` units a second over the nodes
    /// in `asked`.
    fn play(&mut self, start: f64, seconds: f64, demand: f64, asked: &[usize], seed: u64) {
        let mut rng = rng(seed);
        let mut now = start;
        let mut next_report = start + self.report_every;
        let mut next_step = start + STEP;
        while now < start + seconds {
            let units = rng.random_range(200..12_000);
            let node = asked[rng.random_range(0..asked.len())];
            self.ask(node, units, now);
            now += units as f64 / demand;
            if now >= next_step {
                next_step += STEP;
                self.report_pressing(now);
            }
            if now >= next_report {
                next_report += self.report_every;
                self.report(now);
            }
        }
    }

    /// Returns the most that passed in any window of this length.
    fn most_in(&self, window: f64) -> f64 {
        let ends = self.passed.iter().map(|(end, _)| *end);
        let sum = |end: f64| {
            let inside = self.passed.iter();
            let inside = inside.filter(|(time, _)| *time <= end && *time > end - window);
            inside.map(|(_, units)| units).sum::<f64>()
        };
        ends.map(sum).fold(0.0, f64::max)
    }

    fn total(&self) -> f64 {
        self.passed.iter().map(|(_, units)| units).sum()
    }
}

/// What the platform allows in a window of 8 s.
fn allowed() -> f64 {
    (RATE * 8.0 + RATE) * 1.1 + 140_000.0
}

#[rstest]
fn demand_within_the_quota_passes_wherever_it_comes(#[values(1, 5, 19)] asked: usize) {
    let mut deployment = Deployment::new(19, 1.0);
    let asked: Vec<usize> = (0..asked).collect();

    deployment.play(0.0, 20.0, RATE * 0.55, &asked, 3);

    let wanted = RATE * 0.55 * 20.0;
    assert!(deployment.total() > wanted * 0.97, "{}", deployment.total());
}

#[rstest]
fn five_times_the_quota_stays_within_the_bound(
    #[values(1, 4, 19)] asked: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut deployment = Deployment::new(19, 1.0);
    let asked: Vec<usize> = (0..asked).collect();
    deployment.play(0.0, 10.0, RATE * 0.55, &asked, seed);

    deployment.play(10.0, 20.0, RATE * 5.0, &asked, seed);

    assert!(
        deployment.most_in(8.0) <= allowed(),
        "{}",
        deployment.most_in(8.0)
    );
}

#[rstest]
fn the_quota_is_used_up_under_overload(#[values(1, 19)] asked: usize) {
    let mut deployment = Deployment::new(19, 1.0);
    let asked: Vec<usize> = (0..asked).collect();

    deployment.play(0.0, 40.0, RATE * 3.0, &asked, 4);

    let used = deployment.total() / (RATE * 40.0);
    assert!((0.85..1.15).contains(&used), "{used}");
}

#[rstest]
fn nodes_that_all_start_at_once_stay_within_the_bound(#[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::new(19, 1.0 / 19.0);
    let all: Vec<usize> = (0..19).collect();

    // For a second, no node has heard of another.
    deployment.play(0.0, 1.0, RATE * 5.0, &all, seed);
    deployment.set_heard(1.0);
    deployment.play(1.0, 9.0, RATE * 5.0, &all, seed);

    assert!(
        deployment.most_in(8.0) <= allowed(),
        "{}",
        deployment.most_in(8.0)
    );
}

#[rstest]
fn nodes_that_are_cut_off_leave_the_others_their_part(#[values(1, 2, 3)] seed: u64) {
    let mut deployment = Deployment::new(19, 1.0);
    let all: Vec<usize> = (0..19).collect();
    deployment.play(0.0, 8.0, RATE * 0.55, &all, seed);

    for node in 0..7 {
        deployment.is_cut[node] = true;
    }
    // The silence is noticed after 3 s.
    deployment.play(8.0, 3.0, RATE * 2.0, &all, seed);
    deployment.set_heard(11.0);
    deployment.play(11.0, 12.0, RATE * 2.0, &all, seed);

    assert!(
        deployment.most_in(8.0) <= allowed(),
        "{}",
        deployment.most_in(8.0)
    );
}

#[test]
fn small_requests_pass_while_a_debt_is_paid_back() {
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
fn the_wait_is_long_enough() {
    let mut quota = quota(1.0);
    quota.take(Tokens(150_000), at(0.0));
    let wait = quota.wait(Tokens(5_000), at(0.0));

    let after = quota.wait(Tokens(5_000), at(wait.as_secs_f64() + 0.001));

    assert_eq!(after, Duration::ZERO);
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut quota = quota(1.0);
    quota.take(Tokens(100_000), at(0.0));

    quota.refund(Tokens(100_000), at(0.0));

    assert_eq!(quota.used(), 0);
    assert!(quota.wait(Tokens(5_000), at(0.0)).is_zero());
}

#[test]
fn the_use_of_an_old_node_before_it_was_heard_does_not_count() {
    let mut quota = quota(1.0);

    quota.apply_report(7, 5_000_000, false, at(0.1));

    assert!(quota.wait(Tokens(5_000), at(0.1)).is_zero());
}

#[test]
fn a_lower_limit_cuts_what_is_left() {
    let mut quota = quota(1.0);

    quota.set_limit(1_000.0, 1_000.0, at(0.0));
    quota.take(Tokens(1_500), at(0.0));

    let wait = quota.wait(Tokens(500), at(0.0));
    assert!(wait > Duration::from_millis(450), "{wait:?}");
}
