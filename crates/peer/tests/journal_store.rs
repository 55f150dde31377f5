//! Tests of the journal store: appends, change of the owner, limits and expiry.

mod support;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use support::{append, node_id, record};
use tokio::time::Instant;
use verbenahead_core::{RequestId, units::ByteSize};
use verbenahead_peer::{
    JournalDrop, JournalRefusal, JournalStore, JournalStoreOptions, JournalTakeOver,
};

const FIRST: RequestId = RequestId(1);

fn store() -> JournalStore {
    JournalStore::new(JournalStoreOptions::default())
}

fn store_with(options: JournalStoreOptions) -> JournalStore {
    JournalStore::new(options)
}

fn take_over(epoch: u64, owner: usize) -> JournalTakeOver {
    JournalTakeOver {
        request: FIRST,
        epoch,
        owner: node_id(owner),
    }
}

fn tokens(store: &JournalStore) -> Vec<String> {
    store.read(FIRST, 0).expect("the journal is there").tokens
}

#[tokio::test]
async fn appended_tokens_can_be_read_from_any_position() {
    let store = store();
    let now = Instant::now();
    store.put(record(1, &["a"]), now).expect("there is room");

    store
        .append(append(1, 1, 1, &["b", "c"]), now)
        .expect("no gap");

    assert_eq!(tokens(&store), ["a", "b", "c"]);
    assert_eq!(store.read(FIRST, 2).expect("it is there").tokens, ["c"]);
    assert_eq!(
        store.read(FIRST, 9).expect("it is there").tokens,
        Vec::<String>::new()
    );
}

#[tokio::test]
async fn repeated_and_overlapping_appends_add_no_duplicates() {
    let store = store();
    let now = Instant::now();
    store.put(record(1, &["a"]), now).expect("there is room");

    for _ in 0..2 {
        store.append(append(1, 1, 1, &["b"]), now).expect("no gap");
    }
    store
        .append(append(1, 1, 0, &["a", "b", "c"]), now)
        .expect("no gap");

    assert_eq!(tokens(&store), ["a", "b", "c"]);
}

#[tokio::test]
async fn append_after_a_gap_is_refused() {
    let store = store();
    let now = Instant::now();
    store.put(record(1, &["a"]), now).expect("there is room");

    let result = store.append(append(1, 1, 3, &["d"]), now);

    assert_eq!(result, Err(JournalRefusal::Gap { length: 1 }));
}

#[tokio::test]
async fn only_one_of_two_concurrent_take_overs_succeeds() {
    let store = store();
    let now = Instant::now();
    store.put(record(1, &["a"]), now).expect("there is room");

    let first = store.take_over(take_over(1, 5), now);
    let second = store.take_over(take_over(1, 6), now);

    let first = first.expect("the epoch is current");
    assert_eq!((first.epoch, first.owner), (2, node_id(5)));
    assert_eq!(second, Err(JournalRefusal::StaleEpoch { current: 2 }));
}

#[tokio::test]
async fn take_over_can_be_retried_after_a_lost_response() {
    let store = store();
    let now = Instant::now();
    store.put(record(1, &["a"]), now).expect("there is room");

    let first = store.take_over(take_over(1, 5), now);
    let repeated = store.take_over(take_over(1, 5), now);
    let other = store.take_over(take_over(2, 6), now);
    let late = store.take_over(take_over(1, 5), now);

    assert_eq!(first, repeated);
    assert_eq!(other.expect("the epoch is current").epoch, 3);
    assert_eq!(late, Err(JournalRefusal::StaleEpoch { current: 3 }));
}

#[tokio::test]
async fn changes_by_an_earlier_owner_are_refused() {
    let store = store();
    let now = Instant::now();
    store.put(record(1, &["a"]), now).expect("there is room");
    store
        .take_over(take_over(1, 5), now)
        .expect("the epoch is current");
    let stale = Err(JournalRefusal::StaleEpoch { current: 2 });

    let put = store.put(record(1, &["x", "y"]), now);
    let append = store.append(append(1, 1, 1, &["b"]), now);
    let drop = store.drop_journal(JournalDrop {
        request: FIRST,
        epoch: 1,
    });

    assert_eq!((put, append, drop), (stale, stale, stale));
    assert_eq!(tokens(&store), ["a"]);
}

#[tokio::test]
async fn shorter_copy_does_not_replace_a_journal() {
    let store = store();
    let now = Instant::now();
    store
        .put(record(1, &["a", "b"]), now)
        .expect("there is room");

    store
        .put(record(1, &["a"]), now)
        .expect("it changes nothing");

    assert_eq!(tokens(&store), ["a", "b"]);
}

#[tokio::test]
async fn unknown_journals_are_not_found_but_can_be_dropped() {
    let store = store();
    let now = Instant::now();

    let read = store.read(FIRST, 0);
    let append = store.append(append(1, 1, 0, &["a"]), now);
    let drop = store.drop_journal(JournalDrop {
        request: FIRST,
        epoch: 1,
    });

    assert_eq!(read, Err(JournalRefusal::NotFound));
    assert_eq!(append, Err(JournalRefusal::NotFound));
    assert_eq!(drop, Ok(()));
}

#[tokio::test]
async fn full_store_refuses_new_data_and_keeps_its_journals() {
    let by_count = store_with(JournalStoreOptions {
        max_journals: 1,
        ..JournalStoreOptions::default()
    });
    let by_bytes = store_with(JournalStoreOptions {
        max_bytes: ByteSize(600),
        ..JournalStoreOptions::default()
    });
    let now = Instant::now();

    for store in [&by_count, &by_bytes] {
        store.put(record(1, &["a"]), now).expect("there is room");
        assert_eq!(store.put(record(2, &[]), now), Err(JournalRefusal::Full));
        assert_eq!(tokens(store), ["a"]);
    }
    let long = "x".repeat(100);
    let result = by_bytes.append(append(1, 1, 1, &[&long]), now);
    assert_eq!(result, Err(JournalRefusal::Full));
}

#[tokio::test(start_paused = true)]
async fn journals_expire_after_their_last_change() {
    let store = store();
    store
        .put(record(1, &[]), Instant::now())
        .expect("there is room");
    store
        .put(record(2, &[]), Instant::now())
        .expect("there is room");
    let options = JournalStoreOptions::default();

    tokio::time::advance(options.retention - Duration::from_secs(1)).await;
    store
        .append(append(2, 1, 0, &["a"]), Instant::now())
        .expect("no gap");
    tokio::time::advance(Duration::from_secs(1)).await;
    let expired = store.expire(Instant::now());

    assert_eq!(expired, 1);
    assert_eq!(store.request_ids(), [RequestId(2)]);
}

#[tokio::test(start_paused = true)]
async fn full_store_drops_expired_journals_to_make_room() {
    let store = store_with(JournalStoreOptions {
        max_journals: 1,
        ..JournalStoreOptions::default()
    });
    store
        .put(record(1, &[]), Instant::now())
        .expect("there is room");

    tokio::time::advance(JournalStoreOptions::default().retention).await;
    let result = store.put(record(2, &[]), Instant::now());

    assert_eq!(result, Ok(()));
    assert_eq!(store.request_ids(), [RequestId(2)]);
}

#[derive(Debug, Clone)]
enum Operation {
    Append { position: usize, count: usize },
    TakeOver,
    Put { length: usize },
    Drop,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (0_usize..12, 0_usize..4).prop_map(|(position, count)| Operation::Append { position, count }),
        1 => Just(Operation::TakeOver),
        2 => (0_usize..12).prop_map(|length| Operation::Put { length }),
        1 => Just(Operation::Drop),
    ]
}

/// Returns the tokens of the answer at the given positions. Each token is a function of its position.
fn answer(range: std::ops::Range<usize>) -> Vec<String> {
    range.map(|position| format!("t{position}")).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compares the store with a model of the length and the epoch. The size of an empty store is 0.
    #[test]
    fn journal_is_always_a_prefix_of_the_answer(operations in prop::collection::vec(operation(), 1..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let _guard = runtime.enter();
        let store = store();
        let now = Instant::now();
        let mut model: Option<(u64, usize)> = None;
        for operation in operations {
            match operation {
                Operation::Append { position, count } => {
                    let epoch = model.map_or(1, |(epoch, _)| epoch);
                    let mut message = append(1, epoch, position as u64, &[]);
                    message.tokens = answer(position..position + count);
                    let is_appended = store.append(message, now).is_ok();
                    prop_assert_eq!(is_appended, model.is_some_and(|(_, length)| position <= length));
                    if is_appended {
                        model = model.map(|(epoch, length)| (epoch, length.max(position + count)));
                    }
                }
                Operation::TakeOver => {
                    let epoch = model.map_or(1, |(epoch, _)| epoch);
                    let is_taken = store.take_over(take_over(epoch, 3), now).is_ok();
                    prop_assert_eq!(is_taken, model.is_some());
                    model = model.map(|(epoch, length)| (epoch + 1, length));
                }
                Operation::Put { length } => {
                    let mut message = record(1, &[]);
                    message.epoch = model.map_or(1, |(epoch, _)| epoch);
                    message.tokens = answer(0..length);
                    prop_assert!(store.put(message, now).is_ok());
                    let (epoch, known) = model.unwrap_or((1, 0));
                    model = Some((epoch, known.max(length)));
                }
                Operation::Drop => {
                    let epoch = model.map_or(1, |(epoch, _)| epoch);
                    let drop = JournalDrop { request: FIRST, epoch };
                    prop_assert!(store.drop_journal(drop).is_ok());
                    model = None;
                }
            }
            match model {
                Some((epoch, length)) => {
                    let kept = store.read(FIRST, 0).expect("the model has it");
                    prop_assert_eq!(kept.epoch, epoch);
                    prop_assert_eq!(kept.tokens, answer(0..length));
                }
                None => prop_assert_eq!(store.size(), ByteSize(0)),
            }
        }
    }
}
