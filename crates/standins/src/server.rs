//! An HTTP server that can drop a connection in place of an answer.

use std::{io, net::SocketAddr};

use axum::{Router, response::Response};
use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tower::ServiceExt as _;

/// `Abandoned` marks a response that must not be sent. Its connection is closed instead.
#[derive(Debug, Clone, Copy)]
pub struct Abandoned;

/// `Server` serves a router until it is dropped. Dropping it closes all connections at once, as
/// the end of a process does.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<()>,
}

impl Server {
    /// Listens on `listen` and serves `router`.
    ///
    /// # Errors
    ///
    /// An I/O error when the address cannot be listened on.
    pub async fn start(listen: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        Self::start_on(listener, router)
    }

    /// Serves `router` on a listener.
    ///
    /// # Errors
    ///
    /// An I/O error when the address of the listener cannot be read.
    pub fn start_on(listener: TcpListener, router: Router) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(());
        tokio::spawn(accept_all(listener, router, stopped));
        Ok(Self { address, stop })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a receiver that closes when the server is dropped.
    pub fn stopped(&self) -> watch::Receiver<()> {
        self.stop.subscribe()
    }
}

/// Waits until the sender of `stopped` is gone.
pub async fn wait_stopped(mut stopped: watch::Receiver<()>) {
    while stopped.changed().await.is_ok() {}
}

async fn accept_all(listener: TcpListener, router: Router, stopped: watch::Receiver<()>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_stopped(stopped.clone()) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, router.clone(), stopped.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::task::yield_now().await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router, stopped: watch::Receiver<()>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| answer(router.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
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
        return Err(io::Error::other("the answer is switched to be lost"));
    }
    Ok(response)
}
