//! Options of the HTTP adapter.

use std::{net::SocketAddr, time::Duration};

use verbenahead_core::units::ByteSize;

use crate::{registry::PlatformOptions, secret::Secret};

const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Three seconds, of which each TCP keepalive probe gets a third; TCP counts whole seconds.
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_MAX_BODY: ByteSize = ByteSize(16 * 1024 * 1024);

/// `HttpPlatformOptions` configure an [`HttpPlatform`](super::HttpPlatform).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpPlatformOptions {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Bearer token that is sent with each call.
    pub secret: Option<Secret>,
    /// Longest time to wait for a free connection, and to make one. Must be shorter than
    /// `call_timeout`, so that a connection that was never made is told apart from a lost answer.
    pub connect_timeout: Duration,
    /// Longest time of a call, making a connection included and waiting for a free one not.
    pub call_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Time without any sign of the peer after which TCP gives up a connection. It bounds how
    /// long a call that waits for changes hangs on a connection that went silent.
    pub silence_timeout: Duration,
    /// Most calls in progress at once, and so most connections in use.
    pub max_connections: usize,
    /// Largest body of an answer.
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
