//! Splits a response body into server-sent events without changing their bytes.

use bytes::{Buf, Bytes, BytesMut};

use crate::dialect::EventId;

/// `StreamEvent` is one complete event as the replica wrote it, including the empty line at its
/// end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Id of the event, if it has one.
    pub id: Option<EventId>,
    /// Unchanged bytes of the event.
    pub bytes: Bytes,
}

impl StreamEvent {
    /// Returns whether the event consists of comments, which carry nothing.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
    }
}

/// `EventSplitter` buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that are known to hold no empty line.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the response body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = self.end_of_event() else {
            // The last bytes may be the start of an empty line.
            self.searched = self.buf.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(StreamEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns the size of the buffer in bytes.
    pub fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    /// Replaces the buffer by one that is as small as its content.
    pub fn shrink(&mut self) {
        self.buf = BytesMut::from(&self.buf[..]);
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    fn end_of_event(&self) -> Option<usize> {
        let buf = &self.buf[..];
        let mut at = self.searched;
        while let Some(offset) = buf[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + offset + 1;
            match buf.get(line_end..) {
                Some([b'\n', ..]) => return Some(line_end + 1),
                Some([b'\r', b'\n', ..]) => return Some(line_end + 2),
                _ => at = line_end,
            }
        }
        None
    }
}

/// Parses the id in the line `id: NUMBER`. Returns `None` if the line is missing or not a number.
fn event_id(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
