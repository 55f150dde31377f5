//! Tests of leases and orders: suspended holders, writes with unknown outcomes and late orders.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    claimant,
    faulty_table::{FaultyTable, WriteFault},
    permit, retry_options,
};
use rstest::rstest;
use tokio::time::{Instant, advance, sleep};
use verbenahead_core::{FencingNumber, NodeId, ServiceId};
use verbenahead_manifest::EngineFencing;
use verbenahead_services::{MemoryTable, Table, memory::TableFaults};
use verbenahead_state::{
    lease::{
        AcquireOutcome, Candidate, Held, Lease, LeaseKeeper, LeaseOptions, LeaseStore,
        OrderFailure, OrderRefusal, RenewOutcome,
    },
    rendezvous,
};

fn options() -> LeaseOptions {
    LeaseOptions {
        retry: retry_options(),
        ..LeaseOptions::default()
    }
}

fn store(table: Arc<dyn Table>) -> LeaseStore {
    LeaseStore::new(table, options())
}

fn service() -> ServiceId {
    ServiceId::try_new("drafting").expect("valid id")
}

fn candidate(store: &LeaseStore, node: usize) -> Lease<Candidate> {
    store.candidate(service(), claimant(node))
}

fn held(outcome: AcquireOutcome) -> Lease<Held> {
    match outcome {
        AcquireOutcome::Held(lease) => lease,
        AcquireOutcome::NotHeld(lease) => panic!("not held: {lease:?}"),
    }
}

fn not_held(outcome: AcquireOutcome) -> Lease<Candidate> {
    match outcome {
        AcquireOutcome::NotHeld(lease) => lease,
        AcquireOutcome::Held(lease) => panic!("held: {lease:?}"),
    }
}

async fn acquire(store: &LeaseStore, node: usize) -> Lease<Held> {
    held(candidate(store, node).try_acquire().await)
}

/// Watches the lease for a whole term without a write, then acquires it.
async fn take_over(store: &LeaseStore, node: usize) -> Lease<Held> {
    let watching = not_held(candidate(store, node).try_acquire().await);
    advance(options().term).await;
    held(watching.try_acquire().await)
}

#[tokio::test(start_paused = true)]
async fn a_lease_is_acquired_only_after_a_whole_term_without_a_write() {
    let store = store(Arc::new(MemoryTable::default()));
    let _first = acquire(&store, 1).await;
    let second = not_held(candidate(&store, 2).try_acquire().await);
    advance(options().term - Duration::from_millis(1)).await;

    let second = not_held(second.try_acquire().await);
    advance(Duration::from_millis(1)).await;
    let second = held(second.try_acquire().await);

    assert_eq!(second.fencing(), FencingNumber(2));
}

#[tokio::test(start_paused = true)]
async fn a_renewed_lease_is_not_acquired_by_another_node() {
    let store = store(Arc::new(MemoryTable::default()));
    let first = acquire(&store, 1).await;
    let second = not_held(candidate(&store, 2).try_acquire().await);
    advance(options().term / 2).await;
    let RenewOutcome::Renewed(first) = first.renew().await else {
        panic!("not renewed");
    };
    advance(options().term / 2).await;

    let _second = not_held(second.try_acquire().await);

    assert!(first.is_valid(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn a_holder_suspended_past_its_term_sends_no_orders() {
    let store = store(Arc::new(MemoryTable::default()));
    let first = acquire(&store, 1).await;
    let permit = first.gate().permit(EngineFencing::Checked, Instant::now());
    let permit = permit.expect("permit");
    let second = take_over(&store, 2).await;
    let mut sent = Vec::new();

    let late_send = permit.send(|fencing| {
        sent.push(fencing);
        std::future::ready(())
    });
    let late_send = late_send.await;
    let late_permit = first.gate().permit(EngineFencing::Checked, Instant::now());
    let renewed = first.renew().await;

    assert_eq!(late_send, Err(OrderFailure::NotSent));
    assert_eq!(late_permit.err(), Some(OrderRefusal::LeaseExpiring));
    assert!(matches!(renewed, RenewOutcome::Lost(_)));
    assert!(sent.is_empty());
    assert!(second.is_valid(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn the_term_starts_before_the_write() {
    let table = Arc::new(MemoryTable::default());
    table.set_faults(TableFaults {
        delay: Duration::from_millis(50),
        ..TableFaults::default()
    });
    let store = store(table);
    let term = options().term - options().margin;

    let started_at = Instant::now();
    let lease = acquire(&store, 1).await;
    let acquired = lease.valid_until();
    let read_delay = Duration::from_millis(50);
    let renewed_from = Instant::now();
    let RenewOutcome::Renewed(lease) = lease.renew().await else {
        panic!("not renewed");
    };

    assert_eq!(acquired, started_at + read_delay + term);
    assert_eq!(lease.valid_until(), renewed_from + term);
}

#[rstest]
#[case::answer_lost(WriteFault::AnswerLost)]
#[case::write_lost(WriteFault::Lost)]
#[case::write_late(WriteFault::Late)]
#[tokio::test(start_paused = true)]
async fn a_renewal_with_unknown_outcome_does_not_extend_the_term(#[case] fault: WriteFault) {
    let table = FaultyTable::new([]);
    let store = store(table.clone());
    let lease = acquire(&store, 1).await;
    let valid_until = lease.valid_until();
    // After a lost answer a retry would find the row written, so all retries are lost as well.
    table.push_faults([fault]);
    table.push_faults([WriteFault::Lost; 100]);
    advance(options().renew_interval).await;

    let RenewOutcome::NotExtended(lease) = lease.renew().await else {
        panic!("the renewal is known");
    };

    assert_eq!(lease.valid_until(), valid_until);
}

#[tokio::test(start_paused = true)]
async fn a_late_renewal_is_not_mistaken_for_the_next_one() {
    let table = FaultyTable::new([]);
    let store = store(table.clone());
    let lease = acquire(&store, 1).await;
    let valid_until = lease.valid_until();
    table.push_faults([WriteFault::Late; 100]);
    let RenewOutcome::NotExtended(lease) = lease.renew().await else {
        panic!("the renewal is known");
    };
    table.clear_faults();
    let _ = table.deliver_late().await;
    advance(options().renew_interval).await;

    let RenewOutcome::NotExtended(lease) = lease.renew().await else {
        panic!("the late renewal was taken for the present one");
    };
    let extended = lease.valid_until();
    let RenewOutcome::Renewed(lease) = lease.renew().await else {
        panic!("not renewed");
    };

    assert_eq!(extended, valid_until);
    assert!(lease.valid_until() > valid_until);
}

#[tokio::test(start_paused = true)]
async fn an_order_deadline_is_never_after_the_term() {
    let store = store(Arc::new(MemoryTable::default()));
    let lease = acquire(&store, 1).await;
    let last = lease.valid_until() - options().order_timeout;
    advance(last - Instant::now()).await;

    let in_time = lease.gate().permit(EngineFencing::Checked, last);
    let too_late = lease
        .gate()
        .permit(EngineFencing::Checked, last + Duration::from_millis(1));

    assert_eq!(in_time.expect("permit").deadline(), lease.valid_until());
    assert_eq!(too_late.err(), Some(OrderRefusal::LeaseExpiring));
}

#[rstest]
#[case::after_a_term(false)]
#[case::after_a_release(true)]
#[tokio::test(start_paused = true)]
async fn a_new_holder_delays_orders_only_to_engines_that_ignore_fencing(#[case] is_released: bool) {
    let store = store(Arc::new(MemoryTable::default()));
    let first = acquire(&store, 1).await;
    let at_first = first.gate().permit(EngineFencing::Ignored, Instant::now());
    let second = if is_released {
        let _ = first.release().await;
        acquire(&store, 2).await
    } else {
        take_over(&store, 2).await
    };

    let checked = second.gate().permit(EngineFencing::Checked, Instant::now());
    let ignored = second.gate().permit(EngineFencing::Ignored, Instant::now());

    let remaining = options().first_order_wait();
    assert!(at_first.is_ok());
    assert!(checked.is_ok());
    assert_eq!(ignored.err(), Some(OrderRefusal::TooEarly { remaining }));
}

#[tokio::test(start_paused = true)]
async fn a_keeper_holds_the_lease_while_it_is_wanted() {
    let store = store(Arc::new(MemoryTable::default()));
    let (keeper, task) = LeaseKeeper::spawn(store.clone(), service(), claimant(1));

    let unwanted = keeper.epoch();
    keeper.set_wanted(true);
    sleep(options().term * 4).await;
    let wanted = permit(&keeper);
    drop(keeper);
    task.await.expect("task");

    assert!(unwanted.is_none(), "{unwanted:?}");
    assert!(wanted.is_ok());
    let record = store.look_up(&service()).await.expect("read");
    assert!(record.expect("row").is_released);
}

#[tokio::test(start_paused = true)]
async fn a_keeper_issues_no_permits_in_an_outage_longer_than_the_term() {
    let table = Arc::new(MemoryTable::default());
    let (keeper, _task) = LeaseKeeper::spawn(store(table.clone()), service(), claimant(1));
    keeper.set_wanted(true);
    sleep(options().renew_interval).await;
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });

    sleep(options().term).await;
    let in_outage = permit(&keeper);
    table.set_faults(TableFaults::default());
    sleep(options().term).await;
    let after = permit(&keeper);

    assert_eq!(in_outage.err(), Some(OrderRefusal::LeaseExpiring));
    assert!(after.is_ok());
}

// Guards against work that began under one lease and acts under a later one of the same node.
#[tokio::test(start_paused = true)]
async fn an_ended_epoch_permits_nothing_when_the_lease_is_held_again() {
    let store = store(Arc::new(MemoryTable::default()));
    let (first, _task) = LeaseKeeper::spawn(store.clone(), service(), claimant(1));
    let (second, second_task) = LeaseKeeper::spawn(store, service(), claimant(2));
    first.set_wanted(true);
    sleep(options().renew_interval).await;
    let earlier = first.epoch().expect("held");
    let before = permit(&first).expect("a permit");

    first.set_wanted(false);
    second.set_wanted(true);
    sleep(options().term).await;
    drop(second);
    second_task.await.expect("task");
    first.set_wanted(true);
    sleep(options().term).await;
    let later = permit(&first).expect("a permit");
    let refused = earlier.permit(EngineFencing::Checked);

    assert_eq!(refused.err(), Some(OrderRefusal::EpochEnded));
    assert!(!earlier.is_current());
    // The second keeper used the number between the two.
    assert_eq!(later.fencing(), before.fencing().next().next());
}

#[test]
fn a_new_node_only_takes_over_services_that_it_owns() {
    let node = |index: usize| NodeId::try_new(format!("node-{index}")).expect("valid id");
    let nodes: Vec<_> = (0..16).map(node).collect();
    let services: Vec<_> = (0..200)
        .map(|index| ServiceId::try_new(format!("service-{index}")).expect("valid id"))
        .collect();

    let before = services.iter().map(|s| rendezvous::owner(s, &nodes[..15]));
    let after = services.iter().map(|s| rendezvous::owner(s, &nodes));
    let moved: Vec<_> = before.zip(after).filter(|(old, new)| old != new).collect();

    assert!(moved.iter().all(|(_, new)| *new == nodes.last()));
    assert!((1..40).contains(&moved.len()), "{} moved", moved.len());
}
