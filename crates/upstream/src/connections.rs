//! Pooled HTTP connections to upstreams.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::timeout;

use crate::errors::{Error, Result};

/// Size of the read buffer of a connection. Events of a stream are small.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// `ConnectionsOptions` bounds the connections to upstreams.
#[derive(Debug, Clone)]
pub struct ConnectionsOptions {
    /// Longest time to make a connection.
    pub connect_timeout: Duration,
    /// Longest time from sending a request to the headers of the answer.
    pub headers_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Most unused connections to one upstream.
    pub max_idle_per_upstream: usize,
}

impl Default for ConnectionsOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            headers_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(5),
            max_idle_per_upstream: 64,
        }
    }
}

/// `Connections` sends requests over pooled connections, or over fresh ones.
#[derive(Debug, Clone)]
pub struct Connections {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
    options: ConnectionsOptions,
}

/// `Reuse` says whether a request may go over a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An unused connection from the pool may be taken.
    Allowed,
    /// A new connection is made, because an old one may have gone silent.
    Forbidden,
}

impl Connections {
    /// Returns the longest time from sending a request to the headers of a streamed answer.
    pub fn headers_timeout(&self) -> Duration {
        self.options.headers_timeout
    }

    /// Builds the pool.
    pub fn new(options: ConnectionsOptions) -> Self {
        Self {
            pooled: client(&options, options.max_idle_per_upstream),
            fresh: client(&options, 0),
            options,
        }
    }

    /// Sends a request and waits at most `limit` for the headers of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when no connection was made, and [`Error::Interrupted`] when the
    /// connection broke or the headers did not come in time.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Response<Incoming>> {
        let client = match reuse {
            Reuse::Allowed => &self.pooled,
            Reuse::Forbidden => &self.fresh,
        };
        match timeout(limit, client.request(req)).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(error)) if error.is_connect() => Err(Error::not_sent(describe(&error))),
            Ok(Err(error)) => Err(Error::interrupted(describe(&error))),
            Err(_) => Err(Error::interrupted("no answer within the time limit")),
        }
    }
}

fn client(options: &ConnectionsOptions, max_idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(options.connect_timeout));
    connector.set_keepalive(Some(options.idle_timeout));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(options.idle_timeout)
        .pool_max_idle_per_host(max_idle)
        .retry_canceled_requests(false)
        .http1_read_buf_exact_size(READ_BUFFER_BYTES)
        .build(connector)
}

/// Returns the text of an error and its causes.
pub(crate) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
