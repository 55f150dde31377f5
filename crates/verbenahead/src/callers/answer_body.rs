//! Body of a streamed answer: server-sent events whose ids allow the caller to resume.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::Stream;
use tokio::{sync::mpsc, time::Interval};
use verbenahead_relay::CutOff;

use crate::{callers::chat::AnswerMetadata, node::answer::AnswerEvent};

/// Maximum number of events in one chunk of the body.
const MAX_EVENTS_PER_CHUNK: usize = 64;

/// Comment that keeps the connection active while no token arrives.
const KEEPALIVE: &[u8] = b": keepalive\n\n";

/// Event that ends a complete answer.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// `AnswerBody` encodes the events of an answer as server-sent events.
///
/// Ids count the events of the answer from 1, so the id of the last event received is the position
/// from which to resume. A body whose events end without [`AnswerEvent::End`], [`AnswerEvent::Moved`] or
/// [`AnswerEvent::Failed`] is cut off.
#[derive(Debug)]
pub struct AnswerBody {
    metadata: AnswerMetadata,
    events: mpsc::Receiver<AnswerEvent>,
    batch: Vec<AnswerEvent>,
    /// Whether the last event was written.
    has_ended: bool,
    keepalive: Interval,
}

impl AnswerBody {
    /// Builds a body from the events of an answer. `keepalive` is the interval without an event after
    /// which a keep-alive comment is sent.
    pub fn new(
        metadata: AnswerMetadata,
        events: mpsc::Receiver<AnswerEvent>,
        keepalive: Interval,
    ) -> Self {
        Self {
            metadata,
            events,
            batch: Vec::new(),
            has_ended: false,
            keepalive,
        }
    }

    fn write_batch(&mut self) -> Bytes {
        let mut buf = BytesMut::new();
        for event in self.batch.drain(..) {
            self.has_ended |= !matches!(event, AnswerEvent::Token { .. });
            write_event(&mut buf, &self.metadata, &event);
        }
        buf.freeze()
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, CutOff>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        match this
            .events
            .poll_recv_many(cx, &mut this.batch, MAX_EVENTS_PER_CHUNK)
        {
            Poll::Ready(0) if this.has_ended => Poll::Ready(None),
            Poll::Ready(0) => Poll::Ready(Some(Err(CutOff))),
            Poll::Ready(_) => {
                this.keepalive.reset();
                Poll::Ready(Some(Ok(this.write_batch())))
            }
            Poll::Pending => this
                .keepalive
                .poll_tick(cx)
                .map(|_| Some(Ok(Bytes::from_static(KEEPALIVE)))),
        }
    }
}

fn write_event(buf: &mut BytesMut, metadata: &AnswerMetadata, event: &AnswerEvent) {
    match event {
        AnswerEvent::Token { position, text } => {
            let data = metadata.token_chunk(text, *position == 0);
            write_data_event(buf, position + 1, &data);
        }
        AnswerEvent::End {
            length,
            reason,
            is_delivered,
        } => {
            if !is_delivered {
                write_data_event(buf, length + 1, &metadata.end_chunk(*reason));
            }
            buf.put_slice(DONE);
        }
        AnswerEvent::Moved { request } => {
            let data = format!("{{\"resume\":\"/v1/requests/{request}\"}}");
            write_named_event(buf, "moved", &data);
        }
        AnswerEvent::Failed(problem) => write_named_event(buf, "error", &problem.to_json()),
    }
}

fn write_data_event(buf: &mut BytesMut, id: u64, data: &str) {
    buf.put_slice(b"id: ");
    buf.put_slice(id.to_string().as_bytes());
    buf.put_slice(b"\ndata: ");
    buf.put_slice(data.as_bytes());
    buf.put_slice(b"\n\n");
}

fn write_named_event(buf: &mut BytesMut, name: &str, data: &str) {
    buf.put_slice(b"event: ");
    buf.put_slice(name.as_bytes());
    buf.put_slice(b"\ndata: ");
    buf.put_slice(data.as_bytes());
    buf.put_slice(b"\n\n");
}
