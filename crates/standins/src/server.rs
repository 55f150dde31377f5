//! HTTP server that can close a connection instead of sending the response.

use std::{io, net::SocketAddr, sync::Arc};

use axum::{Router, response::Response};
use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tower::ServiceExt as _;

use crate::reserved_port::ReservedPort;

/// `Abandoned` is a response extension. A response that carries it is not sent, and its connection
/// is closed.
#[derive(Debug, Clone, Copy)]
pub struct Abandoned;

/// `HangUp` tells how to treat a request whose caller has closed the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HangUp {
    /// The request is cancelled.
    Cancels,
    /// The request is completed.
    Ignored,
}

/// `Server` serves a router until it is dropped. Dropping it closes all connections at
/// once, as the exit of a process does.
#[derive(Debug)]
pub struct Server {
    port: Arc<ReservedPort>,
    stop: watch::Sender<()>,
}

impl Server {
    /// Listens on `listen` and serves `router`.
    ///
    /// # Errors
    ///
    /// An I/O error when the address cannot be listened on.
    pub async fn start(listen: SocketAddr, router: Router, hang_up: HangUp) -> io::Result<Self> {
        let port = Arc::new(ReservedPort::reserve(listen)?);
        let listener = port.listen()?;
        let (stop, stopped) = watch::channel(());
        tokio::spawn(accept_all(listener, router, hang_up, stopped));
        Ok(Self { port, stop })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Returns the port, which stays reserved while it is held.
    pub fn port(&self) -> Arc<ReservedPort> {
        Arc::clone(&self.port)
    }

    /// Returns a receiver whose channel closes when the server is dropped.
    pub fn stopped(&self) -> watch::Receiver<()> {
        self.stop.subscribe()
    }
}

/// Waits until the sender of `stopped` is dropped.
pub async fn wait_stopped(mut stopped: watch::Receiver<()>) {
    while stopped.changed().await.is_ok() {}
}

async fn accept_all(
    listener: TcpListener,
    router: Router,
    hang_up: HangUp,
    stopped: watch::Receiver<()>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_stopped(stopped.clone()) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let router = router.clone();
                let stopped = stopped.clone();
                tokio::spawn(serve_connection(stream, router, hang_up, stopped));
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::task::yield_now().await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    hang_up: HangUp,
    stopped: watch::Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| answer(router.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(hang_up == HangUp::Ignored)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = connection => {
            if let Err(error) = result {
                tracing::debug!(%error, "connection ended");
            }
        }
        () = wait_stopped(stopped) => {}
    }
}

async fn answer(router: Router, req: Request<Incoming>) -> io::Result<Response> {
    let response = match router.oneshot(req).await {
        Ok(response) => response,
        Err(never) => match never {},
    };
    if response.extensions().get::<Abandoned>().is_some() {
        return Err(io::Error::other("response dropped by an injected fault"));
    }
    Ok(response)
}
