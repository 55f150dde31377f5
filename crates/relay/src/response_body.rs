//! Bodies of responses to callers.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use tokio::sync::mpsc;

/// `CutOff` aborts a response body, so that the caller sees it as incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the response body was cut off before its end")]
pub struct CutOff;

/// `ResponseBody` is the body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is fully in memory.
    Whole(Full<Bytes>),
    /// A body whose chunks arrive through a channel. It is complete when the channel closes, unless
    /// the last item is [`CutOff`].
    Streamed {
        /// Receiver of the chunks.
        rx: mpsc::Receiver<Result<Bytes, CutOff>>,
        /// Length of the body in bytes, if it is known beforehand.
        length: Option<u64>,
    },
}

impl ResponseBody {
    /// Builds a body from bytes that are fully in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let poll = Pin::new(body).poll_frame(cx);
                poll.map_err(|never: Infallible| match never {})
            }
            Self::Streamed { rx, .. } => {
                let poll = rx.poll_recv(cx);
                poll.map(|item| item.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed { length, .. } => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
