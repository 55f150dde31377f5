//! Responses that are forwarded to the caller as they arrive.

use bytes::Bytes;
use derive_more::Display;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    attempt::{Answered, Attempt},
    event_cursor::{EventCursor, StreamItem},
    exchange::Exchange,
    memory_budget::MemoryReservation,
    observe::RequestResult,
    response_body::{BodySender, ReadAhead, ResponseBody, SendChunkError},
    stream_forwarder::StreamForwarder,
    stream_search::SearchPause,
};

/// `OpenStream` is a response whose first bytes or first event have arrived.
pub(crate) struct OpenStream {
    attempt: Attempt<Answered>,
    /// Bytes that have been read. Empty for a stream of events, whose cursor holds the first event.
    first: Bytes,
    kind: StreamKind,
}

/// `StreamKind` tells in which units the body of a response is forwarded.
enum StreamKind {
    /// Bytes as they arrive.
    Bytes,
    /// Complete events.
    Events(Box<EventCursor>),
}

/// `FirstEventError` is the reason why a stream has no first event.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum FirstEventError {
    /// The time limit passed.
    #[display("timed out before the first event")]
    TimedOut,
    /// The replica broke off the stream, or ended it without an event.
    #[display("{_0}")]
    Interrupted(String),
}

/// The opened stream, or the attempt that has no first event and the reason.
pub(crate) type FirstEvent = Result<OpenStream, (Attempt<Answered>, FirstEventError)>;

impl OpenStream {
    /// Builds a response whose bytes are forwarded as they arrive, starting with `first`.
    pub(crate) fn bytes(attempt: Attempt<Answered>, first: Bytes) -> Self {
        Self {
            attempt,
            first,
            kind: StreamKind::Bytes,
        }
    }
}

/// Reads a stream up to its first complete event, whose memory is reserved in `memory`. Returns the attempt
/// with the error if there is none.
pub(crate) async fn first_event(
    mut attempt: Attempt<Answered>,
    memory: MemoryReservation,
    deadline: Instant,
) -> FirstEvent {
    let mut cursor = EventCursor::new(memory);
    let Ok(item) = timeout_at(deadline, cursor.next(&mut attempt)).await else {
        return Err((attempt, FirstEventError::TimedOut));
    };
    match item {
        StreamItem::Event(event) => {
            cursor.pending = Some(event);
            Ok(OpenStream {
                attempt,
                first: Bytes::new(),
                kind: StreamKind::Events(Box::new(cursor)),
            })
        }
        StreamItem::End => {
            let reason = "the stream ended without an event".to_owned();
            Err((attempt, FirstEventError::Interrupted(reason)))
        }
        StreamItem::Interrupted(reason) => Err((attempt, FirstEventError::Interrupted(reason))),
    }
}

/// Builds the response to the caller and spawns a task that forwards the body. The task ends with
/// the stream, or when the caller has closed the connection.
pub(crate) fn respond(exchange: Exchange, stream: OpenStream) -> Response<ResponseBody> {
    let supports_move = exchange.supports_move;
    let head = stream.attempt.head();
    let mut response = exchange.response_head(head.status, &head.headers);
    let length = match stream.kind {
        StreamKind::Bytes => {
            let rest = http_body::Body::size_hint(stream.attempt.body()).exact();
            rest.map(|rest| rest + stream.first.len() as u64)
        }
        StreamKind::Events(_) => None,
    };
    let options = &exchange.relay.options;
    let read_ahead = ReadAhead {
        max_chunks: options.max_buffered_chunks,
        max_bytes: options.max_read_ahead.0 as usize,
        memory: Some(exchange.memory.another()),
    };
    let (tx, body) = ResponseBody::streamed_within(read_ahead, length);
    *response.body_mut() = body;
    match stream.kind {
        StreamKind::Bytes => {
            tokio::spawn(copy_bytes(exchange, stream.attempt, stream.first, tx));
        }
        StreamKind::Events(cursor) => {
            let forwarder = StreamForwarder {
                exchange,
                attempt: Some(stream.attempt),
                cursor: *cursor,
                tx,
                events: 0,
                may_move: supports_move,
                move_after: None,
                may_be_stopped: false,
                is_resumed: false,
                run_event: None,
                search_pause: SearchPause::default(),
            };
            tokio::spawn(forwarder.run());
        }
    }
    response
}

/// Forwards the bytes of a response until it ends, the deadline passes or the caller is gone.
async fn copy_bytes(
    exchange: Exchange,
    mut attempt: Attempt<Answered>,
    first: Bytes,
    tx: BodySender,
) {
    let mut data = first;
    loop {
        if let Err(error) = tx.send_until(data, exchange.deadline).await {
            let (result, outcome) = match error {
                SendChunkError::Dropped => (RequestResult::CallerLeft, "caller left"),
                SendChunkError::TimedOut => (RequestResult::CutOff, "timed out"),
            };
            exchange.end(result, "-", outcome);
            return;
        }
        let frame = tokio::select! {
            frame = attempt.body_mut().frame() => frame,
            () = tx.closed() => {
                exchange.end(RequestResult::CallerLeft, "-", "caller left");
                return;
            }
            () = sleep_until(exchange.deadline) => {
                exchange.end(RequestResult::CutOff, "-", "timed out");
                return;
            }
        };
        match frame {
            None => {
                if attempt.head().status.is_success() {
                    exchange.record_complete();
                }
                attempt.finish();
                tx.complete();
                exchange.end(RequestResult::Answered, "200", "answered");
                return;
            }
            Some(Err(error)) => {
                attempt.fail();
                let outcome = format!("answer broke off: {error}");
                exchange.end(RequestResult::CutOff, "-", &outcome);
                return;
            }
            // Trailers are not forwarded.
            Some(Ok(frame)) => data = frame.into_data().unwrap_or_default(),
        }
    }
}
