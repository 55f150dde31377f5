//! Options of the HTTP adapter.

use std::{net::SocketAddr, time::Duration};

use verbenahead_core::units::ByteSize;

use crate::{registry::PlatformOptions, secret::Secret};

const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Each TCP keepalive interval is a third of it, and TCP counts these in whole seconds.
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_MAX_BODY: ByteSize = ByteSize(16 * 1024 * 1024);

/// `HttpPlatformOptions` configure an [`HttpPlatform`](super::HttpPlatform).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpPlatformOptions {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Bearer token that is sent with each call.
    pub secret: Option<Secret>,
    /// Time limit for waiting for a free connection, and for making one. Must be shorter than
    /// `call_timeout`, to distinguish a connection that was never made from a lost answer.
    pub connect_timeout: Duration,
    /// Time limit of a call. Includes making a connection, but not the wait for a free one.
    pub call_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Time without any packet from the peer after which TCP closes a connection. It limits how
    /// long a long poll hangs on a dead connection.
    pub silence_timeout: Duration,
    /// Maximum number of concurrent calls, and so of connections in use.
    pub max_connections: usize,
    /// Maximum size of the body of an answer.
    pub max_body: ByteSize,
}

impl Default for HttpPlatformOptions {
    fn default() -> Self {
        Self::from(&PlatformOptions::default())
    }
}

impl From<&PlatformOptions> for HttpPlatformOptions {
    fn from(options: &PlatformOptions) -> Self {
        Self {
            address: options.address,
            secret: options.secret.clone(),
            connect_timeout: options.connect_timeout,
            call_timeout: options.call_timeout,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            silence_timeout: DEFAULT_SILENCE_TIMEOUT,
            max_connections: options.max_connections,
            max_body: DEFAULT_MAX_BODY,
        }
    }
}
