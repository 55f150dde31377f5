//! A caller of the chat API that reads server-sent events.

use std::net::SocketAddr;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{StreamExt, TryStreamExt, stream::BoxStream};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use verbenahead_standins::engine::expected_answer;

pub const MODEL: &str = "draft-small";

/// Builds the body of a chat with one message.
pub fn chat_body(message: &str, is_streamed: bool) -> String {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": message }],
        "max_tokens": 2048,
        "stream": is_streamed,
    })
    .to_string()
}

/// Returns the text that answers a chat with one message.
pub fn expected_text(message: &str) -> String {
    expected_answer(MODEL, &format!("user: {message}"), 2048).concat()
}

/// The part of a streamed response that has been read.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub request: String,
    pub text: String,
    /// Id of the last event with a chunk of the response.
    pub last_event_id: u64,
    pub is_done: bool,
    /// Name and data of the last named event, if there was one.
    pub named: Option<(String, String)>,
}

/// A caller that reads one streamed response. It can resume the response on another connection.
pub struct ChatCaller {
    pub answer: Answer,
    events: BoxStream<'static, Result<eventsource_stream::Event, String>>,
}

impl ChatCaller {
    /// Sends a chat request and opens the event stream of its response.
    pub async fn start(node: SocketAddr, key: &str, message: &str) -> Result<Self, StatusCode> {
        let req = Request::post(format!("http://{node}/v1/chat/completions"))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(Bytes::from(chat_body(message, true))))
            .expect("a valid request");
        Self::open(req, Answer::default()).await
    }

    /// Resumes a response after its last event, at any node.
    pub async fn resume(node: SocketAddr, key: &str, answer: Answer) -> Result<Self, StatusCode> {
        let req = Request::get(format!("http://{node}/v1/requests/{}", answer.request))
            .header("authorization", format!("Bearer {key}"))
            .header("last-event-id", answer.last_event_id.to_string())
            .body(Full::default())
            .expect("a valid request");
        Self::open(req, answer).await
    }

    async fn open(req: Request<Full<Bytes>>, mut answer: Answer) -> Result<Self, StatusCode> {
        let client: Client<HttpConnector, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let unreachable = StatusCode::BAD_GATEWAY;
        let res = client.request(req).await.map_err(|_| unreachable)?;
        if res.status() != StatusCode::OK {
            return Err(res.status());
        }
        let id = res.headers().get("verbenahead-request-id");
        let id = id.and_then(|value| value.to_str().ok());
        answer.request = id.expect("the response has a request id").to_owned();
        let body = res.into_body().into_data_stream();
        let events = body.map_err(std::io::Error::other).eventsource();
        let events = events.map_err(|error| error.to_string()).boxed();
        Ok(Self { answer, events })
    }

    /// Reads at most `count` events. Returns whether the stream is still open.
    pub async fn read(&mut self, count: usize) -> bool {
        for _ in 0..count {
            match self.events.next().await {
                Some(Ok(event)) => self.apply(&event),
                Some(Err(_)) | None => return false,
            }
        }
        true
    }

    /// Reads until the stream ends.
    pub async fn read_to_end(mut self) -> Answer {
        while self.read(1).await {}
        self.answer
    }

    fn apply(&mut self, event: &eventsource_stream::Event) {
        if event.data == "[DONE]" {
            self.answer.is_done = true;
            return;
        }
        if event.event != "message" {
            self.answer.named = Some((event.event.clone(), event.data.clone()));
            return;
        }
        let id: u64 = event.id.parse().expect("an event id");
        assert_eq!(
            id,
            self.answer.last_event_id + 1,
            "an event is repeated or missing"
        );
        self.answer.last_event_id = id;
        let chunk: Value = serde_json::from_str(&event.data).expect("a chunk of JSON");
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            self.answer.text.push_str(text);
        }
    }
}
