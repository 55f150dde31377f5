//! Records what a client's connection moves in its memory account.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use verbenahead_relay::MemoryAccount;

/// `MeteredIo` is a connection whose progress is recorded, if it has an account.
#[derive(Debug)]
pub struct MeteredIo<T> {
    inner: T,
    account: Option<MemoryAccount>,
}

impl<T> MeteredIo<T> {
    /// Records the progress of `inner` in `account`.
    pub fn new(inner: T, account: Option<MemoryAccount>) -> Self {
        Self { inner, account }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let Some(account) = &self.account else {
            return;
        };
        match written {
            Poll::Ready(Ok(bytes)) => account.record_write(Some(*bytes)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => account.record_write(None),
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes > 0
            && let Some(account) = &self.account
        {
            account.record_read(bytes);
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
