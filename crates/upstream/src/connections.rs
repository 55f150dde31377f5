//! Pooled HTTP/1.1 connections to upstreams.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, header};
use hyper::client::conn::http1::SendRequest;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};
use verbenahead_core::HashMap;

use crate::{
    connect::{self, ConnectionTask},
    errors::{Error, Result},
    response_body::UpstreamBody,
    segmented_body::SegmentedBody,
};

/// Maximum number of pools. A pool beyond it first removes all others, and with them those of
/// upstreams that no longer exist.
const MAX_POOLS: usize = 4096;

/// Time between two sweeps that close expired connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the keep-alive timeout announced by an upstream during which a connection is
/// reused. The rest covers the transit time of the next request.
const KEEP_ALIVE_REUSE_RATIO: f64 = 0.8;

/// `ConnectionsOptions` sets the timeouts and limits of the connections to upstreams.
#[derive(Debug, Clone)]
pub struct ConnectionsOptions {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time from sending a request to receiving the response headers.
    pub headers_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time without any acknowledgement from the upstream after which TCP closes a connection.
    pub silence_timeout: Duration,
    /// Maximum number of idle connections to one upstream.
    pub max_idle_per_upstream: usize,
    /// Maximum number of idle connections to all upstreams together.
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

/// `Reuse` states whether a request may be sent over a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection from the pool may be used.
    Allowed,
    /// A new connection is opened, because a pooled one may have stopped responding unnoticed.
    Forbidden,
}

/// `Connections` sends requests over pooled or new connections. After a request got no response in
/// time or was cancelled before one came, later requests to the same upstream use new connections.
#[derive(Debug, Clone)]
pub struct Connections {
    pools: Arc<ConnectionPools>,
}

/// `ConnectionPools` holds the idle connections. It is shared by the clones of a [`Connections`] and
/// by the bodies of responses.
#[derive(Debug)]
pub(crate) struct ConnectionPools {
    options: ConnectionsOptions,
    state: Mutex<PoolState>,
}

/// `PoolState` holds the idle connections to all upstreams.
#[derive(Debug, Default)]
struct PoolState {
    by_upstream: HashMap<SocketAddr, Pool>,
    /// Idle connections counted by the last sweep, plus those added and minus those taken since.
    idle_count: usize,
    swept_at: Option<Instant>,
}

impl PoolState {
    /// Closes expired connections, at most once per [`SWEEP_INTERVAL`].
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

/// `Pool` holds the idle connections to one upstream, the most recently used one last.
#[derive(Debug, Default)]
struct Pool {
    /// Increased when the pool is invalidated. Connections of earlier generations are not put back.
    generation: u64,
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// `Connection` is an open connection. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<SegmentedBody>,
    task: ConnectionTask,
    pub(crate) upstream: SocketAddr,
    generation: u64,
    is_reused: bool,
}

impl Connections {
    /// Builds a client without any open connection.
    pub fn new(options: ConnectionsOptions) -> Self {
        Self {
            pools: Arc::new(ConnectionPools {
                options,
                state: Mutex::default(),
            }),
        }
    }

    /// Returns the maximum time from sending a request to receiving the headers of a streamed
    /// response.
    pub fn headers_timeout(&self) -> Duration {
        self.pools.options.headers_timeout
    }

    /// Sends a request to the authority of its URI, which is an IP address and a port, and waits
    /// at most `limit` for the response headers.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when the URI names no address or nothing was written to a connection,
    /// [`Error::ConnectionRefused`] when no process listens at the address, [`Error::Interrupted`] when the connection failed, and [`Error::TimedOut`] when the headers did
    /// not arrive in time.
    pub async fn send(
        &self,
        mut req: Request<SegmentedBody>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Response<UpstreamBody>> {
        let upstream = convert_to_origin_form(&mut req)?;
        self.send_to(upstream, req, reuse, limit).await
    }

    /// Sends a request and waits at most `limit` for the response headers. The URI of the request
    /// is in origin form (path and query), and its headers include `Host`.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when nothing was written to a connection, [`Error::ConnectionRefused`] when
    /// no process listens at the address, [`Error::Interrupted`] when the
    /// connection failed, and [`Error::TimedOut`] when the headers did not arrive in time.
    pub async fn send_to(
        &self,
        upstream: SocketAddr,
        req: Request<SegmentedBody>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Response<UpstreamBody>> {
        let connect_timeout = self.pools.options.connect_timeout;
        self.send_connected_within(upstream, req, reuse, limit, connect_timeout)
            .await
    }

    /// Sends a request like [`send_to`](Self::send_to), with a time limit of its own for opening a
    /// connection.
    ///
    /// # Errors
    ///
    /// As for [`send_to`](Self::send_to).
    pub async fn send_connected_within(
        &self,
        upstream: SocketAddr,
        mut req: Request<SegmentedBody>,
        reuse: Reuse,
        limit: Duration,
        connect_timeout: Duration,
    ) -> Result<Response<UpstreamBody>> {
        let deadline = Instant::now() + limit;
        let mut reuse = reuse;
        loop {
            let connect_deadline = deadline.min(Instant::now() + connect_timeout);
            let connection = self.check_out(upstream, reuse, connect_deadline).await?;
            let is_reused = connection.is_reused;
            match self.exchange(connection, req, deadline).await {
                Ok(res) => return Ok(res),
                Err(ExchangeError::Unwritten(unwritten)) if is_reused => {
                    req = *unwritten;
                    reuse = Reuse::Forbidden;
                }
                Err(ExchangeError::Unwritten(_)) => {
                    return Err(Error::not_sent("the connection closed before the request"));
                }
                Err(ExchangeError::Interrupted(error)) => return Err(error),
            }
        }
    }

    /// Returns the maximum time to open a connection.
    pub fn connect_timeout(&self) -> Duration {
        self.pools.options.connect_timeout
    }

    /// Closes the idle connections to an upstream, and keeps those in use from being pooled.
    pub fn close_idle(&self, upstream: SocketAddr) {
        let generation = self.pools.generation(upstream);
        self.pools.invalidate(upstream, generation);
    }

    /// Returns whether an upstream accepts a new connection within `limit`. The connection is closed at
    /// once.
    pub async fn accepts(&self, upstream: SocketAddr, limit: Duration) -> bool {
        let connected = timeout(limit, TcpStream::connect(upstream)).await;
        matches!(connected, Ok(Ok(_)))
    }

    /// Takes an idle connection if `reuse` allows it, and otherwise opens one.
    async fn check_out(
        &self,
        upstream: SocketAddr,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<Connection> {
        if reuse == Reuse::Allowed
            && let Some(idle) = self.pools.take_idle(upstream)
        {
            return Ok(idle);
        }
        let opened = connect::open(upstream, self.pools.options.silence_timeout);
        let (sender, task) = match timeout_at(deadline, opened).await {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => return Err(Error::not_connected(&error)),
            Err(_) => return Err(Error::not_sent("no connection within the time limit")),
        };
        Ok(Connection {
            sender,
            task,
            upstream,
            generation: self.pools.generation(upstream),
            is_reused: false,
        })
    }

    /// Sends a request over a connection and waits for the response headers.
    async fn exchange(
        &self,
        mut connection: Connection,
        req: Request<SegmentedBody>,
        deadline: Instant,
    ) -> std::result::Result<Response<UpstreamBody>, ExchangeError> {
        let mut guard = InvalidationGuard {
            pools: &self.pools,
            upstream: connection.upstream,
            generation: connection.generation,
            has_ended: false,
        };
        let written_before = connection.task.written();
        let sent = timeout_at(deadline, connection.sender.try_send_request(req)).await;
        let result = match sent {
            Ok(result) => result,
            Err(_) => {
                let error = match connection.task.stop().await == written_before {
                    true => Error::not_sent("nothing was written within the time limit"),
                    false => Error::TimedOut,
                };
                return Err(ExchangeError::Interrupted(error));
            }
        };
        guard.has_ended = true;
        match result {
            Ok(res) if !is_final(res.status()) => {
                let reason = format!(
                    "status {} is no final status of HTTP",
                    res.status().as_u16()
                );
                Err(ExchangeError::Interrupted(Error::malformed(reason)))
            }
            Ok(res) => {
                let (parts, incoming) = res.into_parts();
                let idle_lifetime = self.pools.idle_lifetime(&parts.headers);
                let pools = Arc::clone(&self.pools);
                let body = UpstreamBody::new(incoming, connection, idle_lifetime, pools);
                Ok(Response::from_parts(parts, body))
            }
            Err(mut error) => match error.take_message() {
                Some(unwritten) => Err(ExchangeError::Unwritten(Box::new(unwritten))),
                None => {
                    let reason = error_chain(error.error());
                    Err(ExchangeError::Interrupted(
                        match connection.task.stop().await == written_before {
                            true => Error::not_sent(reason),
                            false => Error::interrupted(reason),
                        },
                    ))
                }
            },
        }
    }
}

/// `ExchangeError` states why a request got no response.
enum ExchangeError {
    /// The connection closed before any of the request was written.
    Unwritten(Box<Request<SegmentedBody>>),
    /// The request may have been received, unless the error says that it was not sent.
    Interrupted(Error),
}

impl ConnectionPools {
    /// Returns a connection to its pool after its response has been read to the end.
    pub(crate) fn put_back(&self, mut connection: Connection, idle_lifetime: Duration) {
        if idle_lifetime.is_zero() || connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let now = Instant::now();
        let mut state = self.lock();
        state.sweep(now);
        if state.idle_count >= self.options.max_idle {
            return;
        }
        let Some(pool) = state.by_upstream.get_mut(&connection.upstream) else {
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
            expires_at: now + idle_lifetime,
        });
        state.idle_count += 1;
    }

    fn take_idle(&self, upstream: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut state = self.lock();
        let pool = state.by_upstream.get_mut(&upstream)?;
        pool.idle.retain(|idle| idle.is_usable(now));
        let is_ready = |idle: &IdleConnection| idle.connection.sender.is_ready();
        let newest = pool.idle.iter().rposition(is_ready)?;
        let connection = pool.idle.remove(newest).connection;
        state.idle_count = state.idle_count.saturating_sub(1);
        Some(connection)
    }

    /// Returns the generation of an upstream's pool, and creates the pool if there is none.
    fn generation(&self, upstream: SocketAddr) -> u64 {
        let now = Instant::now();
        let mut state = self.lock();
        let by_upstream = &mut state.by_upstream;
        if by_upstream.len() >= MAX_POOLS && !by_upstream.contains_key(&upstream) {
            by_upstream.clear();
        }
        let pool = by_upstream.entry(upstream).or_default();
        pool.idle.retain(|idle| idle.is_usable(now));
        pool.generation
    }

    /// Closes the idle connections to an upstream, unless that has already been done for this
    /// generation. They may have stopped responding together with the one that gave no response.
    fn invalidate(&self, upstream: SocketAddr, generation: u64) {
        let mut state = self.lock();
        if let Some(pool) = state.by_upstream.get_mut(&upstream)
            && pool.generation == generation
        {
            pool.generation += 1;
            pool.idle.clear();
        }
    }

    /// Returns the time during which a connection may be reused after this response.
    fn idle_lifetime(&self, headers: &HeaderMap) -> Duration {
        let limit = self.options.idle_timeout;
        match keep_alive_timeout(headers) {
            Some(announced) => limit.min(announced.mul_f64(KEEP_ALIVE_REUSE_RATIO)),
            None => limit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && !self.connection.sender.is_closed()
    }
}

/// `InvalidationGuard` invalidates the pool of an upstream when a request to it is abandoned without
/// a response, because it timed out or because its future was dropped.
struct InvalidationGuard<'a> {
    pools: &'a ConnectionPools,
    upstream: SocketAddr,
    generation: u64,
    has_ended: bool,
}

impl Drop for InvalidationGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.pools.invalidate(self.upstream, self.generation);
        }
    }
}

/// Returns whether a status is one that HTTP defines for a final response. The parser accepts others too. It
/// skips interim responses but 101, which no request asks for.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads the timeout from a `Keep-Alive: timeout=N` header, in whole seconds.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = value.split(',');
    let mut seconds = parameters.filter_map(|p| p.trim().strip_prefix("timeout="));
    seconds.next()?.parse().ok().map(Duration::from_secs)
}

/// Converts a request's absolute URI to origin form, adds the `Host` header unless there is one,
/// and returns the address of the upstream.
fn convert_to_origin_form(req: &mut Request<SegmentedBody>) -> Result<SocketAddr> {
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

/// Returns the text of an error and its sources, separated by colons.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
