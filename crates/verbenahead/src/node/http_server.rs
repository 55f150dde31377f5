//! HTTP/1 server with limits on connections, headers and stalled clients.

use std::{net::IpAddr, sync::Arc, time::Duration};

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use prometheus::IntGauge;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};
use tokio_io_timeout::TimeoutStream;

use crate::telemetry::gauge_guard::GaugeGuard;

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
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((_, client)) if !(options.admits)(client.ip()) => {
                    tracing::warn!(%client, "connection of a client that is not admitted closed");
                    continue;
                }
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = wait_for_closing(&mut phase) => break,
        };
        let open_count = options.max_connections - permits.available_permits();
        let is_nearly_full =
            open_count as f64 > options.max_connections as f64 * KEEP_ALIVE_MAX_UTILIZATION;
        let connection =
            build_connection(stream, router.clone(), &(options.bounds)(), !is_nearly_full);
        let watched = connections.watch(connection);
        let gauge_guard = GaugeGuard::new(options.connections.clone());
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                tracing::debug!(%error, "connection ended");
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

type ClientIo = TokioIo<std::pin::Pin<Box<TimeoutStream<TcpStream>>>>;

fn build_connection(
    stream: TcpStream,
    router: Router,
    bounds: &ConnectionBounds,
    keep_alive: bool,
) -> http1::Connection<ClientIo, TowerToHyperService<Router>> {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "TCP_NODELAY was not set");
    }
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(bounds.write_timeout));
    http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(keep_alive)
        .header_read_timeout(bounds.header_timeout)
        .max_headers(bounds.max_headers)
        .max_buf_size(bounds.max_header_bytes)
        .serve_connection(
            TokioIo::new(Box::pin(stream)),
            TowerToHyperService::new(router),
        )
}
