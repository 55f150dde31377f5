//! Tests that the members converge under crashes, freezes, partitions and message loss.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Network, address, alive, in_state, start_all, until};
use tokio::time::sleep;
use verbenahead_membership::{MemberState, MembershipHandles};

/// Time within which all nodes detect that a node has stopped.
const DETECTION_LIMIT: Duration = Duration::from_secs(40);
/// Time within which a starting node is known to all.
const JOIN_LIMIT: Duration = Duration::from_secs(12);
/// Time within which all nodes see each other after the faults have ended.
const HEALING_LIMIT: Duration = Duration::from_secs(60);

fn everyone_sees(nodes: &[MembershipHandles], expected: &[usize]) -> bool {
    nodes.iter().all(|node| alive(node) == expected)
}

fn no_member_is_dead(nodes: &[MembershipHandles]) -> bool {
    nodes
        .iter()
        .all(|node| in_state(node, MemberState::Dead).is_empty())
}

#[rstest]
#[case(2)]
#[case(4)]
#[case(19)]
#[tokio::test(start_paused = true)]
async fn nodes_find_each_other_through_seeds(#[case] count: usize) {
    let network = Network::new(1);

    let nodes = start_all(&network, count).await;

    assert!(no_member_is_dead(&nodes));
}

/// Guards against a separate cluster. The table keeps the rows of killed nodes for a while, so
/// nodes that join at the same time may find only each other among the seeds at first.
#[tokio::test(start_paused = true)]
async fn a_separate_group_merges_with_the_others_through_its_seeds() {
    let network = Network::new(31);
    let mut nodes = start_all(&network, 2).await;
    let dead = (10..20).map(address);
    let seeds: Vec<_> = (0..4).map(address).chain(dead).collect();
    for index in [2, 3] {
        nodes.push(network.start(index, vec![address(2), address(3)]));
    }
    until(
        || alive(&nodes[2]) == [2, 3] && alive(&nodes[3]) == [2, 3],
        JOIN_LIMIT,
    )
    .await;

    for node in &nodes[2..] {
        let set = node.membership.set_seeds(seeds.clone()).await;
        set.expect("the task runs");
    }

    until(|| everyone_sees(&nodes, &[0, 1, 2, 3]), JOIN_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn a_killed_node_is_declared_dead() {
    let network = Network::new(2);
    let mut nodes = start_all(&network, 8).await;

    network.kill(3);
    nodes.remove(3);

    let rest = [0, 1, 2, 4, 5, 6, 7];
    until(|| everyone_sees(&nodes, &rest), DETECTION_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn a_frozen_node_declares_nobody_dead_and_is_alive_again_after_it_thaws() {
    let network = Network::new(3);
    let nodes = start_all(&network, 8).await;

    network.freeze(5);
    sleep(Duration::from_secs(30)).await;
    let seen_by_frozen = alive(&nodes[5]);
    network.thaw(5);
    sleep(Duration::from_millis(100)).await;
    let dead_after_thaw = in_state(&nodes[5], MemberState::Dead);

    assert_eq!(seen_by_frozen.len(), 8);
    assert_eq!(dead_after_thaw, Vec::<usize>::new());
    let all: Vec<_> = (0..8).collect();
    until(|| everyone_sees(&nodes, &all), HEALING_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn an_isolated_node_declares_nobody_dead() {
    let network = Network::new(4);
    let nodes = start_all(&network, 8).await;

    for other in 1..8 {
        network.cut(0, other);
    }
    sleep(Duration::from_secs(120)).await;
    let dead_for_isolated_node = in_state(&nodes[0], MemberState::Dead);
    let alive_for_others = alive(&nodes[4]);
    network.heal();

    assert_eq!(dead_for_isolated_node, Vec::<usize>::new());
    assert_eq!(alive_for_others, [1, 2, 3, 4, 5, 6, 7]);
    let all: Vec<_> = (0..8).collect();
    until(|| everyone_sees(&nodes, &all), HEALING_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn two_partitioned_nodes_suspect_each_other_and_declare_nobody_dead() {
    let network = Network::new(14);
    let nodes = start_all(&network, 2).await;

    network.cut(0, 1);
    sleep(Duration::from_secs(120)).await;
    let seen = nodes
        .iter()
        .map(|node| in_state(node, MemberState::Suspect));
    let seen: Vec<_> = seen.collect();
    network.heal();

    assert_eq!(seen, [[1], [0]]);
    until(|| everyone_sees(&nodes, &[0, 1]), HEALING_LIMIT).await;
}

#[rstest]
#[case::one_direction(false)]
#[case::both_directions(true)]
#[tokio::test(start_paused = true)]
async fn neither_node_of_a_broken_link_is_declared_dead(#[case] both: bool) {
    let network = Network::new(5);
    let nodes = start_all(&network, 6).await;

    for (a, b) in [(0, 1), (2, 3), (4, 5)] {
        network.cut_one_way(a, b);
        if both {
            network.cut_one_way(b, a);
        }
    }

    for _ in 0..60 {
        sleep(Duration::from_secs(1)).await;
        assert!(no_member_is_dead(&nodes));
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_receives_but_cannot_send_is_evicted_and_returns() {
    let network = Network::new(6);
    let nodes = start_all(&network, 6).await;

    for other in 1..6 {
        network.cut_one_way(0, other);
    }
    until(|| !alive(&nodes[3]).contains(&0), DETECTION_LIMIT).await;
    sleep(Duration::from_secs(20)).await;
    let alive_for_others_during_cut = in_state(&nodes[3], MemberState::Alive);
    network.heal();

    assert_eq!(alive_for_others_during_cut, [1, 2, 3, 4, 5]);
    let all: Vec<_> = (0..6).collect();
    until(|| everyone_sees(&nodes, &all), HEALING_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn the_nodes_of_a_failed_zone_are_declared_dead_and_the_others_stay_alive() {
    let network = Network::new(7);
    let mut nodes = start_all(&network, 16).await;

    for index in (0..16).step_by(support::ZONES) {
        network.kill(index);
    }
    let rest: Vec<_> = (0..16).filter(|i| i % support::ZONES != 0).collect();
    let mut index = 0;
    nodes.retain(|_| {
        index += 1;
        (index - 1) % support::ZONES != 0
    });

    until(|| everyone_sees(&nodes, &rest), DETECTION_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn partitioned_halves_merge_again() {
    let network = Network::new(8);
    let nodes = start_all(&network, 8).await;

    for a in 0..4 {
        for b in 4..8 {
            network.cut(a, b);
        }
    }
    until(|| alive(&nodes[0]) == [0, 1, 2, 3], HEALING_LIMIT).await;
    until(|| alive(&nodes[7]) == [4, 5, 6, 7], HEALING_LIMIT).await;
    sleep(Duration::from_secs(180)).await;
    network.heal();

    let all: Vec<_> = (0..8).collect();
    until(|| everyone_sees(&nodes, &all), Duration::from_secs(180)).await;
}

#[tokio::test(start_paused = true)]
async fn all_nodes_are_replaced_one_by_one() {
    let network = Network::new(9);
    let mut nodes = start_all(&network, 6).await;

    for index in 0..6 {
        let old = nodes.remove(0);
        old.membership.leave().await.expect("the task runs");
        sleep(Duration::from_secs(2)).await;
        old.membership.depart().await.expect("the task runs");
        network.kill(index);
        drop(old);
        let seeds = vec![address(index + 1), address(index + 5)];
        nodes.push(network.start(index + 6, seeds));
        sleep(Duration::from_secs(8)).await;
    }

    let all: Vec<_> = (6..12).collect();
    until(|| everyone_sees(&nodes, &all), HEALING_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn a_restarted_node_replaces_its_earlier_incarnation() {
    let network = Network::new(10);
    let mut nodes = start_all(&network, 5).await;

    network.kill(2);
    nodes.remove(2);
    let rest = [0, 1, 3, 4];
    until(|| everyone_sees(&nodes, &rest), DETECTION_LIMIT).await;
    nodes.push(network.start_incarnation(2, 1_000, vec![address(0)]));

    let all: Vec<_> = (0..5).collect();
    until(|| everyone_sees(&nodes, &all), HEALING_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn a_restarted_node_with_an_old_incarnation_refutes_its_own_death() {
    let network = Network::new(11);
    let mut nodes = start_all(&network, 5).await;

    network.kill(2);
    nodes.remove(2);
    let rest = [0, 1, 3, 4];
    until(|| everyone_sees(&nodes, &rest), DETECTION_LIMIT).await;
    nodes.push(network.start_incarnation(2, 1, vec![address(0)]));

    let all: Vec<_> = (0..5).collect();
    until(|| everyone_sees(&nodes, &all), HEALING_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn a_draining_node_is_leaving_for_all_and_dead_after_its_departure() {
    let network = Network::new(12);
    let nodes = start_all(&network, 12).await;

    nodes[4].membership.leave().await.expect("the task runs");
    let sees_leaving = |node: &MembershipHandles| in_state(node, MemberState::Leaving) == [4];
    until(|| nodes.iter().all(sees_leaving), Duration::from_secs(10)).await;
    nodes[4].membership.depart().await.expect("the task runs");
    network.kill(4);

    let sees_dead = |node: &MembershipHandles| in_state(node, MemberState::Dead) == [4];
    until(|| nodes.iter().all(sees_dead), Duration::from_secs(10)).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_departs_although_nobody_answers() {
    let network = Network::new(15);
    let nodes = start_all(&network, 6).await;
    for index in 1..6 {
        network.cut(0, index);
    }
    sleep(Duration::from_secs(10)).await;

    let departure = nodes[0].membership.depart();
    let departed = tokio::time::timeout(Duration::from_secs(10), departure).await;

    assert!(departed.is_ok());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn loss_of_a_tenth_of_all_messages_declares_nobody_dead(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let network = Network::new(seed);
    let nodes = start_all(&network, 12).await;

    network.set_loss(0.1);

    for _ in 0..300 {
        sleep(Duration::from_secs(1)).await;
        assert!(no_member_is_dead(&nodes));
    }
}
