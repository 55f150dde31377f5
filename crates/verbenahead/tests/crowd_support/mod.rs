//! Bounded crowds of clients whose requests are far over the limits, and the resources of the process that they reach.

#![allow(dead_code)]

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep_until, timeout_at},
};

pub const MIB: usize = 1 << 20;

/// Largest body of the configuration.
pub const MAX_BODY: usize = 4 * MIB;

/// Size of a body that is far over the limit.
pub const FAR_OVER: usize = 4 * MAX_BODY;

/// Length that no node accepts.
pub const GIB: u64 = 1 << 30;

/// Clients that are more than there are places for connections.
pub const QUEUED: usize = 1_600;

/// Time for which a process is stopped while a crowd arrives.
pub const STOPPED_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a crowd leaves, whatever it has sent.
const CROWD_TIME: Duration = Duration::from_secs(8);

/// Interval between two samples of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// State of a listening socket in the table of the kernel.
const LISTEN_STATE: &str = "0A";

/// `Body` is how the clients of a crowd send a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// The head states this length.
    Announced(u64),
    /// As `Announced`, by clients that name `100-continue` and do not wait for it.
    AnnouncedUnasked(u64),
    /// Chunks of this size, without a stated length.
    Chunks(usize),
    /// Frames of HTTP/2 on the first stream of a connection, in a message of gRPC that states this length.
    Message(u32),
}

impl Body {
    /// Returns the header fields.
    pub fn fields(self) -> String {
        match self {
            Self::Announced(length) => format!("content-length: {length}\r\n"),
            Self::AnnouncedUnasked(length) => {
                format!("content-length: {length}\r\nexpect: 100-continue\r\n")
            }
            Self::Chunks(_) => "transfer-encoding: chunked\r\n".to_owned(),
            Self::Message(_) => String::new(),
        }
    }

    /// Returns about 64 KiB of the body, as they are sent, and the bytes of the body in them.
    fn piece(self) -> (Vec<u8>, usize) {
        const PIECE: usize = 64 << 10;
        match self {
            Self::Announced(_) | Self::AnnouncedUnasked(_) => (vec![b'x'; PIECE], PIECE),
            Self::Chunks(size) => {
                let chunk = [format!("{size:x}\r\n").into_bytes(), vec![b'x'; size]].concat();
                let chunk = [chunk, b"\r\n".to_vec()].concat();
                let count = PIECE.div_ceil(chunk.len());
                (chunk.repeat(count), count * size)
            }
            Self::Message(_) => (frame(DATA, 0, &[b'x'; 10_000]), 10_000),
        }
    }
}

/// Returns the head of a request of HTTP/1.1, which begins with `head`.
pub fn http_head(head: &str, body: Body) -> Vec<u8> {
    format!("{head}{}\r\n", body.fields()).into_bytes()
}

const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Types of frames of HTTP/2.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;

/// Flags that end a header block, and that acknowledge settings.
const END_HEADERS: u8 = 4;
const ACK: u8 = 1;

/// Returns a frame of HTTP/2 for the first stream, or for the connection if it holds settings.
fn frame(kind: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a short frame");
    let stream = u8::from(kind != SETTINGS);
    let head = [&length.to_be_bytes()[1..], &[kind, flags, 0, 0, 0, stream]].concat();
    [head.as_slice(), payload].concat()
}

/// Returns the begin of a connection of HTTP/2 with a call of gRPC to `path`, whose message states `length`.
pub fn grpc_head(path: &str, length: u32) -> Vec<u8> {
    let text = |text: &str| [&[text.len() as u8], text.as_bytes()].concat();
    // Fields without indexing (RFC 7541, section 6.2.2): POST, http, `:path`, `:authority`, `content-type`, `te`.
    let fields = [
        vec![0x83, 0x86, 0x04],
        text(path),
        vec![0x01],
        text("n"),
        vec![0x0f, 0x10],
        text("application/grpc"),
        vec![0x00],
        text("te"),
        text("trailers"),
    ];
    let prefix = [&[0], length.to_be_bytes().as_slice()].concat();
    [
        HTTP2_PREFACE.to_vec(),
        frame(SETTINGS, 0, &[]),
        frame(SETTINGS, ACK, &[]),
        frame(HEADERS, END_HEADERS, &fields.concat()),
        frame(DATA, 0, &prefix),
    ]
    .concat()
}

/// `Crowd` is a number of clients that send one body after the other, each on a new connection, and keep the last
/// connection open.
#[derive(Debug, Clone)]
pub struct Crowd {
    pub clients: usize,
    /// Bodies that each client sends.
    pub bodies: usize,
    /// Head of each request.
    pub head: Vec<u8>,
    pub body: Body,
    /// Bytes of each body that are sent.
    pub size: usize,
}

impl Crowd {
    /// Sends all bodies to `to`, or what the node accepts of them in [`CROWD_TIME`].
    pub async fn send(self, to: SocketAddr) {
        let until = Instant::now() + CROWD_TIME;
        let head = Arc::new(self.head);
        let (piece, length) = self.body.piece();
        let piece = Arc::new(piece);
        let (pieces, bodies) = (self.size.div_ceil(length), self.bodies);
        let clients: Vec<_> = (0..self.clients)
            .map(|_| {
                let (head, piece) = (Arc::clone(&head), Arc::clone(&piece));
                tokio::spawn(async move {
                    let mut last = None;
                    for _ in 0..bodies {
                        let sent = send_body(to, &head, &piece, pieces);
                        last = timeout_at(until, sent).await.ok().flatten();
                    }
                    // All last connections stay open until the crowd leaves.
                    if last.is_some() {
                        sleep_until(until).await;
                    }
                })
            })
            .collect();
        for client in clients {
            client.await.expect("a client does not fail");
        }
    }
}

/// Sends a body up to the answer of the node or the end of the connection. Returns the connection if it is open.
async fn send_body(to: SocketAddr, head: &[u8], piece: &[u8], pieces: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(head).await.ok()?;
    if head.starts_with(HTTP2_PREFACE) {
        // The node states its windows in settings of 33 bytes, an acknowledgement of 9 and an update of 13.
        stream.read_exact(&mut [0; 55]).await.ok()?;
    }
    for _ in 0..pieces {
        stream.write_all(piece).await.ok()?;
    }
    let mut answer = [0; 1024];
    match stream.try_read(&mut answer) {
        Ok(0) => None,
        _ => Some(stream),
    }
}

/// `Usage` is the largest use of resources that was seen of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Resident memory together with the bytes that the kernel keeps for the process to read, in KiB.
    pub memory: u64,
    /// Those bytes alone, in KiB.
    pub unread: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// `Sampler` samples a process until it is stopped.
pub struct Sampler {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Usage>,
}

impl Sampler {
    /// Samples the process `id`, which listens on these ports.
    pub fn start(id: u32, ports: Vec<u16>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let mut most = Usage::default();
            while !stopped.load(Ordering::Relaxed) {
                let unread = unread_kib(&ports);
                let resident = resident_kib(id, "VmRSS:").unwrap_or_default();
                let open = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
                most.memory = most.memory.max(resident + unread);
                most.unread = most.unread.max(unread);
                most.descriptors = most.descriptors.max(open as u64);
                thread::sleep(SAMPLE_INTERVAL);
            }
            let peak = resident_kib(id, "VmHWM:").unwrap_or_default();
            most.memory = most.memory.max(peak);
            most
        });
        Self { stop, thread }
    }

    /// Returns the largest use.
    pub fn stop(self) -> Usage {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the sampler does not fail")
    }
}

/// Returns a field of the status of a process, or `None` once it has ended.
fn resident_kib(id: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the bytes that wait in connections to these ports, also in those that were not accepted yet.
fn unread_kib(ports: &[u16]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
    let ports: Vec<_> = ports.iter().map(|port| format!(":{port:04X}")).collect();
    let unread = table.lines().filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let is_connection = *fields.get(3)? != LISTEN_STATE;
        let is_of_process = ports.iter().any(|port| fields[1].ends_with(port));
        let (_, queue) = fields.get(4)?.split_once(':')?;
        (is_connection && is_of_process).then(|| u64::from_str_radix(queue, 16).ok())?
    });
    unread.sum::<u64>() / 1_024
}

/// Sends a request with a body of `size` bytes, announced or in chunks, and returns the status line of the answer.
pub async fn send_whole(to: SocketAddr, head: &str, body: Body, size: usize) -> String {
    let mut request = http_head(head, body);
    match body {
        Body::Announced(_) | Body::AnnouncedUnasked(_) => {
            request.resize(request.len() + size, b'x');
        }
        Body::Message(_) => panic!("a message of gRPC has no head of HTTP/1.1"),
        Body::Chunks(chunk) => {
            for part in vec![b'x'; size].chunks(chunk) {
                request.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                request.extend_from_slice(part);
                request.extend_from_slice(b"\r\n");
            }
            request.extend_from_slice(b"0\r\n\r\n");
        }
    }
    let mut stream = TcpStream::connect(to).await.expect("the node accepts");
    // The node may answer before it has read all.
    let _ = stream.write_all(&request).await;
    let mut answer = vec![0; 4096];
    let count = stream.read(&mut answer).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&answer[..count]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Returns a crowd of more clients than there are places.
pub fn queued_crowd(head: Vec<u8>, body: Body) -> Crowd {
    Crowd {
        clients: QUEUED,
        bodies: 1,
        head,
        body,
        size: FAR_OVER,
    }
}

/// Checks that the use of a process stayed within its limits.
pub fn check_usage(what: &str, used: Usage, memory_mib: u64, descriptors: u64) {
    println!("{what}: {used:?}");
    assert!(used.memory <= memory_mib * 1_024, "{what}: {used:?}");
    assert!(used.descriptors <= descriptors, "{what}: {used:?}");
}
