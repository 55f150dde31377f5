//! Bounds on what the connections and messages of peers take.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_io_timeout::TimeoutStream;
use tonic::{
    Status,
    body::Body as TonicBody,
    transport::server::{Connected, TcpConnectInfo},
};
use verbenahead_core::units::ByteSize;

use crate::options::PeerOptions;

/// Size of the receive buffers of accepted connections, in bytes. The kernel doubles it. What waits there counts for the
/// memory of the process.
const RECEIVE_BUFFER: u32 = 16 * 1024;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 128;

/// Delay after a failed accept, such as when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Unit in which the memory of messages is counted, in bytes.
const MEMORY_UNIT: usize = 1024;

/// Opens a listener whose connections hold a bounded amount of unread data.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size.
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections while there are fewer than the most. Further ones wait to be accepted.
pub(crate) fn incoming(
    listener: TcpListener,
    options: &PeerOptions,
) -> impl Stream<Item = io::Result<PeerIo>> + use<> {
    let places = Arc::new(Semaphore::new(options.max_connections));
    // A live peer answers a keepalive ping in this time.
    let read_timeout = options.idle_timeout + options.keepalive_timeout;
    stream::unfold((listener, places), move |(listener, places)| async move {
        let place = Arc::clone(&places).acquire_owned().await.ok()?;
        let accepted = match listener.accept().await {
            Ok((stream, _)) => PeerIo::try_new(stream, place, read_timeout),
            Err(error) => {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                Err(error)
            }
        };
        Some((accepted, (listener, places)))
    })
}

/// `PeerIo` is a connection of a peer. It is closed when no data arrives for too long, and frees its place then.
#[derive(Debug)]
pub(crate) struct PeerIo {
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    info: TcpConnectInfo,
    _place: OwnedSemaphorePermit,
}

impl PeerIo {
    fn try_new(
        stream: TcpStream,
        place: OwnedSemaphorePermit,
        read_timeout: Duration,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let info = stream.connect_info();
        let mut stream = TimeoutStream::new(stream);
        stream.set_read_timeout(Some(read_timeout));
        Ok(Self {
            stream: Box::pin(stream),
            info,
            _place: place,
        })
    }
}

impl Connected for PeerIo {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.info.clone()
    }
}

impl AsyncRead for PeerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_read(cx, buf)
    }
}

impl AsyncWrite for PeerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.as_mut().poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_shutdown(cx)
    }
}

/// `MessageMemory` is the memory that messages may take while they arrive. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct MessageMemory(Arc<Semaphore>);

impl MessageMemory {
    pub(crate) fn new(limit: ByteSize) -> Self {
        let units = (limit.0 as usize / MEMORY_UNIT).min(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(units)))
    }

    /// Counts a body as it arrives. It fails once there is no memory for it.
    pub(crate) fn count(&self, body: TonicBody) -> TonicBody {
        TonicBody::new(CountedMessage {
            body,
            memory: self.clone(),
            held: None,
        })
    }

    /// Reserves memory for some bytes, or returns `None` if there is none.
    fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from(bytes.div_ceil(MEMORY_UNIT)).ok()?;
        Arc::clone(&self.0).try_acquire_many_owned(units).ok()
    }
}

/// `CountedMessage` is the body of a call, whose memory is reserved until it is dropped.
#[derive(Debug)]
struct CountedMessage {
    body: TonicBody,
    memory: MessageMemory,
    held: Option<OwnedSemaphorePermit>,
}

impl Body for CountedMessage {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            let Some(more) = self.memory.reserve(data.len()) else {
                let status = Status::resource_exhausted("no memory for the message");
                return Poll::Ready(Some(Err(status)));
            };
            match &mut self.held {
                Some(held) => held.merge(more),
                None => self.held = Some(more),
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
