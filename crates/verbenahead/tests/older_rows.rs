//! Tests of the rows of the platform's table as builds of commit b2b0703 wrote them. Failure pattern: a node reads what
//! a node of an older build wrote, and the other way round.
//!
//! `golden/rows_b2b0703.txt` holds the table, key and value of a row in each line, written by the code of that commit.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use serde_json::Value;
use verbenahead::relay_node::{
    node_directory::{NodeDirectory, NodeRow},
    stream_directory::{StreamDirectory, versions_row},
};
use verbenahead_core::{AvailabilityZone, ContentKind, FeatureLevel, Incarnation, NodeId};
use verbenahead_membership::{NameKey, StreamKey};
use verbenahead_relay::ServedVersion;
use verbenahead_services::{
    Condition, EraView, MemoryTable, Mutation, RowKey, Table, TableName, UsageReport, Write,
    WriteOutcome,
};
use verbenahead_state::{
    EarlierReport, RetryOptions, SavedCounts, UsageLog,
    lease::{LEASE_TABLE, record},
};

const GOLDEN: &str = include_str!("golden/rows_b2b0703.txt");

const TABLES: [&str; 4] = ["nodes", "usage", "streams", "lease"];

const WINDOW: u64 = 354_599_460;

/// Returns a table with the rows of the older build.
async fn older_rows() -> Arc<MemoryTable> {
    let table = Arc::new(MemoryTable::default());
    for line in GOLDEN.lines() {
        let mut parts = line.split(' ');
        let mut next = || parts.next().expect("a table, key and value");
        let (name, key, hex) = (next(), next(), next());
        let name = TABLES.iter().find(|known| **known == name);
        let byte = |n: usize| u8::from_str_radix(&hex[n..n + 2], 16).expect("hexadecimal");
        let value: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        let write = Write {
            key: RowKey::new(TableName(name.expect("a known table")), key),
            condition: Condition::Absent,
            mutation: Mutation::Put(Bytes::from(value)),
        };
        assert_done(table.write(vec![write]).await);
    }
    table
}

fn assert_done(outcome: WriteOutcome) {
    assert!(matches!(outcome, WriteOutcome::Done(_)), "{outcome:?}");
}

async fn value(table: &MemoryTable, name: &'static str, key: &str) -> Value {
    let rows = table.list(TableName(name), "", None, 100).await;
    let rows = rows.expect("the table answers");
    let row = rows.iter().find(|(known, _)| known == key);
    serde_json::from_slice(&row.expect("the row").1.value).expect("JSON")
}

fn node_row() -> NodeRow {
    let peers: SocketAddr = "10.0.0.7:7946".parse().expect("an address");
    NodeRow {
        zone: AvailabilityZone::try_new("pnw-a").expect("valid zone"),
        peers,
        incarnation: Incarnation(1_772_997_287_021),
    }
}

fn directory(table: Arc<MemoryTable>, node: &str) -> NodeDirectory {
    let node = NodeId::try_new(node).expect("valid id");
    NodeDirectory::new(table, node, node_row())
}

fn counts() -> SavedCounts {
    SavedCounts {
        window: WINDOW + 1,
        node_incarnation: 77,
        is_final: true,
        counts: vec![(9, 30), (10, 1)],
    }
}

#[tokio::test]
async fn rows_of_the_older_build_are_read() {
    let table = older_rows().await;

    let listing = directory(table.clone(), "n9").read().await.expect("rows");
    let log = UsageLog::new(
        table.clone(),
        RetryOptions::default(),
        EraView::without_eras(),
    );
    let report: Option<UsageReport> = log.read(WINDOW).await.expect("a row");
    let streams = StreamDirectory::new(table.clone()).read().await;

    assert_eq!(listing.others.len(), 1);
    assert_eq!(listing.others[0].0.as_str(), "front-pnw-a-1");
    assert_eq!(listing.others[0].1, node_row());
    let kinds: Vec<_> = listing.quarantined.iter().map(|q| q.key.kind).collect();
    assert_eq!(kinds, [ContentKind::PromptPart, ContentKind::Request]);
    assert_eq!(listing.features, None);
    let report = report.expect("the report of the window");
    assert_eq!(report.counts.values().sum::<u64>(), 31);
    let (_, saved) = log.open_counts().await.expect("counts");
    assert_eq!(saved, [counts()]);
    let streams = streams.expect("rows");
    assert_eq!(streams.versions, Some(BTreeSet::from([served()])));
    let keys: Vec<_> = streams.origins.iter().map(|origin| origin.stream).collect();
    assert_eq!(keys, [StreamKey(6), StreamKey(8)]);
    let key = RowKey::new(LEASE_TABLE, "duties");
    let row = table.read(&key).await.expect("the table answers");
    let lease = record::decode(&row.expect("a row").value).expect("a lease");
    assert_eq!(lease.holder.node.as_str(), "front-pnw-a-1");
    assert!(!lease.is_released);
}

fn served() -> ServedVersion {
    ServedVersion {
        service: NameKey(7),
        version: NameKey(8),
    }
}

// Guards against rows that an older node cannot read: each holds all that the older build wrote, unchanged. Keys that
// are added are unknown there and skipped.
#[tokio::test]
async fn rows_hold_what_the_older_build_requires() {
    let older = older_rows().await;
    let table = Arc::new(MemoryTable::default());
    let listing = directory(older.clone(), "n9").read().await.expect("rows");

    let own = directory(table.clone(), "front-pnw-a-1");
    own.register().await;
    assert_done(own.save_quarantined(&listing.quarantined).await);
    assert_done(own.save_features(FeatureLevel(1)).await);
    let log = UsageLog::new(
        table.clone(),
        RetryOptions::default(),
        EraView::without_eras(),
    );
    let old_log = UsageLog::new(
        older.clone(),
        RetryOptions::default(),
        EraView::without_eras(),
    );
    let report = old_log
        .read(WINDOW)
        .await
        .expect("a row")
        .expect("a report");
    log.write(&report, EarlierReport::Possible, None)
        .await
        .expect("written");
    let (journal, _) = log.open_counts().await.expect("counts");
    let saved = journal.save(&[counts()]).await;
    assert!(saved.is_ok(), "{saved:?}");
    let streams = StreamDirectory::new(table.clone());
    let versions = BTreeSet::from([served()]);
    assert_done(streams.write(vec![versions_row(&versions)]).await);

    for (name, key) in [
        ("nodes", "front-pnw-a-1"),
        ("nodes", "!quarantine"),
        ("usage", "04"),
        ("usage", "counts/0"),
        ("streams", "versions"),
    ] {
        let (before, now) = (
            value(&older, name, key).await,
            value(&table, name, key).await,
        );
        assert_holds(&now, &before);
    }
    // The key is no id of a node, so that an older node skips the row.
    assert!(NodeId::try_new("!features").is_err());
}

/// Asserts that a value has all of another one.
fn assert_holds(value: &Value, required: &Value) {
    match (value, required) {
        (Value::Object(value), Value::Object(required)) => {
            for (key, required) in required {
                assert_holds(value.get(key).expect("the key"), required);
            }
        }
        (Value::Array(value), Value::Array(required)) => {
            assert_eq!(value.len(), required.len());
            for (value, required) in value.iter().zip(required) {
                assert_holds(value, required);
            }
        }
        _ => assert_eq!(value, required),
    }
}
