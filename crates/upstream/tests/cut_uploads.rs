//! Failure pattern: an upstream answers while the request is still being written, without a length, and ends the
//! connection. What arrived until then must not be taken for the whole answer.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Collected};
use rstest::rstest;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
};
use verbenahead_upstream::{
    Connections, ConnectionsOptions, Result, Reuse, SegmentedBody, UpstreamBody, UpstreamSocket,
};

const LIMIT: Duration = Duration::from_secs(10);

/// Size of a request that no socket takes over at once.
const LARGE: usize = 16 * 1024 * 1024;

/// Head of an answer that ends with its connection, and a part of its body.
const HEAD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const PART: &str = "a part of the answer";

/// What an upstream does after it has sent its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Resets the connection.
    Reset,
    /// Ends its side, and resets the connection some time later.
    CloseThenReset,
    /// Ends its side in order.
    Close,
}

/// `Upstream` is how an upstream treats one request.
#[derive(Debug, Clone, Copy)]
struct Upstream {
    /// Bytes that it reads before it answers.
    reads: usize,
    /// Time between its answer and the end.
    pause: Duration,
    end: End,
}

impl Upstream {
    async fn start(self) -> SocketAddr {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(8 * 1024).expect("a size");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any).expect("a free port");
        let listener = socket.listen(8).expect("a listener");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The client may have closed the connection.
                tokio::spawn(async move {
                    let _ = self.serve(stream).await;
                });
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = vec![0; 64 * 1024];
        let mut read = 0;
        while read < self.reads {
            match stream.read(&mut buf).await? {
                0 => break,
                n => read += n,
            }
        }
        stream.write_all(HEAD.as_bytes()).await?;
        stream.write_all(PART.as_bytes()).await?;
        sleep(self.pause).await;
        match self.end {
            End::Reset => stream.set_zero_linger()?,
            End::Close => stream.shutdown().await?,
            End::CloseThenReset => {
                stream.shutdown().await?;
                sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger()?;
            }
        }
        Ok(())
    }
}

/// Sends a request of this size and reads the answer to its end.
async fn call(to: SocketAddr, size: usize) -> std::result::Result<Bytes, String> {
    let connections = Connections::new(ConnectionsOptions::default());
    let body = SegmentedBody::from(Bytes::from(vec![b'x'; size]));
    let req = Request::post("/call").header("host", "upstream");
    let req = req.body(body).expect("a request");
    let sent: Result<Response<UpstreamBody>> =
        connections.send_to(to, req, Reuse::Forbidden, LIMIT).await;
    let res = sent.map_err(|error| error.to_string())?;
    let body = timeout(LIMIT, res.into_body().collect()).await;
    let body = body.expect("an end of the answer");
    body.map(Collected::to_bytes)
        .map_err(|error| error.to_string())
}

// Guards against a part of an answer that is taken for the whole, since the connection was reset while the request was
// written, or ended by an upstream that crashed.
#[rstest]
#[tokio::test]
async fn an_answer_that_ends_while_its_request_is_written_is_not_whole(
    #[values(0, 1_000, LARGE / 2)] reads: usize,
    #[values(Duration::ZERO, Duration::from_millis(2), Duration::from_millis(20))] pause: Duration,
    #[values(End::Reset, End::CloseThenReset, End::Close)] end: End,
) {
    let upstream = Upstream { reads, pause, end };
    let address = upstream.start().await;

    for _ in 0..5 {
        let answer = call(address, LARGE).await;

        assert!(answer.is_err(), "{answer:?}");
    }
}

// Guards against a reset after the whole request that is taken for the end of the answer.
#[rstest]
#[tokio::test]
async fn an_answer_that_is_reset_is_not_whole(
    #[values(1, 200_000, LARGE)] size: usize,
    #[values(Duration::ZERO, Duration::from_millis(2))] pause: Duration,
) {
    let upstream = Upstream {
        reads: size,
        pause,
        end: End::Reset,
    };
    let address = upstream.start().await;

    let answer = call(address, size).await;

    assert!(answer.is_err(), "{answer:?}");
}

// Shows that the checks above pass an answer that is whole.
#[rstest]
#[tokio::test]
async fn an_answer_that_ends_after_its_request_is_whole(#[values(0, 200_000, LARGE)] size: usize) {
    let upstream = Upstream {
        reads: size,
        pause: Duration::ZERO,
        end: End::Close,
    };
    let address = upstream.start().await;

    let answer = call(address, size).await;

    assert_eq!(answer, Ok(Bytes::from_static(PART.as_bytes())));
}

/// `ScriptedStream` is a stream whose input ends after a part, and whose writes fail or wait.
#[derive(Debug)]
struct ScriptedStream {
    input: &'static [u8],
    fails: bool,
}

impl AsyncRead for ScriptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        buf.put_slice(std::mem::take(&mut self.input));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ScriptedStream {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        match self.fails {
            true => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            false => Poll::Pending,
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

// Guards against a reset that a write meets: the kernel reports it once, and the next read looks like an end.
#[rstest]
#[case::write_fails(true)]
#[case::write_waits(false)]
#[tokio::test]
async fn an_end_of_input_after_an_unfinished_write_is_an_error(#[case] fails: bool) {
    let stream = ScriptedStream {
        input: PART.as_bytes(),
        fails,
    };
    let mut socket = UpstreamSocket::new(stream, Arc::default());
    let mut input = Vec::new();

    let written = timeout(Duration::from_millis(10), socket.write_all(b"request")).await;
    let read = socket.read_to_end(&mut input).await;

    assert!(!matches!(written, Ok(Ok(()))), "{written:?}");
    let error = read.expect_err("no end in order");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    assert_eq!(input, PART.as_bytes());
}
