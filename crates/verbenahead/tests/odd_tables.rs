//! Failure pattern: another writer leaves odd rows in the tables that a relaying node reads. No process ends, the other rows
//! are read, and the node goes on to serve, to learn of replicas and to perform the duties.

mod relay_support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use proptest::prelude::*;
use relay_support::{eventually, register, settings, start_deployment, start_node};
use serde_json::{Value, json};
use tokio::runtime::Builder;
use verbenahead::relay_node::{
    node_directory::{NodeDirectory, NodeRow},
    stream_directory::StreamDirectory,
};
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId, ServiceId};
use verbenahead_platform::{read_configuration, read_registration, read_rollout_order};
use verbenahead_services::{
    Condition, EraView, MemoryTable, Mutation, RowKey, Table, TableName, Write, WriteOutcome,
};
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};
use verbenahead_state::{
    RetryOptions, RolloutLog, UsageLog,
    lease::{LeaseOptions, LeaseStore},
};

/// Sound values of the tables that nodes write, as `table key value`.
const SOUND: [(&str, &str, &str); 9] = [
    (
        "nodes",
        "b",
        r#"{"zone":"east","peers":"10.0.0.7:7946","incarnation":17}"#,
    ),
    (
        "nodes",
        "!quarantine",
        r#"[{"service":1,"kind":"request","id":3,"until":4,"times":1}]"#,
    ),
    ("nodes", "!features", r#"{"level":1}"#),
    (
        "lease",
        "duties",
        r#"{"node":"b","incarnation":1,"fencing":7,"write_number":3,"released":false}"#,
    ),
    ("usage", "04", r#"{"window":100,"counts":{"paving":7}}"#),
    (
        "usage",
        "counts/0",
        r#"[{"window":101,"life":5,"is_final":true,"counts":[[9,30]]}]"#,
    ),
    ("streams", "versions", "[[1,2],[3,4]]"),
    ("streams", "open/b/1/00000001", "12bytes-long"),
    (
        "rollouts",
        "desk",
        r#"{"target":"v2","order":4,"since":5,"duration_ms":6,"state":"running","fencing":7}"#,
    ),
];

/// Sound values of the tables that others write.
const REGISTRATION: &str = r#"{"service":"desk","version":"v1","address":"10.0.0.8:80","zone":"east","slots":8,
    "state":"ready","born":1772997287021,"cold_remaining_ms":0,"spot":false,"leaves_ms":null,"sequence":4}"#;
const ORDER: &str = r#"{"service":"desk","target":"v2","duration_s":30}"#;

/// `Damage` is what becomes of a sound value.
#[derive(Debug, Clone)]
enum Damage {
    /// The first token of its kind after a place is replaced.
    Replace(prop::sample::Index, String),
    Truncate(prop::sample::Index),
    Insert(prop::sample::Index, String),
    Whole(Vec<u8>),
}

impl Damage {
    fn apply(&self, sound: &str) -> Vec<u8> {
        let at = |index: &prop::sample::Index| index.index(sound.len());
        match self {
            Self::Whole(bytes) => bytes.clone(),
            Self::Truncate(index) => sound.as_bytes()[..at(index)].to_vec(),
            Self::Insert(index, odd) => [&sound[..at(index)], odd, &sound[at(index)..]]
                .concat()
                .into_bytes(),
            Self::Replace(index, odd) => {
                let is_token = |c: char| c.is_alphanumeric() || c == '"';
                let start = sound[at(index)..].find(is_token).unwrap_or_default() + at(index);
                let rest = &sound[start..];
                let end = rest.find([',', '}', ']', ':']).unwrap_or(rest.len());
                [&sound[..start], odd, &rest[end..]].concat().into_bytes()
            }
        }
    }
}

fn odd_token() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("1e999".to_owned()),
        Just("-1".to_owned()),
        Just("18446744073709551616".to_owned()),
        Just("4294967296".to_owned()),
        Just("null".to_owned()),
        Just("{}".to_owned()),
        Just(r#""\u0000""#.to_owned()),
        Just(format!("\"{}\"", "x".repeat(300))),
        (1_usize..100_000).prop_map(|depth| "[".repeat(depth) + &"]".repeat(depth)),
        (1_usize..100_000).prop_map(|depth| r#"{"a":"#.repeat(depth)),
    ]
}

fn damage() -> impl Strategy<Value = Damage> {
    let place = any::<prop::sample::Index>;
    prop_oneof![
        (place(), odd_token()).prop_map(|(at, odd)| Damage::Replace(at, odd)),
        (place(), odd_token()).prop_map(|(at, odd)| Damage::Insert(at, odd)),
        place().prop_map(Damage::Truncate),
        prop::collection::vec(any::<u8>(), 0..60).prop_map(Damage::Whole),
    ]
}

fn odd_key() -> impl Strategy<Value = String> {
    prop_oneof![
        Just(String::new()),
        Just("x".repeat(200)),
        Just("\u{0}\u{7f}".to_owned()),
        "[ -~]{1,20}",
    ]
}

async fn put(table: &MemoryTable, name: &'static str, key: &str, value: Vec<u8>) {
    let write = Write {
        key: RowKey::new(TableName(name), key),
        condition: Condition::Always,
        mutation: Mutation::Put(Bytes::from(value)),
    };
    let written = table.write(vec![write]).await;
    assert!(matches!(written, WriteOutcome::Done(_)), "{written:?}");
}

/// Reads all tables as the parts of a node do. Returns how much of the sound rows was read, by row.
async fn read_all(table: &Arc<MemoryTable>) -> [usize; SOUND.len()] {
    let shared: Arc<dyn Table> = table.clone();
    let row = NodeRow {
        zone: AvailabilityZone::try_new("east").expect("valid zone"),
        peers: "10.0.0.9:7946".parse().expect("an address"),
        incarnation: Incarnation(1),
    };
    let node = NodeId::try_new("a").expect("valid id");
    let nodes = NodeDirectory::new(shared.clone(), node, row).read().await;
    let nodes = nodes.expect("the table answers");
    let duties = ServiceId::try_new("duties").expect("valid id");
    let leases = LeaseStore::new(shared.clone(), LeaseOptions::default());
    let lease = leases.look_up(&duties).await;
    let log = UsageLog::new(
        shared.clone(),
        RetryOptions::default(),
        EraView::without_eras(),
    );
    let report = log.read(100).await;
    let (_, counts) = log.open_counts().await.expect("the table answers");
    let streams = StreamDirectory::new(shared.clone()).read().await;
    let streams = streams.expect("the table answers");
    let rollouts = RolloutLog::new(shared, RetryOptions::default());
    let rollouts = rollouts.read_all().await.expect("the table answers");
    let is_sound = |node: &NodeId| node.as_str() == "b";
    [
        nodes.others.iter().filter(|(id, _)| is_sound(id)).count(),
        nodes.quarantined.len(),
        usize::from(nodes.features.is_some()),
        usize::from(matches!(lease, Ok(Some(_)))),
        usize::from(matches!(report, Ok(Some(_)))),
        counts.len(),
        streams.versions.map_or(0, |versions| versions.len()),
        streams.origins.len(),
        rollouts
            .iter()
            .filter(|(id, _)| id.as_str() == "desk")
            .count(),
    ]
}

async fn sound_tables() -> Arc<MemoryTable> {
    let table = Arc::new(MemoryTable::default());
    for (name, key, value) in SOUND {
        put(&table, name, key, value.as_bytes().to_vec()).await;
    }
    table
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // Guards against a reader that ends the process or loses sound rows for a row that is damaged, or has an odd key.
    #[test]
    fn a_damaged_row_costs_no_other_row(
        damaged in 0..SOUND.len(),
        damage in damage(),
        key in odd_key(),
    ) {
        let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
        let (sound, read) = runtime.block_on(async {
            let table = sound_tables().await;
            let sound = read_all(&table).await;
            let (name, sound_key, value) = SOUND[damaged];
            put(&table, name, sound_key, damage.apply(value)).await;
            put(&table, name, &key, damage.apply(value)).await;
            (sound, read_all(&table).await)
        });

        for row in (0..SOUND.len()).filter(|row| *row != damaged) {
            // A row with an odd key may add to what a listing finds, and takes nothing away.
            prop_assert!(read[row] >= sound[row], "row {row} of {SOUND:?}: {read:?} after {sound:?}");
        }
    }

    // Guards against entries of others that end the process.
    #[test]
    fn damaged_entries_of_others_do_not_panic(damage in damage(), key in odd_key()) {
        let configuration = relay_support::configuration(7).to_string();
        let _ = read_registration(&key, &damage.apply(REGISTRATION));
        let _ = read_registration("i-1", &damage.apply(REGISTRATION));
        let _ = read_rollout_order("rollout/desk", &damage.apply(ORDER));
        let _ = read_configuration(&damage.apply(&configuration));
    }
}

// Shows that the readers find all sound rows, so that the checks above compare with something.
#[tokio::test(start_paused = true)]
async fn sound_rows_are_read() {
    let table = sound_tables().await;

    let read = read_all(&table).await;

    assert!(read.iter().all(|count| *count > 0), "{read:?}");
}

/// Returns odd rows of all tables that a node reads, as `table key value`.
fn odd_rows() -> Vec<(&'static str, String, String)> {
    let nested = "[".repeat(20_000) + &"]".repeat(20_000);
    let mut rows = Vec::new();
    for (table, key) in [
        ("servers", "i-odd"),
        ("op", "odd"),
        ("op", "rollout/odd"),
        ("nodes", "odd"),
        ("nodes", "!quarantine"),
        ("usage", "counts/0"),
        ("usage", "counts/!"),
        ("streams", "versions"),
        ("streams", "open/odd"),
        ("rollouts", "odd"),
        ("lease", "duties"),
    ] {
        for (n, value) in [&nested, r#"{"slots":1e999}"#, "null", ""]
            .iter()
            .enumerate()
        {
            rows.push((table, format!("{key}-{n}"), (*value).to_owned()));
        }
        rows.push((table, key.to_owned(), nested.clone()));
    }
    rows
}

// Guards against a node that ends, stops to follow a table or gives up its duties for odd rows, whether they are there
// at its start or come while it runs.
#[tokio::test]
async fn a_node_serves_and_performs_its_duties_beside_odd_rows() {
    let ok = ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO);
    let deployment = start_deployment(1, ok.clone()).await;
    let platform = &deployment.platform;
    let leave_odd_rows = || {
        for (table, key, value) in odd_rows() {
            platform.put_raw(table, &format!("{key}-raw"), value.clone());
            let json = serde_json::from_str(&value).unwrap_or(Value::String(value));
            platform.put(table, &key, &json);
        }
    };
    leave_odd_rows();
    let text = settings("n1", "east", platform.address());
    let node = start_node(&text);
    node.wait_ready().await;
    eventually("a report", async || !platform.usage().is_empty()).await;

    leave_odd_rows();
    let replica = UsersReplica::start("i-late", ok)
        .await
        .expect("a free port");
    register(platform, "i-late", &replica);
    let reported = platform.usage().len();

    eventually("the new replica", async || {
        let lines = node.lines_of("replica registered");
        lines.iter().any(|line| line["upstream"] == json!("i-late"))
    })
    .await;
    eventually("another report", async || platform.usage().len() > reported).await;
    for n in 0..10 {
        let answer = node.ask(Method::GET, "/look/1", &format!("r{n}")).await;
        assert_eq!(answer.expect("an answer").0, StatusCode::OK);
    }
    assert!(node.is_ready().await);
}
