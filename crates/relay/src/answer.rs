//! Bodies of answers to callers.

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

/// `CutOff` ends an answer so that it does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the answer was cut off")]
pub struct CutOff;

/// `AnswerBody` is the body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// The whole body is known.
    Whole(Full<Bytes>),
    /// Parts follow through a channel. The body is complete when the channel closes, unless the
    /// last part is [`CutOff`].
    Parts {
        /// The parts.
        rx: mpsc::Receiver<Result<Bytes, CutOff>>,
        /// Length of the body, if it is known beforehand.
        length: Option<u64>,
    },
}

impl AnswerBody {
    /// Builds a body that is known whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Body for AnswerBody {
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
            Self::Parts { rx, .. } => {
                let poll = rx.poll_recv(cx);
                poll.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Parts { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Parts { length, .. } => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
