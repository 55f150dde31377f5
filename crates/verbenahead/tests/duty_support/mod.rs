//! Nodes that perform the duties over one table in memory, in virtual time. Each node has a link to the table
//! that a test can cut.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep},
};
use verbenahead::relay_node::{
    duties::Duties, duty_lease::DutyLease, fleet_duty::FleetDutyParts,
    history_keeper::HistoryKeeper, reporter::NodeStatus, usage_counts::UsageCounts,
    usage_duty::UsageDutyParts,
};
use verbenahead_core::{
    AvailabilityZone, FeatureLevel, Generation, Incarnation, NodeId, ServiceId, WorkspaceId,
    time::UnixMillis, units::ByteSize,
};
use verbenahead_manifest::{CallerLimits, FleetBounds, RouteTable, RoutedService, RoutedWorkspace};
use verbenahead_membership::{
    NameKey, NodeReport, Roster, RosterOptions, SharedRoster, WindowCounts,
};
use verbenahead_policy::RepeatBudgetOptions;
use verbenahead_relay::{
    AgreedClock, ReplicaSelector, UpstreamRegistry, UsageOptions, UsageTracker,
};
use verbenahead_services::{
    Condition, DutyHolder, DutyOutcome, EraView, FleetOrders, MemoryTable, Mutation, ReplicaOrder,
    Result, Row, RowKey, SeenEra, StoreEra, Table, TableName, UsageReport, UsageReports, Write,
    WriteOutcome,
};
use verbenahead_state::{
    RetryOptions, UsageLog,
    lease::{LEASE_TABLE, LeaseOptions, LeaseStore, RestoreGuard},
    usage_log::USAGE_TABLE,
};

/// Term of the lease.
pub const TERM: Duration = Duration::from_secs(3);

/// Length of a usage window.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Time within which a usage report is due. It outlasts every outage of these tests.
const REPORT_DUE: Duration = Duration::from_secs(60);

/// `RecordedCall` is a call to the platform as it arrived there.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedCall {
    /// Caller and its fencing number.
    pub holder: DutyHolder,
    /// Content of the call.
    pub content: CallContent,
}

/// `CallContent` is what a call asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum CallContent {
    Usage(UsageReport),
    Order(ReplicaOrder),
}

/// `RecordingPlatform` accepts every call and records it.
#[derive(Debug, Default)]
pub struct RecordingPlatform(Mutex<Vec<RecordedCall>>);

impl RecordingPlatform {
    pub fn calls(&self) -> Vec<RecordedCall> {
        let calls = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    /// Returns the calls of one node.
    pub fn calls_of(&self, node: &str) -> Vec<RecordedCall> {
        let mut calls = self.calls();
        calls.retain(|call| call.holder.node.as_str() == node);
        calls
    }

    fn record(&self, holder: &DutyHolder, content: CallContent) -> DutyOutcome {
        let mut calls = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(RecordedCall {
            holder: holder.clone(),
            content,
        });
        DutyOutcome::Accepted
    }
}

#[async_trait]
impl UsageReports for RecordingPlatform {
    async fn report_usage(&self, report: &UsageReport, holder: &DutyHolder) -> DutyOutcome {
        self.record(holder, CallContent::Usage(report.clone()))
    }
}

#[async_trait]
impl FleetOrders for RecordingPlatform {
    async fn order(&self, order: &ReplicaOrder, holder: &DutyHolder) -> DutyOutcome {
        self.record(holder, CallContent::Order(order.clone()))
    }
}

/// `LinkState` tells which calls of a node reach the table. The others wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    Up,
    /// Calls about usage wait; those about the lease pass.
    UsageHeld,
    Cut,
}

/// `LinkedTable` is the table behind the link of one node. Its answers tell the node of the era.
pub struct LinkedTable {
    table: Arc<MemoryTable>,
    link: watch::Receiver<LinkState>,
    era: Arc<AtomicU64>,
    seen: watch::Sender<Option<SeenEra>>,
}

impl LinkedTable {
    fn notice(&self) {
        let era = StoreEra(self.era.load(Ordering::Relaxed));
        self.seen.send_if_modified(|seen| {
            let is_new = seen.is_none_or(|seen| seen.era < era);
            if is_new {
                let since = Instant::now();
                *seen = Some(SeenEra { era, since });
            }
            is_new
        });
    }

    async fn pass(&self, table: TableName) {
        let passes = |state: &LinkState| match state {
            LinkState::Up => true,
            LinkState::UsageHeld => table != USAGE_TABLE,
            LinkState::Cut => false,
        };
        let mut link = self.link.clone();
        if link.wait_for(passes).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

#[async_trait]
impl Table for LinkedTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.pass(key.table).await;
        let row = self.table.read(key).await;
        self.notice();
        row
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        self.pass(table).await;
        let rows = self.table.list(table, prefix, after, limit).await;
        self.notice();
        rows
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        if let Some(first) = writes.first() {
            self.pass(first.key.table).await;
        }
        let outcome = self.table.write(writes).await;
        self.notice();
        outcome
    }
}

/// `Deployment` is the platform that the nodes share.
#[derive(Default)]
pub struct Deployment {
    pub platform: Arc<RecordingPlatform>,
    pub table: Arc<MemoryTable>,
    era: Arc<AtomicU64>,
    /// Time on which the nodes agree.
    clock: Arc<AgreedClock>,
    routes: Option<watch::Sender<Option<Arc<RouteTable>>>>,
}

/// `Copy` holds the rows of the duties at one moment.
pub struct Copy(Vec<(RowKey, Row)>);

/// `DutyNode` is a node that performs the duties when it holds the lease.
pub struct DutyNode {
    pub link: watch::Sender<LinkState>,
    pub roster: SharedRoster,
    pub status: Arc<NodeStatus>,
    usage: Arc<UsageTracker>,
    closed: mpsc::Sender<()>,
    task: JoinHandle<()>,
}

impl DutyNode {
    /// Counts requests that begin to run now.
    pub fn count_runs(&self, count: usize) {
        (0..count).for_each(|_| self.usage.count_run(&workspace()));
    }

    /// Ends the node without a word.
    pub async fn kill(self) {
        self.link.send_replace(LinkState::Cut);
        self.task.abort();
        let _ = self.task.await;
    }

    /// Stops the duties and waits until the lease is released.
    pub async fn stop(self) {
        drop(self.closed);
        self.task.await.expect("the duties end");
    }
}

impl Deployment {
    /// Copies the rows that holders of the duties write.
    pub async fn copy(&self) -> Copy {
        let mut rows = Vec::new();
        for table in [USAGE_TABLE, LEASE_TABLE] {
            let listed = self.table.list(table, "", None, 500).await;
            let listed = listed.expect("the table answers");
            rows.extend(
                listed
                    .into_iter()
                    .map(|(key, row)| (RowKey::new(table, key), row)),
            );
        }
        Copy(rows)
    }

    /// Lets the table come back from a copy. Nodes learn of it with the next answer.
    pub async fn restore(&self, copy: Copy) {
        let present = self.copy().await;
        let write = |key: RowKey, mutation| Write {
            key,
            condition: Condition::Always,
            mutation,
        };
        let drop = present
            .0
            .into_iter()
            .map(|(key, _)| write(key, Mutation::Delete));
        let put = copy
            .0
            .into_iter()
            .map(|(key, row)| write(key, Mutation::Put(row.value)));
        for writes in [drop.collect::<Vec<_>>(), put.collect()] {
            let outcome = self.table.write(writes).await;
            assert!(matches!(outcome, WriteOutcome::Done(_)), "{outcome:?}");
        }
        self.era.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current window.
    pub fn current_window(&self) -> u64 {
        UsageTracker::new(usage_options(), Arc::clone(&self.clock)).current_window()
    }

    /// Starts the duties of a node that knows of no other one.
    pub fn start(&mut self, name: &str) -> DutyNode {
        let node = node_id(name);
        let incarnation = Incarnation(1);
        let (link, link_rx) = watch::channel(LinkState::Up);
        let seen = watch::Sender::new(None);
        let eras = EraView::new(seen.subscribe());
        let table: Arc<dyn Table> = Arc::new(LinkedTable {
            table: Arc::clone(&self.table),
            link: link_rx,
            era: Arc::clone(&self.era),
            seen,
        });
        let tracker = Arc::new(UsageTracker::new(usage_options(), Arc::clone(&self.clock)));
        let routes = self
            .routes
            .get_or_insert_with(|| watch::Sender::new(Some(Arc::new(routes(Generation(1))))))
            .subscribe();
        let roster = SharedRoster::new(Roster::new(node.clone(), RosterOptions::default()));
        let registry = Arc::new(UpstreamRegistry::default());
        let selector = ReplicaSelector::new(zone(), Arc::clone(&registry));
        let status = Arc::new(NodeStatus::default());
        status.set_reaches_store(true);
        let (lease, lease_task) = DutyLease::spawn(
            Arc::clone(&table),
            RestoreGuard::new(eras.clone()),
            TERM,
            node.clone(),
            incarnation,
            roster.clone(),
            Arc::clone(&status),
        );
        let log = UsageLog::new(table, patient(), eras);
        let usage = UsageDutyParts {
            counts: UsageCounts::new(
                &node,
                incarnation,
                Arc::clone(&tracker),
                roster.clone(),
                routes.clone(),
            ),
            history: HistoryKeeper::new(log.clone(), Arc::default()),
            log,
            reports: Arc::clone(&self.platform) as Arc<dyn UsageReports>,
            report_due: REPORT_DUE,
        };
        let duties = Duties {
            node,
            lease,
            lease_task,
            status: Arc::clone(&status),
            usage,
            fleet: FleetDutyParts {
                routes,
                registry,
                replica_selector: Arc::new(selector),
                roster: roster.clone(),
                orders: Arc::clone(&self.platform) as Arc<dyn FleetOrders>,
                started_at: Instant::now(),
            },
            rollouts: None,
        };
        let (closed, closed_rx) = mpsc::channel(1);
        DutyNode {
            link,
            roster,
            status,
            usage: tracker,
            closed,
            task: tokio::spawn(duties.run(closed_rx)),
        }
    }
}

/// Returns retries that wait for a call however long it takes.
fn patient() -> RetryOptions {
    RetryOptions {
        deadline: Duration::from_secs(120),
        call_timeout: Duration::from_secs(120),
        ..RetryOptions::default()
    }
}

fn usage_options() -> UsageOptions {
    UsageOptions {
        retries: RepeatBudgetOptions::default(),
        usage_window: WINDOW,
        usage_report_due: REPORT_DUE,
    }
}

/// Returns routes with the service and the workspace of these tests.
pub fn routes(generation: Generation) -> RouteTable {
    let fleet = FleetBounds {
        min: 1,
        max: 4,
        // Longer than a test, so that no order is repeated for lack of its replicas.
        boot_time: Duration::from_secs(600),
        reclaimable_price: None,
        zone_prices: BTreeMap::from([(zone(), 1.0)]),
    };
    let services = vec![RoutedService {
        id: ServiceId::try_new("desk").expect("valid id"),
        health_path: "/health".to_owned(),
        max_connections: 100,
        engine: None,
        fleet: Some(fleet),
    }];
    let workspaces = vec![RoutedWorkspace {
        id: workspace(),
        key_digests: Vec::new(),
        rank: None,
        quota: None,
    }];
    let limits = CallerLimits {
        max_header: ByteSize(16_384),
        max_body: ByteSize(100_000),
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(generation, Vec::new(), services, workspaces, limits)
}

pub fn workspace() -> WorkspaceId {
    WorkspaceId::try_new("paving").expect("valid id")
}

pub fn zone() -> AvailabilityZone {
    AvailabilityZone::try_new("east").expect("valid zone")
}

fn node_id(name: &str) -> NodeId {
    NodeId::try_new(name).expect("valid id")
}

/// Returns a report of a node that does not reach the store. It ran `count` requests in a window and none in
/// those before.
pub fn report_of(name: &str, window: u64, count: u64) -> NodeReport {
    NodeReport {
        node: node_id(name),
        zone: zone(),
        incarnation: Incarnation(1),
        sequence: 1,
        clock: UnixMillis::now(),
        agreed: None,
        generation: Generation(1),
        replicas_as_of: 0,
        reported_window: 0,
        features: FeatureLevel::UNSTATED,
        is_leaving: false,
        reaches_store: false,
        held_lease: None,
        work: Vec::new(),
        demand: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        quarantined: Vec::new(),
        windows: (window - 40..=window)
            .map(|earlier| WindowCounts {
                window: earlier,
                is_final: true,
                counts: match earlier == window {
                    true => vec![(NameKey::from(&workspace()), count)],
                    false => Vec::new(),
                },
            })
            .collect(),
        rollout_counts: Vec::new(),
    }
}

/// Address of a node that only sends reports.
pub const OTHER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7);

/// Waits in virtual time until `is_done`.
pub async fn until(what: &str, is_done: impl Fn() -> bool) {
    for _ in 0..600 {
        if is_done() {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("{what} did not come within 30 s");
}

/// Returns whether the last holder of the lease has released it.
pub async fn is_lease_released(table: &Arc<MemoryTable>) -> bool {
    let store = LeaseStore::new(Arc::clone(table) as Arc<dyn Table>, LeaseOptions::default());
    let lease = ServiceId::try_new("duties").expect("valid id");
    let record = store.look_up(&lease).await.expect("the table answers");
    record.expect("a row").is_released
}
