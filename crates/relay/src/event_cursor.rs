//! Reads the events of one attempt.

use http_body::Body as _;
use http_body_util::BodyExt;

use crate::{
    attempt::{Answered, Attempt},
    events::{EventSplitter, StreamEvent},
};

/// Limit on the buffered bytes of one event. Events of engines have some hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// `EventCursor` reads the events of one attempt.
#[derive(Debug, Default)]
pub(crate) struct EventCursor {
    splitter: EventSplitter,
    /// Event that has been read and is returned next.
    pub(crate) pending: Option<StreamEvent>,
}

/// `StreamItem` is the next event of a stream, or its end.
pub(crate) enum StreamItem {
    /// A complete event.
    Event(StreamEvent),
    /// The replica ended the stream.
    End,
    /// The replica broke off the stream.
    Interrupted(String),
}

impl EventCursor {
    /// Reads the next event of `attempt`.
    pub(crate) async fn next(&mut self, attempt: &mut Attempt<Answered>) -> StreamItem {
        if let Some(event) = self.pending.take() {
            return StreamItem::Event(event);
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return StreamItem::Event(event);
            }
            if self.splitter.len() > MAX_EVENT_BYTES {
                return StreamItem::Interrupted("an event is too large".to_owned());
            }
            let body = attempt.body_mut();
            if body.is_end_stream() {
                return self.end();
            }
            match body.frame().await {
                None => return self.end(),
                Some(Err(error)) => return StreamItem::Interrupted(error.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }

    fn end(&self) -> StreamItem {
        match self.splitter.has_partial_event() {
            true => StreamItem::Interrupted("the stream ended inside an event".to_owned()),
            false => StreamItem::End,
        }
    }
}
