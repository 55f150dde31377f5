//! Tests of leases on a table that comes back from an older copy.

mod common;

use std::sync::Arc;

use common::{claimant, retry_options};
use tokio::{sync::watch, time::advance};
use verbenahead_core::{FencingNumber, ServiceId};
use verbenahead_services::{Condition, MemoryTable, Mutation, RowKey, Table, Write, WriteOutcome};
use verbenahead_state::lease::{
    AcquireOutcome, Candidate, Held, Lease, LeaseOptions, LeaseStore, RenewOutcome, RestoreGuard,
};

fn options() -> LeaseOptions {
    LeaseOptions {
        retry: retry_options(),
        ..LeaseOptions::default()
    }
}

fn service() -> ServiceId {
    ServiceId::try_new("duties").expect("valid id")
}

/// `Node` is a node with its own view of the restores.
struct Node {
    store: LeaseStore,
    guard: RestoreGuard,
    restores: watch::Sender<u64>,
    number: usize,
}

impl Node {
    fn new(table: &Arc<MemoryTable>, number: usize) -> Self {
        let (restores, receiver) = watch::channel(0);
        let guard = RestoreGuard::new(receiver);
        let table: Arc<dyn Table> = table.clone();
        let store = LeaseStore::new(table, options()).with_restore_guard(guard.clone());
        Self {
            store,
            guard,
            restores,
            number,
        }
    }

    fn candidate(&self) -> Lease<Candidate> {
        self.store.candidate(service(), claimant(self.number))
    }

    async fn acquire(&self) -> Result<Lease<Held>, Lease<Candidate>> {
        acquire(self.candidate()).await
    }
}

async fn acquire(candidate: Lease<Candidate>) -> Result<Lease<Held>, Lease<Candidate>> {
    match candidate.try_acquire().await {
        AcquireOutcome::Held(lease) => Ok(lease),
        AcquireOutcome::NotHeld(lease) => Err(lease),
    }
}

/// Loses the row of the lease, as a copy does that is older than the claim.
async fn lose_row(table: &MemoryTable) {
    let lost = Write {
        key: RowKey::new(verbenahead_state::lease::LEASE_TABLE, "duties"),
        condition: Condition::Always,
        mutation: Mutation::Delete,
    };
    assert!(matches!(
        table.write(vec![lost]).await,
        WriteOutcome::Done(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn a_lease_whose_row_was_lost_is_not_acquired_while_its_holder_may_act() {
    let table = Arc::new(MemoryTable::default());
    let (first, second) = (Node::new(&table, 1), Node::new(&table, 2));
    let held = first.acquire().await.expect("held");
    lose_row(&table).await;
    second.restores.send_replace(1);

    let early = second
        .acquire()
        .await
        .expect_err("the holder's term has not ended");
    let is_valid_meanwhile = held.is_valid(tokio::time::Instant::now());
    advance(options().term).await;
    let late = acquire(early).await;

    assert!(is_valid_meanwhile);
    assert!(!held.is_valid(tokio::time::Instant::now()));
    assert!(late.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_lost_fencing_number_is_not_given_out_again() {
    let table = Arc::new(MemoryTable::default());
    let (first, second) = (Node::new(&table, 1), Node::new(&table, 2));
    let fencing = first.acquire().await.expect("held").fencing();
    let high = FencingNumber(fencing.0 + 40);
    lose_row(&table).await;
    second.guard.record_fencing(high);

    let next = second.acquire().await.expect("held").fencing();

    assert!(next > high, "{next} after {high}");
}

#[tokio::test(start_paused = true)]
async fn fencing_numbers_rise_although_all_nodes_and_the_row_were_lost() {
    let table = Arc::new(MemoryTable::default());
    let first = Node::new(&table, 1)
        .acquire()
        .await
        .expect("held")
        .fencing();
    lose_row(&table).await;
    // Holders follow each other a term apart at least, but the time of the tests stands still.
    let later = Node::new(&table, 2)
        .acquire()
        .await
        .expect("held")
        .fencing();

    assert!(later >= first, "{later} after {first}");
    assert!(first.0 > 1_000_000, "{first}");
}

#[tokio::test(start_paused = true)]
async fn a_holder_whose_row_was_lost_stops() {
    let table = Arc::new(MemoryTable::default());
    let node = Node::new(&table, 1);
    let held = node.acquire().await.expect("held");
    lose_row(&table).await;

    let renewed = held.renew().await;

    assert!(matches!(renewed, RenewOutcome::Lost(_)), "{renewed:?}");
}
