//! Starts a node as a process.

use std::{net::SocketAddr, process::Command};

use anyhow::Result;
use verbenahead_core::Digest;
use verbenahead_standins::process::{Process, workspace_program};

use crate::node_directory::NodeEntry;

/// Key of the operators' credential.
pub const OPERATOR_KEY: &str = "room-key";

/// Longest time that a node drains, in milliseconds.
const DRAIN_LIMIT_MS: u64 = 10_000;

/// `NodeProcess` is a started node.
#[derive(Debug)]
pub struct NodeProcess {
    /// The process.
    pub process: Process,
    /// What callers know of the node.
    pub entry: NodeEntry,
}

impl NodeProcess {
    /// Starts a node. It takes up to 30 s, for which the thread is blocked.
    ///
    /// # Errors
    ///
    /// When the program has not been built, or does not print its addresses.
    pub fn start(platform: SocketAddr, name: &str, zone: &str) -> Result<Self> {
        let mut command = Command::new(workspace_program("verbenahead")?);
        command
            .args(["node", "--settings", "env:NODE_SETTINGS"])
            .env("NODE_SETTINGS", settings(platform, name, zone));
        let process = Process::start_command(command)?;
        let entry = NodeEntry {
            name: name.to_owned(),
            callers: process.address_of("callers")?,
            operators: process.address_of("operators")?,
            is_healthy: false,
        };
        Ok(Self { process, entry })
    }
}

fn settings(platform: SocketAddr, name: &str, zone: &str) -> String {
    format!(
        r#"{{
            "node": "{name}",
            "availability_zone": "{zone}",
            "listeners": {{
                "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"
            }},
            "platform": {{ "kind": "http", "address": "{platform}" }},
            "peers": {{ "seeds": [], "plaintext_on_loopback": true }},
            "operators": {{ "credentials": [{{ "name": "room", "digest": "{}" }}] }},
            "drain": {{ "balancer_pause_ms": 100, "limit_ms": {DRAIN_LIMIT_MS} }},
            "log": "info",
        }}"#,
        Digest::of(OPERATOR_KEY),
    )
}
