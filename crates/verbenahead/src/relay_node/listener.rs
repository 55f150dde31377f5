//! Opens TCP listeners.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Length of the accept queue, in connections. When many callers reconnect at once, each dropped
/// SYN delays its caller by a second.
const BACKLOG: u32 = 4096;

/// Opens a listener whose accept queue holds a burst of new connections.
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
