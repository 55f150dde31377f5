//! Reads the events of one attempt.

use http_body::Body as _;
use http_body_util::BodyExt;

use crate::{
    attempt::{Answered, Attempt},
    events::{EventSplitter, StreamEvent},
    memory_budget::MemoryReservation,
};

/// Limit on the buffered bytes of one event. Events of engines have some hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Bytes of an event that are buffered without a reservation. The cost of a connection covers them.
const UNRESERVED_BYTES: usize = 8 * 1024;

/// `EventCursor` reads the events of one attempt.
#[derive(Debug)]
pub(crate) struct EventCursor {
    splitter: EventSplitter,
    /// Memory of a large event that has arrived in part.
    memory: MemoryReservation,
    /// Bytes that `memory` holds.
    reserved: usize,
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
    /// Builds a cursor that reserves the memory of large events in `memory`.
    pub(crate) fn new(memory: MemoryReservation) -> Self {
        Self {
            splitter: EventSplitter::default(),
            memory,
            reserved: 0,
            pending: None,
        }
    }

    /// Reads the next event of `attempt`.
    pub(crate) async fn next(&mut self, attempt: &mut Attempt<Answered>) -> StreamItem {
        if let Some(event) = self.pending.take() {
            return StreamItem::Event(event);
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return StreamItem::Event(self.with_memory(event));
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
                        if !self.try_reserve() {
                            let reason = "no memory for a large event";
                            return StreamItem::Interrupted(reason.to_owned());
                        }
                    }
                }
            }
        }
    }

    /// Reserves the memory of the buffered bytes. Returns `false` if there is none.
    fn try_reserve(&mut self) -> bool {
        let needed = self.splitter.capacity();
        if self.splitter.len() <= UNRESERVED_BYTES || needed <= self.reserved {
            return true;
        }
        let is_granted = self.memory.try_grow(needed - self.reserved);
        self.reserved = if is_granted { needed } else { self.reserved };
        is_granted
    }

    /// Passes the memory that was reserved for a large event on to the event.
    fn with_memory(&mut self, event: StreamEvent) -> StreamEvent {
        if self.reserved == 0 {
            return event;
        }
        // What follows the event is in the same buffer.
        self.splitter.shrink();
        self.reserved = 0;
        let next = self.memory.another();
        let memory = std::mem::replace(&mut self.memory, next);
        StreamEvent {
            id: event.id,
            bytes: memory.hold(event.bytes),
        }
    }

    fn end(&self) -> StreamItem {
        match self.splitter.has_partial_event() {
            true => StreamItem::Interrupted("the stream ended inside an event".to_owned()),
            false => StreamItem::End,
        }
    }
}
