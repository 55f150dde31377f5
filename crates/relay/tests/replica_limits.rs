//! Tests of a replica that names a limit, in a simulated deployment. Failure pattern: far more requests
//! than the replica takes are routed to it by all nodes.

mod limit_support;

use std::time::Duration;

use limit_support::{Condition, Deployment};
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Time after which nodes must heed a limit.
const CALM: f64 = 3.0;

/// Returns how many requests a replica may get in 4 s.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * 4.0 + 5.0) as usize
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn the_limit_is_kept_and_used_at_any_number_of_nodes(
    #[values(1, 2, 19, 96, 195, 330)] nodes: usize,
    #[values(0.5, 1.0, 4.0, 15.0)] limit: f64,
    #[values(1, 2)] seed: u64,
) {
    let deployment = Deployment::start(nodes, limit, seed);
    deployment.run(CALM, limit * 4.0).await;
    // Each node gets its first answer, or hears of the limit.
    deployment.run(20.0, limit * 4.0).await;
    let since = Instant::now();

    deployment.run(40.0, limit * 4.0).await;

    let most = deployment.most_since(since);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    let used = deployment.sent_since(since).len() as f64 / (40.0 * limit);
    assert!(used > 0.6, "{used}");
}

#[rstest]
#[case::loss(0.03, 3)]
#[case::much_loss(0.3, 3)]
#[case::delay(0.0, 90)]
#[tokio::test(start_paused = true)]
async fn the_limit_is_kept_with_loss_and_delay(
    #[case] loss: f64,
    #[case] delay_ms: u64,
    #[values(19, 195)] nodes: usize,
    #[values(1.0, 4.0)] limit: f64,
    #[values(1, 2)] seed: u64,
) {
    let deployment = Deployment::start(nodes, limit, seed);
    deployment.run(CALM + 20.0, limit * 4.0).await;
    deployment.network.set_loss(loss);
    deployment
        .network
        .set_delay(Duration::from_millis(delay_ms));
    let since = Instant::now();

    deployment.run(40.0, limit * 4.0).await;

    let most = deployment.most_since(since);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
}

#[rstest]
#[case::dead(Condition::Dead)]
#[case::paused(Condition::Paused(Instant::now() + Duration::from_secs(36)))]
#[case::parted(Condition::Parted(1))]
#[tokio::test(start_paused = true)]
async fn the_limit_is_kept_when_its_collector_is_lost(
    #[case] condition: Condition,
    #[values(19, 195)] nodes: usize,
    #[values(1.0, 4.0)] limit: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(nodes, limit, seed);
    deployment.run(CALM + 27.0, limit * 4.0).await;
    let since = Instant::now();
    deployment
        .network
        .set_condition(deployment.collector(), condition);

    deployment.run(6.0, limit * 4.0).await;
    deployment.network.set_condition(
        deployment.collector(),
        match condition {
            Condition::Dead => Condition::Dead,
            _ => Condition::Running,
        },
    );
    deployment.run(30.0, limit * 4.0).await;

    let most = deployment.most_since(since);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    let used = deployment.sent_since(since).len() as f64 / (36.0 * limit);
    assert!(used > 0.4, "{used}");
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn all_nodes_learn_that_a_limit_has_ended(
    #[values(19, 195)] nodes: usize,
    #[values(1, 2)] seed: u64,
) {
    let deployment = Deployment::start(nodes, 1.0, seed);
    deployment.run(CALM + 20.0, 8.0).await;

    deployment.set_limit(None);
    deployment.run(20.0, 8.0).await;

    let limited = deployment
        .nodes
        .iter()
        .filter(|n| n.upstream.limit().is_some());
    assert_eq!(limited.count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_lower_limit_is_kept_as_well() {
    let deployment = Deployment::start(19, 10.0, 1);
    deployment.run(CALM + 20.0, 40.0).await;

    deployment.set_limit(Some(1.0));
    deployment.run(CALM, 40.0).await;
    sleep(Duration::from_millis(500)).await;
    let since = Instant::now();
    deployment.run(30.0, 40.0).await;

    let most = deployment.most_since(since);
    assert!(most <= allowed(1.0), "{most} of {}", allowed(1.0));
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_limit_of_zero_leaves_few_requests(#[values(19, 195)] nodes: usize) {
    let deployment = Deployment::start(nodes, 0.0, 1);
    deployment.run(CALM + 20.0, 4.0).await;
    let since = Instant::now();

    deployment.run(60.0, 4.0).await;

    let most = deployment.most_since(since);
    assert!(most <= allowed(0.0), "{most} of {}", allowed(0.0));
}
