//! The body of a streamed answer: server-sent events with ids to resume from.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::Stream;
use tokio::{sync::mpsc, time::Interval};

use crate::{callers::chat::AnswerHead, node::answer::AnswerEvent};

/// Most events that one write to the caller carries.
const MAX_EVENTS_PER_CHUNK: usize = 64;

/// Event that keeps a connection in use while no token comes.
const KEEPALIVE: &[u8] = b": keepalive\n\n";

/// Last event of a whole answer.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// `AnswerBody` turns the events of an answer into server-sent events.
///
/// The id of an event is the number of events of the answer up to and with it, so that it names
/// the position from which to resume.
#[derive(Debug)]
pub struct AnswerBody {
    head: AnswerHead,
    events: mpsc::Receiver<AnswerEvent>,
    batch: Vec<AnswerEvent>,
    keepalive: Interval,
}

impl AnswerBody {
    /// Builds a body from the events of an answer.
    pub fn new(head: AnswerHead, events: mpsc::Receiver<AnswerEvent>, keepalive: Interval) -> Self {
        Self {
            head,
            events,
            batch: Vec::new(),
            keepalive,
        }
    }

    fn write_batch(&mut self) -> Bytes {
        let mut buf = BytesMut::new();
        for event in self.batch.drain(..) {
            write_event(&mut buf, &self.head, &event);
        }
        buf.freeze()
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, std::convert::Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        match this
            .events
            .poll_recv_many(cx, &mut this.batch, MAX_EVENTS_PER_CHUNK)
        {
            Poll::Ready(0) => Poll::Ready(None),
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

fn write_event(buf: &mut BytesMut, head: &AnswerHead, event: &AnswerEvent) {
    match event {
        AnswerEvent::Token { position, text } => {
            let data = head.token_chunk(text, *position == 0);
            write_data(buf, position + 1, &data);
        }
        AnswerEvent::End {
            length,
            reason,
            is_delivered,
        } => {
            if !is_delivered {
                write_data(buf, length + 1, &head.end_chunk(*reason));
            }
            buf.put_slice(DONE);
        }
        AnswerEvent::Moved { request } => {
            let data = format!("{{\"resume\":\"/v1/requests/{request}\"}}");
            write_named(buf, "moved", &data);
        }
        AnswerEvent::Failed(problem) => write_named(buf, "error", &problem.to_json()),
    }
}

fn write_data(buf: &mut BytesMut, id: u64, data: &str) {
    buf.put_slice(b"id: ");
    buf.put_slice(id.to_string().as_bytes());
    buf.put_slice(b"\ndata: ");
    buf.put_slice(data.as_bytes());
    buf.put_slice(b"\n\n");
}

fn write_named(buf: &mut BytesMut, name: &str, data: &str) {
    buf.put_slice(b"event: ");
    buf.put_slice(name.as_bytes());
    buf.put_slice(b"\ndata: ");
    buf.put_slice(data.as_bytes());
    buf.put_slice(b"\n\n");
}
