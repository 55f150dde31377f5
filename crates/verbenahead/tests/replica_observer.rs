//! Pattern: a node is cut off from the store for seconds, and a replica that never says that it
//! leaves is gone when the node is back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, advance};
use verbenahead::relay_node::replica_observer::ReplicaObserver;
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, UpstreamId};
use verbenahead_relay::{UpstreamRegistry, upstream::UpstreamStatus};
use verbenahead_services::{
    Error, FeedPosition, FeedRow, Market, ReplicaRecord, ReplicaState, Result, Snapshot, Version,
};
use verbenahead_state::follower::{FollowerOptions, TableObserver};

/// Time after an outage from which promises hold again, as deployments state it.
const CALM: Duration = Duration::from_secs(3);

/// Longest time to make a connection to the store.
const CONNECT: Duration = Duration::from_millis(500);

fn read(key: &str, _: &[u8]) -> Result<ReplicaRecord> {
    Ok(ReplicaRecord {
        id: UpstreamId::try_new(key).expect("valid id"),
        incarnation: Incarnation(1),
        service: ServiceId::try_new("desk").expect("valid id"),
        zone: AvailabilityZone::try_new("east").expect("valid zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: ReplicaState::Ready,
        slots: 8,
        warm_up: Duration::ZERO,
        market: Market::OnDemand,
    })
}

fn row(value: Option<&'static str>) -> FeedRow {
    FeedRow {
        key: "i-1".to_owned(),
        version: Version(1),
        value: value.map(|value| Bytes::from_static(value.as_bytes())),
    }
}

/// Returns an observer that knows one replica, and where the replica is registered.
fn observer() -> (ReplicaObserver, Arc<UpstreamRegistry>) {
    let registry = Arc::new(UpstreamRegistry::default());
    let mut observer = ReplicaObserver::new(read, Arc::clone(&registry));
    observer.on_snapshot(Snapshot {
        rows: vec![row(Some("{}"))],
        position: FeedPosition::default(),
    });
    (observer, registry)
}

fn is_live(registry: &UpstreamRegistry) -> bool {
    let id = UpstreamId::try_new("i-1").expect("valid id");
    let entry = registry.get(&id);
    entry.is_some_and(|entry| entry.status() == UpstreamStatus::Live)
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_went_during_an_outage_gets_no_work_when_promises_hold_again() {
    let (mut observer, registry) = observer();
    observer.on_unavailable(&Error::unavailable("store", "cut off"));
    let returned = Instant::now();
    // The pause before the next call and a connection that fails come before the node notices.
    advance(FollowerOptions::default().max_backoff + CONNECT).await;

    observer.on_available();
    observer.on_changes(vec![row(None)]);
    let deadline = observer.deadline().expect("a grace");
    observer.on_deadline();

    assert!(deadline.duration_since(returned) < CALM);
    assert!(!is_live(&registry));
}

#[tokio::test(start_paused = true)]
async fn a_registration_that_lapsed_during_an_outage_may_come_back() {
    let (mut observer, registry) = observer();
    observer.on_unavailable(&Error::unavailable("store", "down"));

    observer.on_available();
    observer.on_changes(vec![row(None)]);
    let is_kept = is_live(&registry);
    observer.on_changes(vec![row(Some("{}"))]);
    observer.on_deadline();

    assert!(is_kept);
    assert!(is_live(&registry));
}

#[tokio::test(start_paused = true)]
async fn without_an_outage_a_removed_registration_counts_at_once() {
    let (mut observer, registry) = observer();

    observer.on_changes(vec![row(None)]);

    assert!(!is_live(&registry));
}
