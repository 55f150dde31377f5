//! A streamed chat over one connection, with a check of each event.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use eventsource_stream::{Event, Eventsource as _};
use futures_util::{StreamExt as _, TryStreamExt as _, stream::BoxStream};
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::time::timeout;
use verbenahead_standins::engine::expected_answer;

use crate::deployment::MODEL;

/// Longest time from a request to the head of its answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time without an event, after which a caller goes to another node.
const EVENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum tokens of an answer.
const MAX_TOKENS: u64 = 2048;

/// `Chat` is a chat with one message and what was read of its answer.
#[derive(Debug, Clone, Default)]
pub struct Chat {
    /// Key of the workspace.
    pub key: &'static str,
    /// The message.
    pub message: String,
    /// Id of the request, once it is accepted.
    pub request: String,
    /// Text so far.
    pub text: String,
    /// Id of the last event.
    pub last_event_id: u64,
    /// Whether the whole answer was read.
    pub is_done: bool,
}

/// `OpenError` is the reason why an answer could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum OpenError {
    /// The node answered with another status than 200.
    #[display("status {status}")]
    Refused {
        /// The status.
        status: StatusCode,
    },
    /// There was no answer.
    #[display("no answer")]
    Unreachable,
}

/// `StreamEnd` is the reason why a stream ended.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StreamEnd {
    /// The answer is whole.
    #[display("the answer is whole")]
    Done,
    /// The connection broke, or no event arrived in time.
    #[display("the stream broke")]
    Broke,
    /// The node ended the stream with a named event.
    #[display("event {_0}: {_1}")]
    Named(String, String),
    /// An event is not the next one of the answer.
    #[display("wrong event: {_0}")]
    Wrong(String),
}

/// `ChatStream` is an open event stream of an answer.
pub struct ChatStream {
    events: BoxStream<'static, Result<Event, String>>,
}

impl Chat {
    /// Builds a chat that is not sent yet.
    pub fn new(key: &'static str, message: String) -> Self {
        Self {
            key,
            message,
            ..Self::default()
        }
    }

    /// Sends the chat. On success it is accepted and has the id of its request.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when it is not known to be accepted.
    pub async fn send(&mut self, node: SocketAddr) -> Result<ChatStream, OpenError> {
        let body = json!({
            "model": MODEL,
            "messages": [{ "role": "user", "content": self.message }],
            "max_tokens": MAX_TOKENS,
            "stream": true,
        });
        let req = Request::post(format!("http://{node}/v1/chat/completions"))
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body.to_string())));
        let (request, stream) = open(req.map_err(|_| OpenError::Unreachable)?).await?;
        self.request = request;
        Ok(stream)
    }

    /// Resumes the answer after its last event.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when the node cannot resume it now.
    pub async fn resume(&self, node: SocketAddr) -> Result<ChatStream, OpenError> {
        let req = Request::get(format!("http://{node}/v1/requests/{}", self.request))
            .header("authorization", format!("Bearer {}", self.key))
            .header("last-event-id", self.last_event_id.to_string())
            .body(Full::default());
        let (_, stream) = open(req.map_err(|_| OpenError::Unreachable)?).await?;
        Ok(stream)
    }

    /// Returns the text of the whole answer.
    pub fn expected_text(&self) -> String {
        expected_answer(MODEL, &format!("user: {}", self.message), MAX_TOKENS).concat()
    }

    /// Reads events until the stream ends. Checks id and text of each.
    pub async fn read(&mut self, mut stream: ChatStream) -> StreamEnd {
        let expected = self.expected_text();
        loop {
            let Ok(Some(Ok(event))) = timeout(EVENT_TIMEOUT, stream.events.next()).await else {
                return if self.is_done {
                    StreamEnd::Done
                } else {
                    StreamEnd::Broke
                };
            };
            if let Some(end) = self.apply_event(event, &expected) {
                return end;
            }
        }
    }

    fn apply_event(&mut self, event: Event, expected: &str) -> Option<StreamEnd> {
        if event.data == "[DONE]" {
            self.is_done = true;
            return Some(self.end_after_done(expected));
        }
        if event.event != "message" {
            return Some(StreamEnd::Named(event.event, event.data));
        }
        let wanted = self.last_event_id + 1;
        if event.id.parse() != Ok(wanted) {
            return Some(StreamEnd::Wrong(format!(
                "id {} after {}",
                event.id,
                wanted - 1
            )));
        }
        self.last_event_id = wanted;
        let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let token = chunk["choices"][0]["delta"]["content"].as_str();
        self.text.push_str(token.unwrap_or_default());
        if !expected.starts_with(&self.text) {
            return Some(StreamEnd::Wrong(format!(
                "text of event {wanted}: {token:?}"
            )));
        }
        None
    }

    fn end_after_done(&self, expected: &str) -> StreamEnd {
        if self.text == expected {
            return StreamEnd::Done;
        }
        let event = self.last_event_id;
        StreamEnd::Wrong(format!("the answer ends early, after event {event}"))
    }
}

async fn open(req: Request<Full<Bytes>>) -> Result<(String, ChatStream), OpenError> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let Ok(Ok(res)) = timeout(HEAD_TIMEOUT, client.request(req)).await else {
        return Err(OpenError::Unreachable);
    };
    let status = res.status();
    if status != StatusCode::OK {
        return Err(OpenError::Refused { status });
    }
    let id = res.headers().get("verbenahead-request-id");
    let id = id.and_then(|value| value.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let body = res.into_body().into_data_stream();
    let events = body.map_err(std::io::Error::other).eventsource();
    let events = events.map_err(|error| error.to_string()).boxed();
    Ok((id, ChatStream { events }))
}
