//! Tests that news reaches every node in spite of faults and that all nodes converge on it.

mod support;

use std::{sync::Arc, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use rstest::rstest;
use support::{Network, START, address, start_all, until};
use tokio::time::{Instant, sleep};
use verbenahead_core::{Digest, Generation, HashMap, Incarnation, UpstreamId};
use verbenahead_membership::{
    ManifestHead, MembershipHandles, NewsItem, NewsSnapshot, NewsState, UnixMillis, UpstreamGone,
    UpstreamLeaving, UpstreamStatus,
};

/// Time within which every node has to learn an item, even if messages are lost.
const DISSEMINATION_LIMIT: Duration = Duration::from_secs(3);
const RETENTION: Duration = Duration::from_secs(600);

fn upstream(index: u64) -> UpstreamId {
    UpstreamId::try_new(format!("upstream-{index}")).expect("a valid id")
}

fn leaving(index: u64, incarnation: u64, after_ms: u64) -> NewsItem {
    NewsItem::UpstreamLeaving(UpstreamLeaving {
        upstream: upstream(index),
        incarnation: Incarnation(incarnation),
        deadline: UnixMillis(START.0 + after_ms),
    })
}

fn gone(index: u64, incarnation: u64, after_ms: u64) -> NewsItem {
    NewsItem::UpstreamGone(UpstreamGone {
        upstream: upstream(index),
        incarnation: Incarnation(incarnation),
        since: UnixMillis(START.0 + after_ms),
    })
}

fn head(generation: u64) -> NewsItem {
    NewsItem::ManifestHead(ManifestHead {
        generation: Generation(generation),
        digest: Digest::of(generation.to_be_bytes()),
    })
}

fn generation(node: &MembershipHandles) -> u64 {
    let head = node.news.snapshot().manifest_head;
    head.map_or(0, |head| head.generation.0)
}

fn is_leaving(node: &MembershipHandles, index: u64, incarnation: u64) -> bool {
    let news = node.news.snapshot();
    news.upstream_status(&upstream(index), Incarnation(incarnation))
        .is_some()
}

async fn publish(node: &MembershipHandles, item: NewsItem) {
    node.news.publish(item).await.expect("the task runs");
}

#[rstest]
#[case(4)]
#[case(16)]
#[tokio::test(start_paused = true)]
async fn a_leaving_upstream_is_known_to_all_nodes_within_100_ms(#[case] count: usize) {
    let network = Network::new(1);
    let nodes = start_all(&network, count).await;
    let start = Instant::now();

    publish(&nodes[1], leaving(3, 1, 30_000)).await;

    let all_know = || nodes.iter().all(|node| is_leaving(node, 3, 1));
    until(all_know, Duration::from_millis(100)).await;
    assert!(start.elapsed() < Duration::from_millis(100));
}

#[rstest]
#[case::a_third_lost(0.33)]
#[case::half_lost(0.5)]
#[tokio::test(start_paused = true)]
async fn lost_pushes_are_repaired(#[case] loss: f64, #[values(1, 2, 3, 4, 5)] seed: u64) {
    let network = Network::new(seed);
    let nodes = start_all(&network, 16).await;

    network.set_loss(loss);
    publish(&nodes[1], leaving(3, 1, 30_000)).await;

    let all_know = || nodes.iter().all(|node| is_leaving(node, 3, 1));
    until(all_know, DISSEMINATION_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn undelivered_pushes_are_repaired_by_digest_exchanges_within_the_limit() {
    let network = Network::new(6);
    let nodes = start_all(&network, 16).await;

    for to in (0..16).filter(|to| ![1, 2].contains(to)) {
        network.cut(1, to);
    }
    publish(&nodes[1], leaving(3, 1, 30_000)).await;

    let others_know = || {
        let others = nodes.iter().enumerate().filter(|(index, _)| *index != 1);
        others.into_iter().all(|(_, node)| is_leaving(node, 3, 1))
    };
    until(others_know, DISSEMINATION_LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn a_frozen_node_learns_missed_news_after_it_thaws() {
    let network = Network::new(7);
    let nodes = start_all(&network, 8).await;
    publish(&nodes[0], head(4)).await;
    sleep(Duration::from_secs(1)).await;

    network.freeze(5);
    publish(&nodes[0], head(5)).await;
    publish(&nodes[0], leaving(3, 1, 30_000)).await;
    sleep(Duration::from_secs(20)).await;
    network.thaw(5);

    until(
        || generation(&nodes[5]) == 5 && is_leaving(&nodes[5], 3, 1),
        DISSEMINATION_LIMIT,
    )
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_new_incarnation_of_an_upstream_is_not_excluded() {
    let network = Network::new(8);
    let nodes = start_all(&network, 4).await;

    publish(&nodes[0], leaving(3, 1, 30_000)).await;
    publish(&nodes[1], gone(3, 1, 30_000)).await;
    sleep(Duration::from_secs(1)).await;

    for node in &nodes {
        assert!(is_leaving(node, 3, 1));
        assert!(!is_leaving(node, 3, 2));
    }
    publish(&nodes[2], leaving(3, 2, 90_000)).await;
    sleep(Duration::from_secs(1)).await;
    for node in &nodes {
        let status = node
            .news
            .snapshot()
            .upstream_status(&upstream(3), Incarnation(1));
        assert!(matches!(status, Some(UpstreamStatus::Gone { .. })));
        assert!(is_leaving(node, 3, 2));
        assert!(!is_leaving(node, 3, 3));
    }
}

#[tokio::test(start_paused = true)]
async fn the_generation_never_decreases_during_concurrent_publications() {
    let network = Network::new(9);
    let nodes = start_all(&network, 8).await;
    network.set_loss(0.2);
    let mut watchers: Vec<_> = nodes.iter().map(|node| node.news.subscribe()).collect();
    let watching: Vec<_> = watchers
        .drain(..)
        .map(|mut news| {
            tokio::spawn(async move {
                let mut highest = 0;
                while news.changed().await.is_ok() {
                    let head = news.borrow_and_update().manifest_head;
                    let generation = head.map_or(0, |head| head.generation.0);
                    assert!(generation >= highest, "{highest} fell to {generation}");
                    highest = generation;
                    if highest == 40 {
                        return;
                    }
                }
            })
        })
        .collect();

    for generation in 1..=40 {
        let publisher = (generation as usize * 3) % nodes.len();
        publish(&nodes[publisher], head(generation)).await;
        publish(
            &nodes[(publisher + 1) % 8],
            head(generation.saturating_sub(3).max(1)),
        )
        .await;
        sleep(Duration::from_millis(70)).await;
    }

    for watcher in watching {
        let ended = tokio::time::timeout(Duration::from_secs(60), watcher).await;
        ended
            .expect("every node gets the last generation")
            .expect("no generation fell");
    }
}

#[tokio::test(start_paused = true)]
async fn a_starting_node_learns_the_highest_generation_of_its_peers() {
    let network = Network::new(10);
    let nodes = start_all(&network, 4).await;
    publish(&nodes[0], head(12)).await;
    sleep(Duration::from_secs(1)).await;

    let starting = network.start(4, vec![address(0)]);
    until(
        || support::alive(&starting).len() == 5,
        Duration::from_secs(10),
    )
    .await;
    let report = starting.news.refresh().await.expect("the task runs");

    assert_eq!((report.asked, report.answered), (4, 4));
    assert_eq!(generation(&starting), 12);
}

#[tokio::test(start_paused = true)]
async fn expired_news_of_upstreams_is_removed() {
    let network = Network::new(11);
    let nodes = start_all(&network, 4).await;
    publish(&nodes[0], leaving(3, 1, 60_000)).await;

    sleep(RETENTION + Duration::from_secs(120)).await;

    let is_empty = |node: &MembershipHandles| node.news.snapshot().upstreams.is_empty();
    assert!(nodes.iter().all(is_empty));
}

#[tokio::test(start_paused = true)]
async fn the_tasks_end_when_their_handles_are_dropped() {
    let network = Network::new(12);
    let nodes = start_all(&network, 2).await;
    let news = nodes[1].news.subscribe();
    let members = nodes[1].membership.subscribe();

    network.kill(1);
    drop(nodes);
    sleep(Duration::from_secs(5)).await;

    assert!(news.has_changed().is_err());
    assert!(members.has_changed().is_err());
}

fn item() -> impl Strategy<Value = NewsItem> {
    prop_oneof![
        (1_u64..20).prop_map(head),
        (0_u64..4, 1_u64..4, 0_u64..50_000).prop_map(|(i, n, t)| leaving(i, n, t)),
        (0_u64..4, 1_u64..4, 0_u64..50_000).prop_map(|(i, n, t)| gone(i, n, t)),
    ]
}

/// Returns the news after `items` by a reference model: the maximum of all items of a kind in an
/// explicit order.
fn reference_model(items: &[NewsItem]) -> NewsSnapshot {
    let mut model = NewsSnapshot::default();
    let mut best: HashMap<UpstreamId, (u64, bool, u64)> = HashMap::default();
    for item in items {
        let (id, rank) = match item {
            NewsItem::ManifestHead(head) => {
                model.manifest_head = model.manifest_head.max(Some(*head));
                continue;
            }
            NewsItem::UpstreamLeaving(item) => (
                &item.upstream,
                (item.incarnation.0, false, u64::MAX - item.deadline.0),
            ),
            NewsItem::UpstreamGone(item) => (
                &item.upstream,
                (item.incarnation.0, true, u64::MAX - item.since.0),
            ),
        };
        let known = best.entry(id.clone()).or_insert(rank);
        *known = (*known).max(rank);
    }
    for (id, (incarnation, is_gone, time)) in best {
        let time = UnixMillis(u64::MAX - time);
        let status = if is_gone {
            UpstreamStatus::Gone { since: time }
        } else {
            UpstreamStatus::Leaving { deadline: time }
        };
        let news = verbenahead_membership::UpstreamNews {
            incarnation: Incarnation(incarnation),
            status,
        };
        model.upstreams.insert(id, news);
    }
    model
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(500, 42))]

    #[test]
    fn merging_in_any_order_matches_the_reference_model(
        items in prop::collection::vec(item(), 0..40),
        order in any::<prop::sample::Index>(),
    ) {
        let mut forward = NewsState::new(RETENTION);
        let mut rotated = NewsState::new(RETENTION);
        let middle = if items.is_empty() { 0 } else { order.index(items.len()) };

        for item in &items {
            forward.merge(item, START);
        }
        for item in items[middle..].iter().chain(&items).rev() {
            rotated.merge(item, START);
        }

        prop_assert_eq!(forward.snapshot(), &reference_model(&items));
        prop_assert_eq!(forward.snapshot(), rotated.snapshot());
        prop_assert_eq!(forward.digest(), rotated.digest());
    }
}

proptest! {
    #![proptest_config(config(24, 43))]

    /// Random nodes publish items while messages are lost, a link is broken and a node is frozen.
    /// Afterwards every node has the news of the reference model.
    #[test]
    fn all_nodes_converge_on_the_reference_model(
        seed in 0_u64..1_000,
        loss in 0.0..0.5_f64,
        frozen in 0_usize..6,
        items in prop::collection::vec((0_usize..6, item(), 0_u64..800), 1..30),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let expected = reference_model(&items.iter().map(|(_, item, _)| item.clone()).collect::<Vec<_>>());
        let seen: Vec<Arc<NewsSnapshot>> = runtime.block_on(async {
            let network = Network::new(seed);
            let nodes = start_all(&network, 6).await;
            network.set_loss(loss);
            network.freeze(frozen);
            network.cut_one_way((frozen + 1) % 6, (frozen + 2) % 6);
            for (node, item, pause_ms) in items {
                publish(&nodes[node], item).await;
                sleep(Duration::from_millis(pause_ms)).await;
            }
            network.set_loss(0.0);
            network.thaw(frozen);
            network.heal();
            sleep(Duration::from_secs(30)).await;
            nodes.iter().map(|node| node.news.snapshot()).collect()
        });

        for news in seen {
            prop_assert_eq!(&*news, &expected);
        }
    }
}
