//! Small deployment of processes on this host for measurements.

use std::{net::SocketAddr, process::Command, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use http::{HeaderMap, Method};
use rand::SeedableRng;
use verbenahead_core::{Digest, Generation};
use verbenahead_services::{PlatformOptions, PlatformRegistry};
use verbenahead_standins::{
    client::JsonClient,
    process::{Process, workspace_program},
};
use verbenahead_state::{
    ManifestStore, PublicationId, PublishOutcome, PublishRequest, RetryOptions, UnixMillis,
};

/// API key of the calling workspace.
pub const KEY: &str = "measure-key";

/// Model of the only service.
pub const MODEL: &str = "m";

const READY_ATTEMPTS: u32 = 500;
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// Wait for the nodes to discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// `Target` is the receiver of a measured call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The engine, called directly.
    Engine,
    /// The first node, which forwards to the engine.
    Node,
}

/// `Deployment` runs a stand-in platform, a stand-in engine and nodes.
pub struct Deployment {
    platform: Process,
    engine: Process,
    nodes: Vec<Process>,
}

impl Deployment {
    /// Starts a deployment whose engine takes `token_ms` milliseconds for each token.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or is not ready in time.
    pub async fn start(nodes: usize, token_ms: u64) -> anyhow::Result<Self> {
        let standins = workspace_program("verbenahead-standins")?;
        let platform = Process::start(&standins, &["platform"])?;
        let address = platform.address()?;
        let token_ms = token_ms.to_string();
        let listen = address.to_string();
        let engine = Process::start(
            &standins,
            &[
                "engine",
                "--platform",
                &listen,
                "--vm",
                "e1",
                "--service",
                "s",
                "--zone",
                "a",
                "--models",
                MODEL,
                "--batch-limit",
                "10000",
                "--queue-limit",
                "100000",
                "--token-ms",
                &token_ms,
                "--prefill-us-per-token",
                "0",
            ],
        )?;
        publish(address).await?;
        let nodes = (0..nodes)
            .map(|index| start_node(address, index))
            .collect::<anyhow::Result<Vec<_>>>()?;
        for node in &nodes {
            wait_ready(node.address_of("operators")?).await?;
        }
        if nodes.len() > 1 {
            tokio::time::sleep(SETTLE_TIME).await;
        }
        Ok(Self {
            platform,
            engine,
            nodes,
        })
    }

    /// Returns the address of a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has not printed its address.
    pub fn address(&self, target: Target) -> anyhow::Result<SocketAddr> {
        match target {
            Target::Engine => self.engine.address(),
            Target::Node => self.nodes[0].address_of("callers"),
        }
    }

    /// Returns the address of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has not printed its address.
    pub fn platform_address(&self) -> anyhow::Result<SocketAddr> {
        self.platform.address()
    }

    /// Returns the process ids of all nodes, that of the measured node first.
    pub fn node_ids(&self) -> Vec<u32> {
        self.nodes.iter().map(Process::id).collect()
    }

    /// Returns the process id of the measured node.
    pub fn node_id(&self) -> u32 {
        self.nodes[0].id()
    }
}

fn start_node(platform: SocketAddr, index: usize) -> anyhow::Result<Process> {
    let zone = ["a", "b", "c"][index % 3];
    let digest = Digest::of("room");
    let settings = format!(
        r#"{{
            "node": "n{index}", "availability_zone": "{zone}",
            "listeners": {{ "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0" }},
            "platform": {{ "kind": "http", "address": "{platform}" }},
            "peers": {{ "seeds": [], "plaintext_on_loopback": true }},
            "operators": {{ "credentials": [{{ "name": "room", "digest": "{digest}" }}] }},
            "limits": {{ "max_concurrent_requests": 10000, "max_concurrent_per_workspace": 10000 }},
            "log": "warn",
        }}"#
    );
    let mut command = Command::new(workspace_program("verbenahead")?);
    command
        .args(["node", "--settings", "env:NODE_SETTINGS"])
        .env("NODE_SETTINGS", settings);
    Process::start_command(command)
}

async fn publish(platform: SocketAddr) -> anyhow::Result<()> {
    let manifest = format!(
        r#"{{
            "deployment": "measure", "availability_zones": ["a", "b", "c"],
            "workspaces": [{{ "id": "w", "key_digests": ["{}"], "share": 1, "priority": "interactive" }}],
            "services": [{{
                "id": "s",
                "model": {{ "models": ["{MODEL}"], "max_answer_tokens": 100000 }},
                "request_timeout_ms": 600000, "progress_timeout_ms": 60000
            }}]
        }}"#,
        Digest::of(KEY),
    );
    let options = PlatformOptions {
        address: platform,
        ..PlatformOptions::default()
    };
    let platform = PlatformRegistry::default().connect("http", &options)?;
    let store = ManifestStore::new(platform.table, platform.objects, RetryOptions::default());
    let req = PublishRequest {
        expect: Generation(0),
        publisher: "measure".to_owned(),
        publication: PublicationId::random(&mut rand::rngs::StdRng::seed_from_u64(1)),
        now: UnixMillis::now(),
    };
    match store.publish(&req, Bytes::from(manifest)).await {
        PublishOutcome::Accepted(_) => Ok(()),
        outcome => bail!("the manifest was not published: {outcome:?}"),
    }
}

async fn wait_ready(operators: SocketAddr) -> anyhow::Result<()> {
    let client = JsonClient::new(operators);
    for _ in 0..READY_ATTEMPTS {
        let reply = client
            .call(Method::GET, "/readyz", HeaderMap::new(), Bytes::new())
            .await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
    Err(anyhow::anyhow!("no answer")).context("the node is not ready in time")
}
