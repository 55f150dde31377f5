//! Process of a relaying node and its log lines.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    path::Path,
    process::Command,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use anyhow::Result;
use serde_json::json;
use verbenahead_standins::process::Process;

/// `LogLines` holds the last lines that a node has logged, over all processes in its slot.
#[derive(Debug, Default)]
pub struct LogLines {
    lines: Mutex<VecDeque<String>>,
    /// Maximum number of lines; older ones are dropped.
    capacity: usize,
}

impl LogLines {
    /// Builds an empty log that keeps the last `capacity` lines.
    pub fn new(capacity: usize) -> Self {
        Self {
            lines: Mutex::default(),
            capacity,
        }
    }

    fn push(&self, line: &str) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == self.capacity {
            lines.pop_front();
        }
        lines.push_back(line.to_owned());
    }

    /// Returns the lines that `selects`, oldest first.
    pub fn select(&self, selects: impl Fn(&str) -> bool) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| selects(line)).cloned().collect()
    }
}

/// `RelayNode` is a started node.
#[derive(Debug)]
pub struct RelayNode {
    /// The process.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// `PlatformAddresses` are where a node reaches the platform.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddresses {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the calls for duties.
    pub duties: SocketAddr,
}

impl RelayNode {
    /// Starts a node. It takes up to 30 s, for which the thread is blocked.
    ///
    /// # Errors
    ///
    /// When the program cannot be started, or does not print its addresses.
    pub fn start(
        program: &Path,
        platform: PlatformAddresses,
        name: &str,
        zone: &str,
        log: Arc<LogLines>,
    ) -> Result<Self> {
        let mut command = Command::new(program);
        command
            .args(["node", "--settings", "env:NODE_SETTINGS"])
            .env("NODE_SETTINGS", settings(platform, name, zone));
        let process = Process::start_with_output(command, move |line| log.push(line))?;
        let callers = process.address_of("callers")?;
        Ok(Self { process, callers })
    }
}

/// Time for which a replica serves on after its notice at least.
pub const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the acknowledgement of a configuration until all nodes have applied it.
pub const APPLY: Duration = Duration::from_millis(2_000);

/// Time from SIGTERM to the forced end of a node.
pub const GRACE: Duration = Duration::from_secs(6);

/// Time without a disturbance after which a node or the store counts as undisturbed.
pub const CALM: Duration = Duration::from_secs(3);

fn settings(platform: PlatformAddresses, name: &str, zone: &str) -> String {
    json!({
        "mode": "relay", "node": name, "availability_zone": zone,
        "listeners": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
                      "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
        "platform": {"kind": "users", "store": platform.store.to_string(),
                     "duties": platform.duties.to_string(),
                     "writes_per_second": 400, "reads_per_second": 2000},
        "promises": {"apply_ms": APPLY.as_millis() as u64, "drain_ms": DRAIN.as_millis() as u64,
                     "calm_ms": CALM.as_millis() as u64, "grace_s": GRACE.as_secs(), "lease_ms": 1500,
                     "pass_ms": 120},
        "retries": {"ratio": 0.2, "window_s": 10, "extra": 100},
        "quotas": {"window_s": 8, "overage": 0.1, "slack": 140_000},
        "usage": {"window_s": 1, "late_s": 6},
        "limits": {"memory_mib": 182, "descriptors": 2870}
    })
    .to_string()
}
