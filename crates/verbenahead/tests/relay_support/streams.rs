//! Streams that are read event by event.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use super::{RelayProcess, request};

/// Longest wait for the next part of a stream.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// `OpenStream` is the response to a request for a stream.
pub struct OpenStream {
    pub status: StatusCode,
    /// Id of the last complete event.
    pub last_event: u64,
    text: String,
    body: Incoming,
}

/// Sends a request for a stream on a new connection. Returns `None` without a response.
pub async fn open_stream(
    node: &RelayProcess,
    path: &str,
    id: &str,
    headers: &[(&'static str, &str)],
) -> Option<OpenStream> {
    let mut req = request(Method::POST, path, id);
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("valid header");
        req.headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    let stream = TcpStream::connect(node.callers).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(req).await.ok()?;
    Some(OpenStream {
        status: response.status(),
        last_event: 0,
        text: String::new(),
        body: response.into_body(),
    })
}

impl OpenStream {
    /// Reads up to the event with this id.
    pub async fn read_to_event(&mut self, id: u64) {
        while self.last_event < id {
            assert!(self.read().await.expect("more events"), "the stream ended");
        }
    }

    /// Reads to the end. Returns whether the stream is complete.
    pub async fn read_to_end(&mut self) -> bool {
        loop {
            match self.read().await {
                Some(true) => {}
                Some(false) => return true,
                None => return false,
            }
        }
    }

    /// Reads the next part. Returns whether there was one, or `None` if the stream broke off.
    async fn read(&mut self) -> Option<bool> {
        let frame = timeout(READ_TIMEOUT, self.body.frame()).await.ok()?;
        let Some(frame) = frame else {
            return Some(false);
        };
        if let Ok(data) = frame.ok()?.into_data() {
            self.text.push_str(std::str::from_utf8(&data).ok()?);
        }
        while let Some((event, rest)) = self.text.split_once("\n\n") {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            self.last_event = id.and_then(|id| id.parse().ok()).unwrap_or(self.last_event);
            self.text = rest.to_owned();
        }
        Some(true)
    }
}
