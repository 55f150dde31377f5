//! Tests of the quarantine of harmful content in a simulated deployment. Failure patterns:
//! requests with one part, or one request that comes again, crash each replica that they reach, and
//! keep coming at all nodes.

mod quarantine_support;

use std::time::Duration;

use quarantine_support::{
    Condition, Deployment, GENERAL, HARMFUL, Harm, RARE, content, harmful_request,
};
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Time after the fifth crash from which calm nodes must keep the part from replicas.
const CALM: Duration = Duration::from_secs(3);

/// Limit on the requests that reach replicas later than that.
const MAX_LATE: usize = 3;

/// Harmful requests a second.
const RATE: f64 = 8.0;

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_harmful_part_is_quarantined_on_all_nodes_and_no_other(
    #[values(1, 2, 19, 96, 195, 330)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(nodes, seed);
    sleep(Duration::from_secs(1)).await;

    deployment.run(20.0, RATE).await;

    let late = deployment.late(CALM);
    assert!(late <= MAX_LATE, "{late}, {} crashes", deployment.crashes());
    assert_eq!(deployment.quarantining(HARMFUL), nodes);
    assert_eq!(deployment.quarantining(GENERAL), 0);
    assert!(
        deployment.sound_refused() == 0.0,
        "{}",
        deployment.sound_refused()
    );
}

#[rstest]
#[case::loss(0.03, 3)]
#[case::much_loss(0.3, 3)]
#[case::delay(0.0, 90)]
#[case::both(0.1, 60)]
#[tokio::test(start_paused = true)]
async fn loss_and_delay_of_messages_do_not_prevent_a_quarantine(
    #[case] loss: f64,
    #[case] delay_ms: u64,
    #[values(Harm::Part, Harm::Request)] harm: Harm,
    #[values(19, 195)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start_with(harm, nodes, seed);
    deployment.network.set_loss(loss);
    deployment
        .network
        .set_delay(Duration::from_millis(delay_ms));

    deployment.run(20.0, RATE).await;

    let late = deployment.late(CALM);
    assert!(late <= MAX_LATE, "{late}, {} crashes", deployment.crashes());
    assert!(
        deployment.sound_refused() < 0.01,
        "{}",
        deployment.sound_refused()
    );
}

#[rstest]
#[case::dead(Condition::Dead, 1)]
#[case::both_dead(Condition::Dead, 2)]
#[case::paused(Condition::Paused(Instant::now() + Duration::from_secs(6)), 1)]
#[tokio::test(start_paused = true)]
async fn the_loss_of_assessors_does_not_prevent_a_quarantine(
    #[case] condition: Condition,
    #[case] lost: usize,
    #[values(19, 195)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start(nodes, seed);
    for assessor in deployment.assessors().into_iter().take(lost) {
        deployment.network.set_condition(assessor, condition);
    }

    deployment.run(40.0, RATE).await;

    let late = deployment.late(CALM);
    assert!(late <= MAX_LATE, "{late}, {} crashes", deployment.crashes());
    assert_eq!(deployment.quarantining(GENERAL), 0);
}

/// Guards against the incident BUDGET of repeated requests.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_harmful_request_is_quarantined_on_all_nodes_and_nothing_else(
    #[values(Harm::Request, Harm::RequestWithPrompt)] harm: Harm,
    #[values(1, 2, 19, 96, 195, 330)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start_with(harm, nodes, seed);
    sleep(Duration::from_secs(1)).await;

    deployment.run(20.0, RATE).await;

    let late = deployment.late(CALM);
    assert!(late <= MAX_LATE, "{late}, {} crashes", deployment.crashes());
    assert_eq!(deployment.quarantining_request(), nodes);
    assert_eq!(deployment.quarantining(GENERAL), 0);
    assert_eq!(deployment.quarantining(RARE), 0);
    assert!(
        deployment.sound_refused() == 0.0,
        "{}",
        deployment.sound_refused()
    );
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn replicas_that_fail_together_lead_to_no_quarantine(
    #[values(19, 195)] nodes: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let deployment = Deployment::start(nodes, seed);

    deployment.fail_together(26, 12);
    sleep(Duration::from_secs(2)).await;

    for part in 0x9000..0x9008 {
        assert_eq!(deployment.quarantining(part), 0, "{part:x}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_missed_the_quarantine_learns_of_it_from_a_report() {
    let deployment = Deployment::start(19, 1);
    let until = Instant::now() + Duration::from_secs(4);
    deployment.network.set_condition(7, Condition::Parted(1));
    deployment.run(4.0, RATE).await;
    sleep(until.saturating_duration_since(Instant::now())).await;
    deployment.network.set_condition(7, Condition::Running);
    assert_eq!(deployment.quarantining(HARMFUL), 18);

    deployment.report(3, 7);

    assert_eq!(deployment.quarantining(HARMFUL), 19);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_part_that_other_nodes_know_to_be_sound_is_released_everywhere(
    #[values(1, 2, 3)] seed: u64,
) {
    const SUBJECT: u64 = 0x77;
    let deployment = Deployment::start(19, seed);
    let subject = || content(&[GENERAL, SUBJECT]);
    // One node is alone, sees three crashes, and hears no objection.
    deployment.network.set_condition(7, Condition::Parted(1));
    for n in 0..3 {
        deployment.crash_once(7, n, &subject());
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(deployment.quarantining(SUBJECT), 1);
    let knowing = &deployment.nodes[3].quarantine;
    knowing.record_complete(&subject());

    deployment.network.set_condition(7, Condition::Running);
    sleep(Duration::from_secs(20)).await;

    assert_eq!(deployment.quarantining(SUBJECT), 0);
}

/// Failure pattern: replicas crash with very many different prompts. A report must fit into a datagram.
#[tokio::test(start_paused = true)]
async fn reports_of_crashes_are_bounded() {
    let deployment = Deployment::start(3, 1);
    let reporting = (0..3).find(|n| !deployment.assessors().contains(n));
    for n in 0..20 {
        for part in 0..100 {
            let content = content(&[1_000 * n + part]);
            deployment.crash_once(reporting.expect("a node"), n, &content);
        }
    }
    sleep(Duration::from_secs(1)).await;

    let largest = deployment.largest_report();
    assert!((1..=8 * 48).contains(&largest), "{largest}");
}

/// Failure pattern: a request that was served before begins to crash replicas.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_request_that_was_sound_is_quarantined_when_it_crashes_replicas(
    #[values(1, 2, 3)] seed: u64,
) {
    let deployment = Deployment::start_with(Harm::Request, 19, seed);
    for node in &deployment.nodes {
        node.quarantine.record_complete(&harmful_request());
    }
    sleep(Duration::from_secs(3)).await;

    deployment.run(10.0, RATE).await;

    let late = deployment.late(CALM);
    assert!(late <= MAX_LATE, "{late}, {} crashes", deployment.crashes());
    assert_eq!(deployment.quarantining_request(), 19);
}

/// Failure pattern: a request that callers repeat all the time is at each of several replicas that end.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_served_meanwhile_is_not_quarantined() {
    let deployment = Deployment::start_with(Harm::Request, 19, 1);
    for n in 0..6 {
        deployment.nodes[n]
            .quarantine
            .record_complete(&harmful_request());
        deployment.crash_once(10 + n, n as u64, &harmful_request());
        sleep(Duration::from_millis(300)).await;
    }

    assert_eq!(deployment.quarantining_request(), 0);
}
