//! TCP proxy that can cut connections, drop bytes silently and delay them.

mod connection;
mod control;
mod full_backlog;
mod mode;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use clap::Args;
use tokio::{net::TcpListener, sync::watch};

use crate::{
    reserved_port::ReservedPort,
    server::{HangUp, Server, wait_stopped},
};

pub use control::LinkChange;
pub use mode::{LinkMode, NewConnections};

use connection::Connection;
use full_backlog::FullBacklog;
use mode::LinkState;

/// `LinkOptions` configure a link.
#[derive(Debug, Clone, Args)]
pub struct LinkOptions {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Target address to connect to.
    #[arg(long)]
    pub to: SocketAddr,
    /// Address of the control route.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    /// Delay of bytes in each direction, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
}

impl LinkOptions {
    /// Builds the options of a link to `to` without delay.
    pub fn new(to: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any_port,
            to,
            control: any_port,
            delay_ms: 0,
        }
    }
}

/// `Link` is a running link. Dropping it closes all its connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    control: Server,
    state: watch::Sender<LinkState>,
    accepted: Arc<AtomicU64>,
}

impl Link {
    /// Starts a link.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when an address cannot be bound.
    pub async fn start(options: LinkOptions) -> io::Result<Self> {
        let port = ReservedPort::reserve(options.listen)?;
        let address = port.address();
        let listener = port.listen()?;
        let delay = Duration::from_millis(options.delay_ms);
        let state = watch::Sender::new(LinkState::new(delay));
        let control = Server::start(
            options.control,
            control::router(state.clone()),
            HangUp::Cancels,
        )
        .await?;
        let accepted = Arc::<AtomicU64>::default();
        let acceptor = Acceptor {
            port,
            listener,
            to: options.to,
            state: state.clone(),
            accepted: Arc::clone(&accepted),
        };
        tokio::spawn(acceptor.run(control.stopped()));
        Ok(Self {
            address,
            control,
            state,
            accepted,
        })
    }

    /// Returns the address to connect to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control route.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the number of connections that the link has accepted.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Applies a change, as `PUT /control/link` does.
    pub fn set(&self, change: LinkChange) {
        self.state.send_modify(|state| state.apply(change));
    }
}

#[derive(Debug)]
struct Acceptor {
    /// Keeps the port while new connections are refused.
    port: ReservedPort,
    listener: TcpListener,
    to: SocketAddr,
    state: watch::Sender<LinkState>,
    accepted: Arc<AtomicU64>,
}

/// `AcceptEnd` is the reason why connections are no longer accepted.
enum AcceptEnd {
    /// The link was dropped.
    Stopped,
    /// New connections are refused or not answered from now on.
    Closed(NewConnections),
}

impl Acceptor {
    async fn run(mut self, stopped: watch::Receiver<()>) {
        loop {
            let mode = match self.accept_all(&stopped).await {
                AcceptEnd::Stopped => return,
                AcceptEnd::Closed(mode) => mode,
            };
            let mut state = self.state.subscribe();
            let reopened = state.wait_for(|state| state.new_connections != mode);
            if mode == NewConnections::Unanswered {
                let Ok(_backlog) = FullBacklog::fill(&self.listener).await else {
                    return;
                };
                tokio::select! {
                    _ = reopened => {}
                    () = wait_stopped(stopped.clone()) => return,
                }
                continue;
            }
            drop(self.listener);
            tokio::select! {
                _ = reopened => {}
                () = wait_stopped(stopped.clone()) => return,
            }
            let Ok(listener) = self.port.listen() else {
                return;
            };
            self.listener = listener;
        }
    }

    async fn accept_all(&self, stopped: &watch::Receiver<()>) -> AcceptEnd {
        let mut state = self.state.subscribe();
        let is_closed = |state: &LinkState| {
            let mode = state.new_connections;
            matches!(mode, NewConnections::Refused | NewConnections::Unanswered)
        };
        loop {
            let accepted = tokio::select! {
                biased;
                Ok(closed) = state.wait_for(is_closed) => {
                    return AcceptEnd::Closed(closed.new_connections);
                }
                accepted = self.listener.accept() => accepted,
                () = wait_stopped(stopped.clone()) => return AcceptEnd::Stopped,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            self.accepted.fetch_add(1, Ordering::Relaxed);
            let connection = Connection::new(self.to, self.state.subscribe());
            let stopped = stopped.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = connection.run(stream) => {}
                    () = wait_stopped(stopped) => {}
                }
            });
        }
    }
}
