//! Settings of a node that relays requests between an operator's callers and replicas.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, FromStr};
use verbenahead_core::{
    AvailabilityZone, NodeId,
    document::{self, Node, Object},
    findings::Findings,
    units::ByteSize,
};

use super::{listeners::parse_address, platform::check_port, read_log};

const RELAY_KEYS: &[&str] = &[
    "mode",
    "node",
    "availability_zone",
    "listeners",
    "platform",
    "promises",
    "retries",
    "quotas",
    "usage",
    "limits",
    "log",
];
const LISTENER_KEYS: &[&str] = &["callers", "readiness", "peers", "metrics"];
const PLATFORM_KEYS: &[&str] = &[
    "kind",
    "store",
    "duties",
    "writes_per_second",
    "reads_per_second",
];
const PROMISE_KEYS: &[&str] = &[
    "apply_ms", "drain_ms", "calm_ms", "grace_s", "lease_ms", "pass_ms",
];
const RETRY_KEYS: &[&str] = &["ratio", "window_s", "extra"];
const QUOTA_KEYS: &[&str] = &["window_s", "overage", "slack"];
const USAGE_KEYS: &[&str] = &["window_s", "late_s"];
const LIMIT_KEYS: &[&str] = &["memory_mib", "descriptors"];

/// Names of the adapters that there are.
const KINDS: &[&str] = &["users"];

/// Longest time that settings may state, in milliseconds.
const MAX_MS: u64 = 3_600_000;

/// Shortest time that settings may state, in seconds.
const MIN_SECONDS: f64 = 0.001;

/// Longest time that settings may state, in seconds.
const MAX_SECONDS: f64 = 3_600.0;

/// Largest number that settings may state.
const MAX_COUNT: u64 = 1_000_000_000_000;

const MIB: u64 = 1024 * 1024;

/// `RelaySettings` are what a relaying node knows at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Addresses on which the node listens.
    pub listeners: RelayListeners,
    /// The platform.
    pub platform: RelayPlatform,
    /// What the deployment promises its users.
    pub promises: Promises,
    /// Bound on repeated requests.
    pub retries: RetryBound,
    /// Bound on what the parts of a quota may add up to.
    pub quotas: QuotaBound,
    /// Reports of usage.
    pub usage: UsageSettings,
    /// Bounds of the process.
    pub limits: ProcessLimits,
    /// Filter of the log lines, in the syntax of `tracing-subscriber`.
    pub log: String,
}

/// `RelayListeners` are the addresses of the listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayListeners {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the node is ready.
    pub readiness: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// `RelayPlatformKind` names the adapter that speaks to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum RelayPlatformKind {
    /// The platform of the project's first users.
    Users,
}

/// `RelayPlatform` says how the platform is reached.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelayPlatform {
    /// Adapter to use.
    pub kind: RelayPlatformKind,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the calls that one node makes for all, if there are such.
    pub duties: Option<SocketAddr>,
    /// Writing calls that all nodes may make per second.
    pub writes_per_second: f64,
    /// Reading calls that all nodes may make per second.
    pub reads_per_second: f64,
}

/// `Promises` are the times that the deployment promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promises {
    /// Time in which an accepted configuration is in force.
    pub apply: Duration,
    /// Time after which a leaving replica gets no new work.
    pub drain: Duration,
    /// Time after an outage from which the promises hold again.
    pub calm: Duration,
    /// Time from the request to stop to the end of the process.
    pub grace: Duration,
    /// Time in which no two nodes may act for the deployment in turn.
    pub lease: Duration,
    /// Time in which an event of a stream is passed on.
    pub pass: Duration,
}

/// `RetryBound` limits the requests that reach a service more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Repeats as a part of the requests.
    pub ratio: f64,
    /// Window in which they are counted.
    pub window: Duration,
    /// Repeats that are allowed besides, over all nodes.
    pub extra: f64,
}

/// `QuotaBound` limits what nodes together let pass.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBound {
    /// Window in which use is counted.
    pub window: Duration,
    /// Part by which the quota may be exceeded.
    pub overage: f64,
    /// Units by which it may be exceeded besides.
    pub slack: f64,
}

/// `UsageSettings` say how usage is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a window.
    pub window: Duration,
    /// Time from the end of a window in which its report is due.
    pub late: Duration,
}

/// `ProcessLimits` bound the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory.
    pub memory: ByteSize,
    /// File descriptors.
    pub descriptors: u64,
}

impl RelaySettings {
    /// Reads and checks settings in JSON with comments. `file` names the text in findings.
    ///
    /// # Errors
    ///
    /// All findings, each with its line, column and path.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        document::read(file, text, read)
    }
}

fn read(node: &Node<'_>) -> Option<RelaySettings> {
    let object = node.object(RELAY_KEYS)?;
    let mode = object
        .required("mode")
        .and_then(|node| node.choice::<String>(&["relay"]));
    let id = object.required("node").and_then(|node| node.parse());
    let zone = object
        .required("availability_zone")
        .and_then(|node| node.parse());
    let section = |key| object.required(key);
    let listeners = section("listeners").and_then(|node| read_listeners(&node));
    let platform = section("platform").and_then(|node| read_platform(&node));
    let promises = section("promises").and_then(|node| read_promises(&node));
    let retries = section("retries").and_then(|node| read_retries(&node));
    let quotas = section("quotas").and_then(|node| read_quotas(&node));
    let usage = section("usage").and_then(|node| read_usage(&node));
    let limits = section("limits").and_then(|node| read_limits(&node));
    let log = read_log(&object);
    mode?;
    Some(RelaySettings {
        node: id?,
        zone: zone?,
        listeners: listeners?,
        platform: platform?,
        promises: promises?,
        retries: retries?,
        quotas: quotas?,
        usage: usage?,
        limits: limits?,
        log: log?,
    })
}

fn read_listeners(node: &Node<'_>) -> Option<RelayListeners> {
    let object = node.object(LISTENER_KEYS)?;
    let address = |key| parse_address(&object.required(key)?);
    let callers = address("callers");
    let readiness = address("readiness");
    let peers = address("peers");
    let metrics = address("metrics");
    let listeners = RelayListeners {
        callers: callers?,
        readiness: readiness?,
        peers: peers?,
        metrics: metrics?,
    };
    let mut all = vec![
        listeners.callers,
        listeners.readiness,
        listeners.peers,
        listeners.metrics,
    ];
    all.retain(|address| address.port() != 0);
    all.sort_unstable();
    if all.windows(2).any(|pair| pair[0] == pair[1]) {
        node.report("two listeners have the same address");
        return None;
    }
    Some(listeners)
}

fn read_platform(node: &Node<'_>) -> Option<RelayPlatform> {
    let object = node.object(PLATFORM_KEYS)?;
    let remote = |node: &Node<'_>| {
        let address = parse_address(node)?;
        check_port(node, address);
        Some(address)
    };
    let kind = object.required("kind").and_then(|node| node.choice(KINDS));
    let store = object.required("store").and_then(|node| remote(&node));
    let duties = object.read_optional("duties", |node| remote(node));
    let writes = number(&object, "writes_per_second");
    let reads = number(&object, "reads_per_second");
    Some(RelayPlatform {
        kind: kind?,
        store: store?,
        duties: duties?,
        writes_per_second: writes?,
        reads_per_second: reads?,
    })
}

fn read_promises(node: &Node<'_>) -> Option<Promises> {
    let object = node.object(PROMISE_KEYS)?;
    let apply = time(&object, "apply_ms");
    let drain = time(&object, "drain_ms");
    let calm = time(&object, "calm_ms");
    let grace = seconds(&object, "grace_s");
    let lease = time(&object, "lease_ms");
    let pass = time(&object, "pass_ms");
    Some(Promises {
        apply: apply?,
        drain: drain?,
        calm: calm?,
        grace: grace?,
        lease: lease?,
        pass: pass?,
    })
}

fn read_retries(node: &Node<'_>) -> Option<RetryBound> {
    let object = node.object(RETRY_KEYS)?;
    let ratio = number(&object, "ratio");
    let window = seconds(&object, "window_s");
    let extra = number(&object, "extra");
    Some(RetryBound {
        ratio: ratio?,
        window: window?,
        extra: extra?,
    })
}

fn read_quotas(node: &Node<'_>) -> Option<QuotaBound> {
    let object = node.object(QUOTA_KEYS)?;
    let window = seconds(&object, "window_s");
    let overage = number(&object, "overage");
    let slack = number(&object, "slack");
    Some(QuotaBound {
        window: window?,
        overage: overage?,
        slack: slack?,
    })
}

fn read_usage(node: &Node<'_>) -> Option<UsageSettings> {
    let object = node.object(USAGE_KEYS)?;
    let window = seconds(&object, "window_s");
    let late = seconds(&object, "late_s");
    Some(UsageSettings {
        window: window?,
        late: late?,
    })
}

fn read_limits(node: &Node<'_>) -> Option<ProcessLimits> {
    let object = node.object(LIMIT_KEYS)?;
    let memory = count(&object, "memory_mib");
    let descriptors = count(&object, "descriptors");
    Some(ProcessLimits {
        memory: ByteSize(memory?.saturating_mul(MIB)),
        descriptors: descriptors?,
    })
}

fn time(object: &Object<'_>, key: &'static str) -> Option<Duration> {
    object
        .required(key)
        .and_then(|node| node.millis(1..=MAX_MS))
}

fn seconds(object: &Object<'_>, key: &'static str) -> Option<Duration> {
    let seconds = object
        .required(key)
        .and_then(|node| node.decimal(MIN_SECONDS..=MAX_SECONDS))?;
    Some(Duration::from_secs_f64(seconds))
}

fn count(object: &Object<'_>, key: &'static str) -> Option<u64> {
    object
        .required(key)
        .and_then(|node| node.integer(1..=MAX_COUNT))
}

fn number(object: &Object<'_>, key: &'static str) -> Option<f64> {
    object
        .required(key)
        .and_then(|node| node.decimal(0.0..=MAX_COUNT as f64))
}
