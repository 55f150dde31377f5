//! HTTP/1 server with limits on connections, headers and stalled clients.

use std::{net::IpAddr, sync::Arc, time::Duration};

use axum::Router;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use prometheus::IntGauge;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::timeout,
};
use tokio_io_timeout::TimeoutStream;
use verbenahead_relay::MemoryAccount;

use crate::{
    node::{
        client_memory::{CountedRequests, ListenerMemory},
        metered_io::MeteredIo,
    },
    telemetry::gauge_guard::GaugeGuard,
};

/// Time to wait for the end of a connection before another one is closed for a new one.
const NEWCOMER_DELAY: Duration = Duration::from_millis(20);

/// Delay after a failed accept, such as when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Share of `max_connections` above which new connections are closed after one request, so that
/// clients with idle keep-alive connections do not shut others out.
const KEEP_ALIVE_MAX_UTILIZATION: f64 = 0.75;

/// `HttpServerOptions` limits the resources that clients may use.
#[derive(Clone)]
pub struct HttpServerOptions {
    /// Gauge of open connections.
    pub connections: IntGauge,
    /// Maximum number of open connections. Further ones wait in the listener's backlog.
    pub max_connections: usize,
    /// Called for each accepted connection to get its limits.
    pub bounds: BoundsSource,
    /// Called for each accepted connection with the address of its client. Returns whether the client may
    /// send requests.
    pub admits: AdmissionCheck,
    /// Place of the connections in the memory budget of the process. Without one, a new connection waits
    /// while there are `max_connections`, and none is closed for its use of memory.
    pub memory: Option<ListenerMemory>,
}

/// `AdmissionCheck` returns whether the client at an IP address may send requests.
pub type AdmissionCheck = Arc<dyn Fn(IpAddr) -> bool + Send + Sync>;

/// `BoundsSource` returns the limits for a new connection.
pub type BoundsSource = Arc<dyn Fn() -> ConnectionBounds + Send + Sync>;

/// `ConnectionBounds` holds the limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionBounds {
    /// Maximum time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time for which a client may accept no data.
    pub write_timeout: Duration,
}

impl HttpServerOptions {
    /// Creates options with the default limits.
    pub fn new(connections: IntGauge) -> Self {
        Self {
            connections,
            max_connections: 8192,
            bounds: Arc::new(ConnectionBounds::default),
            admits: Arc::new(|_| true),
            memory: None,
        }
    }
}

impl Default for ConnectionBounds {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_headers: 64,
            max_header_bytes: 16 * 1024,
            write_timeout: Duration::from_secs(20),
        }
    }
}

/// `ServerPhase` tells a server whether to accept connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// The server accepts connections.
    Open,
    /// The listener is closed and each connection ends after its current request.
    Closing,
}

/// Serves `router` until the phase changes to [`ServerPhase::Closing`] or its channel closes, then
/// waits until every connection has ended.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    options: HttpServerOptions,
    mut phase: watch::Receiver<ServerPhase>,
) {
    let permits = Arc::new(Semaphore::new(options.max_connections));
    let connections = GracefulShutdown::new();
    loop {
        // Without a budget, a new connection waits in the backlog for its place.
        let early = match &options.memory {
            None => Arc::clone(&permits).acquire_owned().await.ok(),
            Some(_) => None,
        };
        let (stream, client) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((_, client)) if !(options.admits)(client.ip()) => {
                    tracing::warn!(%client, "connection of a client that is not admitted closed");
                    continue;
                }
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = wait_for_closing(&mut phase) => break,
        };
        let permit = match (early, &options.memory) {
            (Some(permit), _) => permit,
            (None, None) => return,
            (None, Some(memory)) => tokio::select! {
                permit = acquire_place(&permits, memory) => permit,
                () = wait_for_closing(&mut phase) => break,
            },
        };
        let open_count = options.max_connections - permits.available_permits();
        let is_nearly_full =
            open_count as f64 > options.max_connections as f64 * KEEP_ALIVE_MAX_UTILIZATION;
        let account = options
            .memory
            .as_ref()
            .map(|memory| memory.open(client.ip()));
        let requests = Arc::new(CountedRequests::new(router.clone(), account.clone()));
        let service = service_fn(move |req| {
            let requests = Arc::clone(&requests);
            async move { requests.serve(req).await }
        });
        let io = client_io(stream, account.clone(), &(options.bounds)());
        let connection =
            http_builder(&(options.bounds)(), !is_nearly_full).serve_connection(io, service);
        let watched = connections.watch(connection);
        let gauge_guard = GaugeGuard::new(options.connections.clone());
        tokio::spawn(async move {
            tokio::select! {
                ended = watched => if let Err(error) = ended {
                    tracing::debug!(%error, "connection ended");
                },
                // The connection is dropped, with the request that is in progress.
                () = wait_closed(account.as_ref()) => {}
            }
            drop((permit, gauge_guard));
        });
    }
    drop(listener);
    connections.shutdown().await;
}

async fn wait_for_closing(phase: &mut watch::Receiver<ServerPhase>) {
    // A closed channel means that its sender was dropped, which also ends the server.
    let _ = phase.wait_for(|phase| *phase == ServerPhase::Closing).await;
}

/// Waits for a place for a new connection. While there is none, connections that may be closed are closed
/// one by one.
async fn acquire_place(permits: &Arc<Semaphore>, memory: &ListenerMemory) -> OwnedSemaphorePermit {
    loop {
        if permits.available_permits() == 0 {
            memory.close_for_newcomer();
        }
        let place = Arc::clone(permits).acquire_owned();
        if let Ok(Ok(place)) = timeout(NEWCOMER_DELAY, place).await {
            return place;
        }
    }
}

/// Waits until the memory budget closes a connection.
async fn wait_closed(account: Option<&MemoryAccount>) {
    match account {
        Some(account) => account.closed().await,
        None => std::future::pending().await,
    }
}

type ClientIo = TokioIo<MeteredIo<std::pin::Pin<Box<TimeoutStream<TcpStream>>>>>;

fn client_io(
    stream: TcpStream,
    account: Option<MemoryAccount>,
    bounds: &ConnectionBounds,
) -> ClientIo {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "TCP_NODELAY was not set");
    }
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(bounds.write_timeout));
    TokioIo::new(MeteredIo::new(Box::pin(stream), account))
}

fn http_builder(bounds: &ConnectionBounds, keep_alive: bool) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .keep_alive(keep_alive)
        .header_read_timeout(bounds.header_timeout)
        .max_headers(bounds.max_headers)
        .max_buf_size(bounds.max_header_bytes);
    builder
}
