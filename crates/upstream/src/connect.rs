//! Opens a single connection to an upstream.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

use crate::{
    connections::error_chain, segmented_body::SegmentedBody, upstream_socket::UpstreamSocket,
};

/// Size of the read buffer of a connection. It is small because the events of a stream are small.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Size of the receive buffer of a connection, in bytes. The kernel doubles it, which lets an upstream at a round
/// trip of 3 ms send 8 MB/s. Bytes that wait there because a caller reads slowly count for the memory of the
/// machine, and a larger buffer for each of a thousand callers would take most of it.
const SOCKET_RECEIVE_BUFFER: u32 = 16 * 1024;

/// Number of unanswered TCP keepalive probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// `ConnectionTask` drives the I/O of a connection. Dropping it closes the connection at once,
/// which tells the upstream that the response is no longer wanted.
#[derive(Debug)]
pub(crate) struct ConnectionTask {
    task: JoinHandle<()>,
    written: Arc<AtomicU64>,
}

impl ConnectionTask {
    /// Returns the number of bytes that the socket has taken over.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Closes the connection and returns the number of bytes that the socket has taken over. No more are
    /// written after that.
    pub(crate) async fn stop(mut self) -> u64 {
        self.task.abort();
        // The task ends by the abort, or ended before it.
        let _ = (&mut self.task).await;
        self.written()
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection. TCP closes it when the upstream acknowledges nothing for
/// `silence_timeout`.
pub(crate) async fn open(
    upstream: SocketAddr,
    silence_timeout: Duration,
) -> io::Result<(SendRequest<SegmentedBody>, ConnectionTask)> {
    let socket = match upstream {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(SOCKET_RECEIVE_BUFFER)?;
    let stream = socket.connect(upstream).await?;
    stream.set_nodelay(true)?;
    set_silence_timeout(&stream, silence_timeout)?;
    let written = Arc::new(AtomicU64::new(0));
    let stream = UpstreamSocket::new(stream, Arc::clone(&written));
    let (sender, connection) = http1::Builder::new()
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            let error = error_chain(&error);
            tracing::debug!(%upstream, error, "connection to upstream failed");
        }
    });
    Ok((sender, ConnectionTask { task, written }))
}

fn set_silence_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probe_interval = timeout / (KEEPALIVE_PROBES + 1);
    let keepalive = TcpKeepalive::new()
        .with_time(probe_interval)
        .with_interval(probe_interval)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}
