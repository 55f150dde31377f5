//! Listener for the calls of peers.

use std::net::SocketAddr;

use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};
use tonic::{body::Body, transport::Server};
use tower::util::MapRequestLayer;

use crate::{
    admission::{MessageMemory, incoming, listen},
    credentials::PeerSecurity,
    errors::{Error, Result},
    options::PeerOptions,
    service::PeerService,
    wire::peer_server::PeerServer,
};

/// `PeerListener` is a bound listener that does not serve yet.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    address: SocketAddr,
    options: PeerOptions,
    security: PeerSecurity,
}

impl PeerListener {
    /// Binds a listener. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`Error::PlaintextRefused`] for plaintext on an address that is not loopback, and
    /// [`Error::Bind`] when the address cannot be bound.
    pub async fn try_bind(
        address: SocketAddr,
        options: PeerOptions,
        security: PeerSecurity,
    ) -> Result<Self> {
        security.check_address(address)?;
        let bind = |source| Error::Bind { address, source };
        let listener = listen(address).map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        Ok(Self {
            listener,
            address,
            options,
            security,
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves peers until the returned handle is dropped or shut down.
    ///
    /// # Errors
    ///
    /// [`Error::Credentials`] when the key or a certificate is invalid.
    pub fn serve(self, service: PeerService) -> Result<PeerServerHandle> {
        let options = &self.options;
        let memory = MessageMemory::new(options.max_message_memory);
        let count =
            move |req: tonic::codegen::http::Request<Body>| req.map(|body| memory.count(body));
        let mut server = Server::builder()
            .layer(MapRequestLayer::new(count))
            .timeout(options.serve_timeout)
            .initial_stream_window_size(options.window_bytes)
            .initial_connection_window_size(options.window_bytes)
            .max_concurrent_streams(options.max_calls_per_connection)
            .http2_keepalive_interval(Some(options.idle_timeout))
            .http2_keepalive_timeout(Some(options.keepalive_timeout));
        if let Some(tls) = self.security.server_tls(options) {
            server = server.tls_config(tls).map_err(Error::credentials)?;
        }
        let service = PeerServer::new(service)
            .max_decoding_message_size(options.max_message_bytes)
            .max_encoding_message_size(options.max_message_bytes);
        let incoming = incoming(self.listener, options);
        let (shutdown, stop) = oneshot::channel::<()>();
        let stopped = async {
            let _ = stop.await;
        };
        let serving = server
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stopped);
        let address = self.address;
        let task = tokio::spawn(async move {
            if let Err(e) = serving.await {
                tracing::error!(%address, error = %e, "peer listener failed");
            }
        });
        Ok(PeerServerHandle { shutdown, task })
    }
}

/// `PeerServerHandle` keeps a listener serving. When it is dropped, the listener accepts no new
/// calls, completes those in flight and closes.
#[derive(Debug)]
pub struct PeerServerHandle {
    shutdown: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl PeerServerHandle {
    /// Shuts the listener down gracefully and waits until the calls in flight have completed.
    pub async fn shut_down(self) {
        drop(self.shutdown);
        let _ = self.task.await;
    }
}
