//! Pooled HTTP/1.1 connections to upstreams.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Uri, header};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::{Instant, timeout_at};
use verbenahead_core::HashMap;

use crate::{
    answer_body::UpstreamBody,
    connect::{self, ConnectionTask},
    errors::{Error, Result},
};

/// Most upstreams with a pool of their own. Upstreams that are gone are forgotten with the others
/// when there are more.
const MAX_POOLS: usize = 4096;

/// Time between two looks for connections that are too old.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the idle time that an upstream announces during which a connection is used again. The
/// rest covers the way of the next request.
const ANNOUNCED_IDLE_RATIO: f64 = 0.8;

/// `ConnectionsOptions` bounds the connections to upstreams.
#[derive(Debug, Clone)]
pub struct ConnectionsOptions {
    /// Longest time to make a connection.
    pub connect_timeout: Duration,
    /// Longest time from sending a request to the headers of the answer.
    pub headers_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Time without any sign of the upstream after which TCP gives up a connection.
    pub silence_timeout: Duration,
    /// Most unused connections to one upstream.
    pub max_idle_per_upstream: usize,
    /// Most unused connections to all upstreams together.
    pub max_idle: usize,
}

impl Default for ConnectionsOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            headers_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(5),
            silence_timeout: Duration::from_secs(3),
            max_idle_per_upstream: 64,
            max_idle: 1_024,
        }
    }
}

/// `Reuse` says whether a request may go over a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An unused connection from the pool may be taken.
    Allowed,
    /// A new connection is made, because an old one may have gone silent.
    Forbidden,
}

/// `Connections` sends requests over pooled connections, or over fresh ones. After a request that
/// timed out, later requests to the same upstream use new connections.
#[derive(Debug, Clone)]
pub struct Connections {
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    options: ConnectionsOptions,
    pools: Mutex<Pools>,
}

/// `Pools` holds the unused connections to all upstreams.
#[derive(Debug, Default)]
struct Pools {
    by_upstream: HashMap<SocketAddr, Pool>,
    /// Unused connections at the last sweep, and those put back since.
    idle_count: usize,
    swept_at: Option<Instant>,
}

impl Pools {
    /// Closes the connections that are too old, from time to time.
    fn sweep(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SWEEP_INTERVAL;
        if !self.swept_at.is_none_or(is_due) {
            return;
        }
        self.swept_at = Some(now);
        for pool in self.by_upstream.values_mut() {
            pool.idle.retain(|idle| idle.is_usable(now));
        }
        self.idle_count = self.by_upstream.values().map(|pool| pool.idle.len()).sum();
    }
}

/// `Pool` holds the unused connections to one upstream, the one used last at the end.
#[derive(Debug, Default)]
struct Pool {
    /// Connections of earlier generations are not put back.
    generation: u64,
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// `Connection` is an open connection. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
    pub(crate) upstream: SocketAddr,
    generation: u64,
    is_used: bool,
}

impl Connections {
    /// Builds the pool.
    pub fn new(options: ConnectionsOptions) -> Self {
        Self {
            shared: Arc::new(Shared {
                options,
                pools: Mutex::default(),
            }),
        }
    }

    /// Returns the longest time from sending a request to the headers of a streamed answer.
    pub fn headers_timeout(&self) -> Duration {
        self.shared.options.headers_timeout
    }

    /// Sends a request to the authority of its URI and waits at most `limit` for the headers of
    /// the answer.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when no connection was made, and [`Error::Interrupted`] when the
    /// connection broke or the headers did not come in time.
    pub async fn send(
        &self,
        mut req: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Response<UpstreamBody>> {
        let upstream = take_authority(&mut req)?;
        self.send_to(upstream, req, reuse, limit).await
    }

    /// Sends a request, whose URI is the target as the upstream gets it and whose headers include
    /// the host, and waits at most `limit` for the headers of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when nothing was written to a connection, and [`Error::Interrupted`]
    /// when the connection broke or the headers did not come in time.
    pub async fn send_to(
        &self,
        upstream: SocketAddr,
        mut req: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Response<UpstreamBody>> {
        let deadline = Instant::now() + limit;
        let mut reuse = reuse;
        loop {
            let connection = self.connection(upstream, reuse, deadline).await?;
            let is_used = connection.is_used;
            match self.exchange(connection, req, deadline).await {
                Ok(answer) => return Ok(answer),
                Err(Failed::Unwritten(unwritten)) if is_used => {
                    req = *unwritten;
                    reuse = Reuse::Forbidden;
                }
                Err(Failed::Unwritten(_)) => {
                    return Err(Error::not_sent("the connection closed before the request"));
                }
                Err(Failed::Broken(error)) => return Err(error),
            }
        }
    }

    async fn connection(
        &self,
        upstream: SocketAddr,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<Connection> {
        if reuse == Reuse::Allowed
            && let Some(idle) = self.shared.take_idle(upstream)
        {
            return Ok(idle);
        }
        let options = &self.shared.options;
        let deadline = deadline.min(Instant::now() + options.connect_timeout);
        let opened = connect::open(upstream, options.silence_timeout);
        let (sender, task) = match timeout_at(deadline, opened).await {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => return Err(Error::not_sent(error)),
            Err(_) => return Err(Error::not_sent("no connection within the time limit")),
        };
        Ok(Connection {
            sender,
            _task: task,
            upstream,
            generation: self.shared.generation(upstream),
            is_used: false,
        })
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> std::result::Result<Response<UpstreamBody>, Failed> {
        let mut watch = SilenceWatch {
            shared: &self.shared,
            upstream: connection.upstream,
            generation: connection.generation,
            has_ended: false,
        };
        let sent = timeout_at(deadline, connection.sender.try_send_request(req)).await;
        let answer = match sent {
            Ok(answer) => answer,
            Err(_) => {
                let error = Error::interrupted("no answer within the time limit");
                return Err(Failed::Broken(error));
            }
        };
        watch.has_ended = true;
        match answer {
            Ok(answer) => {
                let (head, incoming) = answer.into_parts();
                let usable_for = self.shared.usable_for(&head.headers);
                let shared = Arc::clone(&self.shared);
                let body = UpstreamBody::new(incoming, connection, usable_for, shared);
                Ok(Response::from_parts(head, body))
            }
            Err(mut error) => match error.take_message() {
                Some(unwritten) => Err(Failed::Unwritten(Box::new(unwritten))),
                None => Err(Failed::Broken(Error::interrupted(describe(error.error())))),
            },
        }
    }
}

/// `Failed` tells why a connection gave no answer.
enum Failed {
    /// The connection closed before any of the request was written.
    Unwritten(Box<Request<Full<Bytes>>>),
    /// The request may have been received.
    Broken(Error),
}

impl Shared {
    /// Puts a connection back whose answer has been read to its end.
    pub(crate) fn put_back(&self, mut connection: Connection, usable_for: Duration) {
        if usable_for.is_zero() || connection.sender.is_closed() {
            return;
        }
        connection.is_used = true;
        let now = Instant::now();
        let mut pools = self.pools();
        pools.sweep(now);
        if pools.idle_count >= self.options.max_idle {
            return;
        }
        let Some(pool) = pools.by_upstream.get_mut(&connection.upstream) else {
            return;
        };
        if pool.generation != connection.generation {
            return;
        }
        if pool.idle.len() >= self.options.max_idle_per_upstream {
            pool.idle.remove(0);
        }
        pool.idle.push(IdleConnection {
            connection,
            usable_until: now + usable_for,
        });
        pools.idle_count += 1;
    }

    fn take_idle(&self, upstream: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut pools = self.pools();
        let pool = pools.by_upstream.get_mut(&upstream)?;
        pool.idle.retain(|idle| idle.is_usable(now));
        let is_ready = |idle: &IdleConnection| idle.connection.sender.is_ready();
        let newest = pool.idle.iter().rposition(is_ready)?;
        let connection = pool.idle.remove(newest).connection;
        pools.idle_count = pools.idle_count.saturating_sub(1);
        Some(connection)
    }

    /// Returns the generation of an upstream's pool, which is made if there is none.
    fn generation(&self, upstream: SocketAddr) -> u64 {
        let now = Instant::now();
        let mut pools = self.pools();
        let by_upstream = &mut pools.by_upstream;
        if by_upstream.len() >= MAX_POOLS && !by_upstream.contains_key(&upstream) {
            by_upstream.clear();
        }
        let pool = by_upstream.entry(upstream).or_default();
        pool.idle.retain(|idle| idle.is_usable(now));
        pool.generation
    }

    /// Closes the unused connections to an upstream, unless that has been done already. They may
    /// have gone silent together with the one that gave no answer.
    fn replace(&self, upstream: SocketAddr, generation: u64) {
        let mut pools = self.pools();
        if let Some(pool) = pools.by_upstream.get_mut(&upstream)
            && pool.generation == generation
        {
            pool.generation += 1;
            pool.idle.clear();
        }
    }

    fn usable_for(&self, headers: &HeaderMap) -> Duration {
        let limit = self.options.idle_timeout;
        match announced_idle(headers) {
            Some(announced) => limit.min(announced.mul_f64(ANNOUNCED_IDLE_RATIO)),
            None => limit,
        }
    }

    fn pools(&self) -> MutexGuard<'_, Pools> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.usable_until && !self.connection.sender.is_closed()
    }
}

/// `SilenceWatch` replaces the pool of a request that is given up without an answer, by its own
/// time limit or by that of its caller.
struct SilenceWatch<'a> {
    shared: &'a Shared,
    upstream: SocketAddr,
    generation: u64,
    has_ended: bool,
}

impl Drop for SilenceWatch<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.shared.replace(self.upstream, self.generation);
        }
    }
}

/// Reads the time from `Keep-Alive: timeout=N`, in whole seconds.
fn announced_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = value.split(',');
    let mut seconds = parameters.filter_map(|p| p.trim().strip_prefix("timeout="));
    seconds.next()?.parse().ok().map(Duration::from_secs)
}

/// Turns an absolute URI into a target and a host header.
fn take_authority(req: &mut Request<Full<Bytes>>) -> Result<SocketAddr> {
    let uri = req.uri().clone();
    let authority = uri
        .authority()
        .ok_or_else(|| Error::not_sent("the request names no upstream"))?;
    let upstream = authority
        .as_str()
        .parse()
        .map_err(|_| Error::not_sent(format!("`{authority}` is not an address")))?;
    let host = HeaderValue::from_str(authority.as_str()).map_err(Error::not_sent)?;
    req.headers_mut().entry(header::HOST).or_insert(host);
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    *req.uri_mut() = Uri::try_from(target).map_err(Error::not_sent)?;
    Ok(upstream)
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
