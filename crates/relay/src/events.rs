//! The events of a stream, cut out of the bytes of an answer without changing them.

use bytes::{Buf, Bytes, BytesMut};

use crate::dialect::EventId;

/// `StreamEvent` is one whole event as the replica wrote it, with the empty line at its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Id of the event, if it has one.
    pub id: Option<EventId>,
    /// Bytes of the event.
    pub bytes: Bytes,
}

/// `EventSplitter` collects bytes until they make up whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes that are known not to hold an empty line.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes of the answer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes out the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = self.end_of_event() else {
            // The last bytes may be the beginning of an empty line.
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

    /// Returns whether bytes are left that are no whole event.
    pub fn has_rest(&self) -> bool {
        self.buf.has_remaining()
    }

    /// Returns the number of collected bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether no bytes are collected.
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

/// Reads the id from the line `id: NUMBER`.
fn event_id(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
