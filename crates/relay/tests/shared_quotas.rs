//! Tests of quotas that many nodes share, under loss, delay, and failures of the collector.

mod quota_support;

use std::time::Duration;

use quota_support::{Condition, Deployment};
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Quota in units per second, with a burst of one second.
const RATE: f64 = 500_000.0;

/// Quota in the tests of smaller deployments.
const SMALL_RATE: f64 = 70_000.0;

/// Returns the units that the platform allows in a window of 8 s.
fn allowed(rate: f64) -> f64 {
    (rate * 8.0 + rate) * 1.1 + 140_000.0
}

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

#[rstest]
#[case(19, 1)]
#[case(96, 1)]
#[case(96, 2)]
#[case(96, 3)]
#[case(195, 1)]
#[case(330, 1)]
#[tokio::test(start_paused = true)]
async fn demand_within_the_quota_is_not_refused(
    #[case] nodes: usize,
    #[case] seed: u64,
    #[values(0.5, 0.8)] part: f64,
) {
    let deployment = Deployment::start(nodes, 0, RATE, seed);

    deployment.run(40.0, RATE * part, &all(nodes), seed).await;

    let refused = deployment.refused() / (RATE * part * 40.0);
    assert!(refused < 0.03, "{refused}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn demand_within_the_quota_is_admitted_at_any_number_of_nodes(
    #[values(1, 5, 19)] targets: usize,
) {
    let deployment = Deployment::start(19, 0, SMALL_RATE, 3);

    deployment
        .run(20.0, SMALL_RATE * 0.55, &all(targets), 3)
        .await;

    let wanted = SMALL_RATE * 0.55 * 20.0;
    assert!(
        deployment.admitted() > wanted * 0.97,
        "{}",
        deployment.admitted()
    );
}

#[rstest]
#[case(96, 1)]
#[case(96, 2)]
#[case(96, 3)]
#[case(195, 1)]
#[case(330, 1)]
#[tokio::test(start_paused = true)]
async fn steady_overload_stays_within_the_bound(#[case] nodes: usize, #[case] seed: u64) {
    let deployment = Deployment::start(nodes, 0, RATE, seed);
    deployment.run(15.0, RATE * 0.8, &all(nodes), seed).await;

    deployment.run(25.0, RATE * 3.0, &all(nodes), seed).await;

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(RATE), "{most} of {}", allowed(RATE));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn five_times_the_quota_stays_within_the_bound(
    #[values(1, 4, 19)] targets: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(19, 0, SMALL_RATE, seed);
    deployment
        .run(10.0, SMALL_RATE * 0.55, &all(targets), seed)
        .await;

    deployment
        .run(20.0, SMALL_RATE * 5.0, &all(targets), seed)
        .await;

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(SMALL_RATE), "{most}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn the_quota_is_used_up_under_overload(#[values(1, 19)] targets: usize) {
    let deployment = Deployment::start(19, 0, SMALL_RATE, 4);

    deployment
        .run(40.0, SMALL_RATE * 3.0, &all(targets), 4)
        .await;

    let used = deployment.admitted() / (SMALL_RATE * 40.0);
    assert!((0.85..1.15).contains(&used), "{used}");
}

#[rstest]
#[case(19, SMALL_RATE)]
#[case(195, RATE)]
#[tokio::test(start_paused = true)]
async fn nodes_that_start_together_stay_within_the_bound(
    #[case] nodes: usize,
    #[case] rate: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(nodes, 0, rate, seed);

    deployment.run(10.0, rate * 5.0, &all(nodes), seed).await;

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(rate), "{most}");
}

#[rstest]
#[case(19, 7, SMALL_RATE)]
#[case(195, 33, RATE)]
#[case(195, 97, RATE)]
#[tokio::test(start_paused = true)]
async fn parted_nodes_stay_within_the_bound_together(
    #[case] nodes: usize,
    #[case] parted: usize,
    #[case] rate: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(nodes, 0, rate, seed);
    deployment.run(8.0, rate * 0.55, &all(nodes), seed).await;

    for node in 0..nodes {
        deployment
            .network
            .set_condition(node, Condition::Parted(usize::from(node < parted)));
    }
    deployment.run(15.0, rate * 2.0, &all(nodes), seed).await;

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(rate), "{most} of {}", allowed(rate));
}

/// Load pattern: a hot workspace at three times its quota, whose collector fails.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_collector_that_dies_under_overload_keeps_the_bound(
    #[values(19, 195)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(nodes, 0, RATE, seed);
    let collector = deployment.collector(nodes);
    deployment.run(12.0, RATE * 3.0, &all(nodes), seed).await;

    deployment.network.set_condition(collector, Condition::Dead);
    deployment.run(12.0, RATE * 3.0, &all(nodes), seed).await;

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(RATE), "{most} of {}", allowed(RATE));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn the_loss_of_the_collector_costs_few_refusals(
    #[values(19, 195)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(nodes, 0, RATE, seed);
    let collector = deployment.collector(nodes);
    deployment.run(10.0, RATE * 0.5, &all(nodes), seed).await;

    deployment.network.set_condition(collector, Condition::Dead);
    deployment.run(20.0, RATE * 0.5, &all(nodes), seed).await;

    let refused = deployment.refused() / (RATE * 0.5 * 30.0);
    assert!(refused < 0.03, "{refused}");
    assert!(
        deployment.longest() < Duration::from_secs(1),
        "{:?}",
        deployment.longest()
    );
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_collector_that_wakes_after_a_pause_keeps_the_bound(
    #[values(19, 195)] nodes: usize,
    #[values(0.7, 4.0)] pause: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(nodes, 0, RATE, seed);
    let collector = deployment.collector(nodes);
    deployment.run(10.0, RATE * 3.0, &all(nodes), seed).await;

    let until = Instant::now() + Duration::from_secs_f64(pause);
    deployment
        .network
        .set_condition(collector, Condition::Paused(until));
    deployment.run(pause, RATE * 3.0, &all(nodes), seed).await;
    deployment
        .network
        .set_condition(collector, Condition::Running);
    deployment.run(10.0, RATE * 3.0, &all(nodes), seed).await;

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(RATE), "{most} of {}", allowed(RATE));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn the_death_of_most_nodes_keeps_the_bound(#[values(1, 2, 3)] seed: u64) {
    let deployment = Deployment::start(195, 0, RATE, seed);
    deployment.run(10.0, RATE * 3.0, &all(195), seed).await;

    for node in (0..195).filter(|node| node % 5 < 3) {
        deployment.network.set_condition(node, Condition::Dead);
    }
    deployment.run(10.0, RATE * 3.0, &all(195), seed).await;

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(RATE), "{most} of {}", allowed(RATE));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn nodes_that_join_by_dozens_keep_the_bound(#[values(1, 2, 3)] seed: u64) {
    let deployment = Deployment::start(195, 37, RATE, seed);
    deployment.run(10.0, RATE * 3.0, &all(195), seed).await;

    for node in 195..232 {
        deployment.join(node, 232);
        sleep(Duration::from_millis(5)).await;
    }
    deployment.run(10.0, RATE * 3.0, &all(232), seed).await;

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(RATE), "{most} of {}", allowed(RATE));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn lost_and_slow_messages_keep_the_bound_and_refuse_little(
    #[values(1, 2, 3)] seed: u64,
    #[values(3, 60)] delay_ms: u64,
) {
    let deployment = Deployment::start(195, 0, RATE, seed);
    deployment.network.set_loss(0.03);
    deployment
        .network
        .set_delay(Duration::from_millis(delay_ms));

    deployment.run(20.0, RATE * 0.5, &all(195), seed).await;
    let refused = deployment.refused() / (RATE * 0.5 * 20.0);
    deployment.run(12.0, RATE * 3.0, &all(195), seed).await;

    assert!(refused < 0.03, "{refused}");
    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(RATE), "{most} of {}", allowed(RATE));
}

/// Load pattern: a hot workspace whose callers move from some nodes to others.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_hot_workspace_that_moves_between_nodes_keeps_the_bound(#[values(1, 2, 3)] seed: u64) {
    let deployment = Deployment::start(195, 0, RATE, seed);
    let (east, west): (Vec<usize>, Vec<usize>) = all(195).into_iter().partition(|n| n % 6 == 0);

    for targets in [&east, &west, &east, &west] {
        deployment.run(5.0, RATE * 4.0, targets, seed).await;
    }

    let most = deployment.max_in_window(8.0);
    assert!(most <= allowed(RATE), "{most} of {}", allowed(RATE));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_lowered_limit_binds_one_window_later(#[values(1, 2, 3)] seed: u64) {
    let deployment = Deployment::start(195, 0, RATE, seed);
    deployment.run(10.0, RATE * 3.0, &all(195), seed).await;
    let before = deployment.admitted();

    deployment.set_rate(2, RATE / 4.0);
    deployment.run(8.0, RATE, &all(195), seed).await;

    let after = deployment.admitted() - before;
    assert!(
        after <= allowed(RATE / 4.0),
        "{after} of {}",
        allowed(RATE / 4.0)
    );
}

#[tokio::test(start_paused = true)]
async fn nothing_is_granted_before_the_nodes_are_listed() {
    let deployment = Deployment::start(3, 1, RATE, 1);

    deployment.run(2.0, RATE * 0.5, &[3], 1).await;

    assert_eq!(deployment.admitted(), 0.0);
}
