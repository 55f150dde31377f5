//! Tests of replicas that fall over when they reject too many requests, in a simulated deployment. Failure
//! pattern: more requests than the replicas can serve, and less room for waiting ones than before.

mod brittle_support;

use std::{sync::Arc, time::Duration};

use brittle_support::{Deployment, ReplicaShape, Statement};
use rstest::rstest;

/// Time from the first statement until replicas have less room, in seconds.
const CALM: f64 = 3.0;

/// Time for which replicas are brittle after that, in seconds.
const BRITTLE_TIME: f64 = 15.0;

/// Engines with many slots and long runs.
const LARGE_ENGINE: ReplicaShape = ReplicaShape {
    slots: 64,
    queue: 16,
    brittle_queue: 2,
    service_time: Duration::from_millis(2_000),
    max_rejections: 6,
};

/// Engines with few slots.
const SMALL_ENGINE: ReplicaShape = ReplicaShape {
    slots: 12,
    queue: 8,
    brittle_queue: 1,
    service_time: Duration::from_millis(1_500),
    max_rejections: 4,
};

/// Plain services with short runs.
const PLAIN: ReplicaShape = ReplicaShape {
    slots: 6,
    queue: 12,
    brittle_queue: 2,
    service_time: Duration::from_millis(60),
    max_rejections: 8,
};

/// Returns how often `replicas` may fall over in one time in which they are brittle.
fn allowed_falls(replicas: usize) -> usize {
    2 + replicas / 10
}

async fn run_brittle(deployment: &Arc<Deployment>, load: f64) {
    deployment.run(6.0, load).await;
    deployment.set_brittle(true);
    deployment.run(CALM, load).await;
    deployment.set_may_fall(true);
    deployment.run(BRITTLE_TIME, load).await;
}

#[rstest]
#[case::large_engines(19, 9, LARGE_ENGINE)]
#[case::many_small_engines(195, 60, SMALL_ENGINE)]
#[case::most_nodes(330, 90, SMALL_ENGINE)]
#[case::plain_service(19, 4, PLAIN)]
#[case::plain_service_of_many_nodes(195, 6, PLAIN)]
#[tokio::test(start_paused = true)]
async fn brittle_replicas_do_not_fall_over_under_overload(
    #[case] nodes: usize,
    #[case] replicas: usize,
    #[case] shape: ReplicaShape,
    #[values(1.3, 2.0)] load: f64,
    #[values(1, 2)] seed: u64,
) {
    let deployment = Deployment::start(nodes, replicas, shape, Statement::Made, seed);

    run_brittle(&deployment, load).await;

    let (falls, allowed) = (deployment.falls(), allowed_falls(replicas));
    assert!(falls <= allowed, "{falls} falls, {allowed} allowed");
}

// The same load without the statements, as before they were read.
#[rstest]
#[case::large_engines(19, 9, LARGE_ENGINE)]
#[case::many_small_engines(195, 60, SMALL_ENGINE)]
#[case::plain_service(19, 4, PLAIN)]
#[tokio::test(start_paused = true)]
async fn replicas_fall_over_when_their_statements_are_not_heard(
    #[case] nodes: usize,
    #[case] replicas: usize,
    #[case] shape: ReplicaShape,
) {
    let deployment = Deployment::start(nodes, replicas, shape, Statement::Missing, 1);

    run_brittle(&deployment, 1.3).await;

    assert!(deployment.falls() > allowed_falls(replicas));
}

#[rstest]
#[case::loss(0.03, 3)]
#[case::delay(0.0, 60)]
#[tokio::test(start_paused = true)]
async fn brittle_replicas_stand_with_loss_and_delay_between_the_nodes(
    #[case] loss: f64,
    #[case] delay_ms: u64,
    #[values(19, 195)] nodes: usize,
) {
    let deployment = Deployment::start(nodes, 20, SMALL_ENGINE, Statement::Made, 3);
    deployment.network.set_loss(loss);
    deployment
        .network
        .set_delay(Duration::from_millis(delay_ms));

    run_brittle(&deployment, 1.3).await;

    assert!(deployment.falls() <= allowed_falls(20));
}

#[rstest]
#[case::large_engines(19, 9, LARGE_ENGINE)]
#[case::many_small_engines(195, 60, SMALL_ENGINE)]
#[case::plain_service(19, 4, PLAIN)]
#[tokio::test(start_paused = true)]
async fn brittle_replicas_are_used_and_get_their_full_load_back(
    #[case] nodes: usize,
    #[case] replicas: usize,
    #[case] shape: ReplicaShape,
) {
    let deployment = Deployment::start(nodes, replicas, shape, Statement::Made, 1);
    let capacity = (shape.slots * replicas) as f64 / shape.service_time.as_secs_f64();
    run_brittle(&deployment, 1.3).await;
    let before = deployment.served();
    deployment.run(10.0, 1.3).await;
    let while_brittle = (deployment.served() - before) as f64 / (10.0 * capacity);

    deployment.set_brittle(false);
    deployment.set_may_fall(false);
    deployment.run(3.0, 1.3).await;
    let before = deployment.served();
    deployment.run(10.0, 1.3).await;
    let after = (deployment.served() - before) as f64 / (10.0 * capacity);

    assert!(
        while_brittle > 0.6 && after > 0.9,
        "{while_brittle}, then {after}"
    );
}
