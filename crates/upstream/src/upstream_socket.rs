//! Socket of a connection to an upstream.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// `UpstreamSocket` is the socket of a connection to an upstream. It counts the written bytes.
///
/// An answer without a length ends with its connection. An upstream that crashes while a request is being written may
/// end the connection in order and reset it afterwards, and the kernel reports a reset only once, to a write or to a
/// read. So the end of the input is an error when a write failed or the socket has not taken over the request.
#[derive(Debug)]
pub struct UpstreamSocket<S> {
    stream: S,
    written: Arc<AtomicU64>,
    output: Output,
}

/// `Output` is the state of what is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Output {
    /// The socket took over what it was given.
    Taken,
    /// The socket has no room for the rest.
    Blocked,
    /// A write failed.
    Failed,
}

impl<S> UpstreamSocket<S> {
    /// Wraps a connected stream. The number of written bytes is added to `written`.
    pub fn new(stream: S, written: Arc<AtomicU64>) -> Self {
        Self {
            stream,
            written,
            output: Output::Taken,
        }
    }

    fn record(&mut self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.output = match &result {
            Poll::Ready(Ok(_)) => Output::Taken,
            Poll::Ready(Err(_)) => Output::Failed,
            Poll::Pending => Output::Blocked,
        };
        if let Poll::Ready(Ok(bytes)) = &result {
            self.written.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for UpstreamSocket<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        let is_end = buf.filled().len() == before && buf.remaining() > 0;
        Poll::Ready(match this.output {
            Output::Blocked | Output::Failed if is_end => Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the connection ended before the whole request was written",
            )),
            _ => Ok(()),
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for UpstreamSocket<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.record(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.record(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
