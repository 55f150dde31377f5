//! The opening of listeners.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted. When many callers come back at once, a dropped opening
/// packet costs them a second.
const BACKLOG: u32 = 4096;

/// Opens a listener with room for a burst of new connections.
///
/// # Errors
///
/// When the address cannot be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
