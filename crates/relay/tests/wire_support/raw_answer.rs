//! Calls whose answers are judged by the bytes that the caller's socket receives.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{Way, WireReplica, WireRequest, WireStep, start_before};
use crate::support;

/// Time within which each answer ends.
const LIMIT: Duration = Duration::from_secs(5);

/// `RawAnswer` is what the socket of a caller received.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    /// Body without its framing, as far as it arrived.
    pub body: String,
    /// Whether the bytes end where their framing says.
    pub is_whole: bool,
    /// Whether it has the seal of a replica.
    pub is_sealed: bool,
}

impl RawAnswer {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let has_head = text.contains("\r\n\r\n");
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let head = head.to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let (body, is_whole) = match length {
            Some(length) => (body.to_owned(), length.parse::<usize>() == Ok(body.len())),
            None if head.contains("transfer-encoding: chunked") => unchunk(body),
            // The end of the connection would be taken for that of the body.
            None => (body.to_owned(), true),
        };
        Self {
            status: status.filter(|_| has_head).unwrap_or_default(),
            body,
            is_whole: is_whole && has_head,
            is_sealed: head.contains("\r\nserver-seal:"),
        }
    }

    pub fn is_success(&self) -> bool {
        self.is_whole && (200..300).contains(&self.status)
    }

    /// Asserts that the answer does not pass for one of a replica, nor promises that the request was not run.
    pub fn assert_none_of_a_replica(&self) {
        assert!(!self.is_success(), "{self:?}");
        assert!(!self.says_not_run(), "{self:?}");
        // A stream that was begun is cut off. Anything else is an error of the node.
        assert!(self.status == 200 || !self.is_sealed, "{self:?}");
        assert!(matches!(self.status, 200 | 502 | 504), "{self:?}");
    }

    /// Returns whether the answer promises that the request was not run.
    pub fn says_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// Removes the framing of chunks. Returns whether the last chunk was there.
fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a size of a chunk");
        if size == 0 {
            return (body, after == "\r\n");
        }
        body.push_str(&after[..size.min(after.len())]);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// Sends a request over a connection of its own and reads what arrives until it is closed.
pub async fn call_raw(address: SocketAddr, path: &str, body: &[u8]) -> RawAnswer {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let req = format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\nattempt-id: r1\r\ndeadline-ms: 4000\r\n\
         authorization: Bearer {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        support::HOST,
        support::KEY,
        body.len(),
    );
    stream
        .write_all(req.as_bytes())
        .await
        .expect("a connection");
    stream.write_all(body).await.expect("a connection");
    let mut bytes = Vec::new();
    // A reset ends the answer too.
    let _ = timeout(LIMIT, stream.read_to_end(&mut bytes))
        .await
        .expect("an end of the answer");
    RawAnswer::parse(&bytes)
}

/// Sends these bytes, and ends the connection once they are read.
pub fn send_and_end(bytes: &str, end: &WireStep) -> Vec<WireStep> {
    let pause = match end {
        // A reset discards bytes that were not read yet.
        WireStep::Reset => Duration::from_millis(5),
        _ => Duration::ZERO,
    };
    vec![
        WireStep::Send(bytes.to_owned()),
        WireStep::Pause(pause),
        end.clone(),
    ]
}

/// Calls a relay before two replicas that send these bytes and end the connection. Returns the answer and the
/// number of requests that the replicas received.
pub async fn call_cut(bytes: String, end: WireStep, path: &str, way: Way) -> (RawAnswer, usize) {
    let script = move |_: &WireRequest| send_and_end(&bytes, &end);
    let (first, second) = (
        WireReplica::start(script.clone()).await,
        WireReplica::start(script).await,
    );
    let fixture = start_before(&[first.address(), second.address()], way).await;
    let answer = call_raw(fixture.address, path, b"").await;
    (answer, first.requests().len() + second.requests().len())
}
