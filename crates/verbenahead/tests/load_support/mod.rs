//! Bounded loads of uncontrolled clients, and an ordinary caller beside them.

#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::relay_support::{HOST, KEY};

/// Time for which a load is sent and its connections are held.
pub const LOAD_TIME: Duration = Duration::from_secs(5);

/// Time limit of an ordinary call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// `Form` is a form of traffic that clients outside the operator's control send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Bodies of 192 KiB that stop one byte before their end.
    BodiesStopShort,
    /// Bodies of 4 MiB that stop one byte before their end.
    LargeBodiesStopShort,
    /// Bodies in chunks of 700 bytes that never end.
    ChunkedBodies,
    /// Bodies of 16 times the limit.
    OversizedBodies,
    /// Bodies that arrive at 200 bytes per second.
    TrickledBodies,
    /// Heads of very many short fields.
    ManyFields,
    /// Prompt headers of very many parts.
    ManyParts,
    /// Pipelined requests whose answers are not read.
    Pipelined,
    /// Connections that stop within the head.
    HalfHeads,
    /// Heads that fill the limit and never end.
    EndlessHeads,
    /// Answers that are not read.
    UnreadAnswers,
}

/// `Target` is where a load is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A route, with a known key.
    Route,
    /// A route, with an unknown key.
    UnknownKey,
    /// A path without a route.
    NoRoute,
    /// A route to a service with large answers.
    LargeAnswers,
    /// The listener for the balancer.
    Readiness,
}

/// `Outcome` counts what became of the connections of a load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub connections: usize,
    pub sent: u64,
    /// Connections whose first answer has a status of 400 or above.
    pub refused: usize,
    /// Connections that the node closed.
    pub closed: usize,
}

impl Form {
    /// Number of connections.
    fn connections(self) -> usize {
        match self {
            Self::LargeBodiesStopShort => 40,
            Self::OversizedBodies => 12,
            Self::Pipelined | Self::TrickledBodies | Self::UnreadAnswers => 200,
            Self::BodiesStopShort | Self::ChunkedBodies => 400,
            Self::ManyFields | Self::ManyParts | Self::HalfHeads | Self::EndlessHeads => 1_400,
        }
    }

    /// Returns what one connection sends at once, and what it repeats with a pause after that.
    fn payload(self, target: Target) -> (Vec<u8>, Option<(Vec<u8>, Duration)>) {
        let body = |length: usize, sent: usize| {
            let head = head(target, "POST", &format!("content-length: {length}\r\n"));
            [head, vec![b'x'; sent]].concat()
        };
        match self {
            Self::BodiesStopShort => (body(192 << 10, (192 << 10) - 1), None),
            Self::LargeBodiesStopShort => (body(4 << 20, (4 << 20) - 1), None),
            Self::OversizedBodies => (body(64 << 20, 8 << 20), None),
            Self::TrickledBodies => {
                let rest = (vec![b'x'; 20], Duration::from_millis(100));
                (body(100_000, 100), Some(rest))
            }
            Self::ChunkedBodies => {
                let head = head(target, "POST", "transfer-encoding: chunked\r\n");
                let chunk = [b"2bc\r\n".as_slice(), &[b'x'; 700], b"\r\n"].concat();
                ([head, chunk.repeat(200)].concat(), None)
            }
            Self::ManyFields => {
                let fields: String = (0..1_500).map(|n| format!("a{n:x}: b\r\n")).collect();
                (
                    head(target, "POST", &format!("{fields}content-length: 9\r\n")),
                    None,
                )
            }
            Self::ManyParts => {
                let parts = vec!["a:1"; 3_800].join(",");
                let fields = format!(
                    "model: m\r\ntoken-count: 300,40\r\nprompt-prefix: {parts}\r\ncontent-length: 9\r\n"
                );
                (head(target, "POST", &fields), None)
            }
            Self::Pipelined => (head(target, "GET", "").repeat(1_000), None),
            Self::HalfHeads => (b"GET / HTTP/1.1\r\nhost: ".to_vec(), None),
            Self::EndlessHeads => {
                let start = b"GET / HTTP/1.1\r\nhost: ".to_vec();
                ([start, vec![b'x'; 15 << 10]].concat(), None)
            }
            Self::UnreadAnswers => (head(target, "GET", "").repeat(4), None),
        }
    }
}

/// Returns the head of a request to `target`.
fn head(target: Target, method: &str, fields: &str) -> Vec<u8> {
    let (path, key) = match target {
        Target::Route => ("/look/load", KEY),
        Target::UnknownKey => ("/look/load", "guess"),
        Target::NoRoute => ("/none", KEY),
        Target::LargeAnswers => ("/bulk/load", KEY),
        Target::Readiness => ("/readiness", KEY),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: load\r\ndeadline-ms: 20000\r\n\
         authorization: Bearer {key}\r\n{fields}\r\n"
    )
    .into_bytes()
}

/// Sends a load to `to` and holds its connections until [`LOAD_TIME`] has passed.
pub async fn send_load(to: SocketAddr, form: Form, target: Target) -> Outcome {
    let until = Instant::now() + LOAD_TIME;
    let (payload, rest) = form.payload(target);
    let (payload, rest) = (Arc::new(payload), Arc::new(rest));
    let tasks: Vec<_> = (0..form.connections())
        .map(|_| tokio::spawn(hold(to, Arc::clone(&payload), Arc::clone(&rest), until)))
        .collect();
    let mut outcome = Outcome::default();
    for task in tasks {
        let (sent, refused, closed) = task.await.expect("a load does not fail");
        outcome.connections += 1;
        outcome.sent += sent;
        outcome.refused += usize::from(refused);
        outcome.closed += usize::from(closed);
    }
    outcome
}

/// Sends on one connection and holds it. Returns the bytes sent, and whether the node refused the request
/// and closed the connection.
async fn hold(
    to: SocketAddr,
    payload: Arc<Vec<u8>>,
    rest: Arc<Option<(Vec<u8>, Duration)>>,
    until: Instant,
) -> (u64, bool, bool) {
    let socket = TcpSocket::new_v4().expect("a socket");
    // Answers that are not read must not end up in the buffers of the kernel.
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let Ok(Ok(mut stream)) = timeout_at(until, socket.connect(to)).await else {
        return (0, false, true);
    };
    let mut sent = 0;
    let sending = async {
        while sent < payload.len() {
            sent += stream.write(&payload[sent..]).await?;
        }
        while let Some((piece, pause)) = rest.as_ref() {
            sleep(*pause).await;
            sent += stream.write(piece).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    let failed = matches!(timeout_at(until, sending).await, Ok(Err(_)));
    tokio::time::sleep_until(until).await;
    let mut answer = vec![0; 64 << 10];
    let read = timeout(Duration::from_millis(20), stream.read(&mut answer)).await;
    let refused = match read {
        Ok(Ok(count)) => {
            answer[..count].starts_with(b"HTTP/1.1 4") || answer[..count].starts_with(b"HTTP/1.1 5")
        }
        _ => false,
    };
    let mut closed = failed || matches!(read, Ok(Err(_) | Ok(0)));
    // Reads what is left up to the end of the connection, if it has one.
    while !closed
        && let Ok(read) = timeout(Duration::from_millis(5), stream.read(&mut answer)).await
    {
        closed = matches!(read, Err(_) | Ok(0));
    }
    (sent as u64, refused, closed)
}

/// `OrdinaryCaller` calls a node at a steady rate, each time on a new connection.
pub struct OrdinaryCaller {
    stop: watch::Sender<bool>,
    task: JoinHandle<Served>,
}

/// `Served` counts the calls of an ordinary caller.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub calls: usize,
    pub served: usize,
    pub slowest: Duration,
}

impl OrdinaryCaller {
    pub fn start(to: SocketAddr) -> Self {
        let (stop, mut stopped) = watch::channel(false);
        let task = tokio::spawn(async move {
            let mut served = Served::default();
            while timeout(Duration::from_millis(40), stopped.wait_for(|stop| *stop))
                .await
                .is_err()
            {
                let begun = Instant::now();
                let answer = timeout(CALL_TIMEOUT, call_once(to)).await;
                served.calls += 1;
                served.served +=
                    usize::from(answer.is_ok_and(|line| line.starts_with("HTTP/1.1 200")));
                served.slowest = served.slowest.max(begun.elapsed());
            }
            served
        });
        Self { stop, task }
    }

    pub async fn stop(self) -> Served {
        self.stop.send_replace(true);
        self.task.await.expect("the caller does not fail")
    }
}

/// Sends a small request with a body on a new connection and returns its answer, or an empty text.
async fn call_once(to: SocketAddr) -> String {
    let Ok(stream) = TcpStream::connect(to).await else {
        return String::new();
    };
    KeptConnection { stream }.call().await
}

/// Sends a body of 4 MiB at a steady rate and returns the beginning of the answer, or an empty text.
pub async fn send_steadily(to: SocketAddr, bytes_per_second: usize) -> String {
    const LENGTH: usize = 4 << 20;
    const PIECES_PER_SECOND: usize = 20;
    let mut stream = TcpStream::connect(to).await.expect("the node accepts");
    let fields = format!("content-length: {LENGTH}\r\n");
    let head = head(Target::Route, "POST", &fields);
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / PIECES_PER_SECOND as u32);
    let sending = async {
        stream.write_all(&head).await?;
        for piece in vec![b'x'; LENGTH].chunks(bytes_per_second / PIECES_PER_SECOND) {
            ticks.tick().await;
            stream.write_all(piece).await?;
        }
        let mut answer = vec![0; 4096];
        let count = stream.read(&mut answer).await?;
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&answer[..count]).into_owned())
    };
    sending.await.unwrap_or_default()
}

/// `KeptConnection` is a persistent connection of an ordinary caller.
pub struct KeptConnection {
    stream: TcpStream,
}

impl KeptConnection {
    pub async fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.expect("the node accepts");
        Self { stream }
    }

    /// Sends a request and returns the beginning of its answer, or an empty text without one.
    pub async fn call(&mut self) -> String {
        let mut request = head(Target::Route, "POST", "content-length: 20000\r\n");
        request.extend_from_slice(&[b'x'; 20_000]);
        if self.stream.write_all(&request).await.is_err() {
            return String::new();
        }
        let mut answer = vec![0; 4096];
        match timeout(CALL_TIMEOUT, self.stream.read(&mut answer)).await {
            Ok(Ok(count)) => String::from_utf8_lossy(&answer[..count]).into_owned(),
            _ => String::new(),
        }
    }
}
