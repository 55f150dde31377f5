//! Tests of the publication of manifests with faults of the table and concurrent publishers.

mod common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use common::{
    faulty_table::{FaultyTable, WriteFault},
    retry_options,
};
use rstest::rstest;
use tokio::time::sleep;
use verbenahead_core::{Digest, Generation};
use verbenahead_services::{
    MemoryObjectStore, MemoryTable, ObjectName, ObjectStore, Table, memory::TableFaults,
};
use verbenahead_state::{
    AppliedManifest, ApplyOutcome, Error, Head, InForce, KnownGeneration, ManifestStore,
    PublicationId, PublishOutcome, PublishRequest, ReadBackOutcome, StartDecision, UnixMillis,
};

fn store(table: Arc<dyn Table>) -> ManifestStore {
    ManifestStore::new(
        table,
        Arc::new(MemoryObjectStore::default()),
        retry_options(),
    )
}

fn request(expect: u64, publication: u128) -> PublishRequest {
    PublishRequest {
        expect: Generation(expect),
        publisher: "build".to_owned(),
        publication: PublicationId(publication),
        now: UnixMillis(1),
    }
}

fn text(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

fn accepted(outcome: PublishOutcome) -> Head {
    match outcome {
        PublishOutcome::Accepted(head) => head,
        other => panic!("not accepted: {other:?}"),
    }
}

fn known(generation: u64) -> KnownGeneration {
    KnownGeneration {
        generation: Generation(generation),
        digest: Digest::of(generation.to_string()),
    }
}

#[tokio::test(start_paused = true)]
async fn an_accepted_manifest_is_the_head_and_in_the_history() {
    let store = store(Arc::new(MemoryTable::default()));

    let first = accepted(store.publish(&request(0, 1), text("a")).await);
    let second = accepted(store.publish(&request(1, 2), text("b")).await);

    assert_eq!(store.head().await.expect("head"), Some(second.clone()));
    assert_eq!(store.body(second.digest).await.expect("body"), text("b"));
    let history = store.history(10).await.expect("history");
    assert_eq!(history, [second, first]);
}

#[tokio::test(start_paused = true)]
async fn an_outdated_expected_generation_is_a_conflict_with_the_head() {
    let store = store(Arc::new(MemoryTable::default()));
    let head = accepted(store.publish(&request(0, 1), text("a")).await);

    let outcome = store.publish(&request(0, 2), text("b")).await;

    assert_eq!(outcome, PublishOutcome::Conflict(Some(head)));
}

#[tokio::test(start_paused = true)]
async fn exactly_one_of_two_concurrent_publications_is_accepted() {
    let table = Arc::new(MemoryTable::default());
    table.set_faults(TableFaults {
        delay: Duration::from_millis(5),
        ..TableFaults::default()
    });
    let store = store(table);
    let (first, second) = (request(0, 1), request(0, 2));

    let (first, second) = tokio::join!(
        store.publish(&first, text("a")),
        store.publish(&second, text("b"))
    );

    let is_accepted = |outcome: &PublishOutcome| matches!(outcome, PublishOutcome::Accepted(_));
    let is_conflict = |outcome: &PublishOutcome| matches!(outcome, PublishOutcome::Conflict(_));
    assert!(is_accepted(&first) != is_accepted(&second));
    assert!(is_conflict(&first) != is_conflict(&second));
}

#[rstest]
#[case::answer_lost(WriteFault::AnswerLost)]
#[case::write_lost(WriteFault::Lost)]
#[case::write_late(WriteFault::Late)]
#[tokio::test(start_paused = true)]
async fn a_write_with_unknown_outcome_is_accepted_once(#[case] fault: WriteFault) {
    let table = FaultyTable::new([fault]);
    let store = store(table.clone());

    let head = accepted(store.publish(&request(0, 1), text("a")).await);
    let _ = table.deliver_late().await;

    assert_eq!(head.generation, Generation(1));
    assert_eq!(store.history(10).await.expect("history").len(), 1);
}

#[rstest]
#[case::first_publication(0)]
#[case::later_publication(1)]
#[tokio::test(start_paused = true)]
async fn a_late_write_is_refused_after_its_read_back(#[case] expect: u64) {
    let table = FaultyTable::new([]);
    let store = store(table.clone());
    for generation in 0..expect {
        let req = request(generation, 100 + u128::from(generation));
        accepted(store.publish(&req, text("old")).await);
    }
    let before = store.head().await.expect("head");
    table.push_faults([WriteFault::Late; 100]);

    let outcome = store.publish(&request(expect, 1), text("a")).await;
    let PublishOutcome::Unknown(unknown) = outcome else {
        panic!("not unknown: {outcome:?}");
    };
    table.clear_faults();
    let read_back = store.read_back(&unknown).await;
    let _ = table.deliver_late().await;

    assert_eq!(read_back, ReadBackOutcome::NotAccepted(before.clone()));
    assert_eq!(store.head().await.expect("head"), before);
    accepted(store.publish(&request(expect, 2), text("b")).await);
}

#[tokio::test(start_paused = true)]
async fn an_accepted_publication_is_found_after_later_publications() {
    let table = FaultyTable::new([]);
    let store = store(table.clone());
    table.push_faults([WriteFault::AnswerLost]);
    table.push_faults([WriteFault::Lost; 100]);

    let outcome = store.publish(&request(0, 1), text("a")).await;
    let PublishOutcome::Unknown(unknown) = outcome else {
        panic!("not unknown: {outcome:?}");
    };
    table.clear_faults();
    accepted(store.publish(&request(1, 2), text("b")).await);
    let read_back = store.read_back(&unknown).await;

    assert_eq!(read_back, ReadBackOutcome::Accepted(unknown.head));
}

#[tokio::test(start_paused = true)]
async fn an_accepted_publication_is_unknown_when_the_table_goes_down() {
    let table = FaultyTable::new([WriteFault::AnswerLost]);
    table.inner.set_faults(TableFaults {
        delay: Duration::from_millis(10),
        ..TableFaults::default()
    });
    let store = store(table.clone());

    // The head is read at 10 ms and written at 20 ms. The retry finds it written at 35 ms.
    let publish = tokio::spawn(async move { store.publish(&request(0, 1), text("a")).await });
    sleep(Duration::from_millis(38)).await;
    table.inner.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });
    let outcome = publish.await.expect("task");

    assert!(matches!(outcome, PublishOutcome::Unknown(_)), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn a_rollback_is_a_new_generation_with_the_old_body() {
    let store = store(Arc::new(MemoryTable::default()));
    let first = accepted(store.publish(&request(0, 1), text("a")).await);
    accepted(store.publish(&request(1, 2), text("b")).await);

    let head = accepted(store.roll_back(&request(2, 3), Generation(1)).await);

    assert_eq!(head.generation, Generation(3));
    assert_eq!(head.digest, first.digest);
}

#[tokio::test(start_paused = true)]
async fn a_body_with_another_digest_is_refused() {
    let objects = Arc::new(MemoryObjectStore::default());
    let store = ManifestStore::new(
        Arc::new(MemoryTable::default()),
        objects.clone(),
        retry_options(),
    );
    let digest = Digest::of("a");
    let name = ObjectName(format!("manifests/{digest}"));
    let _ = objects.put(&name, text("forged")).await;

    let body = store.body(digest).await;

    assert!(matches!(body, Err(Error::WrongDigest { .. })));
}

#[rstest]
#[case::older(1, ApplyOutcome::NotNewer { in_force: Generation(2) }, 2)]
#[case::same(2, ApplyOutcome::NotNewer { in_force: Generation(2) }, 2)]
#[case::newer(4, ApplyOutcome::Applied, 4)]
fn only_higher_generations_are_applied(
    #[case] generation: u64,
    #[case] expected: ApplyOutcome,
    #[case] in_force: u64,
) {
    let holder = InForce::default();
    let applied = |generation| AppliedManifest {
        generation: Generation(generation),
        digest: known(generation).digest,
        manifest: Arc::new(()),
    };
    holder.apply(applied(2));

    let outcome = holder.apply(applied(generation));

    assert_eq!(outcome, expected);
    assert_eq!(holder.generation(), Generation(in_force));
}

#[rstest]
#[case::outage_without_peers(false, &[], StartDecision::NotReady)]
#[case::outage_with_peers_that_have_none(false, &[known(0)], StartDecision::NotReady)]
#[case::outage(false, &[known(3), known(5), known(4)], StartDecision::Apply(known(5)))]
#[case::nothing_published(true, &[], StartDecision::NothingPublished)]
#[case::peer_ahead_of_an_old_reading(true, &[known(5)], StartDecision::Apply(known(5)))]
fn a_node_starts_with_the_highest_generation(
    #[case] is_table_up: bool,
    #[case] peers: &[KnownGeneration],
    #[case] expected: StartDecision,
) {
    let head = if is_table_up {
        Ok(None)
    } else {
        Err(Error::unavailable("down"))
    };

    let decision = StartDecision::decide(&head, peers);

    assert_eq!(decision, expected);
}
