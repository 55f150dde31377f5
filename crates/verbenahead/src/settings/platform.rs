//! Connection to the platform's service.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, FromStr};
use verbenahead_core::document::Node;

use super::{credentials::read_reference, listeners::parse_address, secret::SecretReference};

const PLATFORM_KEYS: &[&str] = &[
    "kind",
    "address",
    "credential",
    "connect_timeout_ms",
    "request_timeout_ms",
];

/// Names of the platform adapters.
const KINDS: &[&str] = &["http"];

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted timeout of a call to the platform, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 60_000;

/// `PlatformKind` selects the adapter for the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum PlatformKind {
    /// Adapter that makes conditional requests over HTTP.
    Http,
}

/// `PlatformSettings` configure the connection to the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Adapter to use.
    pub kind: PlatformKind,
    /// Address of the service.
    pub address: SocketAddr,
    /// Credential for the service, if it requires one.
    pub credential: Option<SecretReference>,
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Timeout of one call.
    pub request_timeout: Duration,
}

/// Parses the platform settings.
pub(super) fn read(node: &Node<'_>) -> Option<PlatformSettings> {
    let object = node.object(PLATFORM_KEYS)?;
    let kind = object.required("kind").and_then(|node| node.choice(KINDS));
    let address = object.required("address").and_then(|node| {
        let address = parse_address(&node)?;
        check_port(&node, address);
        Some(address)
    });
    let credential = object.read_optional("credential", read_reference);
    let timeout = |key, default| {
        object.read_or(key, default, |node: &Node<'_>| {
            node.millis(1..=MAX_TIMEOUT_MS)
        })
    };
    let connect_timeout = timeout("connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT);
    let request_timeout = timeout("request_timeout_ms", DEFAULT_REQUEST_TIMEOUT);
    if connect_timeout? >= request_timeout? {
        node.report("`connect_timeout_ms` must be less than `request_timeout_ms`");
        return None;
    }
    Some(PlatformSettings {
        kind: kind?,
        address: address?,
        credential: credential?,
        connect_timeout: connect_timeout?,
        request_timeout: request_timeout?,
    })
}

/// Reports port 0 in an address that the node connects to.
pub(super) fn check_port(node: &Node<'_>, address: SocketAddr) {
    if address.port() == 0 {
        node.report("port 0 cannot be connected to");
    }
}
