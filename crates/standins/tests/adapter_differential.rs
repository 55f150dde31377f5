//! Compares the HTTP adapter with the in-memory table on random operations.

mod support;

use anyhow::Result;
use bytes::Bytes;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use support::{LONG_TIMEOUT, TABLE, adapter, row_key, set_faults, start_platform};
use verbenahead_services::{
    Condition, HttpPlatform, MemoryTable, Mutation, Row, Table, Version, Write, WriteOutcome,
    memory::TableFaults,
};
use verbenahead_standins::platform::PlatformFaults;

const SEED: u64 = 20_261_203;

/// Keys with characters that are special in URL paths and queries.
const KEYS: [&str; 6] = ["a", "a/b", "..", "ü %2F", "?x=1&y", "ab"];

#[derive(Debug, Clone, Copy)]
enum ConditionKind {
    Absent,
    Always,
    Present,
    Stale,
}

#[derive(Debug, Clone)]
struct Step {
    key: usize,
    condition: ConditionKind,
    mutation: Mutation,
}

#[derive(Debug, Clone)]
enum Operation {
    Read(usize),
    List {
        prefix: &'static str,
        after: Option<usize>,
        limit: usize,
    },
    Write {
        steps: Vec<Step>,
        is_answer_lost: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let condition = prop_oneof![
        Just(ConditionKind::Absent),
        Just(ConditionKind::Always),
        Just(ConditionKind::Present),
        Just(ConditionKind::Stale),
    ];
    let mutation = prop_oneof![
        4 => vec(any::<u8>(), 0..20).prop_map(|value| Mutation::Put(Bytes::from(value))),
        2 => Just(Mutation::Delete),
        1 => Just(Mutation::Check),
    ];
    (0..KEYS.len(), condition, mutation).prop_map(|(key, condition, mutation)| Step {
        key,
        condition,
        mutation,
    })
}

fn operation() -> impl Strategy<Value = Operation> {
    let prefix = prop_oneof![Just(""), Just("a"), Just("..")];
    let after = proptest::option::of(0..KEYS.len());
    prop_oneof![
        2 => (0..KEYS.len()).prop_map(Operation::Read),
        1 => (prefix, after, 0..8_usize).prop_map(|(prefix, after, limit)| Operation::List {
            prefix,
            after,
            limit,
        }),
        4 => (vec(step(), 1..4), proptest::bool::weighted(0.1)).prop_map(
            |(steps, is_answer_lost)| Operation::Write {
                steps,
                is_answer_lost,
            }
        ),
    ]
}

async fn condition(table: &MemoryTable, step: &Step) -> Result<Condition> {
    let row = table.read(&row_key(KEYS[step.key])).await?;
    let version = row.map_or(Version(0), |row| row.version);
    Ok(match step.condition {
        ConditionKind::Absent => Condition::Absent,
        ConditionKind::Always => Condition::Always,
        ConditionKind::Present => Condition::VersionIs(version),
        ConditionKind::Stale => Condition::VersionIs(Version(version.0.saturating_sub(1))),
    })
}

async fn writes(table: &MemoryTable, steps: &[Step]) -> Result<Vec<Write>> {
    let mut writes = Vec::new();
    for step in steps {
        writes.push(Write {
            key: row_key(KEYS[step.key]),
            condition: condition(table, step).await?,
            mutation: step.mutation.clone(),
        });
    }
    Ok(writes)
}

/// Clears the error texts, which may differ between the tables.
fn without_texts(outcome: WriteOutcome) -> WriteOutcome {
    match outcome {
        WriteOutcome::Unknown(_) => WriteOutcome::Unknown(String::new()),
        WriteOutcome::NotSent(_) => WriteOutcome::NotSent(String::new()),
        other => other,
    }
}

async fn all_rows(table: &impl Table) -> Result<Vec<(String, Row)>> {
    Ok(table.list(TABLE, "", None, usize::MAX).await?)
}

/// Lists rows by reading each of [`KEYS`].
async fn list_by_reading(
    table: &MemoryTable,
    prefix: &str,
    after: Option<&str>,
    limit: usize,
) -> Result<Vec<(String, Row)>> {
    let mut keys = KEYS;
    keys.sort_unstable();
    let mut rows = Vec::new();
    for key in keys {
        let is_listed = key.starts_with(prefix) && after.is_none_or(|after| key > after);
        if let Some(row) = table.read(&row_key(key)).await?
            && is_listed
            && rows.len() < limit
        {
            rows.push((key.to_owned(), row));
        }
    }
    Ok(rows)
}

async fn compare(operations: Vec<Operation>) -> Result<()> {
    let platform = start_platform().await?;
    let address = platform.address();
    let adapter: HttpPlatform = adapter(address, LONG_TIMEOUT)?;
    let reference = MemoryTable::default();
    for operation in operations {
        match operation {
            Operation::Read(key) => {
                let key = row_key(KEYS[key]);
                assert_eq!(adapter.read(&key).await, reference.read(&key).await);
            }
            Operation::List {
                prefix,
                after,
                limit,
            } => {
                let after = after.map(|key| KEYS[key]);
                let actual = adapter.list(TABLE, prefix, after, limit).await?;
                assert_eq!(
                    actual,
                    list_by_reading(&reference, prefix, after, limit).await?
                );
            }
            Operation::Write {
                steps,
                is_answer_lost,
            } => {
                let lost_answers = u32::from(is_answer_lost);
                let writes = writes(&reference, &steps).await?;
                reference.set_faults(TableFaults {
                    lost_answers,
                    ..TableFaults::default()
                });
                let faults = PlatformFaults {
                    lost_answers,
                    ..PlatformFaults::default()
                };
                set_faults(address, &faults).await?;
                let actual = without_texts(adapter.write(writes.clone()).await);
                assert_eq!(actual, without_texts(reference.write(writes).await));
            }
        }
    }
    assert_eq!(all_rows(&adapter).await?, all_rows(&reference).await?);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_http_adapter_behaves_like_the_in_memory_table(operations in vec(operation(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be built");

        runtime.block_on(compare(operations)).expect("the stand-in answers");
    }
}
