//! Settings of a relay node, which relays requests from an operator's callers to replicas.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, FromStr};
use verbenahead_core::{
    AvailabilityZone, NodeId,
    document::{self, Node, Object},
    findings::Findings,
    units::ByteSize,
};
pub use verbenahead_policy::QuotaTolerance;

use super::{listeners::parse_address, platform::check_port, read_log_filter};

const RELAY_KEYS: &[&str] = &[
    "mode",
    "node",
    "availability_zone",
    "listeners",
    "platform",
    "promises",
    "retries",
    "quotas",
    "rollouts",
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
const ROLLOUT_KEYS: &[&str] = &["exposure_share", "exposure_slack", "rollback_ms"];
const USAGE_KEYS: &[&str] = &["window_s", "late_s"];
const LIMIT_KEYS: &[&str] = &["memory_mib", "descriptors"];

/// Names of the platform adapters.
const KINDS: &[&str] = &["users"];

/// Largest accepted duration, in milliseconds.
const MAX_MS: u64 = 3_600_000;

/// Smallest accepted duration, in seconds.
const MIN_SECONDS: f64 = 0.001;

/// Largest accepted duration, in seconds.
const MAX_SECONDS: f64 = 3_600.0;

/// Largest accepted number.
const MAX_COUNT: u64 = 1_000_000_000_000;

const MIB: u64 = 1024 * 1024;

/// `RelaySettings` configure a relay node.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Listen addresses of the node.
    pub listeners: RelayListeners,
    /// Connection to the platform.
    pub platform: RelayPlatformSettings,
    /// Time limits that the deployment guarantees.
    pub promises: Promises,
    /// Limit on retries.
    pub retries: RetryLimit,
    /// Limit on how far the nodes together may exceed a quota.
    pub quotas: QuotaTolerance,
    /// Bounds of rollouts. Without them, the node takes no orders for rollouts.
    pub rollouts: Option<RolloutBounds>,
    /// Windows and deadlines of usage reports.
    pub usage: UsageSettings,
    /// Resource limits of the process.
    pub limits: ProcessLimits,
    /// Log filter, in the syntax of `tracing-subscriber`.
    pub log: String,
}

/// `RelayListeners` are the listen addresses of a relay node. Port 0 binds any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayListeners {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
}

/// `RelayPlatformKind` selects the adapter for the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum RelayPlatformKind {
    /// Adapter for the platform of the project's first users.
    Users,
}

/// `RelayPlatformSettings` configure the connection to the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelayPlatformSettings {
    /// Adapter to use.
    pub kind: RelayPlatformKind,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address for the calls that the lease holder makes for the whole deployment, if there are
    /// any.
    pub duties: Option<SocketAddr>,
    /// Largest number of write calls per second, over all nodes.
    pub writes_per_second: f64,
    /// Largest number of read calls per second, over all nodes.
    pub reads_per_second: f64,
}

/// `Promises` are the time limits that the deployment guarantees (the `promises` section).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promises {
    /// Time from accepting a configuration until it is in force.
    pub apply: Duration,
    /// Time after which a leaving replica gets no new requests.
    pub drain: Duration,
    /// Time after the end of an outage until the guarantees hold again.
    pub calm: Duration,
    /// Time from the stop request until the process ends.
    pub grace: Duration,
    /// Time within which no second node may take over the duties of the deployment.
    pub lease: Duration,
    /// Time within which an event of a stream is forwarded to the caller.
    pub pass: Duration,
}

/// `RetryLimit` bounds the retries, which are requests that reach a service more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Largest ratio of retries to requests.
    pub ratio: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed in addition to the ratio, over all nodes.
    pub extra: f64,
}

/// `RolloutBounds` bound what a rollout to a bad software version may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Largest part of the requests of the service, from the order to its deadline, that the version may get.
    pub exposure_share: f64,
    /// Requests that it may get besides.
    pub exposure_slack: f64,
    /// Time after its 50th bad answer from which it gets none.
    pub rollback: Duration,
}

/// `UsageSettings` say when usage is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a reporting window.
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    pub late: Duration,
}

/// `ProcessLimits` are the resource limits of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Largest memory use.
    pub memory: ByteSize,
    /// Largest number of open file descriptors.
    pub descriptors: u64,
}

impl RelaySettings {
    /// Parses and checks settings in JSON with comments. `file` is the name of the text in
    /// findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line, column and path.
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
    let rollouts = object.read_optional("rollouts", read_rollouts);
    let usage = section("usage").and_then(|node| read_usage(&node));
    let limits = section("limits").and_then(|node| read_limits(&node));
    let log = read_log_filter(&object);
    mode?;
    Some(RelaySettings {
        node: id?,
        zone: zone?,
        listeners: listeners?,
        platform: platform?,
        promises: promises?,
        retries: retries?,
        quotas: quotas?,
        rollouts: rollouts?,
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

fn read_platform(node: &Node<'_>) -> Option<RelayPlatformSettings> {
    let object = node.object(PLATFORM_KEYS)?;
    let remote = |node: &Node<'_>| {
        let address = parse_address(node)?;
        check_port(node, address);
        Some(address)
    };
    let kind = object.required("kind").and_then(|node| node.choice(KINDS));
    let store = object.required("store").and_then(|node| remote(&node));
    let duties = object.read_optional("duties", |node| remote(node));
    let writes = read_decimal(&object, "writes_per_second");
    let reads = read_decimal(&object, "reads_per_second");
    Some(RelayPlatformSettings {
        kind: kind?,
        store: store?,
        duties: duties?,
        writes_per_second: writes?,
        reads_per_second: reads?,
    })
}

fn read_promises(node: &Node<'_>) -> Option<Promises> {
    let object = node.object(PROMISE_KEYS)?;
    let apply = read_millis(&object, "apply_ms");
    let drain = read_millis(&object, "drain_ms");
    let calm = read_millis(&object, "calm_ms");
    let grace = read_seconds(&object, "grace_s");
    let lease = read_millis(&object, "lease_ms");
    let pass = read_millis(&object, "pass_ms");
    Some(Promises {
        apply: apply?,
        drain: drain?,
        calm: calm?,
        grace: grace?,
        lease: lease?,
        pass: pass?,
    })
}

fn read_retries(node: &Node<'_>) -> Option<RetryLimit> {
    let object = node.object(RETRY_KEYS)?;
    let ratio = read_decimal(&object, "ratio");
    let window = read_seconds(&object, "window_s");
    let extra = read_decimal(&object, "extra");
    Some(RetryLimit {
        ratio: ratio?,
        window: window?,
        extra: extra?,
    })
}

fn read_quotas(node: &Node<'_>) -> Option<QuotaTolerance> {
    let object = node.object(QUOTA_KEYS)?;
    let window = read_seconds(&object, "window_s");
    let overage = read_decimal(&object, "overage");
    let slack = read_decimal(&object, "slack");
    Some(QuotaTolerance {
        window: window?,
        overage: overage?,
        slack: slack?,
    })
}

fn read_rollouts(node: &Node<'_>) -> Option<RolloutBounds> {
    let object = node.object(ROLLOUT_KEYS)?;
    let share = object
        .required("exposure_share")
        .and_then(|node| node.decimal(0.0..=1.0));
    let slack = read_decimal(&object, "exposure_slack");
    let rollback = read_millis(&object, "rollback_ms");
    Some(RolloutBounds {
        exposure_share: share?,
        exposure_slack: slack?,
        rollback: rollback?,
    })
}

fn read_usage(node: &Node<'_>) -> Option<UsageSettings> {
    let object = node.object(USAGE_KEYS)?;
    let window = read_seconds(&object, "window_s");
    let late = read_seconds(&object, "late_s");
    Some(UsageSettings {
        window: window?,
        late: late?,
    })
}

fn read_limits(node: &Node<'_>) -> Option<ProcessLimits> {
    let object = node.object(LIMIT_KEYS)?;
    let memory = read_count(&object, "memory_mib");
    let descriptors = read_count(&object, "descriptors");
    Some(ProcessLimits {
        memory: ByteSize(memory?.saturating_mul(MIB)),
        descriptors: descriptors?,
    })
}

fn read_millis(object: &Object<'_>, key: &'static str) -> Option<Duration> {
    object
        .required(key)
        .and_then(|node| node.millis(1..=MAX_MS))
}

fn read_seconds(object: &Object<'_>, key: &'static str) -> Option<Duration> {
    let seconds = object
        .required(key)
        .and_then(|node| node.decimal(MIN_SECONDS..=MAX_SECONDS))?;
    Some(Duration::from_secs_f64(seconds))
}

fn read_count(object: &Object<'_>, key: &'static str) -> Option<u64> {
    object
        .required(key)
        .and_then(|node| node.integer(1..=MAX_COUNT))
}

fn read_decimal(object: &Object<'_>, key: &'static str) -> Option<f64> {
    object
        .required(key)
        .and_then(|node| node.decimal(0.0..=MAX_COUNT as f64))
}
