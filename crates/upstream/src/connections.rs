//! Pooled HTTP connections to upstreams.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, uri::Authority};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::timeout;
use verbenahead_core::HashMap;

use crate::errors::{Error, Result};

/// Size of the read buffer of a connection. Events of a stream are small.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Most upstreams with a pool of their own. Upstreams that are gone are forgotten with the others
/// when there are more.
const MAX_POOLS: usize = 4096;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

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

/// `Connections` sends requests over pooled connections, or over fresh ones. After a request that
/// timed out, later requests to the same upstream use new connections.
#[derive(Debug, Clone)]
pub struct Connections {
    pools: Arc<Mutex<HashMap<Authority, Arc<HttpClient>>>>,
    fresh: Arc<HttpClient>,
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
            pools: Arc::default(),
            fresh: Arc::new(client(&options, 0)),
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
        let upstream = req
            .uri()
            .authority()
            .cloned()
            .ok_or_else(|| Error::not_sent("the request names no upstream"))?;
        let client = match reuse {
            Reuse::Allowed => self.pool(&upstream),
            Reuse::Forbidden => Arc::clone(&self.fresh),
        };
        let mut in_use = PoolInUse {
            connections: self,
            upstream,
            client,
            has_answered: false,
        };
        let Ok(result) = timeout(limit, in_use.client.request(req)).await else {
            return Err(Error::interrupted("no answer within the time limit"));
        };
        in_use.has_answered = true;
        result.map_err(|error| request_error(&error))
    }

    fn pool(&self, upstream: &Authority) -> Arc<HttpClient> {
        let mut pools = self.pools();
        if let Some(known) = pools.get(upstream) {
            return Arc::clone(known);
        }
        if pools.len() >= MAX_POOLS {
            pools.clear();
        }
        let new = Arc::new(client(&self.options, self.options.max_idle_per_upstream));
        pools.insert(upstream.clone(), Arc::clone(&new));
        new
    }

    /// Forgets a pool, unless another request has done so already. Its idle connections may have
    /// gone silent together with the one that timed out.
    fn forget_pool(&self, upstream: &Authority, used: &Arc<HttpClient>) {
        let mut pools = self.pools();
        let is_used = |known: &Arc<HttpClient>| Arc::ptr_eq(known, used);
        if pools.get(upstream).is_some_and(is_used) {
            pools.remove(upstream);
        }
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<Authority, Arc<HttpClient>>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `PoolInUse` forgets the pool of a request that is given up without an answer, by its own time
/// limit or by that of its caller.
struct PoolInUse<'a> {
    connections: &'a Connections,
    upstream: Authority,
    client: Arc<HttpClient>,
    has_answered: bool,
}

impl Drop for PoolInUse<'_> {
    fn drop(&mut self) {
        if !self.has_answered {
            self.connections.forget_pool(&self.upstream, &self.client);
        }
    }
}

fn request_error(error: &hyper_util::client::legacy::Error) -> Error {
    let reason = describe(error);
    if error.is_connect() {
        Error::not_sent(reason)
    } else {
        Error::interrupted(reason)
    }
}

fn client(options: &ConnectionsOptions, max_idle: usize) -> HttpClient {
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
