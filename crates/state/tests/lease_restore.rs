//! Tests of leases on a table that comes back from an older copy.

mod common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use common::{
    claimant,
    faulty_table::{FaultyTable, WriteFault},
    permit,
    restored_table::{NodeTable, Restores},
    retry_options,
};
use rstest::rstest;
use tokio::{
    sync::watch,
    time::{Instant, advance, sleep},
};
use verbenahead_core::{FencingNumber, ServiceId, time::UnixMillis};
use verbenahead_services::{
    Condition, EraView, MemoryTable, Mutation, Row, RowKey, SeenEra, StoreEra, Table, Write,
    WriteOutcome, memory::TableFaults,
};
use verbenahead_state::lease::{
    AcquireOutcome, Candidate, Held, LEASE_TABLE, Lease, LeaseKeeper, LeaseOptions, LeaseStore,
    RenewOutcome, RestoreGuard,
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
    seen: watch::Sender<Option<SeenEra>>,
    number: usize,
}

impl Node {
    fn new(table: &Arc<MemoryTable>, number: usize) -> Self {
        let seen = watch::Sender::new(None);
        let guard = RestoreGuard::new(EraView::new(seen.subscribe()));
        let table: Arc<dyn Table> = table.clone();
        let store = LeaseStore::new(table, options()).with_restore_guard(guard.clone());
        Self {
            store,
            guard,
            seen,
            number,
        }
    }

    fn notice(&self, era: u64) {
        let (era, since) = (StoreEra(era), Instant::now());
        self.seen.send_replace(Some(SeenEra { era, since }));
    }

    fn candidate(&self) -> Lease<Candidate> {
        self.store.candidate(service(), claimant(self.number))
    }

    async fn acquire(&self) -> Result<Lease<Held>, Lease<Candidate>> {
        acquire(self.candidate()).await
    }
}

/// `Deployment` is a table that may come back from a copy, with nodes that notice it by its answers.
#[derive(Default)]
struct Deployment {
    table: Arc<FaultyTable>,
    restores: Restores,
}

impl Deployment {
    fn node(&self) -> (LeaseStore, RestoreGuard) {
        let table = NodeTable::new(&self.table, &self.restores);
        let guard = RestoreGuard::new(table.noticed());
        let store = LeaseStore::new(Arc::new(table), options()).with_restore_guard(guard.clone());
        (store, guard)
    }

    async fn copy(&self) -> Option<Row> {
        self.table.read(&lease_row()).await.expect("the row")
    }

    async fn restore(&self, copied: Option<Row>) {
        let table = &self.table.inner;
        self.restores.restore(table, lease_row(), copied).await;
    }
}

fn lease_row() -> RowKey {
    RowKey::new(LEASE_TABLE, "duties")
}

async fn renewed(lease: Lease<Held>) -> Lease<Held> {
    match lease.renew().await {
        RenewOutcome::Renewed(lease) => lease,
        other => panic!("not renewed: {other:?}"),
    }
}

async fn acquire(candidate: Lease<Candidate>) -> Result<Lease<Held>, Lease<Candidate>> {
    match candidate.try_acquire().await {
        AcquireOutcome::Held(lease) => Ok(lease),
        AcquireOutcome::NotHeld(lease) => Err(lease),
    }
}

/// Replaces the row of the lease by one that is no lease.
async fn write_odd_row(table: &MemoryTable) {
    let odd = Write {
        key: lease_row(),
        condition: Condition::Always,
        mutation: Mutation::Put(Bytes::from_static(b"[[[[\"odd\"]]]]")),
    };
    let written = table.write(vec![odd]).await;
    assert!(matches!(written, WriteOutcome::Done(_)), "{written:?}");
}

/// Loses the row of the lease, as a copy does that is older than the claim.
async fn lose_row(table: &MemoryTable) {
    let lost = Write {
        key: lease_row(),
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
    second.notice(1);

    let early = second
        .acquire()
        .await
        .expect_err("the holder's term has not ended");
    let is_valid_meanwhile = held.is_valid(Instant::now());
    advance(options().term).await;
    let late = acquire(early).await;

    assert!(is_valid_meanwhile);
    assert!(!held.is_valid(Instant::now()));
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

/// `Copied` is the write of the first holder that the copy has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Copied {
    Earlier,
    Last,
    /// A renewal that took effect, though the holder got no answer.
    Unanswered,
}

// Guards against a holder that takes its own record in the copy for its latest renewal, and acts on with its lower
// number after another node has followed it.
#[rstest]
#[case::earlier_write(Copied::Earlier)]
#[case::last_write(Copied::Last)]
#[case::unanswered_write(Copied::Unanswered)]
#[tokio::test(start_paused = true)]
async fn a_holder_that_was_followed_does_not_go_on_after_a_restore(#[case] copied: Copied) {
    let deployment = Deployment::default();
    let ((first, _), (second, _)) = (deployment.node(), deployment.node());
    let mut held = acquire(first.candidate(service(), claimant(1)))
        .await
        .expect("held");
    let earlier = deployment.copy().await;
    held = renewed(held).await;
    let mut copy = deployment.copy().await;
    match copied {
        Copied::Earlier => copy = earlier,
        Copied::Last => {}
        Copied::Unanswered => {
            deployment.table.push_faults([WriteFault::AnswerLost]);
            deployment.table.push_faults([WriteFault::Lost; 100]);
            let RenewOutcome::NotExtended(unanswered) = held.renew().await else {
                panic!("the renewal is known");
            };
            deployment.table.clear_faults();
            held = unanswered;
            copy = deployment.copy().await;
        }
    }
    let watching = acquire(second.candidate(service(), claimant(2))).await;
    advance(options().term).await;
    let followed = acquire(watching.expect_err("held by the first")).await;
    let followed = followed.expect("the term of the first has ended");

    deployment.restore(copy).await;
    let outcomes = [held.renew().await, followed.renew().await];

    for outcome in outcomes {
        assert!(matches!(outcome, RenewOutcome::Lost(_)), "{outcome:?}");
    }
}

// Guards against a claim that overwrites nothing in the copy, while the holder whose claim was lost still acts.
#[tokio::test(start_paused = true)]
async fn a_claim_during_a_restore_does_not_hold_the_lease() {
    let deployment = Deployment::default();
    let ((first, _), (second, _)) = (deployment.node(), deployment.node());
    let faults = TableFaults {
        delay: Duration::from_millis(50),
        ..TableFaults::default()
    };
    deployment.table.inner.set_faults(faults);
    let claim = tokio::spawn(acquire(second.candidate(service(), claimant(2))));
    // The row has been read, and the claim is on its way.
    sleep(Duration::from_millis(75)).await;
    deployment.table.inner.set_faults(TableFaults::default());
    let held = acquire(first.candidate(service(), claimant(1))).await;
    deployment.restore(None).await;

    let claimed = claim.await.expect("no panic");

    assert!(held.is_ok());
    assert!(claimed.is_err(), "{claimed:?}");
}

// Guards against a holder that acts on although it has heard of one with a higher number.
#[tokio::test(start_paused = true)]
async fn a_holder_that_hears_of_a_higher_number_stops_and_takes_a_higher_one() {
    let deployment = Deployment::default();
    let (store, guard) = deployment.node();
    let (keeper, _task) = LeaseKeeper::spawn(store, service(), claimant(1));
    keeper.set_wanted(true);
    sleep(options().renew_interval).await;
    let before = permit(&keeper).expect("a permit");
    let higher = FencingNumber(before.fencing().0 + 5);

    guard.record_fencing(higher);
    let refused = permit(&keeper);
    sleep(options().term * 2).await;
    let after = permit(&keeper).expect("a permit");

    assert!(refused.is_err(), "{refused:?}");
    assert!(after.fencing() > higher, "{after:?}");
}

// Guards against orders in the time between a restore and the next renewal, which cannot succeed.
#[tokio::test(start_paused = true)]
async fn a_holder_that_notices_a_restore_gets_no_permits_until_it_holds_the_lease_again() {
    let deployment = Deployment::default();
    let (store, _guard) = deployment.node();
    let (keeper, _task) = LeaseKeeper::spawn(store.clone(), service(), claimant(1));
    keeper.set_wanted(true);
    sleep(options().renew_interval).await;
    let before = permit(&keeper).expect("a permit");
    let copy = deployment.copy().await;

    deployment.restore(copy).await;
    let _ = store.look_up(&service()).await;
    let refused = permit(&keeper);
    sleep(options().term * 2).await;
    let after = permit(&keeper).expect("a permit");

    assert!(refused.is_err(), "{refused:?}");
    assert!(after.fencing() > before.fencing(), "{after:?}");
}

/// Lease in the copy from which a table comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopiedLease {
    Missing,
    Released,
}

// Guards against two holders at once: a process that has just started has noticed no restore, and the copy shows the
// lease as free although its holder has not noticed the restore either.
#[rstest]
#[case::missing(CopiedLease::Missing)]
#[case::released(CopiedLease::Released)]
#[tokio::test(start_paused = true)]
async fn a_process_that_starts_after_a_restore_waits_for_a_term(#[case] copied: CopiedLease) {
    let deployment = Deployment::default();
    let (holder, _) = deployment.node();
    if copied == CopiedLease::Released {
        let earlier = acquire(holder.candidate(service(), claimant(1))).await;
        let _ = earlier.expect("held").release().await;
    }
    let copy = deployment.copy().await;
    let held = acquire(holder.candidate(service(), claimant(1))).await;
    let held = held.expect("held");
    deployment.restore(copy).await;
    let (started, _) = deployment.node();

    let early = acquire(started.candidate(service(), claimant(2))).await;
    let is_valid_meanwhile = held.is_valid(Instant::now());
    advance(options().term).await;
    let late = acquire(early.expect_err("the holder may act")).await;

    assert!(is_valid_meanwhile);
    assert!(!held.is_valid(Instant::now()));
    let late = late.expect("the term of the holder has ended");
    let waits = late.gate().first_order_at > Instant::now();
    assert!(waits, "orders of the holder may be on their way");
}

// Guards against a number that a lost holder used, on a process that knows nothing and whose clock is behind.
#[tokio::test(start_paused = true)]
async fn a_number_of_an_earlier_era_is_not_reached_by_a_clock_that_is_behind() {
    let deployment = Deployment::default();
    let (first, guard) = deployment.node();
    let copy = deployment.copy().await;
    let (seconds_ahead, clock) = (40, UnixMillis(1_767_225_600_000));
    let now = UnixMillis::now().since(clock).as_secs();
    guard.record_fencing(FencingNumber(now + seconds_ahead));
    let lost = acquire(first.candidate(service(), claimant(1))).await;
    let lost = lost.expect("held").fencing();
    deployment.restore(copy).await;
    let (started, _) = deployment.node();

    let waiting = acquire(started.candidate(service(), claimant(2))).await;
    advance(options().term).await;
    let next = acquire(waiting.expect_err("just started")).await;

    let next = next.expect("held").fencing();
    assert!(next > lost, "{next} after {lost}");
    assert!(next.0 < 1 << 53, "{next}");
}

// Guards against a number that is given out twice, since the row is lost and the node has told no other one of it.
#[tokio::test(start_paused = true)]
async fn a_node_does_not_give_out_its_own_number_again() {
    let deployment = Deployment::default();
    let (store, guard) = deployment.node();
    let ahead_of_clock = FencingNumber(u64::MAX / 2);
    guard.record_fencing(ahead_of_clock);
    let held = acquire(store.candidate(service(), claimant(1))).await;
    let first = held.expect("held").fencing();
    deployment.restore(None).await;
    let noticing = acquire(store.candidate(service(), claimant(1))).await;
    advance(options().term).await;

    let second = acquire(noticing.expect_err("a restore was noticed")).await;

    let second = second.expect("held").fencing();
    assert!(second > first, "{second} after {first}");
}

// Guards against a lease that nobody holds any more, since another writer replaced its row.
#[rstest]
#[case::numbers_known(true)]
#[case::numbers_only_in_the_row(false)]
#[tokio::test(start_paused = true)]
async fn an_unreadable_lease_is_free_after_a_term_if_its_number_is_known(#[case] is_known: bool) {
    let table = Arc::new(MemoryTable::default());
    let earlier = Node::new(&table, 1);
    let held = earlier.acquire().await.expect("the lease is free");
    let first = held.fencing();
    write_odd_row(&table).await;
    let mut node = Node::new(&table, 2);
    node.guard.record_fencing(first);
    if !is_known {
        let table: Arc<dyn Table> = table.clone();
        node.store = LeaseStore::new(table, options());
    }

    let at_once = node
        .acquire()
        .await
        .expect_err("a holder may have written the row");
    advance(options().term).await;
    let after_a_term = acquire(at_once).await;

    let renewed = held.renew().await;
    assert!(matches!(renewed, RenewOutcome::Lost(_)), "{renewed:?}");
    assert_eq!(after_a_term.is_ok(), is_known, "{after_a_term:?}");
    if let Ok(lease) = after_a_term {
        assert!(lease.fencing() > first, "{lease:?}");
    }
}
