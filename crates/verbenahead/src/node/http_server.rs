//! An HTTP listener with bounds on connections, headers and stalled clients.

use std::{sync::Arc, time::Duration};

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

/// Pause after a failed accept, such as when the process has no file descriptors left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Part of the places from which on a connection carries one request only. The callers that keep
/// theirs open must not shut others out.
const CROWDED_PART: f64 = 0.75;

/// `HttpServerOptions` bounds what clients may use.
#[derive(Clone)]
pub struct HttpServerOptions {
    /// Gauge of the open connections.
    pub connections: IntGauge,
    /// Most connections at a time. Further ones wait in the listener's backlog.
    pub max_connections: usize,
    /// Returns the bounds of a connection that is accepted now.
    pub bounds: BoundsSource,
}

/// `BoundsSource` returns the bounds that are in force.
pub type BoundsSource = Arc<dyn Fn() -> ConnectionBounds + Send + Sync>;

/// `ConnectionBounds` limits what one connection may use.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionBounds {
    /// Longest time for the headers of a request to arrive.
    pub header_timeout: Duration,
    /// Most headers of a request.
    pub max_headers: usize,
    /// Most bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Longest time for which a client may take no data.
    pub write_timeout: Duration,
}

impl HttpServerOptions {
    /// Builds options with the usual bounds.
    pub fn new(connections: IntGauge) -> Self {
        Self {
            connections,
            max_connections: 8192,
            bounds: Arc::new(ConnectionBounds::default),
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

/// `ServerPhase` tells a server how far the node's planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Connections are accepted.
    Open,
    /// The listener is closed and connections end with the request that they carry.
    Closing,
}

/// Serves `router` until the phase changes or its channel closes, then waits until every
/// connection has ended.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    options: HttpServerOptions,
    mut phase: watch::Receiver<ServerPhase>,
) {
    let places = Arc::new(Semaphore::new(options.max_connections));
    let connections = GracefulShutdown::new();
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            },
            () = closing(&mut phase) => break,
        };
        let taken = options.max_connections - places.available_permits();
        let is_crowded = taken as f64 > options.max_connections as f64 * CROWDED_PART;
        let connection = build_connection(stream, router.clone(), &(options.bounds)(), !is_crowded);
        let watched = connections.watch(connection);
        let counted = GaugeGuard::new(options.connections.clone());
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                tracing::debug!(%error, "connection ended");
            }
            drop((place, counted));
        });
    }
    drop(listener);
    connections.shutdown().await;
}

async fn closing(phase: &mut watch::Receiver<ServerPhase>) {
    // A closed channel means that its owner is gone, which also ends the server.
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
