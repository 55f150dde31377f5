//! Opens TCP listeners.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Length of the accept queue, in connections. When many callers reconnect at once, each dropped
/// SYN delays its caller by a second.
const BACKLOG: u32 = 4096;

/// Size of the send and receive buffers of accepted connections, in bytes. The kernel doubles it, which lets a
/// connection with a round trip of 3 ms carry 40 MB/s. It would buffer some MiB for each slow client otherwise,
/// and a client that reads slowly would look like one that does not read.
const SOCKET_BUFFER: u32 = 64 * 1024;

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
    // Accepted connections inherit the sizes.
    socket.set_send_buffer_size(SOCKET_BUFFER)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
