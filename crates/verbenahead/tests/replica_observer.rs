//! Failure pattern: a node is cut off from the store for some seconds, and a replica stops in that time
//! without announcing it. The node must not go on sending requests to it.

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

/// Time after the end of an outage from which the promised limits apply again, as deployments set it.
const CALM: Duration = Duration::from_secs(3);

/// Timeout of a connection attempt to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

fn read(key: &str, _: &[u8]) -> Result<ReplicaRecord> {
    Ok(ReplicaRecord {
        id: UpstreamId::try_new(key).expect("valid id"),
        incarnation: Incarnation(1),
        service: ServiceId::try_new("desk").expect("valid id"),
        software: "v1".into(),
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

/// Returns an observer that knows one replica, and its registry.
fn observer() -> (ReplicaObserver, Arc<UpstreamRegistry>) {
    let registry = Arc::new(UpstreamRegistry::default());
    let mut observer = ReplicaObserver::new(read, Arc::clone(&registry));
    observer.on_snapshot(Snapshot {
        rows: vec![row(Some("{}"))],
        position: FeedPosition::default(),
        is_restored: false,
    });
    (observer, registry)
}

fn is_live(registry: &UpstreamRegistry) -> bool {
    let id = UpstreamId::try_new("i-1").expect("valid id");
    let entry = registry.get(&id);
    entry.is_some_and(|entry| entry.status() == UpstreamStatus::Live)
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_stopped_during_an_outage_gets_no_work_after_the_calm_time() {
    let (mut observer, registry) = observer();
    observer.on_unavailable(&Error::unavailable("store", "cut off"));
    let returned = Instant::now();
    // The node notices the return after the backoff and one more failed connection attempt.
    advance(FollowerOptions::default().max_backoff + CONNECT_TIMEOUT).await;

    observer.on_available();
    observer.on_changes(vec![row(None)]);
    let deadline = observer
        .deadline()
        .expect("a deadline for the missing replica");
    observer.on_deadline();

    assert!(deadline.duration_since(returned) < CALM);
    assert!(!is_live(&registry));
}

#[tokio::test(start_paused = true)]
async fn a_replica_whose_registration_expired_in_an_outage_stays_if_it_registers_again() {
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
async fn without_an_outage_a_replica_is_removed_with_its_registration() {
    let (mut observer, registry) = observer();

    observer.on_changes(vec![row(None)]);

    assert!(!is_live(&registry));
}

/// Returns the first snapshot of a table that came back from an older copy.
fn restored(rows: Vec<FeedRow>) -> Snapshot {
    Snapshot {
        rows,
        position: FeedPosition::default(),
        is_restored: true,
    }
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_was_gone_does_not_come_back_with_an_older_copy_of_the_table() {
    let (mut observer, registry) = observer();
    observer.on_changes(vec![row(None)]);

    observer.on_snapshot(restored(vec![row(Some("{}"))]));
    let after_restore = is_live(&registry);
    observer.on_changes(vec![row(Some("{}"))]);

    assert!(!after_restore);
    // A replica that runs writes its registration again.
    assert!(is_live(&registry));
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_an_older_copy_of_the_table_lacks_has_time_to_register_again() {
    let (mut observer, registry) = observer();

    observer.on_snapshot(restored(Vec::new()));
    let after_restore = is_live(&registry);
    observer.on_changes(vec![row(Some("{}"))]);
    observer.on_deadline();
    let after_registration = is_live(&registry);
    observer.on_snapshot(restored(Vec::new()));
    observer.on_deadline();

    assert!(after_restore && after_registration);
    assert!(!is_live(&registry));
}
