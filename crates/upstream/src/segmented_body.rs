//! Bodies of requests to upstreams.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// `SegmentedBody` is a complete body in segments, which are sent one after the other. Clones share the segments.
#[derive(Debug, Clone, Default)]
pub struct SegmentedBody {
    segments: Arc<[Bytes]>,
    /// Index of the segment that is sent next.
    next: usize,
    /// Bytes that are not sent yet.
    unsent: usize,
}

impl SegmentedBody {
    /// Returns the segments.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Returns the length of the body, in bytes.
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// Returns the body in one piece. It is copied if it has several segments.
    pub fn to_bytes(&self) -> Bytes {
        match &*self.segments {
            [] => Bytes::new(),
            [whole] => whole.clone(),
            segments => segments.concat().into(),
        }
    }
}

impl From<Vec<Bytes>> for SegmentedBody {
    fn from(mut segments: Vec<Bytes>) -> Self {
        segments.retain(|segment| !segment.is_empty());
        Self {
            unsent: segments.iter().map(Bytes::len).sum(),
            segments: segments.into(),
            next: 0,
        }
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(whole: Bytes) -> Self {
        Self::from(vec![whole])
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.segments.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.unsent -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.next == self.segments.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent as u64)
    }
}
