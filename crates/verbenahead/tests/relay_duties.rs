//! Duties of relaying nodes as processes: one holder, usage once, orders of replicas.

mod relay_support;

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use relay_support::{RelayProcess, eventually, settings, start_deployment, start_node};
use serde_json::{Value, json};
use tokio::time::sleep;
use verbenahead_standins::users::{RecordedUsage, ReplicaBehaviour, StoreFault, UsersPlatform};

const OK: ReplicaBehaviour = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);

fn holder(platform: &UsersPlatform) -> Option<String> {
    platform.usage().last().map(|usage| usage.holder.clone())
}

/// Asserts that no window was reported with different counts, and that fencing numbers only rose.
fn assert_consistent(usage: &[RecordedUsage]) {
    let mut windows: BTreeMap<u64, &RecordedUsage> = BTreeMap::new();
    let mut fence = 0;
    for report in usage {
        assert!(report.fence >= fence, "{usage:?}");
        fence = report.fence;
        let known = windows.entry(report.call.window_id).or_insert(report);
        assert_eq!(known.call.counts, report.call.counts);
    }
}

fn counted(usage: &[RecordedUsage]) -> u64 {
    let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
    for report in usage {
        let sum = report.call.counts.values().sum();
        windows.insert(report.call.window_id, sum);
    }
    windows.values().sum()
}

async fn ask_many(nodes: &[RelayProcess], count: usize) {
    for n in 0..count {
        let node = &nodes[n % nodes.len()];
        let answer = node.ask(Method::GET, "/look/1", &format!("r{n}")).await;
        assert_eq!(answer.expect("an answer").0, StatusCode::OK);
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn one_node_reports_what_all_nodes_counted() {
    let deployment = start_deployment(2, OK).await;
    let mut nodes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        nodes.push(deployment.start_node(name).await);
    }
    let platform = &deployment.platform;
    eventually("a holder", async || holder(platform).is_some()).await;

    ask_many(&nodes, 120).await;

    eventually("all requests in reports", async || {
        counted(&platform.usage()) == 120
    })
    .await;
    assert_consistent(&platform.usage());
    let mut holders: Vec<_> = platform.usage().into_iter().map(|u| u.holder).collect();
    holders.dedup();
    assert_eq!(holders.len(), 1, "{holders:?}");
}

#[tokio::test]
async fn a_killed_holder_is_followed_by_one_with_a_larger_number() {
    let deployment = start_deployment(1, OK).await;
    let mut nodes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        nodes.push((name, deployment.start_node(name).await));
    }
    let platform = &deployment.platform;
    eventually("a holder", async || holder(platform).is_some()).await;
    let first = holder(platform).expect("a holder");

    nodes.retain(|(name, _)| *name != first);

    eventually("another holder", async || {
        holder(platform) != Some(first.clone())
    })
    .await;
    assert_consistent(&platform.usage());
}

#[tokio::test]
async fn a_frozen_holder_does_nothing_when_it_wakes() {
    let deployment = start_deployment(1, OK).await;
    let mut nodes = Vec::new();
    for name in ["n1", "n2"] {
        nodes.push((name, deployment.start_node(name).await));
    }
    let platform = &deployment.platform;
    eventually("a holder", async || holder(platform).is_some()).await;
    let first = holder(platform).expect("a holder");
    let frozen = nodes.iter().find(|(name, _)| *name == first);
    let frozen = &frozen.expect("it is one of them").1;

    frozen.signal(Signal::SIGSTOP);
    eventually("another holder", async || {
        holder(platform) != Some(first.clone())
    })
    .await;
    frozen.signal(Signal::SIGCONT);
    sleep(Duration::from_secs(4)).await;

    assert_consistent(&platform.usage());
}

#[tokio::test]
async fn a_planned_stop_hands_the_duties_over() {
    let deployment = start_deployment(1, OK).await;
    let mut nodes = Vec::new();
    for name in ["n1", "n2"] {
        nodes.push((name, deployment.start_node(name).await));
    }
    let platform = &deployment.platform;
    eventually("a holder", async || holder(platform).is_some()).await;
    let first = holder(platform).expect("a holder");

    let stopped = nodes.iter().find(|(name, _)| *name == first);
    stopped
        .expect("it is one of them")
        .1
        .signal(Signal::SIGTERM);

    eventually("another holder", async || {
        holder(platform) != Some(first.clone())
    })
    .await;
    assert_consistent(&platform.usage());
}

#[tokio::test]
async fn reclaimable_replicas_are_ordered_and_others_where_there_are_none() {
    let deployment = start_deployment(1, OK).await;
    let platform = &deployment.platform;
    platform.set_has_reclaimable(false);
    let _node = deployment.start_node("n1").await;

    eventually("orders of both markets", async || {
        let orders = platform.orders();
        let is_on_demand = |spot: bool| {
            orders
                .iter()
                .any(|o| o.call.spot == spot && o.call.desired > 0)
        };
        is_on_demand(true) && is_on_demand(false)
    })
    .await;

    let orders = platform.orders();
    assert!(
        orders.iter().all(|order| order.call.desired <= 4),
        "{orders:?}"
    );
    assert!(orders.iter().all(|order| order.fence == 1));
}

#[tokio::test]
async fn what_a_killed_node_counted_is_handed_over_to_a_holder_that_never_heard_it() {
    let deployment = start_deployment(1, OK).await;
    let platform = &deployment.platform;
    let first = deployment.start_node("n1").await;
    eventually("a holder", async || holder(platform).is_some()).await;
    let killed = vec![deployment.start_node("n2").await];
    ask_many(&killed, 30).await;
    // The holder hears the counts within three steps of the reporter.
    sleep(Duration::from_millis(900)).await;
    drop(killed);
    sleep(Duration::from_millis(2_600)).await;

    let _next = deployment.start_node("n3").await;
    first.signal(Signal::SIGTERM);

    eventually("all requests in reports", async || {
        counted(&platform.usage()) == 30
    })
    .await;
    assert_consistent(&platform.usage());
}

#[tokio::test]
async fn what_was_counted_survives_the_end_of_all_nodes() {
    let deployment = start_deployment(1, OK).await;
    let platform = &deployment.platform;
    let start_node = async |name: &str| {
        let text = settings(name, "east", platform.address());
        let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
        settings["usage"] = json!({"window_s": 5, "late_s": 20});
        let node = start_node(&settings.to_string());
        node.wait_ready().await;
        node
    };
    let nodes = vec![start_node("n1").await, start_node("n2").await];
    eventually("a holder", async || holder(platform).is_some()).await;
    start_of_window(Duration::from_secs(5)).await;
    ask_many(&nodes, 30).await;
    // The holder hears the counts within three steps of the reporter, and keeps them each second.
    sleep(Duration::from_millis(1_900)).await;

    drop(nodes);
    let _next = start_node("n3").await;

    eventually("all requests in reports", async || {
        counted(&platform.usage()) == 30
    })
    .await;
    assert_consistent(&platform.usage());
}

/// Waits until a window has just begun.
async fn start_of_window(length: Duration) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("after 1970").as_millis();
    let past = (now % length.as_millis()) as u64;
    sleep(length - Duration::from_millis(past)).await;
}

#[tokio::test]
async fn a_holder_goes_on_after_an_outage_in_which_nobody_took_the_lease() {
    let deployment = start_deployment(1, OK).await;
    let platform = &deployment.platform;
    let _nodes = [
        deployment.start_node("n1").await,
        deployment.start_node("n2").await,
    ];
    eventually("a holder", async || holder(platform).is_some()).await;
    let first = platform.usage().last().map(|usage| usage.fence);

    platform.set_fault(StoreFault::Reset);
    sleep(Duration::from_secs(4)).await;
    platform.set_fault(StoreFault::None);
    let reported = platform.usage().len();
    eventually("another report", async || platform.usage().len() > reported).await;

    assert_eq!(platform.usage().last().map(|usage| usage.fence), first);
    assert_consistent(&platform.usage());
}
