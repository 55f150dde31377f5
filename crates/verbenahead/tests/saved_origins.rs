//! Tests of the origins of open streams that nodes keep in the platform's table while several software versions
//! serve, in virtual time. Failure pattern: all nodes end at once, and no caller's stream goes on.

#[path = "../../relay/tests/network_support/mod.rs"]
mod network_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use network_support::{Condition, Link, Network, address, node_id, service};
use rstest::rstest;
use tokio::{
    sync::watch,
    task::{JoinSet, yield_now},
    time::{Instant, sleep},
};
use verbenahead::relay_node::{
    origin_keeper::{self, OriginKeeperParts},
    stream_directory::{SavedStreams, StreamDirectory},
};
use verbenahead_core::{AvailabilityZone, Incarnation, UpstreamId};
use verbenahead_membership::{
    NameKey, OriginMessage, Roster, RosterOptions, SharedRoster, StreamKey,
};
use verbenahead_relay::{
    OpenStream, OriginTransport, StreamOrigins, StreamOriginsOptions, UpstreamRegistry,
};
use verbenahead_services::{
    Market, Mutation, ReplicaRecord, ReplicaState, Result, Row, RowKey, Table, TableName, Write,
    WriteOutcome,
    memory::{MemoryTable, TableFaults},
};

/// Longest time for which a stream lasts.
const PERIOD: Duration = Duration::from_secs(20);

/// Time within which a stream that began is in the table, while the table answers.
const WRITTEN_WITHIN: Duration = Duration::from_millis(500);

/// Time between two streams that begin.
const STREAM_INTERVAL: Duration = Duration::from_millis(2);

const ZONES: usize = 4;

/// Delay of a call to the table.
const TABLE_DELAY: Duration = Duration::from_millis(15);

/// Limit of the table on writes a second, for all purposes, at the smallest deployments.
const MAX_WRITES_PER_SECOND: usize = 400;

/// `CountingTable` counts the writes of a table and their bytes.
#[derive(Default)]
struct CountingTable {
    table: MemoryTable,
    writes: AtomicUsize,
    bytes: AtomicUsize,
    largest: AtomicUsize,
}

#[async_trait]
impl Table for CountingTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.table.read(key).await
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        self.table.list(table, prefix, after, limit).await
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        self.writes.fetch_add(1, Ordering::Relaxed);
        for write in &writes {
            if let Mutation::Put(value) = &write.mutation {
                let chars = value.len().div_ceil(3) * 4;
                self.bytes.fetch_add(chars, Ordering::Relaxed);
                self.largest.fetch_max(chars, Ordering::Relaxed);
            }
        }
        self.table.write(writes).await
    }
}

/// `CountingLink` counts the messages and the bytes of one node.
struct CountingLink {
    link: Link<OriginMessage>,
    bytes: Arc<AtomicUsize>,
}

impl OriginTransport for CountingLink {
    fn send(&self, to: &[SocketAddr], message: &OriginMessage) {
        let encoded = verbenahead_peer::encode_origin(message);
        let bytes = to.len() * (encoded.len() + 28);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        for address in to {
            self.link.carry(*address, message.clone());
        }
    }
}

struct Deployment {
    nodes: Vec<Arc<StreamOrigins>>,
    network: Arc<Network<OriginMessage>>,
    table: Arc<CountingTable>,
    registry: Arc<UpstreamRegistry>,
    bytes: Arc<AtomicUsize>,
    restores: watch::Sender<u64>,
    keepers: Vec<JoinSet<()>>,
}

fn zone(node: usize) -> AvailabilityZone {
    AvailabilityZone::try_new(format!("zone-{}", node % ZONES)).expect("valid zone")
}

fn roster(node: usize, count: usize) -> SharedRoster {
    let mut roster = Roster::new(node_id(node), RosterOptions::default());
    for other in (0..count).filter(|other| *other != node) {
        roster.add_listed(node_id(other), address(other), zone(other));
    }
    SharedRoster::new(roster)
}

fn add_replica(registry: &UpstreamRegistry, id: &str, version: &str) {
    registry.apply(&ReplicaRecord {
        id: UpstreamId::try_new(id).expect("valid id"),
        incarnation: Incarnation(1),
        service: service(),
        software: version.into(),
        zone: zone(0),
        address: SocketAddr::from(([10, 0, 1, 1], 80)),
        state: ReplicaState::Ready,
        slots: 8,
        warm_up: Duration::ZERO,
        market: Market::OnDemand,
    });
}

/// Starts nodes over a new table, before replicas of the given versions.
fn start(count: usize, versions: &[&str]) -> Deployment {
    let table = Arc::new(CountingTable::default());
    table.table.set_faults(TableFaults {
        delay: TABLE_DELAY,
        ..TableFaults::default()
    });
    start_over(table, count, versions, 1)
}

/// Starts nodes over a table. `incarnation` is that of all nodes.
fn start_over(
    table: Arc<CountingTable>,
    count: usize,
    versions: &[&str],
    incarnation: u64,
) -> Deployment {
    let registry = Arc::new(UpstreamRegistry::default());
    for version in versions {
        add_replica(&registry, version, version);
    }
    let mut deployment = Deployment {
        nodes: Vec::new(),
        network: Network::new(count, incarnation),
        table,
        registry,
        bytes: Arc::default(),
        restores: watch::Sender::new(0),
        keepers: Vec::new(),
    };
    for node in 0..count {
        add_node(&mut deployment, node, count, incarnation);
    }
    deployment
}

fn add_node(deployment: &mut Deployment, node: usize, count: usize, incarnation: u64) {
    let link = CountingLink {
        link: Link {
            from: node,
            network: Arc::clone(&deployment.network),
        },
        bytes: Arc::clone(&deployment.bytes),
    };
    let roster = roster(node, count);
    let origins = Arc::new(StreamOrigins::new(
        StreamOriginsOptions::default(),
        node_id(node),
        roster.clone(),
        Arc::new(link),
    ));
    let receiver = Arc::downgrade(&origins);
    deployment
        .network
        .add_receiver(Arc::new(move |message, from| {
            if let Some(origins) = receiver.upgrade() {
                origins.handle(message, from);
            }
        }));
    let mut keeper = JoinSet::new();
    keeper.spawn(origin_keeper::run(OriginKeeperParts {
        node: node_id(node),
        zone: zone(node),
        incarnation: Incarnation(incarnation),
        directory: directory(&deployment.table),
        roster,
        registry: Arc::clone(&deployment.registry),
        origins: Arc::clone(&origins),
        routes: watch::Sender::new(None).subscribe(),
        restores: deployment.restores.subscribe(),
    }));
    deployment.nodes.push(origins);
    deployment.keepers.push(keeper);
}

fn directory(table: &Arc<CountingTable>) -> StreamDirectory {
    StreamDirectory::new(Arc::clone(table) as Arc<dyn Table>)
}

fn version_of(stream: u64) -> NameKey {
    NameKey(7 + (stream % 2) as u32)
}

/// Begins streams through all nodes in turn, one each `STREAM_INTERVAL`.
async fn begin(deployment: &Deployment, streams: std::ops::Range<u64>) {
    for stream in streams {
        begin_one(deployment, stream);
        sleep(STREAM_INTERVAL).await;
    }
}

fn begin_one(deployment: &Deployment, stream: u64) {
    let node = stream as usize % deployment.nodes.len();
    if deployment.network.condition(node) != Condition::Dead {
        deployment.nodes[node].record(OpenStream {
            stream: StreamKey(stream),
            version: version_of(stream),
            service: service(),
            period: PERIOD,
        });
    }
}

/// Ends all nodes at once, also the calls to the table that have not arrived.
async fn end_all(deployment: Deployment) -> Arc<CountingTable> {
    for node in 0..deployment.nodes.len() {
        deployment.network.set_condition(node, Condition::Dead);
    }
    let table = Arc::clone(&deployment.table);
    drop(deployment);
    yield_now().await;
    table
}

async fn saved(table: &Arc<CountingTable>) -> SavedStreams {
    directory(table).read().await.expect("the table answers")
}

/// Starts nodes again and takes all streams up at them. Returns how many have a known version.
async fn known_after_restart(table: Arc<CountingTable>, streams: u64) -> usize {
    let deployment = start_over(table, 3, &["v1", "v2"], 2);
    let mut known = 0;
    for stream in 0..streams {
        let node = &deployment.nodes[stream as usize % 3];
        let version = find(node, StreamKey(stream)).await;
        assert!(version.is_none_or(|version| version == version_of(stream)));
        known += usize::from(version.is_some());
    }
    known
}

/// Returns the version of a stream as a caller finds it that comes again when the table was not read in time.
async fn find(node: &StreamOrigins, stream: StreamKey) -> Option<NameKey> {
    for _ in 0..3 {
        if let Some(version) = node.find(stream).await {
            return Some(version);
        }
        if let Ok(version) = node.find_saved(stream).await {
            return version;
        }
        sleep(Duration::from_millis(700)).await;
    }
    panic!("the table was not read for stream {stream}");
}

/// Guards against LOST after the end of all nodes: only streams of the last moment may be unknown.
#[rstest]
#[tokio::test(start_paused = true)]
async fn streams_outlive_all_nodes_but_for_the_last_moment(
    #[values(3, 19, 132, 330)] nodes: usize,
) {
    const STREAMS: u64 = 2_000;
    let deployment = start(nodes, &["v1", "v2"]);
    begin(&deployment, 0..STREAMS).await;

    let table = end_all(deployment).await;

    let last = WRITTEN_WITHIN.as_millis() / STREAM_INTERVAL.as_millis();
    let known = known_after_restart(table, STREAMS).await;
    assert!(known + last as usize >= STREAMS as usize, "{known}");
}

/// Failure pattern: the rows cost more calls than the table takes, or more control traffic than a node may send.
#[rstest]
#[case::small(19, 1)]
#[case::middle(132, 1)]
#[case::large(330, 1)]
#[case::target(330, 5)]
#[tokio::test(start_paused = true)]
async fn writes_and_messages_are_bounded(#[case] nodes: usize, #[case] streams_at_once: u64) {
    let deployment = start(nodes, &["v1", "v2"]);
    let started = Instant::now();
    for step in 0..5_000 {
        for n in 0..streams_at_once {
            begin_one(&deployment, streams_at_once * step + n);
        }
        sleep(STREAM_INTERVAL).await;
    }

    let seconds = started.elapsed().as_secs_f64();
    let table = &deployment.table;
    let writes = table.writes.load(Ordering::Relaxed) as f64 / seconds;
    let row_bytes = table.bytes.load(Ordering::Relaxed) as f64 / seconds;
    let sent = deployment.bytes.load(Ordering::Relaxed) as f64 / seconds / nodes as f64;
    println!(
        "{nodes} nodes: {writes:.1} writes/s, {row_bytes:.0} B/s in rows, {sent:.0} B/s a node"
    );
    assert!(writes < MAX_WRITES_PER_SECOND as f64 / 8.0, "{writes}");
    assert!(table.largest.load(Ordering::Relaxed) <= 65_536);
    // The part of a node's 2 KB/s that streams may use at this rate, by their number.
    let streams = (5_000 * streams_at_once) as f64 / seconds / nodes as f64;
    assert!(sent <= streams * 4.0 * 50.0 + 20.0, "{sent}");
}

/// While one version serves, nothing is written. When a second one comes, the streams that began before are
/// written too.
#[tokio::test(start_paused = true)]
async fn nothing_is_written_until_a_second_version_serves() {
    let deployment = start(19, &["v1"]);
    begin(&deployment, 0..500).await;
    assert_eq!(deployment.table.writes.load(Ordering::Relaxed), 0);

    add_replica(&deployment.registry, "i-2", "v2");
    sleep(WRITTEN_WITHIN).await;

    let table = end_all(deployment).await;
    assert_eq!(known_after_restart(table, 500).await, 500);
}

/// Failure pattern: the table is away while all nodes end. Nothing joins wrongly, and what was written before is
/// known.
#[rstest]
#[tokio::test(start_paused = true)]
async fn streams_of_an_outage_are_written_after_it_or_unknown(#[values(true, false)] ends: bool) {
    let deployment = start(19, &["v1", "v2"]);
    begin(&deployment, 0..500).await;
    sleep(WRITTEN_WITHIN).await;
    let up = TableFaults {
        delay: TABLE_DELAY,
        ..TableFaults::default()
    };
    let faults = &deployment.table.table;
    faults.set_faults(TableFaults {
        is_down: true,
        ..up
    });
    begin(&deployment, 500..1_000).await;
    if !ends {
        faults.set_faults(up);
        sleep(2 * WRITTEN_WITHIN).await;
    }

    let table = end_all(deployment).await;
    table.table.set_faults(up);

    let expected = if ends { 500 } else { 1_000 };
    assert_eq!(known_after_restart(table, 1_000).await, expected);
}

/// Failure pattern: answers to writes are lost.
#[tokio::test(start_paused = true)]
async fn writes_whose_answers_are_lost_are_repeated() {
    let deployment = start(19, &["v1", "v2"]);
    deployment.table.table.set_faults(TableFaults {
        delay: TABLE_DELAY,
        lost_answers: 20,
        ..TableFaults::default()
    });
    begin(&deployment, 0..500).await;
    sleep(8 * WRITTEN_WITHIN).await;

    let table = end_all(deployment).await;

    assert_eq!(known_after_restart(table, 500).await, 500);
}

/// Failure pattern: the table comes back from a copy without the rows, and the nodes end afterwards.
#[tokio::test(start_paused = true)]
async fn rows_are_written_again_when_the_table_is_older() {
    let deployment = start(19, &["v1", "v2"]);
    begin(&deployment, 0..500).await;
    sleep(WRITTEN_WITHIN).await;
    let rows = saved(&deployment.table).await.origin_rows;
    let deletes = rows.keys().map(|key| Write {
        key: RowKey::new(TableName("streams"), key),
        condition: verbenahead_services::Condition::Always,
        mutation: Mutation::Delete,
    });
    let outcome = deployment.table.table.write(deletes.collect()).await;
    assert!(matches!(outcome, WriteOutcome::Done(_)));

    deployment.restores.send_replace(1);
    sleep(2 * WRITTEN_WITHIN).await;

    let table = end_all(deployment).await;
    assert_eq!(known_after_restart(table, 500).await, 500);
}

/// Failure pattern: one of the two writers of a zone has died, and the others do not know yet.
#[rstest]
#[case::first(0)]
#[case::second(1)]
#[tokio::test(start_paused = true)]
async fn the_other_writer_writes_when_one_is_dead(#[case] rank: usize) {
    let mut deployment = start(19, &["v1", "v2"]);
    let is_writer = |node: &usize| {
        let writers = deployment.nodes[*node].writers(&zone(*node));
        writers.own_rank == Some(rank)
    };
    let dead: Vec<usize> = (0..19).filter(is_writer).collect();
    assert_eq!(dead.len(), ZONES);
    for node in &dead {
        deployment.network.set_condition(*node, Condition::Dead);
        deployment.keepers[*node].abort_all();
    }
    begin(&deployment, 0..500).await;
    sleep(2 * WRITTEN_WITHIN).await;

    let table = end_all(deployment).await;

    let began = (0..500).filter(|n| !dead.contains(&(n % 19))).count();
    assert_eq!(known_after_restart(table, 500).await, began);
}

/// Failure pattern: nodes see different writers, and all of them write.
#[tokio::test(start_paused = true)]
async fn any_node_that_is_told_writes() {
    let deployment = start(19, &["v1", "v2"]);
    for node in 0..19_u64 {
        let origin = verbenahead_membership::StreamOrigin {
            stream: StreamKey(node),
            version: version_of(node),
        };
        let message = OriginMessage::Open(vec![origin]);
        deployment.nodes[node as usize].handle(message, address(0));
    }
    sleep(2 * WRITTEN_WITHIN).await;

    let table = end_all(deployment).await;

    assert_eq!(known_after_restart(table, 19).await, 19);
}

/// Failure pattern: rows of streams that ended, or of nodes that are gone, stay in the table.
#[rstest]
#[tokio::test(start_paused = true)]
async fn rows_are_dropped_when_their_streams_have_ended(#[values(true, false)] is_restarted: bool) {
    // No route is known here, so origins are kept for 600 s and the margin.
    const KEPT: Duration = Duration::from_secs(620);
    let mut deployment = start(19, &["v1", "v2"]);
    begin(&deployment, 0..2_000).await;
    sleep(WRITTEN_WITHIN).await;
    assert!(!saved(&deployment.table).await.origin_rows.is_empty());
    if is_restarted {
        let table = end_all(deployment).await;
        deployment = start_over(table, 19, &["v1", "v2"], 2);
        sleep(Duration::from_secs(90)).await;
    }

    sleep(KEPT).await;

    assert_eq!(saved(&deployment.table).await, SavedStreams::default());
}

/// Failure pattern: each caller whose stream nobody knows costs a read of the table.
#[tokio::test(start_paused = true)]
async fn reads_for_unknown_streams_are_bounded() {
    let deployment = start(3, &["v1", "v2"]);
    let (before, _) = deployment.table.table.call_counts();
    let started = Instant::now();

    for stream in 0..2_000 {
        let origins = Arc::clone(&deployment.nodes[0]);
        tokio::spawn(async move { origins.find_saved(StreamKey(stream)).await });
        sleep(STREAM_INTERVAL).await;
    }

    let (reads, _) = deployment.table.table.call_counts();
    let seconds = started.elapsed().as_secs_f64();
    assert!((reads - before) as f64 <= seconds + 2.0, "{reads}");
}
