//! The making of one connection to an upstream.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle};

use crate::connections::describe;

/// Size of the read buffer of a connection. Events of a stream are small.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// TCP keepalive probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;

/// `ConnectionTask` drives a connection. Dropping it closes the connection at once, which tells
/// the upstream that nobody waits for the answer.
#[derive(Debug)]
pub(crate) struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection. TCP gives it up after `silence_timeout` without any sign of the upstream.
pub(crate) async fn open(
    upstream: SocketAddr,
    silence_timeout: Duration,
) -> io::Result<(SendRequest<Full<Bytes>>, ConnectionTask)> {
    let stream = TcpStream::connect(upstream).await?;
    stream.set_nodelay(true)?;
    set_silence_timeout(&stream, silence_timeout)?;
    let (sender, connection) = http1::Builder::new()
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            let error = describe(&error);
            tracing::debug!(%upstream, error, "connection to upstream broke");
        }
    });
    Ok((sender, ConnectionTask(task)))
}

fn set_silence_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probe_after = timeout / (KEEPALIVE_PROBES + 1);
    let keepalive = TcpKeepalive::new()
        .with_time(probe_after)
        .with_interval(probe_after)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}
