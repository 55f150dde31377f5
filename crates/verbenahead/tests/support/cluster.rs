//! A small deployment of processes: platform, upstreams and nodes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use verbenahead_core::Generation;
use verbenahead_services::{Platform, PlatformOptions, PlatformRegistry};
use verbenahead_standins::{
    client::{JsonClient, Reply},
    process::{Process, workspace_program},
};
use verbenahead_state::{
    ManifestStore, PublicationId, PublishOutcome, PublishRequest, RetryOptions, UnixMillis,
};

/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Manifest of the small deployments.
pub const MANIFEST: &str = include_str!("../../../../examples/manifest.jsonc");

pub const CREW_KEY: &str = "crew-key";
pub const BARBER_KEY: &str = "barber-key";
pub const OPERATOR_KEY: &str = "room-key";

/// A running platform stand-in.
pub struct PlatformProcess {
    pub process: Process,
    pub address: SocketAddr,
}

/// Starts a platform stand-in.
pub fn start_platform(extra: &[&str]) -> PlatformProcess {
    let process = start_standin("platform", extra);
    let address = process.address().expect("the platform listens");
    PlatformProcess { process, address }
}

fn start_standin(kind: &str, extra: &[&str]) -> Process {
    let program = workspace_program("verbenahead-standins").expect("the stand-ins are built");
    let args: Vec<&str> = std::iter::once(kind).chain(extra.iter().copied()).collect();
    Process::start(program, &args).expect("the stand-in starts")
}

impl PlatformProcess {
    /// Starts an engine of the service `drafting`.
    pub fn start_engine(&self, vm: &str, zone: &str, extra: &[&str]) -> Process {
        let platform = self.address.to_string();
        let mut args = vec!["--platform", &platform, "--vm", vm, "--zone", zone];
        args.extend(["--service", "drafting", "--models", "draft-small"]);
        args.extend(extra);
        start_standin("engine", &args)
    }

    /// Starts a replica of the service `booking`.
    pub fn start_booking(&self, vm: &str, zone: &str, extra: &[&str]) -> Process {
        let platform = self.address.to_string();
        let mut args = vec!["--platform", &platform, "--vm", vm, "--zone", zone];
        args.extend(["--service", "booking"]);
        args.extend(extra);
        start_standin("booking", &args)
    }

    /// Connects to the platform as a node does.
    pub fn connect(&self) -> Platform {
        let options = PlatformOptions {
            address: self.address,
            ..PlatformOptions::default()
        };
        PlatformRegistry::default()
            .connect("http", &options)
            .expect("the adapter is there")
    }

    /// Publishes a manifest and returns its generation.
    pub async fn publish(&self, text: &str, expect: u64) -> Generation {
        let platform = self.connect();
        let store = ManifestStore::new(platform.table, platform.objects, RetryOptions::default());
        let req = PublishRequest {
            expect: Generation(expect),
            publisher: "test".to_owned(),
            publication: PublicationId::random(&mut rand::rng()),
            now: UnixMillis::now(),
        };
        match store.publish(&req, Bytes::from(text.to_owned())).await {
            PublishOutcome::Accepted(head) => head.generation,
            other => panic!("not published: {other:?}"),
        }
    }

    /// Returns a client of the platform stand-in's control API.
    pub fn control(&self) -> JsonClient {
        JsonClient::new(self.address)
    }

    /// Starts a node.
    pub fn start_node(&self, name: &str, zone: &str) -> NodeProcess {
        self.start_node_with(
            name,
            zone,
            "{ \"balancer_pause_ms\": 100, \"limit_ms\": 10000 }",
        )
    }

    /// Starts a node with the given drain settings.
    pub fn start_node_with(&self, name: &str, zone: &str, drain: &str) -> NodeProcess {
        self.start_node_from(name, zone, drain, &[], "{}")
    }

    /// Starts a node with the given limits.
    pub fn start_node_with_limits(&self, name: &str, zone: &str, limits: &str) -> NodeProcess {
        self.start_node_from(name, zone, "{}", &[], limits)
    }

    /// Starts a node with the peer addresses of other nodes as seeds.
    pub fn start_node_with_seeds(
        &self,
        name: &str,
        zone: &str,
        seeds: &[SocketAddr],
    ) -> NodeProcess {
        self.start_node_from(name, zone, "{}", seeds, "{}")
    }

    fn start_node_from(
        &self,
        name: &str,
        zone: &str,
        drain: &str,
        seeds: &[SocketAddr],
        limits: &str,
    ) -> NodeProcess {
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(", ");
        let settings = format!(
            r#"{{
                "node": "{name}",
                "availability_zone": "{zone}",
                "listeners": {{
                    "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"
                }},
                "platform": {{ "kind": "http", "address": "{}" }},
                "peers": {{ "seeds": [{seeds}], "plaintext_on_loopback": true }},
                "operators": {{ "credentials": [{{ "name": "room", "digest": "{}" }}] }},
                "drain": {drain},
                "limits": {limits},
                "log": "info,verbenahead=debug",
            }}"#,
            self.address,
            verbenahead_core::Digest::of(OPERATOR_KEY),
        );
        let mut command = std::process::Command::new(
            workspace_program("verbenahead").expect("the program is built"),
        );
        command
            .args(["node", "--settings", "env:NODE_SETTINGS"])
            .env("NODE_SETTINGS", settings);
        let process = Process::start_command(command).expect("the node starts");
        let callers = process.address_of("callers").expect("an address");
        let operators = process.address_of("operators").expect("an address");
        NodeProcess {
            process,
            callers,
            operators,
        }
    }
}

/// A running node.
pub struct NodeProcess {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

impl NodeProcess {
    /// Waits until the node is ready.
    pub async fn wait_ready(&self) {
        let client = JsonClient::new(self.operators);
        wait_until("the node is ready", || async {
            let reply = client
                .call(Method::GET, "/readyz", HeaderMap::new(), Bytes::new())
                .await;
            reply.is_ok_and(|reply| reply.status.is_success())
        })
        .await;
    }

    /// Waits until the node has seen `count` live nodes, including itself.
    pub async fn wait_members(&self, count: usize) {
        wait_until("the nodes know each other", || async {
            self.process.log().contains(&format!("\"alive\":{count}"))
        })
        .await;
    }

    /// Returns a client of the caller API.
    pub fn client(&self) -> JsonClient {
        JsonClient::new(self.callers)
    }

    /// Calls the caller API with a bearer key.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        key: &str,
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Reply> {
        let client = JsonClient::new(self.callers);
        client.call(method, path, bearer(key), body).await
    }

    /// Calls a non-idempotent path of the service `booking`.
    pub async fn book(
        &self,
        key: &str,
        idempotency_key: &str,
        body: &str,
    ) -> anyhow::Result<Reply> {
        let mut headers = bearer(key);
        let value = idempotency_key.parse().expect("a valid header");
        headers.insert("idempotency-key", value);
        let client = JsonClient::new(self.callers);
        let path = "/v1/services/booking/bookings";
        client
            .call(Method::POST, path, headers, body.to_owned())
            .await
    }

    /// Stops the node gracefully and returns whether it exited with code 0.
    pub fn stop(&mut self) -> bool {
        self.process.terminate().expect("the signal is sent");
        let status = self
            .process
            .wait(WAIT_TIMEOUT)
            .expect("the node is waited for");
        status.is_some_and(|status| status.success())
    }
}

/// Returns headers that authenticate with a bearer key.
pub fn bearer(key: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = format!("Bearer {key}").parse().expect("a valid header");
    headers.insert("authorization", value);
    headers
}

/// Returns the example manifest with a fleet plan for `drafting`. `fencing` is `checked` or
/// `ignored`.
pub fn fleet_manifest(min: u32, max: u32, fencing: &str) -> String {
    let plan = format!(
        r#""fleet": {{ "min_upstreams": {min}, "max_upstreams": {max}, "classes": [
            {{ "name": "small", "capacity_tokens_per_s": 1000,
               "reclaimable_price_per_h": 1.0, "on_demand_price_per_h": 3.0 }},
        ] }},
        "request_timeout_ms": 60000"#
    );
    let text = MANIFEST.replace("\"request_timeout_ms\": 60000", &plan);
    text.replace("\"checked\"", &format!("\"{fencing}\""))
}

/// Waits until `check` holds, for at most `limit`.
pub async fn wait_until_within<F>(what: &str, limit: Duration, mut check: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + limit;
    while !check().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until `check` holds, for at most [`WAIT_TIMEOUT`].
pub async fn wait_until<F>(what: &str, mut check: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
