//! Configurations that the operator publishes.

use std::time::Duration;

use rand::Rng;
use serde_json::{Value, json};

use super::schedule::ZONES;

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// API key of the workspace of all callers.
pub const KEY: &str = "paving-key";

/// Workspace of all callers.
pub const WORKSPACE: &str = "paving";

/// Services whose replicas stream.
pub const STREAMING_SERVICES: [&str; 2] = ["desk", "annex"];

/// Service whose replicas answer at once.
pub const PLAIN_SERVICE: &str = "shelf";

/// Timeout of the routes that do not stream.
pub const PLAIN_TIMEOUT: Duration = Duration::from_millis(3_000);

/// `ConfigurationDraw` is what configurations change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConfigurationDraw {
    /// Timeout of the routes that stream, in milliseconds.
    pub stream_timeout_ms: u64,
    /// Share of the stream requests that goes to the first service.
    pub weight: f64,
    /// Number of further routes, which no caller uses.
    pub extra_routes: u64,
    /// Number of further workspaces, which no caller uses.
    pub extra_workspaces: u64,
}

impl Default for ConfigurationDraw {
    fn default() -> Self {
        Self {
            stream_timeout_ms: 6_000,
            weight: 0.7,
            extra_routes: 0,
            extra_workspaces: 0,
        }
    }
}

impl ConfigurationDraw {
    /// Draws a configuration.
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self {
            stream_timeout_ms: match rng.random_bool(0.2) {
                true => rng.random_range(1_800..3_000),
                false => rng.random_range(3_000..8_000),
            },
            weight: rng.random_range(0.3..0.9),
            extra_routes: rng.random_range(0..=5),
            extra_workspaces: rng.random_range(0..=4),
        }
    }

    /// Returns the configuration with this version as the operator writes it.
    pub fn to_json(self, version: u64) -> Value {
        let timeout = self.stream_timeout_ms;
        let mut routes = vec![
            self.stream_route("draft", timeout, false),
            self.stream_route("notes", timeout, true),
            plain_route("look", "idempotent"),
            plain_route("file", "non_idempotent"),
        ];
        let extra = (0..self.extra_routes).map(|n| format!("extra-{}", version + n));
        routes.extend(extra.map(|name| plain_route(&name, "idempotent")));
        let mut workspaces = vec![json!({"name": WORKSPACE, "api_keys": [KEY]})];
        workspaces.extend((0..self.extra_workspaces).map(|n| {
            let name = format!("guest-{}", version + n);
            json!({"name": name, "api_keys": [format!("{name}-key")]})
        }));
        let mut services: Vec<Value> = STREAMING_SERVICES.map(streaming_service).into();
        services.push(service(PLAIN_SERVICE));
        json!({
            "version": version, "routes": routes, "services": services, "tenants": workspaces,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        })
    }

    fn stream_route(self, name: &str, timeout_ms: u64, is_resumable: bool) -> Value {
        let [first, second] = STREAMING_SERVICES;
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": "streaming",
            "timeout_ms": timeout_ms, "target_latency_ms": 500, "max_attempts": 2,
            "resumable": is_resumable, "gap_target_ms": 300,
            "backends": [{"service": first, "weight": self.weight},
                         {"service": second, "weight": 1.0 - self.weight}],
        })
    }
}

fn plain_route(name: &str, kind: &str) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": PLAIN_TIMEOUT.as_millis() as u64, "target_latency_ms": 300, "service": PLAIN_SERVICE, "max_attempts": 2,
    })
}

fn service(name: &str) -> Value {
    let prices: Value = ZONES
        .map(|zone| (zone.to_owned(), json!(1.0)))
        .into_iter()
        .collect();
    json!({
        "name": name, "health_path": "/health", "max_connections": 400,
        "autoscale": {"min": 1, "max": 40, "boot_timeout_s": 1.0, "spot_price": 0.2,
                      "zone_prices": prices},
    })
}

fn streaming_service(name: &str) -> Value {
    let mut service = service(name);
    service["engine"] = json!({
        "slots": 8, "kv_capacity_tokens": 200_000, "kv_token_bytes": 100, "moves": true,
    });
    service
}
