//! Tests with processes that one node at a time starts the VMs of a service and sends orders to its
//! engines.

mod support;

use std::{collections::BTreeSet, time::Duration};

use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use support::cluster::{
    NodeProcess, PlatformProcess, fleet_manifest, start_platform, wait_until, wait_until_within,
};
use tokio::time::sleep;
use verbenahead_core::{FencingNumber, ServiceId};
use verbenahead_services::{VmRecord, VmState};
use verbenahead_standins::{client::JsonClient, process::Process};
use verbenahead_state::lease::{LeaseOptions, LeaseRecord, LeaseStore};
use verbenahead_upstream::Order;

const START_ENGINES: [&str; 2] = ["--start-engine", "drafting=draft-small"];

/// Time in which several rounds of the fleet controller take place.
const SOME_ROUNDS: Duration = Duration::from_secs(8);

/// Time from the orders of a round to the middle of the next read of the list, which takes 1 s.
const NEXT_LIST_READ_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum time until a refused start is tried again.
const BACKOFF_LIMIT: Duration = Duration::from_secs(60);

/// Maximum time until another node acquires the lease and sends its first orders.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(90);

fn service() -> ServiceId {
    ServiceId::try_new("drafting").expect("a valid id")
}

async fn start_nodes(platform: &PlatformProcess) -> Vec<NodeProcess> {
    let nodes: Vec<_> = ["a", "b", "c"]
        .iter()
        .enumerate()
        .map(|(index, zone)| platform.start_node(&format!("n{index}"), zone))
        .collect();
    join_all(nodes.iter().map(NodeProcess::wait_ready)).await;
    for node in &nodes {
        node.wait_members(nodes.len()).await;
    }
    nodes
}

async fn listed(platform: &PlatformProcess) -> Vec<VmRecord> {
    let vms = platform.control().get("/v1/vms").await;
    vms.expect("the list is read")
}

async fn live_count(platform: &PlatformProcess) -> usize {
    let vms = listed(platform).await;
    let live = vms.iter().filter(|vm| vm.state == VmState::Live);
    live.count()
}

async fn start_calls(platform: &PlatformProcess) -> u64 {
    let counts: Value = platform
        .control()
        .get("/control/counts")
        .await
        .expect("the counts are read");
    total(&counts, "start")
}

fn total(counts: &Value, kind: &str) -> u64 {
    counts[kind]["total"].as_u64().unwrap_or_default()
}

async fn set_faults(platform: &PlatformProcess, faults: Value) {
    let control = platform.control();
    let set = control.put("/control/faults", &faults).await;
    set.expect("the faults are set");
}

async fn lease(platform: &PlatformProcess) -> Option<LeaseRecord> {
    let store = LeaseStore::new(platform.connect().table, LeaseOptions::default());
    store.look_up(&service()).await.expect("the lease is read")
}

async fn orders(engine: &Process) -> Vec<Order> {
    let client = JsonClient::new(engine.address().expect("the engine listens"));
    let orders = client.get("/control/orders").await;
    orders.expect("the orders are read")
}

fn fencing_of(orders: &[Order]) -> Vec<FencingNumber> {
    orders.iter().map(|order| order.fencing).collect()
}

#[rstest]
#[case::current_list("0")]
#[case::lagging_list("6000")]
#[tokio::test]
async fn each_planned_vm_is_started_once(#[case] lag_ms: &str) {
    let args = [START_ENGINES.as_slice(), &["--list-lag-ms", lag_ms]].concat();
    let platform = start_platform(&args);
    platform.publish(&fleet_manifest(3, 5, "ignored"), 0).await;
    let _nodes = start_nodes(&platform).await;

    wait_until("the planned VMs are live", || async {
        live_count(&platform).await >= 3
    })
    .await;
    sleep(SOME_ROUNDS).await;

    let vms = listed(&platform).await;
    let zones: BTreeSet<_> = vms.iter().map(|vm| vm.zone.clone()).collect();
    assert_eq!(vms.len(), 3);
    assert_eq!(zones.len(), 3);
    assert_eq!(start_calls(&platform).await, 3);
}

/// Starts nodes on a platform that carries out every request and loses every answer.
async fn start_nodes_with_lost_answers(platform: &PlatformProcess) -> Vec<NodeProcess> {
    platform.publish(&fleet_manifest(3, 3, "ignored"), 0).await;
    set_faults(platform, json!({ "lost_answers": 100_000 })).await;
    let nodes = start_nodes(platform).await;
    wait_until("starts were requested again", || async {
        start_calls(platform).await >= 6
    })
    .await;
    nodes
}

#[tokio::test]
async fn a_lost_answer_starts_no_second_vm() {
    let platform = start_platform(&START_ENGINES);
    let _nodes = start_nodes_with_lost_answers(&platform).await;

    set_faults(&platform, json!({})).await;
    wait_until("the planned VMs are live", || async {
        live_count(&platform).await >= 3
    })
    .await;
    sleep(SOME_ROUNDS).await;

    assert_eq!(listed(&platform).await.len(), 3);
}

#[tokio::test]
async fn a_holder_that_dies_before_its_answers_arrive_causes_no_second_vm() {
    let platform = start_platform(&START_ENGINES);
    let mut nodes = start_nodes_with_lost_answers(&platform).await;
    let first = lease(&platform).await.expect("a lease");
    let holder: usize = first.holder.node.as_str()[1..].parse().expect("an index");

    nodes[holder].process.kill().expect("the holder is killed");
    set_faults(&platform, json!({})).await;
    wait_until_within("another node holds the lease", TAKEOVER_LIMIT, || async {
        let lease = lease(&platform).await;
        lease.is_some_and(|lease| lease.fencing > first.fencing)
    })
    .await;
    wait_until("the planned VMs are live", || async {
        live_count(&platform).await >= 3
    })
    .await;
    sleep(SOME_ROUNDS).await;

    assert_eq!(listed(&platform).await.len(), 3);
}

#[tokio::test]
async fn refused_starts_are_tried_with_other_offers_and_repeated() {
    let platform = start_platform(&START_ENGINES);
    set_faults(&platform, json!({ "refuse_starts": true })).await;
    platform.publish(&fleet_manifest(3, 3, "ignored"), 0).await;
    let nodes = start_nodes(&platform).await;

    wait_until("all offers were refused", || async {
        start_calls(&platform).await >= 6
    })
    .await;
    let tried: String = nodes.iter().map(|node| node.process.log()).collect();
    set_faults(&platform, json!({})).await;
    wait_until_within("the planned VMs are live", BACKOFF_LIMIT, || async {
        live_count(&platform).await >= 3
    })
    .await;
    sleep(SOME_ROUNDS).await;

    assert!(tried.contains("\"market\":\"reclaimable\""));
    assert!(tried.contains("\"market\":\"on_demand\""));
    assert_eq!(listed(&platform).await.len(), 3);
}

#[tokio::test]
async fn a_reclaimed_vm_is_replaced() {
    let platform = start_platform(&START_ENGINES);
    platform.publish(&fleet_manifest(3, 3, "ignored"), 0).await;
    let _nodes = start_nodes(&platform).await;
    wait_until("the planned VMs are live", || async {
        live_count(&platform).await >= 3
    })
    .await;

    let reclaim = json!({ "vm": "started-2", "remaining_ms": 1_000 });
    let reply: Value = platform
        .control()
        .post("/control/reclaim", &reclaim)
        .await
        .expect("the VM is reclaimed");
    wait_until("the VM is replaced", || async {
        let vms = listed(&platform).await;
        let is_gone = vms.iter().all(|vm| vm.vm.as_str() != "started-2");
        is_gone && live_count(&platform).await == 3
    })
    .await;
    sleep(SOME_ROUNDS).await;

    assert_eq!(reply["vms"], json!(["started-2"]));
    assert_eq!(listed(&platform).await.len(), 3);
}

#[tokio::test]
async fn a_holder_that_stops_releases_its_lease() {
    let platform = start_platform(&START_ENGINES);
    platform.publish(&fleet_manifest(3, 3, "checked"), 0).await;
    let mut nodes = start_nodes(&platform).await;
    wait_until("the planned VMs are live", || async {
        live_count(&platform).await >= 3
    })
    .await;
    let first = lease(&platform).await.expect("a lease");
    let holder: usize = first.holder.node.as_str()[1..].parse().expect("an index");

    let is_graceful = nodes[holder].stop();
    wait_until_within("another node holds the lease", TAKEOVER_LIMIT, || async {
        let lease = lease(&platform).await;
        lease.is_some_and(|lease| lease.fencing > first.fencing)
    })
    .await;
    sleep(SOME_ROUNDS).await;

    let log = nodes[holder].process.log();
    assert!(is_graceful);
    assert!(!log.contains("lease not released"));
    assert!(!log.contains("leases were left"));
    assert_eq!(listed(&platform).await.len(), 3);
}

/// Waits until an engine receives its next order.
async fn wait_next_order(engine: &Process) {
    let before = orders(engine).await.len();
    wait_until("the next order", || async {
        orders(engine).await.len() > before
    })
    .await;
}

/// Freezes the lease holder past the lease term and resumes it after another node has sent orders.
///
/// The holder is frozen while it reads the list of VMs. When it resumes, it receives the list before
/// it can find out that it has lost the lease.
#[rstest]
#[case::engines_that_check("checked", &["--check-fencing"])]
#[case::engines_that_ignore("ignored", &[])]
#[tokio::test]
async fn a_frozen_holder_sends_no_order_after_it_resumes(
    #[case] fencing: &str,
    #[case] extra: &[&str],
) {
    let platform = start_platform(&[]);
    let engines = [
        platform.start_engine("e1", "a", extra),
        platform.start_engine("e2", "b", extra),
    ];
    platform.publish(&fleet_manifest(2, 2, fencing), 0).await;
    let mut nodes = start_nodes(&platform).await;
    wait_until("the engines have orders", || async {
        let sent = [orders(&engines[0]).await, orders(&engines[1]).await];
        sent.iter().all(|orders| !orders.is_empty())
    })
    .await;
    let first = lease(&platform).await.expect("a lease");
    let frozen: usize = first.holder.node.as_str()[1..].parse().expect("an index");
    let slow = json!({ "answer_delay_ms": 1_000 });

    set_faults(&platform, slow.clone()).await;
    if fencing == "ignored" {
        wait_next_order(&engines[0]).await;
        wait_next_order(&engines[0]).await;
        sleep(NEXT_LIST_READ_DELAY).await;
    }
    nodes[frozen].process.freeze().expect("the holder freezes");
    set_faults(&platform, json!({})).await;
    wait_until_within("another node sends orders", TAKEOVER_LIMIT, || async {
        let sent = [orders(&engines[0]).await, orders(&engines[1]).await];
        let is_later = |orders: &Vec<Order>| orders.iter().any(|o| o.fencing > first.fencing);
        sent.iter().all(is_later)
    })
    .await;
    set_faults(&platform, slow).await;
    nodes[frozen]
        .process
        .unfreeze()
        .expect("the holder resumes");
    wait_until("the resumed node knows that it lost the lease", || async {
        nodes[frozen].process.log().contains("lease lost")
    })
    .await;
    sleep(SOME_ROUNDS).await;

    let second = lease(&platform).await.expect("a lease");
    assert!(second.fencing > first.fencing);
    for engine in &engines {
        let sent = fencing_of(&orders(engine).await);
        assert!(sent.is_sorted(), "orders out of order: {sent:?}");
    }
}
