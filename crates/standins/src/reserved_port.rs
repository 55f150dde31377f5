//! Ports that stay reserved while nothing listens on them.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Accept queue of a listener, in connections.
const BACKLOG: u32 = 1024;

/// `ReservedPort` keeps a port from being assigned to others until it is dropped, also while nothing listens on
/// it. Without it, the port of a closed listener may be assigned to the stand-in of another test, which then
/// gets the requests to the closed one.
#[derive(Debug)]
pub struct ReservedPort {
    /// Bound socket that never listens. Connections are refused while no other socket listens.
    _socket: TcpSocket,
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves `address`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// An I/O error when the address cannot be bound.
    pub fn reserve(address: SocketAddr) -> io::Result<Self> {
        let socket = bind(address)?;
        let address = socket.local_addr()?;
        Ok(Self {
            _socket: socket,
            address,
        })
    }

    /// Reserves a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// An I/O error when no port can be bound.
    pub fn any() -> io::Result<Self> {
        Self::reserve(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Returns the address, at which connections are refused unless something listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the port.
    ///
    /// # Errors
    ///
    /// An I/O error when another socket listens on it.
    pub fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(BACKLOG)
    }
}

/// Binds a socket that shares its address with others, of which one may listen.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
