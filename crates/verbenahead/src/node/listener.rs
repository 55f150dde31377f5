//! Opens TCP listeners whose connections hold a bounded amount of unread data.

use std::{io, net::SocketAddr};

use derive_more::Display;
use tokio::net::{TcpListener, TcpSocket};
use verbenahead_core::units::ByteSize;

/// Size of the receive buffers of accepted connections, in bytes. The kernel doubles it, which lets a connection with
/// a round trip of 3 ms bring 5 MB/s or more. What waits there counts for the memory of the process.
const RECEIVE_BUFFER: u32 = 16 * 1024;

/// Size of the send buffers of accepted connections, in bytes. With the default, a client that reads slowly would look
/// like one that does not read.
const SEND_BUFFER: u32 = 64 * 1024;

/// Most unread data of a connection, in bytes.
pub const UNREAD_BYTES: u64 = 2 * RECEIVE_BUFFER as u64;

/// Smallest and largest number of connections that wait to be accepted. When many callers reconnect at once, each
/// dropped SYN delays its caller by a second.
const BACKLOG_RANGE: (u64, u64) = (16, 4096);

/// `Backlog` is the number of connections that may wait to be accepted. Clients send before their connection is
/// accepted, so each of them may hold [`UNREAD_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Backlog(u32);

impl Backlog {
    /// Returns the backlog whose connections hold `memory` at most, within the smallest and the largest.
    pub fn within(memory: ByteSize) -> Self {
        let (least, most) = BACKLOG_RANGE;
        Self((memory.0 / UNREAD_BYTES).clamp(least, most) as u32)
    }
}

/// Opens a listener.
///
/// # Errors
///
/// When the address cannot be listened on.
pub fn listen(address: SocketAddr, backlog: Backlog) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the sizes.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind(address)?;
    socket.listen(backlog.0)
}
