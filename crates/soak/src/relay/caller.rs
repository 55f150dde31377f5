//! A caller that sends one request after another over connections that it keeps.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Collected, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng as _, rngs::StdRng};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    configuration::{HOST, KEY},
    fleet::{Fleet, STREAM_EVENTS},
    records::{RequestEnd, RequestKind, RequestRecord, lock},
};
use crate::run::StopFlag;

/// Limit on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of times that a stream is resumed.
const MAX_RESUMES: u32 = 4;

/// Model of all streams.
pub const MODEL: &str = "m";

/// Tokens of the prompt and of the answer of all streams.
pub const TOKEN_COUNT: &str = "300,50";

/// Returns the path of a request.
pub fn target_of(kind: RequestKind, id: &str) -> String {
    format!("/{kind}/{id}")
}

/// Returns the body of a request.
pub fn body_of(id: &str) -> String {
    format!("body of {id}")
}

/// `RelayCaller` sends requests of all kinds.
pub struct RelayCaller {
    number: usize,
    sent: u64,
    rng: StdRng,
    fleet: Arc<Fleet>,
    connection: Option<KeptConnection>,
}

struct KeptConnection {
    node: usize,
    sender: SendRequest<Full<Bytes>>,
}

impl RelayCaller {
    /// Builds a caller. Its requests follow from `number` and `seed`.
    pub fn new(number: usize, seed: u64, fleet: Arc<Fleet>) -> Self {
        Self {
            number,
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
            fleet,
            connection: None,
        }
    }

    /// Sends requests until the run stops.
    pub async fn run(mut self, stop: StopFlag) {
        while !stop.is_set() {
            let kind = match self.rng.random_range(0..10) {
                0..6 => RequestKind::Draft,
                6..8 => RequestKind::Notes,
                8 => RequestKind::File,
                _ => RequestKind::Look,
            };
            let mut resume_after = 0;
            for _ in 0..=MAX_RESUMES {
                let Some(record) = self.send(kind, resume_after).await else {
                    sleep(Duration::from_millis(100)).await;
                    break;
                };
                let is_resumed = kind == RequestKind::Notes && record.end == RequestEnd::Closed;
                resume_after += record.events;
                self.fleet.records.requests().push(record);
                if !is_resumed {
                    break;
                }
            }
            sleep(Duration::from_millis(self.rng.random_range(0..120))).await;
        }
    }

    /// Sends a request and reads its answer to the end. Returns `None` when it could not be sent.
    async fn send(&mut self, kind: RequestKind, resume_after: u64) -> Option<RequestRecord> {
        self.connect().await?;
        self.sent += 1;
        let id = format!("q{}x{}", self.number, self.sent);
        let patience = Duration::from_millis(self.rng.random_range(3_000..9_000));
        let req = self.request(kind, &id, resume_after, patience);
        let connection = self.connection.as_mut()?;
        let mut record = RequestRecord {
            id,
            kind,
            node: connection.node,
            started: Instant::now(),
            ended: Instant::now(),
            patience,
            events: 0,
            end: RequestEnd::Closed,
        };
        let deadline = record.started + patience;
        let exchange = async {
            let Ok(response) = connection.sender.send_request(req).await else {
                return RequestEnd::Closed;
            };
            read_response(response, &record.id, kind, resume_after, &mut record.events).await
        };
        record.end = match timeout_at(deadline, exchange).await {
            Ok(end) => end,
            Err(_) => RequestEnd::GaveUp,
        };
        record.ended = Instant::now();
        let is_kept = matches!(record.end, RequestEnd::Complete | RequestEnd::Status(_));
        if !is_kept || connection.sender.ready().await.is_err() {
            self.connection = None;
        }
        Some(record)
    }

    /// Opens a connection to any node, unless one is open.
    async fn connect(&mut self) -> Option<()> {
        if self
            .connection
            .as_ref()
            .is_some_and(|c| !c.sender.is_closed())
        {
            return Some(());
        }
        self.connection = None;
        let node = self.rng.random_range(0..self.fleet.nodes.len());
        let address = *lock(&self.fleet.nodes[node].address);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address?));
        let stream = stream.await.ok()?.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        self.connection = Some(KeptConnection { node, sender });
        Some(())
    }

    fn request(
        &mut self,
        kind: RequestKind,
        id: &str,
        resume_after: u64,
        patience: Duration,
    ) -> Request<Full<Bytes>> {
        let part: u32 = self.rng.random();
        let mut req = Request::post(target_of(kind, id))
            .header("host", HOST)
            .header("attempt-id", id)
            .header("deadline-ms", patience.as_millis().to_string())
            .header("authorization", format!("Bearer {KEY}"));
        if kind.is_stream() {
            req = req
                .header("model", MODEL)
                .header("token-count", TOKEN_COUNT)
                .header("prompt-prefix", format!("{part:x}:300"));
        }
        if resume_after > 0 {
            req = req.header("last-event-id", resume_after.to_string());
        }
        let body = Full::from(body_of(id));
        req.body(body).unwrap_or_default()
    }
}

async fn read_response(
    response: http::Response<Incoming>,
    id: &str,
    kind: RequestKind,
    resume_after: u64,
    events: &mut u64,
) -> RequestEnd {
    let status = response.status();
    let echoed = response.headers().get("attempt-id").cloned();
    if status != StatusCode::OK {
        if response.headers().contains_key("server-seal") {
            return RequestEnd::Wrong(format!("{status} with the seal of a replica"));
        }
        return match response.into_body().collect().await {
            Ok(_) => RequestEnd::Status(status.as_u16()),
            Err(_) => RequestEnd::Closed,
        };
    }
    if !response.headers().contains_key("server-seal") {
        return RequestEnd::Wrong("a success without the seal of a replica".to_owned());
    }
    if echoed.is_none_or(|echoed| echoed != id) {
        return RequestEnd::Wrong("the answer is that of another request".to_owned());
    }
    if kind.is_stream() {
        return read_events(response.into_body(), resume_after, events).await;
    }
    let body = response.into_body().collect().await;
    match body.map(Collected::to_bytes) {
        Ok(body) if body == format!("answer to {id}") => RequestEnd::Complete,
        Ok(_) => RequestEnd::Wrong("the body is that of another request".to_owned()),
        Err(_) => RequestEnd::Closed,
    }
}

async fn read_events(mut body: Incoming, resume_after: u64, events: &mut u64) -> RequestEnd {
    let mut text = String::new();
    loop {
        let last = resume_after + *events;
        let Some(frame) = body.frame().await else {
            return match last == STREAM_EVENTS && text.is_empty() {
                true => RequestEnd::Complete,
                false => RequestEnd::Wrong(format!("looks complete after event {last}")),
            };
        };
        let Ok(frame) = frame else {
            return RequestEnd::Closed;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        text.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let next = resume_after + *events + 1;
            if event != format!("id: {next}\ndata: token {next}") {
                return RequestEnd::Wrong(format!("{event:?} in place of event {next}"));
            }
            *events += 1;
            text = rest.to_owned();
        }
    }
}
